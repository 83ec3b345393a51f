/** Outcomes of server responses that do or do not guarantee that a request has not run. */
import type { ServerResponse } from 'node:http';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { HttpBackend } from '@tillerstair/proxy';
import { until } from '@tillerstair/fleet';
import type { BackendOutcome, ReportedLoad } from '@tillerstair/session-owner';
import { delay, hostClock } from '@tillerstair/wire';
import { serverRecord, startServer, type ReceivedRequest } from '../support/http-server.js';

const responses = suite('server responses and what they guarantee');

const neverAborted = new AbortController().signal;
const timeoutMs = 3000;

type UseServer = (backend: HttpBackend, port: number, requestCount: () => number) => Promise<void>;

const withServer = async (
  respond: (received: ReceivedRequest, res: ServerResponse) => void,
  use: UseServer,
): Promise<void> => {
  const server = await startServer(respond);
  const backend = new HttpBackend({ connectTimeoutMs: 1000, maxConnections: () => 4 });
  try {
    await use(backend, server.port, () => server.seen.length);
  } finally {
    await backend.close();
    server.close();
  }
};

const passThrough = (
  backend: HttpBackend,
  port: number,
  remainingMs = timeoutMs,
  onLoad: (reported: ReportedLoad) => void = () => undefined,
): Promise<BackendOutcome> =>
  backend.pass(
    serverRecord('s', 'p', port),
    {
      attempt: 'a',
      method: 'POST',
      path: '/x',
      headers: [['X-Request-Id', 'a']],
      body: Buffer.from(''),
      resume: '',
    },
    { head: () => undefined, bytes: () => undefined, load: onLoad },
    neverAborted,
    remainingMs,
    () => true,
  );

const generateAt = (backend: HttpBackend, port: number): Promise<BackendOutcome> =>
  backend.generate(
    serverRecord('s', 'p', port),
    { id: 'i', messages: [{ role: 'user', text: 'x' }], maxTokens: 4, requestId: 'a' },
    () => undefined,
    neverAborted,
    timeoutMs,
    () => true,
  );

const actAt = (backend: HttpBackend, port: number): Promise<BackendOutcome> =>
  backend.act(
    serverRecord('s', 'p', port),
    { id: 'i', key: 'k', path: '/x', body: '{}', requestId: 'a' },
    neverAborted,
    timeoutMs,
    () => true,
  );

responses('a request without remaining time is not sent', () =>
  withServer(
    (_received, res) => res.end(),
    async (backend, port, requestCount) => {
      for (const remainingMs of [0, -1])
        assert.is(
          (await passThrough(backend, port, remainingMs)).kind,
          'declined',
          String(remainingMs),
        );
      assert.is(requestCount(), 0);
    },
  ),
);

responses(
  'a status that implies that the request did not run is lost without a guarantee of the server',
  async () => {
    for (const status of [408, 425, 429, 503])
      await withServer(
        (_received, res) => res.writeHead(status, ['X-Request-Id', 'a']).end('x'),
        async (backend, port) =>
          assert.is((await passThrough(backend, port)).kind, 'lost', String(status)),
      );
    for (const status of [400, 404, 500, 502])
      await withServer(
        (_received, res) => res.writeHead(status, ['X-Request-Id', 'a']).end('x'),
        async (backend, port) =>
          assert.is((await passThrough(backend, port)).kind, 'done', String(status)),
      );
  },
);

responses('a guarantee that a request has not run, and 421, are declined', async () => {
  for (const [status, promise] of [
    [503, ['X-Not-Run', '1']],
    [429, ['X-Not-Run', '1']],
    [200, ['X-Not-Run', '1']],
    [421, []],
  ] as const)
    await withServer(
      (_received, res) => res.writeHead(status, ['X-Request-Id', 'a', ...promise]).end('x'),
      async (backend, port) =>
        assert.is((await passThrough(backend, port)).kind, 'declined', String(status)),
    );
});

const json = (res: ServerResponse, status: number, value: unknown): void => {
  res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value));
};

responses('409 with the guarantee that a repeat has not run says that its key runs', async () => {
  for (const [status, promise, keyInProgress] of [
    [409, ['X-Not-Run', '1'], true],
    [503, ['X-Not-Run', '1'], undefined],
  ] as const)
    await withServer(
      (_received, res) => res.writeHead(status, ['X-Request-Id', 'a', ...promise]).end('x'),
      async (backend, port) => {
        const ended = await passThrough(backend, port);
        assert.is(ended.kind === 'declined' && ended.keyInProgress, keyInProgress);
      },
    );
  await withServer(
    (_received, res) => res.writeHead(409, ['X-Request-Id', 'a']).end('x'),
    async (backend, port) => assert.is((await passThrough(backend, port)).kind, 'done'),
  );
  await withServer(
    (_received, res) => json(res, 409, { executed: 'no' }),
    async (backend, port) => {
      const ended = await actAt(backend, port);
      assert.is(ended.kind === 'declined' && ended.keyInProgress, true);
    },
  );
});

// Guards against a request that never ends: on Node 20 the garbage collector took the timer of its time limit away.
responses(
  'a request to a silent server ends at its time limit after a garbage collection',
  async () => {
    setFlagsFromString('--expose-gc');
    const collectGarbage: unknown = runInNewContext('gc');
    if (typeof collectGarbage !== 'function')
      throw new Error('the garbage collector is not exposed');
    await withServer(
      () => undefined,
      async (backend, port, requestCount) => {
        const ended = passThrough(backend, port, 300);
        await until('the request to arrive', 2000, () => Promise.resolve(requestCount() === 1));
        Reflect.apply(collectGarbage, undefined, []);
        const never = delay(hostClock, 3000).then(() => ({ kind: 'never ended' }));
        assert.is((await Promise.race([ended, never])).kind, 'lost');
      },
    );
  },
);

responses('an invalid load header is ignored', async () => {
  for (const [text, expected] of [
    ['3,1,8', [{ running: 3, waiting: 1, places: 8 }]],
    ['-1,0,8', []],
    ['1,-1,8', []],
    ['1,2', []],
    ['x,y,z', []],
    ['', []],
  ] as const)
    await withServer(
      (_received, res) => res.writeHead(200, ['X-Request-Id', 'a', 'X-Load', text]).end('x'),
      async (backend, port) => {
        const loads: ReportedLoad[] = [];
        await passThrough(backend, port, timeoutMs, (load) => loads.push(load));
        assert.equal(loads, expected, text);
      },
    );
});

responses('a failure of a model server is declined only with its own guarantee', async () => {
  for (const [status, value, kind] of [
    [503, { executed: 'no' }, 'declined'],
    [429, { executed: 'no' }, 'declined'],
    [503, {}, 'lost'],
    [503, { executed: 'unknown' }, 'lost'],
    [500, 'text', 'lost'],
    [404, {}, 'lost'],
  ] as const)
    await withServer(
      (_received, res) => json(res, status, value),
      async (backend, port) => assert.is((await generateAt(backend, port)).kind, kind, `${status}`),
    );
});

responses('a failure of a service is declined only with its own guarantee', async () => {
  for (const [status, value, kind] of [
    [503, { executed: 'no' }, 'declined'],
    [429, { executed: 'no' }, 'declined'],
    [429, { id: 'i', result: 1 }, 'lost'],
    [503, {}, 'lost'],
    [500, { id: 'i', result: 1 }, 'lost'],
    [404, { id: 'i', result: 1 }, 'done'],
    [409, { id: 'i', result: 1 }, 'done'],
    [409, { executed: 'no' }, 'declined'],
    [200, { id: 'other', result: 1 }, 'lost'],
    [200, { result: 1 }, 'lost'],
  ] as const)
    await withServer(
      (_received, res) => json(res, status, value),
      async (backend, port) =>
        assert.is((await actAt(backend, port)).kind, kind, `${status} ${JSON.stringify(value)}`),
    );
});

responses.run();
