/** How `DrainableServer` treats idle, busy and unused connections while it drains. */
import { once } from 'node:events';
import type { RequestListener, ServerResponse } from 'node:http';
import { connect, Socket } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { DrainableServer, type Clock } from '@tillerstair/wire';

const draining = suite('draining an HTTP server');

const BoundAddress = z.object({ port: z.number() });

/** Longer than any test, so that no connection is closed for being idle. */
const keepAliveTimeoutMs = 600000;

/** A clock whose only timer fires when the test calls `elapse`. */
class ManualClock implements Clock {
  private fire: () => void = () => undefined;

  now(): number {
    return 0;
  }

  after(_ms: number, run: () => void) {
    this.fire = run;
    return { stop: () => undefined };
  }

  elapse(): void {
    this.fire();
  }
}

interface Client {
  readonly socket: Socket;
  /** The server side of the same connection. */
  readonly accepted: Socket;
  received: string;
  readonly closed: Promise<unknown>;
}

interface TestServer {
  readonly server: DrainableServer;
  /** Responses to the requests that the handler received, by path. */
  readonly taken: Map<string, ServerResponse>;
  /** Opens a new connection to the server. */
  open(): Promise<Client>;
}

const withServer = async (work: (testServer: TestServer) => Promise<void>): Promise<void> => {
  const taken = new Map<string, ServerResponse>();
  const handler: RequestListener = (req, res) => {
    taken.set(req.url ?? '', res);
    server.emit('taken');
  };
  const server = new DrainableServer({ keepAliveTimeout: keepAliveTimeoutMs }, handler);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = BoundAddress.parse(server.address());
  const sockets: Socket[] = [];
  const open = async (): Promise<Client> => {
    const serverSide = once(server, 'connection');
    const socket = connect(port, '127.0.0.1');
    sockets.push(socket);
    const [accepted] = await Promise.all([serverSide, once(socket, 'connect')]);
    const sides: readonly unknown[] = accepted;
    const [serverSocket] = sides;
    if (!(serverSocket instanceof Socket)) throw new Error('the server accepted no connection');
    const closed = once(socket, 'close');
    const client: Client = { socket, accepted: serverSocket, received: '', closed };
    socket.on('data', (chunk) => {
      client.received += chunk.toString('latin1');
    });
    socket.on('error', () => undefined);
    return client;
  };
  try {
    await work({ server, taken, open });
  } finally {
    for (const socket of sockets) socket.destroy();
    await server.closeWithin(0);
  }
};

const get = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: x\r\n\r\n`;

const responseTo = ({ taken }: TestServer, path: string): ServerResponse => {
  const response = taken.get(path);
  if (!response) throw new Error(`the handler received no request for ${path}`);
  return response;
};

/** Sends a GET request and resolves with its response object once the handler has received it. */
const send = async (
  testServer: TestServer,
  client: Client,
  path: string,
): Promise<ServerResponse> => {
  const handled = once(testServer.server, 'taken');
  client.socket.write(get(path));
  await handled;
  return responseTo(testServer, path);
};

draining(
  'keeps serving after it announced its close, and closes each connection after its response',
  () =>
    withServer(async (testServer) => {
      const client = await testServer.open();
      (await send(testServer, client, '/before')).end('ok');
      while (!client.received.includes('ok')) await once(client.socket, 'data');
      assert.match(client.received, /^Connection: keep-alive\r$/m);
      testServer.server.announceClose();
      client.received = '';
      (await send(testServer, client, '/after')).end('ok');
      await client.closed;
      assert.match(client.received, /^Connection: close\r$/m);
      assert.match(client.received, /ok/);
    }),
);

draining('closes a connection after a response whose head was sent before the announcement', () =>
  withServer(async (testServer) => {
    const client = await testServer.open();
    const response = await send(testServer, client, '/stream');
    response.write('first');
    while (!client.received.includes('first')) await once(client.socket, 'data');
    testServer.server.announceClose();
    response.end('last');
    await once(response, 'finish');
    assert.ok(client.accepted.writableEnded);
    await client.closed;
    assert.match(client.received, /last/);
    assert.match(client.received, /0\r\n\r\n$/);
  }),
);

draining(
  'closes idle connections, used or unused, when it stops accepting, but not busy ones',
  () =>
    withServer(async (testServer) => {
      const [unused, idle, busy] = [
        await testServer.open(),
        await testServer.open(),
        await testServer.open(),
      ];
      (await send(testServer, idle, '/rested')).end('ok');
      while (!idle.received.includes('ok')) await once(idle.socket, 'data');
      const response = await send(testServer, busy, '/busy');
      assert.is(testServer.server.pendingRequests, 1);
      testServer.server.stopAccepting();
      const destroyed = [unused, idle, busy].map(({ accepted }) => accepted.destroyed);
      assert.equal(destroyed, [true, true, false]);
      assert.is(testServer.server.pendingRequests, 1);
      response.end('whole');
      await busy.closed;
      assert.match(busy.received, /whole/);
      assert.is(testServer.server.pendingRequests, 0);
    }),
);

draining('rejects a request that had been received only in part when it stopped accepting', () =>
  withServer(async (testServer) => {
    const client = await testServer.open();
    const [start, rest] = [get('/half').slice(0, 10), get('/half').slice(10)];
    // Once the first request is handled, the bytes after it have been read too.
    const firstHandled = once(testServer.server, 'taken');
    client.socket.write(get('/first') + start);
    await firstHandled;
    responseTo(testServer, '/first').end('ok');
    while (!client.received.includes('ok')) await once(client.socket, 'data');
    testServer.server.stopAccepting();
    client.socket.write(rest);
    await Promise.race([client.closed, once(testServer.server, 'taken')]);
    assert.not(testServer.taken.has('/half'));
    await client.closed;
    assert.match(client.received, /HTTP\/1\.1 503 /);
    assert.match(client.received, /^Retry-After: [\d.]+\r$/m);
    assert.match(client.received, /"executed":"no"/);
  }),
);

draining('does not handle a request after one whose response closes the connection', () =>
  withServer(async (testServer) => {
    const client = await testServer.open();
    testServer.server.announceClose();
    const firstHandled = once(testServer.server, 'taken');
    client.socket.write(get('/first') + get('/second'));
    await firstHandled;
    responseTo(testServer, '/first').end('ok');
    await client.closed;
    assert.not(testServer.taken.has('/second'));
    assert.match(client.received, /ok/);
  }),
);

draining('closes once all requests are answered, or when the timeout expires', () =>
  withServer(async (testServer) => {
    const [quick, stuck] = [await testServer.open(), await testServer.open()];
    const response = await send(testServer, quick, '/quick');
    await send(testServer, stuck, '/stuck');
    const clock = new ManualClock();
    let ended = false;
    const end = testServer.server.closeWithin(1000, clock).then(() => {
      ended = true;
    });
    response.end('whole');
    await quick.closed;
    assert.match(quick.received, /whole/);
    assert.is(ended, false);
    clock.elapse();
    await end;
    await stuck.closed;
    assert.is(stuck.received, '');
  }),
);

draining.run();
