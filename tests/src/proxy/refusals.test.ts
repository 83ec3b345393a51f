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
  "what a front tells of requests that reached no server, and of answers that are no server's",
);
const Bound = z.object({ port: z.number() });
const dialect = { ...productDialect, madeByServer: 'x-seal' };

type Play = (attempt: string, res: ServerResponse) => void;

const serverUp = async (play: Play) => {
  const asked: string[] = [];
  const http = createServer((req, res) => {
    const attempt = String(req.headers['x-request-id']);
    req.resume();
    req.on('end', () => {
      asked.push(attempt);
      play(attempt, res);
    });
  });
  http.keepAliveTimeout = 60000;
  http.listen(0, '127.0.0.1');
  await once(http, 'listening');
  const { port } = Bound.parse(http.address());
  const close = (): void => {
    http.closeAllConnections();
    http.close();
  };
  return { port, asked, close };
};
type Up = Awaited<ReturnType<typeof serverUp>>;

const serversOf = (ups: readonly Up[]): readonly Server[] =>
  ups.flatMap((u, i) =>
    ['models', 'shop'].map((pool) =>
      Server.parse({
        id: `${pool}${i}`,
        pool,
        url: `http://127.0.0.1:${u.port}`,
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

const stateOf = (ups: readonly Up[], routes = passRoutes(['models'], 'shop')): State => ({
  ...bootstrapState('c', [], 8),
  config: configOf(routes),
  servers: new Map(serversOf(ups).map((s) => [s.id, s])),
});

const frontOf = (id: string, transport = new TcpTransport('127.0.0.1:1')) => {
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

const serving = async (front: Front) => {
  const carry = createPassHandler(front, dialect, () => 1 << 20);
  const http = createServer((req, res) => void carry(req, res));
  http.listen(0, '127.0.0.1');
  await once(http, 'listening');
  const { port } = Bound.parse(http.address());
  const close = (): void => {
    http.closeAllConnections();
    http.close();
  };
  return { port, close };
};

interface Heard {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  readonly whole: boolean;
}

const ask = (
  port: number,
  path: string,
  attempt: string,
  more: readonly string[] = [],
): Promise<Heard> =>
  new Promise((done, fail) => {
    const headers = ['Host', passHost, 'X-Request-Id', attempt, 'Content-Length', '0', ...more];
    const req = request(
      { host: '127.0.0.1', port, method: 'POST', path, agent: false, headers },
      (res) => {
        let body = '';
        res.setEncoding('latin1');
        res.on('data', (part) => (body += String(part)));
        res.on('error', () => undefined);
        const reported = new Map(
          Object.entries(res.headers).map(([k, v]): [string, string] => [k, String(v)]),
        );
        res.on('close', () =>
          done({ status: res.statusCode ?? 0, headers: reported, body, whole: res.complete }),
        );
      },
    );
    req.on('error', fail);
    req.end();
  });

const withFront = async (
  plays: readonly Play[],
  work: (port: number, ups: readonly Up[]) => Promise<void>,
): Promise<void> => {
  const ups = await Promise.all(plays.map(serverUp));
  const { front, backend } = frontOf('f');
  front.owner.applyState(stateOf(ups));
  const { port, close } = await serving(front);
  try {
    await work(port, ups);
  } finally {
    close();
    for (const u of ups) u.close();
    await backend.close();
  }
};

const good: Play = (attempt, res) =>
  void res.writeHead(200, { 'X-Request-Id': attempt, 'X-Seal': 's' }).end(attempt);

refusals(
  'a request whose time runs out in the queue of a server that is mute is told 503, and the mute one 502',
  async () => {
    const play: Play = (attempt, res) => {
      if (attempt !== 'mute') good(attempt, res);
    };
    for (const path of ['/once/x', '/again/x', '/flow/x'])
      await withFront([play], async (port, [up]) => {
        const mute = ask(port, path, 'mute', ['X-Time-Left-Ms', '600']);
        const queued = await ask(port, path, 'queued', ['X-Time-Left-Ms', '150']);
        assert.equal(
          [queued.status, queued.headers.has('retry-after'), queued.headers.has('x-seal')],
          [503, true, false],
          path,
        );
        assert.equal([(await mute).status, up.asked], [502, ['mute']], path);
      });
  },
);

refusals(
  "an answer without the server's stamp is not passed on, unless it is a server error",
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
          async (port, [up]) => {
            const heard = await ask(port, path, 'a');
            assert.equal(
              [heard.status, heard.body === 'theirs', up.asked],
              [reported, reported === 500, ['a']],
              `${path} ${given}`,
            );
          },
        );
  },
);

refusals("a failure bears a server's stamp only with that server's status and body", async () => {
  for (const status of [400, 404, 500, 504])
    for (const path of ['/once/x', '/flow/x', '/live/x']) {
      const play: Play = (attempt, res) =>
        void res.writeHead(status, { 'X-Request-Id': attempt, 'X-Seal': 's' }).end('theirs');
      await withFront([play], async (port) => {
        const heard = await ask(port, path, 'a');
        assert.equal(
          [heard.status, heard.headers.get('x-seal'), heard.body],
          [status, 's', 'theirs'],
          `${path} ${status}`,
        );
      });
    }
  const cut: Play = (attempt, res) => {
    res.writeHead(500, { 'X-Request-Id': attempt, 'X-Seal': 's', 'Content-Length': '90' });
    res.write('half', () => res.destroy());
  };
  for (const path of ['/once/x', '/flow/x', '/again/x'])
    await withFront([cut], async (port) => {
      const heard = await ask(port, path, 'a');
      assert.equal(
        [heard.status, heard.headers.has('x-seal'), heard.body.includes('half')],
        [502, false, false],
        path,
      );
    });
});

refusals(
  'a failure that breaks off is followed by a whole stream under its own head, where that may go on elsewhere',
  async () => {
    let asked = 0;
    const play: Play = (attempt, res) => {
      if (++asked === 1) {
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
    await withFront([play, play], async (port) => {
      const heard = await ask(port, '/live/x', 'a');
      assert.equal(
        [heard.status, heard.headers.get('x-seal'), heard.body, heard.whole],
        [200, 'two', 'id: 0\ndata: x\n\n', true],
      );
    });
  },
);

refusals('bytes that are no events are never continued by another server', async () => {
  let asked = 0;
  const play: Play = (attempt, res) => {
    res.writeHead(200, {
      'X-Request-Id': attempt,
      'X-Seal': 's',
      'Content-Type': ++asked === 1 ? 'text/plain' : 'text/event-stream',
    });
    res.write('id: 0\ndata: x\n\n', () => (asked === 1 ? res.destroy() : res.end()));
  };
  await withFront([play, play], async (port, ups) => {
    const heard = await ask(port, '/live/x', 'a');
    assert.equal([heard.whole, ups.flatMap((u) => u.asked)], [false, ['a']]);
  });
});

refusals(
  'a route that the front asked for it does not hold, though the front that took the request does, is no 404',
  async () => {
    const [one = 0, two = 0] = await freePorts(2);
    const up = await serverUp(good);
    const ours = new TcpTransport(`127.0.0.1:${one}`);
    const theirs = new TcpTransport(`127.0.0.1:${two}`);
    const taker = frontOf('f', ours);
    const owner = frontOf('g', theirs);
    await owner.front.start();
    const member = Member.parse({
      id: 'g',
      kind: 'front',
      addr: theirs.self,
      http: '',
      zone: '',
      data: theirs.self,
    });
    const nodes = new Map([['g', member]]);
    const slots = stateOf([]).slots.map((slot) => ({ ...slot, owner: 'g' }));
    taker.front.owner.applyState({ ...stateOf([up]), nodes, slots });
    const behind = passRoutes(['models'], 'shop').filter(
      (l) => !JSON.stringify(l).includes('pass-keyed') && !JSON.stringify(l).includes('pass-turn'),
    );
    owner.front.owner.applyState({ ...stateOf([up], behind), nodes, slots });
    const { port, close } = await serving(taker.front);
    for (const [path, more] of [
      ['/keyed/x', ['Operation-Key', 'k']],
      ['/turn/x', ['X-Program', 'p']],
    ] as const) {
      const heard = await ask(port, path, 'a', more);
      assert.equal(
        [heard.status, heard.headers.has('retry-after'), up.asked],
        [503, true, []],
        `${path} ${heard.body}`,
      );
    }
    assert.is((await ask(port, '/nowhere/x', 'b')).status, 404);
    close();
    up.close();
    await Promise.all([ours.close(), theirs.close(), taker.backend.close(), owner.backend.close()]);
    owner.front.owner.applyState(stateOf([]));
    owner.front.owner.stop();
  },
);

refusals('an error before a request is handed on is told as not run', async () => {
  const { front, backend } = frontOf('f');
  front.owner.applyState(stateOf([]));
  const carry = createPassHandler(front, dialect, () => {
    throw new RangeError('a mistake of ours');
  });
  const http = createServer((req, res) => void carry(req, res));
  http.listen(0, '127.0.0.1');
  await once(http, 'listening');
  const heard = await ask(Bound.parse(http.address()).port, '/once/x', 'a');
  assert.equal([heard.status, heard.headers.has('retry-after')], [503, true]);
  http.closeAllConnections();
  http.close();
  await backend.close();
});

refusals.run();
