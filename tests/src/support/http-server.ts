/** An HTTP server on a free port that answers as each test says. */
import { createServer, request, type IncomingMessage, type ServerResponse } from 'node:http';
import { once } from 'node:events';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { createPassHandler, Front, HttpBackend, productDialect } from '@tillerstair/proxy';
import { passHost, passRoutes } from '@tillerstair/sim';
import { checkConfig, bootstrapState, Server, type State } from '@tillerstair/state';
import { hostClock, silentLogger, TcpTransport } from '@tillerstair/wire';

export const BoundAddress = z.object({ port: z.number() });

export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly connection: number;
  readonly attempt: string;
}

export type ServerBehavior = (
  asked: ReceivedRequest,
  res: ServerResponse,
  req: IncomingMessage,
) => void;

const readAll = async (req: IncomingMessage): Promise<Buffer> => {
  const parts: Buffer[] = [];
  const chunks: AsyncIterable<Buffer> = req;
  for await (const chunk of chunks) parts.push(chunk);
  return Buffer.concat(parts);
};

/** A server that does as `play` says, on a port of its own. */
export const startServer = async (play: ServerBehavior) => {
  const seen: ReceivedRequest[] = [];
  let connections = 0;
  const open = new Map<unknown, number>();
  const http = createServer((req, res) => {
    void readAll(req).then(
      (body) => {
        const attemptHeader = req.headers['x-request-id'];
        const asked = {
          method: req.method ?? '',
          path: req.url ?? '',
          headers: req.rawHeaders,
          body,
          connection: open.get(req.socket) ?? 0,
          attempt: typeof attemptHeader === 'string' ? attemptHeader : '',
        };
        seen.push(asked);
        play(asked, res, req);
      },
      () => undefined,
    );
  });
  http.keepAliveTimeout = 60000;
  const closed = new Map<number, Promise<unknown>>();
  http.on('connection', (s) => {
    open.set(s, ++connections);
    closed.set(connections, once(s, 'close'));
  });
  http.listen(0, '127.0.0.1');
  await once(http, 'listening');
  const { port } = BoundAddress.parse(http.address());
  const close = (): void => {
    http.closeAllConnections();
    http.close();
  };
  return { port, seen, closed, close, connections: () => connections };
};

export type TestServer = Awaited<ReturnType<typeof startServer>>;

export const reply = (
  asked: ReceivedRequest,
  res: ServerResponse,
  body: string | Buffer = asked.body,
  more: readonly string[] = [],
): void => {
  res.writeHead(200, [
    'X-Request-Id',
    asked.attempt,
    'Content-Length',
    String(Buffer.byteLength(body)),
    ...more,
  ]);
  res.end(body);
};

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
    servers: new Map(servers.map((s) => [s.id, s])),
  };
};

/** A front before `ups`, each of which stands in both pools. */
export const startFront = async (...ups: readonly TestServer[]) => {
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
      ups.flatMap((u, i) => [
        serverRecord(`m${i}`, 'models', u.port),
        serverRecord(`s${i}`, 'shop', u.port),
      ]),
    ),
  );
  front.owner.renewLease(hostClock.now());
  const carried = createPassHandler(front, productDialect, () => 1 << 20);
  const http = createServer((req, res) => void carried(req, res));
  http.listen(0, '127.0.0.1');
  await once(http, 'listening');
  const { port } = BoundAddress.parse(http.address());
  const close = async (): Promise<void> => {
    http.closeAllConnections();
    http.close();
    for (const u of ups) u.close();
    await backend.close();
  };
  return { port, close };
};

export interface ReceivedResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly complete: boolean;
}

export const ask = (
  port: number,
  path: string,
  headers: readonly string[],
  body: Buffer = Buffer.alloc(0),
  method = 'POST',
): Promise<ReceivedResponse> =>
  new Promise((done, fail) => {
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
        const parts: Buffer[] = [];
        res.on('data', (part: Buffer) => parts.push(part));
        res.on('error', () => undefined);
        res.on('close', () =>
          done({
            status: res.statusCode ?? 0,
            headers: res.rawHeaders,
            body: Buffer.concat(parts),
            complete: res.complete,
          }),
        );
      },
    );
    req.on('error', fail);
    req.end(body);
  });

export const attemptHeaders = (attempt: string, ...more: readonly string[]): readonly string[] => [
  'X-Request-Id',
  attempt,
  'Content-Length',
  '0',
  ...more,
];
