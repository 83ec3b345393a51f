/** How a server that is drained treats each kind of connection. */
import { once } from 'node:events';
import type { RequestListener, ServerResponse } from 'node:http';
import { connect, Socket } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { DrainableServer, type Clock } from '@tillerstair/wire';

const draining = suite('a server that is drained');

const Bound = z.object({ port: z.number() });

/** Longer than any test lasts: no connection ends because it rests. */
const keptForMs = 600000;

/** A clock whose only timer fires when the test says so. */
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
  /** The same connection at the server. */
  readonly accepted: Socket;
  received: string;
  readonly closed: Promise<unknown>;
}

interface Rig {
  readonly server: DrainableServer;
  /** Answers of requests that the handler got, by path. */
  readonly taken: Map<string, ServerResponse>;
  open(): Promise<Client>;
}

const withServer = async (work: (rig: Rig) => Promise<void>): Promise<void> => {
  const taken = new Map<string, ServerResponse>();
  const handler: RequestListener = (req, res) => {
    taken.set(req.url ?? '', res);
    server.emit('taken');
  };
  const server = new DrainableServer({ keepAliveTimeout: keptForMs }, handler);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = Bound.parse(server.address());
  const sockets: Socket[] = [];
  const open = async (): Promise<Client> => {
    const serverSide = once(server, 'connection');
    const socket = connect(port, '127.0.0.1');
    sockets.push(socket);
    const [accepted] = await Promise.all([serverSide, once(socket, 'connect')]);
    const sides: readonly unknown[] = accepted;
    const [atServer] = sides;
    if (!(atServer instanceof Socket)) throw new Error('no connection came');
    const closed = once(socket, 'close');
    const client: Client = { socket, accepted: atServer, received: '', closed };
    socket.on('data', (part) => {
      client.received += part.toString('latin1');
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

const answerOf = ({ taken }: Rig, path: string): ServerResponse => {
  const response = taken.get(path);
  if (!response) throw new Error(`${path} was not taken`);
  return response;
};

const send = async (rig: Rig, client: Client, path: string): Promise<ServerResponse> => {
  const taken = once(rig.server, 'taken');
  client.socket.write(get(path));
  await taken;
  return answerOf(rig, path);
};

draining('serves on after it announced its close, and each answer is the last one', () =>
  withServer(async (rig) => {
    const client = await rig.open();
    (await send(rig, client, '/before')).end('ok');
    while (!client.received.includes('ok')) await once(client.socket, 'data');
    assert.match(client.received, /^Connection: keep-alive\r$/m);
    rig.server.announceClose();
    client.received = '';
    (await send(rig, client, '/after')).end('ok');
    await client.closed;
    assert.match(client.received, /^Connection: close\r$/m);
    assert.match(client.received, /ok/);
  }),
);

draining('ends a connection behind an answer whose head went out before the announcement', () =>
  withServer(async (rig) => {
    const client = await rig.open();
    const response = await send(rig, client, '/stream');
    response.write('first');
    while (!client.received.includes('first')) await once(client.socket, 'data');
    rig.server.announceClose();
    response.end('last');
    await once(response, 'finish');
    assert.ok(client.accepted.writableEnded);
    await client.closed;
    assert.match(client.received, /last/);
    assert.match(client.received, /0\r\n\r\n$/);
  }),
);

draining('ends resting connections, used or not, once it stops accepting; not busy ones', () =>
  withServer(async (rig) => {
    const [unused, rested, busy] = [await rig.open(), await rig.open(), await rig.open()];
    (await send(rig, rested, '/rested')).end('ok');
    while (!rested.received.includes('ok')) await once(rested.socket, 'data');
    const response = await send(rig, busy, '/busy');
    assert.is(rig.server.pendingRequests, 1);
    rig.server.stopAccepting();
    const ended = [unused, rested, busy].map(({ accepted }) => accepted.destroyed);
    assert.equal(ended, [true, true, false]);
    assert.is(rig.server.pendingRequests, 1);
    response.end('whole');
    await busy.closed;
    assert.match(busy.received, /whole/);
    assert.is(rig.server.pendingRequests, 0);
  }),
);

draining('refuses a request that was only half there when it stopped accepting', () =>
  withServer(async (rig) => {
    const client = await rig.open();
    const [start, rest] = [get('/half').slice(0, 10), get('/half').slice(10)];
    // The answer to the first request shows that the bytes behind it have been read.
    const first = once(rig.server, 'taken');
    client.socket.write(get('/first') + start);
    await first;
    answerOf(rig, '/first').end('ok');
    while (!client.received.includes('ok')) await once(client.socket, 'data');
    rig.server.stopAccepting();
    client.socket.write(rest);
    await Promise.race([client.closed, once(rig.server, 'taken')]);
    assert.not(rig.taken.has('/half'));
    await client.closed;
    assert.match(client.received, /HTTP\/1\.1 503 /);
    assert.match(client.received, /^Retry-After: [\d.]+\r$/m);
    assert.match(client.received, /"executed":"no"/);
  }),
);

draining('does not handle a request behind one whose answer ends the connection', () =>
  withServer(async (rig) => {
    const client = await rig.open();
    rig.server.announceClose();
    const first = once(rig.server, 'taken');
    client.socket.write(get('/first') + get('/second'));
    await first;
    answerOf(rig, '/first').end('ok');
    await client.closed;
    assert.not(rig.taken.has('/second'));
    assert.match(client.received, /ok/);
  }),
);

draining('ends as soon as all is answered, and at its time at the latest', () =>
  withServer(async (rig) => {
    const [quick, stuck] = [await rig.open(), await rig.open()];
    const response = await send(rig, quick, '/quick');
    await send(rig, stuck, '/stuck');
    const clock = new ManualClock();
    let ended = false;
    const end = rig.server.closeWithin(1000, clock).then(() => {
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
