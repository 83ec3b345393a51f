/** Responses of a front to requests that reached no server, and to responses without the servers' header. */
import { once } from 'node:events';
import { createServer, request, type ServerResponse } from 'node:http';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { freePorts } from '@tillerstair/fleet';
import { createPassHandler, Front, HttpBackend, productDialect } from '@tillerstair/proxy';
import { passHost, passRoutes } from '@tillerstair/sim';
import { checkConfig, bootstrapState, Member, Server, type State } from '@tillerstair/state';
import { hostClock, silentLogger, TcpTransport } from '@tillerstair/wire';

const refusals = suite(
  'responses to requests that reached no server, and server responses that are rejected',
);
const BoundAddress = z.object({ port: z.number() });
const dialect = { ...productDialect, madeByServer: 'x-seal' };

type ServerBehavior = (attempt: string, res: ServerResponse) => void;

const startServer = async (respond: ServerBehavior) => {
  const asked: string[] = [];
  const http = createServer((req, res) => {
    const attempt = String(req.headers['x-request-id']);
    req.resume();
    req.on('end', () => {
      asked.push(attempt);
      respond(attempt, res);
    });
  });
  http.keepAliveTimeout = 60000;
  http.listen(0, '127.0.0.1');
  await once(http, 'listening');
  const { port } = BoundAddress.parse(http.address());
  const close = (): void => {
    http.closeAllConnections();
    http.close();
  };
  return { port, asked, close };
};
type TestServer = Awaited<ReturnType<typeof startServer>>;

const serversOf = (testServers: readonly TestServer[]): readonly Server[] =>
  testServers.flatMap((testServer, i) =>
    ['models', 'shop'].map((pool) =>
      Server.parse({
        id: `${pool}${i}`,
        pool,
        url: `http://127.0.0.1:${testServer.port}`,
        draining: false,
        down: false,
      }),
    ),
  );

const configOf = (routes: readonly object[]) => {
  const pools = [
    { name: 'models', kind: 'model' },
    { name: 'shop', kind: 'service' },
  ];
  const text = JSON.stringify({ base: 0, pools, routes, budgets: { program: 1000, turn: 16 } });
  const { config, findings } = checkConfig(text);
  assert.equal(findings, []);
  return {
    version: 1,
    text,
    digest: 'd',
    compiled: JSON.stringify(config),
    changeId: '',
    past: [],
  };
};

const stateOf = (
  testServers: readonly TestServer[],
  routes = passRoutes(['models'], 'shop'),
): State => ({
  ...bootstrapState('c', [], 8),
  config: configOf(routes),
  servers: new Map(serversOf(testServers).map((server) => [server.id, server])),
});

const createFront = (id: string, transport = new TcpTransport('127.0.0.1:1')) => {
  const backend = new HttpBackend({ connectTimeoutMs: 2000, maxConnections: () => 1 }, dialect);
  const front = new Front({
    id,
    clock: hostClock,
    transport,
    backend,
    log: silentLogger,
    affinity: false,
    bounds: {
      heartbeatInterval: 200,
      putTimeoutMs: 1000,
      readLease: 1e6,
      pollIntervalMs: 0,
      retentionMs: 1e6,
      stopWithin: 1000,
    },
  });
  front.owner.renewLease(hostClock.now());
  return { front, backend };
};

const startHttp = async (front: Front) => {
  const handlePass = createPassHandler(front, dialect, () => 1 << 20);
  const http = createServer((req, res) => void handlePass(req, res));
  http.listen(0, '127.0.0.1');
  await once(http, 'listening');
  const { port } = BoundAddress.parse(http.address());
  const close = (): void => {
    http.closeAllConnections();
    http.close();
  };
  return { port, close };
};

interface ReceivedResponse {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  readonly complete: boolean;
}

const ask = (
  port: number,
  path: string,
  attempt: string,
  extraHeaders: readonly string[] = [],
): Promise<ReceivedResponse> =>
  new Promise((resolve, reject) => {
    const headers = [
      'Host',
      passHost,
      'X-Request-Id',
      attempt,
      'Content-Length',
      '0',
      ...extraHeaders,
    ];
    const req = request(
      { host: '127.0.0.1', port, method: 'POST', path, agent: false, headers },
      (res) => {
        let body = '';
        res.setEncoding('latin1');
        res.on('data', (chunk) => (body += String(chunk)));
        res.on('error', () => undefined);
        const reported = new Map(
          Object.entries(res.headers).map(([name, value]): [string, string] => [
            name,
            String(value),
          ]),
        );
        res.on('close', () =>
          resolve({ status: res.statusCode ?? 0, headers: reported, body, complete: res.complete }),
        );
      },
    );
    req.on('error', reject);
    req.end();
  });

const withFront = async (
  behaviors: readonly ServerBehavior[],
  use: (port: number, testServers: readonly TestServer[]) => Promise<void>,
): Promise<void> => {
  const testServers = await Promise.all(behaviors.map(startServer));
  const { front, backend } = createFront('f');
  front.owner.applyState(stateOf(testServers));
  const { port, close } = await startHttp(front);
  try {
    await use(port, testServers);
  } finally {
    close();
    for (const testServer of testServers) testServer.close();
    await backend.close();
  }
};

const respondSealed: ServerBehavior = (attempt, res) =>
  void res.writeHead(200, { 'X-Request-Id': attempt, 'X-Seal': 's' }).end(attempt);

refusals(
  'a request that times out queued behind a silent server gets 503, and the one sent to that server 502',
  async () => {
    const respond: ServerBehavior = (attempt, res) => {
      if (attempt !== 'mute') respondSealed(attempt, res);
    };
    for (const path of ['/once/x', '/again/x', '/flow/x'])
      await withFront([respond], async (port, [testServer]) => {
        const mute = ask(port, path, 'mute', ['X-Time-Left-Ms', '600']);
        const queued = await ask(port, path, 'queued', ['X-Time-Left-Ms', '150']);
        assert.equal(
          [queued.status, queued.headers.has('retry-after'), queued.headers.has('x-seal')],
          [503, true, false],
          path,
        );
        assert.equal([(await mute).status, testServer.asked], [502, ['mute']], path);
      });
  },
);

refusals(
  'a response without the header that servers set is not passed on, unless it is a server error',
  async () => {
    const statuses = [
      [200, 502],
      [302, 502],
      [400, 502],
      [404, 502],
      [409, 502],
      [500, 500],
    ] as const;
    for (const [given, reported] of statuses)
      for (const path of ['/once/x', '/flow/x'])
        await withFront(
          [(attempt, res) => void res.writeHead(given, { 'X-Request-Id': attempt }).end('theirs')],
          async (port, [testServer]) => {
            const response = await ask(port, path, 'a');
            assert.equal(
              [response.status, response.body === 'theirs', testServer.asked],
              [reported, reported === 500, ['a']],
              `${path} ${given}`,
            );
          },
        );
  },
);

refusals(
  'a failure has the header that servers set only with the status and body of that server',
  async () => {
    for (const status of [400, 404, 500, 504])
      for (const path of ['/once/x', '/flow/x', '/live/x']) {
        const respond: ServerBehavior = (attempt, res) =>
          void res.writeHead(status, { 'X-Request-Id': attempt, 'X-Seal': 's' }).end('theirs');
        await withFront([respond], async (port) => {
          const response = await ask(port, path, 'a');
          assert.equal(
            [response.status, response.headers.get('x-seal'), response.body],
            [status, 's', 'theirs'],
            `${path} ${status}`,
          );
        });
      }
    const respondTruncated: ServerBehavior = (attempt, res) => {
      res.writeHead(500, { 'X-Request-Id': attempt, 'X-Seal': 's', 'Content-Length': '90' });
      res.write('half', () => res.destroy());
    };
    for (const path of ['/once/x', '/flow/x', '/again/x'])
      await withFront([respondTruncated], async (port) => {
        const response = await ask(port, path, 'a');
        assert.equal(
          [response.status, response.headers.has('x-seal'), response.body.includes('half')],
          [502, false, false],
          path,
        );
      });
  },
);

refusals(
  'after a truncated failure a resumable stream runs at another server and has the head of that response',
  async () => {
    let requestCount = 0;
    const respond: ServerBehavior = (attempt, res) => {
      if (++requestCount === 1) {
        res.writeHead(500, { 'X-Request-Id': attempt, 'X-Seal': 'one', 'Content-Length': '90' });
        return void res.write('half', () => res.destroy());
      }
      res
        .writeHead(200, {
          'X-Request-Id': attempt,
          'X-Seal': 'two',
          'Content-Type': 'text/event-stream',
        })
        .end('id: 0\ndata: x\n\n');
    };
    await withFront([respond, respond], async (port) => {
      const response = await ask(port, '/live/x', 'a');
      assert.equal(
        [response.status, response.headers.get('x-seal'), response.body, response.complete],
        [200, 'two', 'id: 0\ndata: x\n\n', true],
      );
    });
  },
);

refusals('a stream that is not of events is never continued by another server', async () => {
  let requestCount = 0;
  const respond: ServerBehavior = (attempt, res) => {
    res.writeHead(200, {
      'X-Request-Id': attempt,
      'X-Seal': 's',
      'Content-Type': ++requestCount === 1 ? 'text/plain' : 'text/event-stream',
    });
    res.write('id: 0\ndata: x\n\n', () => (requestCount === 1 ? res.destroy() : res.end()));
  };
  await withFront([respond, respond], async (port, testServers) => {
    const response = await ask(port, '/live/x', 'a');
    assert.equal(
      [response.complete, testServers.flatMap((testServer) => testServer.asked)],
      [false, ['a']],
    );
  });
});

refusals(
  'a route that the receiving front has but the owner lacks gives 503 instead of 404',
  async () => {
    const [receiverPort = 0, ownerPort = 0] = await freePorts(2);
    const testServer = await startServer(respondSealed);
    const receiverTransport = new TcpTransport(`127.0.0.1:${receiverPort}`);
    const ownerTransport = new TcpTransport(`127.0.0.1:${ownerPort}`);
    const receiver = createFront('f', receiverTransport);
    const owner = createFront('g', ownerTransport);
    await owner.front.start();
    const member = Member.parse({
      id: 'g',
      kind: 'front',
      addr: ownerTransport.self,
      http: '',
      zone: '',
      data: ownerTransport.self,
    });
    const nodes = new Map([['g', member]]);
    const slots = stateOf([]).slots.map((slot) => ({ ...slot, owner: 'g' }));
    receiver.front.owner.applyState({ ...stateOf([testServer]), nodes, slots });
    const ownerRoutes = passRoutes(['models'], 'shop').filter(
      (route) =>
        !JSON.stringify(route).includes('pass-keyed') &&
        !JSON.stringify(route).includes('pass-turn'),
    );
    owner.front.owner.applyState({ ...stateOf([testServer], ownerRoutes), nodes, slots });
    const { port, close } = await startHttp(receiver.front);
    for (const [path, extraHeaders] of [
      ['/keyed/x', ['Operation-Key', 'k']],
      ['/turn/x', ['X-Program', 'p']],
    ] as const) {
      const response = await ask(port, path, 'a', extraHeaders);
      assert.equal(
        [response.status, response.headers.has('retry-after'), testServer.asked],
        [503, true, []],
        `${path} ${response.body}`,
      );
    }
    assert.is((await ask(port, '/nowhere/x', 'b')).status, 404);
    close();
    testServer.close();
    await Promise.all([
      receiverTransport.close(),
      ownerTransport.close(),
      receiver.backend.close(),
      owner.backend.close(),
    ]);
    owner.front.owner.applyState(stateOf([]));
    owner.front.owner.stop();
  },
);

refusals('an error before a request is forwarded is reported as not run', async () => {
  const { front, backend } = createFront('f');
  front.owner.applyState(stateOf([]));
  const handlePass = createPassHandler(front, dialect, () => {
    throw new RangeError('internal error');
  });
  const http = createServer((req, res) => void handlePass(req, res));
  http.listen(0, '127.0.0.1');
  await once(http, 'listening');
  const response = await ask(BoundAddress.parse(http.address()).port, '/once/x', 'a');
  assert.equal([response.status, response.headers.has('retry-after')], [503, true]);
  http.closeAllConnections();
  http.close();
  await backend.close();
});

refusals.run();
