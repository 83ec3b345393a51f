/** An HTTP server on a free port with scripted responses, a front for such servers, and a client. */
import { createServer, request, type IncomingMessage, type ServerResponse } from 'node:http';
import { once } from 'node:events';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { createPassHandler, Front, HttpBackend, productDialect } from '@tillerstair/proxy';
import { passHost, passRoutes } from '@tillerstair/sim';
import { checkConfig, bootstrapState, Server, type State } from '@tillerstair/state';
import { hostClock, silentLogger, TcpTransport } from '@tillerstair/wire';

/** Schema of the address of a listening server. */
export const BoundAddress = z.object({ port: z.number() });

const started: (() => void | Promise<void>)[] = [];

/** Closes what the current test has started, also if it failed; otherwise open servers would keep the process alive. */
export const closeStarted = async (): Promise<void> => {
  for (const close of started.splice(0).reverse()) await close();
};

/** A request as the server received it; `connection` counts the server's connections from 1. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly connection: number;
  /** The request's `X-Request-Id`; '' if it has none. */
  readonly attempt: string;
}

/** Handles a request once its body is read. */
export type ServerBehavior = (
  received: ReceivedRequest,
  res: ServerResponse,
  req: IncomingMessage,
) => void;

const readAll = async (req: IncomingMessage): Promise<Buffer> => {
  const buffers: Buffer[] = [];
  const stream: AsyncIterable<Buffer> = req;
  for await (const chunk of stream) buffers.push(chunk);
  return Buffer.concat(buffers);
};

/** Starts a server on a free port that records each request and handles it with `respond`. */
export const startServer = async (respond: ServerBehavior) => {
  const seen: ReceivedRequest[] = [];
  let connections = 0;
  const connectionNumbers = new Map<unknown, number>();
  const http = createServer((req, res) => {
    void readAll(req).then(
      (body) => {
        const attemptHeader = req.headers['x-request-id'];
        const received = {
          method: req.method ?? '',
          path: req.url ?? '',
          headers: req.rawHeaders,
          body,
          connection: connectionNumbers.get(req.socket) ?? 0,
          attempt: typeof attemptHeader === 'string' ? attemptHeader : '',
        };
        seen.push(received);
        respond(received, res, req);
      },
      () => undefined,
    );
  });
  http.keepAliveTimeout = 60000;
  const closed = new Map<number, Promise<unknown>>();
  http.on('connection', (socket) => {
    connectionNumbers.set(socket, ++connections);
    // `once` would reject when the peer resets the connection, also where no test waits for its end.
    const isClosed = new Promise<void>((resolve) => {
      socket.once('close', () => resolve());
    });
    closed.set(connections, isClosed);
  });
  http.listen(0, '127.0.0.1');
  await once(http, 'listening');
  const { port } = BoundAddress.parse(http.address());
  const close = (): void => {
    http.closeAllConnections();
    http.close();
  };
  started.push(close);
  return { port, seen, closed, close, connections: () => connections };
};

/** A server started by `startServer`. */
export type TestServer = Awaited<ReturnType<typeof startServer>>;

/** Replies with status 200, the attempt id of the request, and its body or another one. */
export const reply = (
  received: ReceivedRequest,
  res: ServerResponse,
  body: string | Buffer = received.body,
  extraHeaders: readonly string[] = [],
): void => {
  res.writeHead(200, [
    'X-Request-Id',
    received.attempt,
    'Content-Length',
    String(Buffer.byteLength(body)),
    ...extraHeaders,
  ]);
  res.end(body);
};

/** The cluster's record of a server on a port of this machine. */
export const serverRecord = (id: string, pool: string, port: number): Server =>
  Server.parse({ id, pool, url: `http://127.0.0.1:${port}`, draining: false, down: false });

const stateOf = (servers: readonly Server[]): State => {
  const pools = [
    { name: 'models', kind: 'model' },
    { name: 'shop', kind: 'service' },
  ];
  const text = JSON.stringify({
    base: 0,
    pools,
    routes: passRoutes(['models'], 'shop'),
    budgets: { program: 1000, turn: 16 },
  });
  const { config, findings } = checkConfig(text);
  assert.equal(findings, []);
  const record = { version: 1, text, digest: 'd', compiled: JSON.stringify(config), changeId: '' };
  return {
    ...bootstrapState('c', [], 8),
    config: record,
    servers: new Map(servers.map((server) => [server.id, server])),
  };
};

/** Starts a front whose two pools both contain all of `testServers`. */
export const startFront = async (...testServers: readonly TestServer[]) => {
  const backend = new HttpBackend({ connectTimeoutMs: 2000, maxConnections: () => 1 });
  const front = new Front({
    id: 'f',
    clock: hostClock,
    transport: new TcpTransport('127.0.0.1:1'),
    backend,
    log: silentLogger,
    affinity: false,
    bounds: {
      heartbeatInterval: 1000,
      putTimeoutMs: 1000,
      readLease: 1e6,
      pollIntervalMs: 0,
      retentionMs: 1e6,
      stopWithin: 1000,
    },
  });
  front.owner.applyState(
    stateOf(
      testServers.flatMap((testServer, i) => [
        serverRecord(`m${i}`, 'models', testServer.port),
        serverRecord(`s${i}`, 'shop', testServer.port),
      ]),
    ),
  );
  front.owner.renewLease(hostClock.now());
  const handlePass = createPassHandler(front, productDialect, () => 1 << 20);
  const http = createServer((req, res) => void handlePass(req, res));
  http.listen(0, '127.0.0.1');
  await once(http, 'listening');
  const { port } = BoundAddress.parse(http.address());
  const close = async (): Promise<void> => {
    http.closeAllConnections();
    http.close();
    for (const testServer of testServers) testServer.close();
    await backend.close();
  };
  started.push(close);
  return { port, close };
};

/** A response as the client received it; `complete` is false if it broke off. */
export interface ReceivedResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly complete: boolean;
}

/** Sends a request on a connection of its own and resolves once the response has ended or broken off. */
export const ask = (
  port: number,
  path: string,
  headers: readonly string[],
  body: Buffer = Buffer.alloc(0),
  method = 'POST',
): Promise<ReceivedResponse> =>
  new Promise((resolve, reject) => {
    const req = request(
      {
        host: '127.0.0.1',
        port,
        method,
        path,
        agent: false,
        headers: ['Host', passHost, ...headers],
      },
      (res) => {
        const buffers: Buffer[] = [];
        res.on('data', (chunk: Buffer) => buffers.push(chunk));
        res.on('error', () => undefined);
        res.on('close', () =>
          resolve({
            status: res.statusCode ?? 0,
            headers: res.rawHeaders,
            body: Buffer.concat(buffers),
            complete: res.complete,
          }),
        );
      },
    );
    req.on('error', reject);
    req.end(body);
  });

/** Headers of a request without a body that belongs to this attempt. */
export const attemptHeaders = (
  attempt: string,
  ...extraHeaders: readonly string[]
): readonly string[] => ['X-Request-Id', attempt, 'Content-Length', '0', ...extraHeaders];
