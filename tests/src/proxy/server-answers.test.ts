/** What the client of servers makes of answers that promise nothing, or promise that a request has not run. */
import type { ServerResponse } from 'node:http';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { HttpBackend } from '@tillerstair/proxy';
import type { BackendOutcome, ReportedLoad } from '@tillerstair/session-owner';
import { serverRecord, startServer, type ReceivedRequest } from '../support/http-server.js';

const answers = suite('answers of servers, and what they promise');

const never = new AbortController().signal;
const within = 3000;

type Work = (backend: HttpBackend, port: number, count: () => number) => Promise<void>;

const withServer = async (
  play: (asked: ReceivedRequest, res: ServerResponse) => void,
  work: Work,
): Promise<void> => {
  const server = await startServer(play);
  const backend = new HttpBackend({ connectTimeoutMs: 1000, maxConnections: () => 4 });
  try {
    await work(backend, server.port, () => server.seen.length);
  } finally {
    await backend.close();
    server.close();
  }
};

const passTo = (
  backend: HttpBackend,
  port: number,
  left = within,
  load: (reported: ReportedLoad) => void = () => undefined,
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
    { head: () => undefined, bytes: () => undefined, load },
    never,
    left,
    () => true,
  );

const generateAt = (backend: HttpBackend, port: number): Promise<BackendOutcome> =>
  backend.generate(
    serverRecord('s', 'p', port),
    { id: 'i', messages: [{ role: 'user', text: 'x' }], maxTokens: 4, requestId: 'a' },
    () => undefined,
    never,
    within,
    () => true,
  );

const actAt = (backend: HttpBackend, port: number): Promise<BackendOutcome> =>
  backend.act(
    serverRecord('s', 'p', port),
    { id: 'i', key: 'k', path: '/x', body: '{}', requestId: 'a' },
    never,
    within,
    () => true,
  );

answers('a request whose time is over is not sent', () =>
  withServer(
    (_asked, res) => res.end(),
    async (backend, port, count) => {
      for (const left of [0, -1])
        assert.is((await passTo(backend, port, left)).kind, 'declined', String(left));
      assert.is(count(), 0);
    },
  ),
);

answers('a status that could promise something, without the promise, is lost', async () => {
  for (const status of [408, 425, 429, 503])
    await withServer(
      (_asked, res) => res.writeHead(status, ['X-Request-Id', 'a']).end('x'),
      async (backend, port) =>
        assert.is((await passTo(backend, port)).kind, 'lost', String(status)),
    );
  for (const status of [400, 404, 500, 502])
    await withServer(
      (_asked, res) => res.writeHead(status, ['X-Request-Id', 'a']).end('x'),
      async (backend, port) =>
        assert.is((await passTo(backend, port)).kind, 'done', String(status)),
    );
});

answers('a promise that a request has not run, and 421, are declined', async () => {
  for (const [status, promise] of [
    [503, ['X-Not-Run', '1']],
    [429, ['X-Not-Run', '1']],
    [200, ['X-Not-Run', '1']],
    [421, []],
  ] as const)
    await withServer(
      (_asked, res) => res.writeHead(status, ['X-Request-Id', 'a', ...promise]).end('x'),
      async (backend, port) =>
        assert.is((await passTo(backend, port)).kind, 'declined', String(status)),
    );
});

answers('a load is believed only if it can be', async () => {
  for (const [text, expected] of [
    ['3,1,8', [{ running: 3, waiting: 1, places: 8 }]],
    ['-1,0,8', []],
    ['1,-1,8', []],
    ['1,2', []],
    ['x,y,z', []],
    ['', []],
  ] as const)
    await withServer(
      (_asked, res) => res.writeHead(200, ['X-Request-Id', 'a', 'X-Load', text]).end('x'),
      async (backend, port) => {
        const loads: ReportedLoad[] = [];
        await passTo(backend, port, within, (load) => loads.push(load));
        assert.equal(loads, expected, text);
      },
    );
});

const json = (res: ServerResponse, status: number, value: unknown): void => {
  res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value));
};

answers('a failure of a model server is declined only by its own promise', async () => {
  for (const [status, value, kind] of [
    [503, { executed: 'no' }, 'declined'],
    [429, { executed: 'no' }, 'declined'],
    [503, {}, 'lost'],
    [503, { executed: 'unknown' }, 'lost'],
    [500, 'text', 'lost'],
    [404, {}, 'lost'],
  ] as const)
    await withServer(
      (_asked, res) => json(res, status, value),
      async (backend, port) => assert.is((await generateAt(backend, port)).kind, kind, `${status}`),
    );
});

answers('a failure of a service is declined only by its own promise', async () => {
  for (const [status, value, kind] of [
    [503, { executed: 'no' }, 'declined'],
    [429, { executed: 'no' }, 'declined'],
    [429, { id: 'i', result: 1 }, 'lost'],
    [503, {}, 'lost'],
    [500, { id: 'i', result: 1 }, 'lost'],
    [404, { id: 'i', result: 1 }, 'done'],
    [200, { id: 'other', result: 1 }, 'lost'],
    [200, { result: 1 }, 'lost'],
  ] as const)
    await withServer(
      (_asked, res) => json(res, status, value),
      async (backend, port) =>
        assert.is((await actAt(backend, port)).kind, kind, `${status} ${JSON.stringify(value)}`),
    );
});

answers.run();
