/** Answers to operators: findings, unknown outcomes, emptying stores by name, the operators' page. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { OperatorResponse } from '@tillerstair/control';
import { freePorts } from '@tillerstair/fleet';
import { OperatorAdapter, createOperatorApi } from '@tillerstair/platform';
import { serveHttp } from '@tillerstair/wire';
import { configText } from '../support/world-helpers.js';
import {
  platformRoute,
  platformConfiguration,
  jsonText,
  startCluster,
  operatorClient,
} from '../support/operator-cluster.js';

const answers = suite('answers to operators');

const invalidPatches = [
  { edition: 7, remove: { depots: ['d1'] } },
  { edition: 5, remove: { ways: ['r1'] } },
  { edition: 7, upsert: { ways: [platformRoute('r1', { deadlineMs: 0 })] } },
  '{',
];

const invalidConfigurations: readonly (readonly [string, unknown])[] = [
  ['not JSON', '{"edition": 7, "ways": ['],
  ['no depots', { edition: 7, ways: [] }],
  ['unknown service', platformConfiguration(7, { ways: [platformRoute('r1', { depot: 'none' })] })],
  [
    'unknown service in shares',
    platformConfiguration(7, {
      ways: [
        platformRoute('r1', {
          depot: undefined,
          dispatch: [
            { depot: 'd1', share: 1 },
            { depot: 'x', share: 0 },
          ],
        }),
      ],
    }),
  ],
  ['no service', platformConfiguration(7, { ways: [platformRoute('r1', { depot: undefined })] })],
  [
    'same host and prefix',
    platformConfiguration(7, {
      ways: [platformRoute('r1'), platformRoute('r5', { pathPrefix: '/r1/', host: 'A.example' })],
    }),
  ],
  [
    'weights of 0',
    platformConfiguration(7, {
      ways: [
        platformRoute('r1', {
          depot: undefined,
          dispatch: [
            { depot: 'd1', share: 0 },
            { depot: 'd2', share: 0 },
          ],
        }),
      ],
    }),
  ],
  ['no deadline', platformConfiguration(7, { ways: [platformRoute('r1', { deadlineMs: 0 })] })],
  ['the current edition', platformConfiguration(5, { intakeLimits: undefined })],
  ['an edition below', platformConfiguration(4)],
];

answers('an invalid configuration is rejected with findings and changes nothing', async () => {
  const w = await startCluster(49);
  const desk = operatorClient(w);
  assert.is((await desk.change('PUT', 0, platformConfiguration(5))).status, 200);
  for (const [what, body] of invalidConfigurations)
    assert.is((await desk.change('PUT', 5, body)).status, 400, what);
  assert.match(
    jsonText((await desk.change('PUT', 5, invalidConfigurations[2]?.[1])).body),
    'pool none is not in this file',
  );
  for (const p of invalidPatches)
    assert.is((await desk.change('PATCH', 5, p)).status, 400, jsonText(p));
  assert.is((await desk.change('PUT', 'five', platformConfiguration(7))).status, 400);
  assert.is(await desk.read(), jsonText(platformConfiguration(5)));
  assert.is((await desk.change('PUT', 5, platformConfiguration(7))).status, 200);
});

answers('a configuration of ten thousand routes is accepted and read back', async () => {
  const w = await startCluster(50);
  const big = platformConfiguration(1, {
    ways: Array.from({ length: 10000 }, (_, i) => platformRoute(`r${i}`)),
  });
  assert.ok(jsonText(big).length > 2 << 20);
  const desk = operatorClient(w);
  assert.is((await desk.change('PUT', 0, big)).status, 200);
  assert.is(await desk.read(), jsonText(big));
});

answers(
  'a change without a master is answered 503, and one whose outcome is unknown 504',
  async () => {
    const w = await startCluster(51);
    assert.is((await operatorClient(w).change('PUT', 0, platformConfiguration(1))).status, 200);
    const [a, b, c] = w.of('control');
    const alone = [a, b, c].find((m) => m !== w.master);
    for (const m of [a, b, c]) if (m !== alone) m.kill('power');
    await w.clock.run(8000);
    const node = alone?.control;
    if (!node) throw new Error('no control');
    const desk = new OperatorAdapter((o) => node.operate(o));
    const put = await w.clock.finish(
      'PUT',
      desk.change('PUT', '1', jsonText(platformConfiguration(2))),
      30000,
    );
    assert.is(put.status, 503);
    assert.ok((put.retryAfter ?? 0) > 0);
    const read = await w.clock.finish('GET', desk.read(), 30000);
    assert.is(typeof read === 'string' ? 200 : read.status, 503);
    const late = new OperatorAdapter(() =>
      Promise.resolve({ status: 504, body: { executed: 'unknown' } }),
    );
    assert.is((await late.change('PUT', '1', jsonText(platformConfiguration(2)))).status, 504);
  },
);

answers('a store is emptied by its name; an unknown one is 404, too few others 409', async () => {
  const w = await startCluster(52, { controls: 3, stores: 4, fronts: 2 });
  await w.operate('PUT', '/v1/config', configText(0));
  await w.clock.until(
    'replicas',
    () => w.committed?.slots.every((s) => s.replicas.length === 3) ?? false,
    20000,
  );
  const desk = operatorClient(w);
  const name = 'store-number-1';
  assert.is((await desk.retire('POST', 'nobody')).status, 404);
  assert.is((await desk.retire('GET', 'nobody')).status, 404);
  assert.is((await desk.retire('GET', 'front-number-0')).status, 404);
  assert.equal((await desk.retire('GET', name)).body, { state: 'in_service' });
  const at = w.clock.now();
  assert.is((await desk.retire('POST', name)).status, 200);
  assert.is((await desk.retire('POST', name)).status, 200);
  assert.is((await desk.retire('POST', 'store-number-2')).status, 409);
  const id = w.at('store-1').store?.id ?? 'none';
  await w.clock.until(
    'emptied',
    () =>
      w.committed?.slots.every((s) => !s.replicas.includes(id) && s.joiningReplicas.length === 0) ??
      false,
    6000,
  );
  assert.ok(w.clock.now() - at < 6000);
  assert.equal((await desk.retire('GET', name)).body, { state: 'delivered' });
  w.at('store-1').kill('power');
  await w.clock.until('away', () => !w.committed?.nodes.has(id), 20000);
  assert.equal((await desk.retire('GET', name)).body, { state: 'delivered' });
  assert.is((await desk.retire('POST', name)).status, 200);
  w.master?.kill('power');
  await w.clock.until('a new master', () => w.master !== undefined, 20000);
  assert.equal((await operatorClient(w).retire('GET', name)).body, { state: 'delivered' });
});

answers("the operators' page uses the platform's statuses and forms", async () => {
  const asked: string[] = [];
  const outcomes = new Map<string, OperatorResponse>([
    ['PUT /v1/config', { status: 409, body: {} }],
    [
      'GET /v1/config',
      {
        status: 200,
        body: { version: 4, text: jsonText({ origin: '{"edition":4}' }), changeId: '' },
      },
    ],
    ['POST /v1/config/prepare', { status: 409, body: {} }],
    ['POST /v1/stores/a%20b/empty', { status: 200, body: { done: false } }],
    ['GET /v1/stores/a%20b/empty', { status: 503, body: {} }],
  ]);
  const [port = 0] = await freePorts(1);
  const server = await serveHttp(
    `127.0.0.1:${port}`,
    createOperatorApi(async (o) => {
      asked.push(`${o.method} ${o.path}`);
      return Promise.resolve(outcomes.get(`${o.method} ${o.path}`) ?? { status: 404, body: {} });
    }),
  );
  try {
    const ask = (method: string, path: string, body?: string) =>
      fetch(`http://127.0.0.1:${port}${path}`, {
        method,
        headers: { 'If-Match': '3', connection: 'close' },
        ...(body === undefined ? {} : { body }),
      });
    const pad = ' '.repeat(5 << 20);
    assert.is(
      (await ask('PUT', '/configuration', jsonText(platformConfiguration(4)) + pad)).status,
      412,
    );
    const read = await ask('GET', '/configuration');
    assert.is(read.status, 200);
    assert.is(read.headers.get('content-type'), 'application/json');
    assert.is(await read.text(), '{"edition":4}');
    const post = await ask('POST', '/retire/a%20b', '{"overS":10}');
    assert.is(post.status, 200);
    assert.equal(await post.json(), { state: 'in_service' });
    const away = await ask('GET', '/retire/a%20b');
    assert.is(away.status, 503);
    assert.is(away.headers.get('retry-after'), '1');
    assert.is((await ask('GET', '/retire/none')).status, 404);
    assert.is((await ask('DELETE', '/configuration')).status, 404);
    assert.is((await ask('PATCH', '/configuration', '{"edition":9}')).status, 412);
    assert.is((await ask('PATCH', '/configuration', '{')).status, 400);
    assert.is(asked.length, 6);
  } finally {
    server.close();
  }
});

answers.run();
