/** Responses to operators: findings, unknown outcomes, emptying of stores by name, the platform's operator API. */
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

const answers = suite('responses to operators');

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
  const cluster = await startCluster(49);
  const client = operatorClient(cluster);
  assert.is((await client.change('PUT', 0, platformConfiguration(5))).status, 200);
  for (const [description, body] of invalidConfigurations)
    assert.is((await client.change('PUT', 5, body)).status, 400, description);
  assert.match(
    jsonText((await client.change('PUT', 5, invalidConfigurations[2]?.[1])).body),
    'pool none is not in this file',
  );
  for (const patch of invalidPatches)
    assert.is((await client.change('PATCH', 5, patch)).status, 400, jsonText(patch));
  assert.is((await client.change('PUT', 'five', platformConfiguration(7))).status, 400);
  assert.is(await client.read(), jsonText(platformConfiguration(5)));
  assert.is((await client.change('PUT', 5, platformConfiguration(7))).status, 200);
});

answers('a configuration of ten thousand routes is accepted and read back', async () => {
  const cluster = await startCluster(50);
  const largeConfiguration = platformConfiguration(1, {
    ways: Array.from({ length: 10000 }, (_, i) => platformRoute(`r${i}`)),
  });
  assert.ok(jsonText(largeConfiguration).length > 2 << 20);
  const client = operatorClient(cluster);
  assert.is((await client.change('PUT', 0, largeConfiguration)).status, 200);
  assert.is(await client.read(), jsonText(largeConfiguration));
});

answers(
  'a change without a master is answered 503, and one whose outcome is unknown 504',
  async () => {
    const cluster = await startCluster(51);
    assert.is(
      (await operatorClient(cluster).change('PUT', 0, platformConfiguration(1))).status,
      200,
    );
    const [first, second, third] = cluster.of('control');
    const survivor = [first, second, third].find((machine) => machine !== cluster.master);
    for (const machine of [first, second, third]) if (machine !== survivor) machine.kill('power');
    await cluster.clock.run(8000);
    const node = survivor?.control;
    if (!node) throw new Error('no control survived');
    const adapter = new OperatorAdapter((request) => node.operate(request));
    const put = await cluster.clock.finish(
      'PUT',
      adapter.change('PUT', '1', jsonText(platformConfiguration(2))),
      30000,
    );
    assert.is(put.status, 503);
    assert.ok((put.retryAfter ?? 0) > 0);
    const read = await cluster.clock.finish('GET', adapter.read(), 30000);
    assert.is(typeof read === 'string' ? 200 : read.status, 503);
    const unclearAdapter = new OperatorAdapter(() =>
      Promise.resolve({ status: 504, body: { executed: 'unknown' } }),
    );
    assert.is(
      (await unclearAdapter.change('PUT', '1', jsonText(platformConfiguration(2)))).status,
      504,
    );
  },
);

answers(
  'a store is emptied by its name; an unknown one gets 404, too few others get 409',
  async () => {
    const cluster = await startCluster(52, { controls: 3, stores: 4, fronts: 2 });
    await cluster.operate('PUT', '/v1/config', configText(0));
    await cluster.clock.until(
      'replicas',
      () => cluster.committed?.slots.every((slot) => slot.replicas.length === 3) ?? false,
      20000,
    );
    const client = operatorClient(cluster);
    const name = 'store-number-1';
    assert.is((await client.retire('POST', 'nobody')).status, 404);
    assert.is((await client.retire('GET', 'nobody')).status, 404);
    assert.is((await client.retire('GET', 'front-number-0')).status, 404);
    assert.equal((await client.retire('GET', name)).body, { state: 'in_service' });
    const orderedAt = cluster.clock.now();
    assert.is((await client.retire('POST', name)).status, 200);
    assert.is((await client.retire('POST', name)).status, 200);
    assert.is((await client.retire('POST', 'store-number-2')).status, 409);
    const id = cluster.at('store-1').store?.id ?? 'none';
    await cluster.clock.until(
      'emptied',
      () =>
        cluster.committed?.slots.every(
          (slot) => !slot.replicas.includes(id) && slot.joiningReplicas.length === 0,
        ) ?? false,
      6000,
    );
    assert.ok(cluster.clock.now() - orderedAt < 6000);
    assert.equal((await client.retire('GET', name)).body, { state: 'delivered' });
    cluster.at('store-1').kill('power');
    await cluster.clock.until('away', () => !cluster.committed?.nodes.has(id), 20000);
    assert.equal((await client.retire('GET', name)).body, { state: 'delivered' });
    assert.is((await client.retire('POST', name)).status, 200);
    cluster.master?.kill('power');
    await cluster.clock.until('a new master', () => cluster.master !== undefined, 20000);
    assert.equal((await operatorClient(cluster).retire('GET', name)).body, { state: 'delivered' });
  },
);

answers("the operator API uses the platform's statuses and formats", async () => {
  const requests: string[] = [];
  const responses = new Map<string, OperatorResponse>([
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
    createOperatorApi(async (request) => {
      requests.push(`${request.method} ${request.path}`);
      return Promise.resolve(
        responses.get(`${request.method} ${request.path}`) ?? { status: 404, body: {} },
      );
    }),
  );
  try {
    const ask = (method: string, path: string, body?: string) =>
      fetch(`http://127.0.0.1:${port}${path}`, {
        method,
        headers: { 'If-Match': '3', connection: 'close' },
        ...(body === undefined ? {} : { body }),
      });
    const padding = ' '.repeat(5 << 20);
    assert.is(
      (await ask('PUT', '/configuration', jsonText(platformConfiguration(4)) + padding)).status,
      412,
    );
    const read = await ask('GET', '/configuration');
    assert.is(read.status, 200);
    assert.is(read.headers.get('content-type'), 'application/json');
    assert.is(await read.text(), '{"edition":4}');
    const postResponse = await ask('POST', '/retire/a%20b', '{"overS":10}');
    assert.is(postResponse.status, 200);
    assert.equal(await postResponse.json(), { state: 'in_service' });
    const unavailable = await ask('GET', '/retire/a%20b');
    assert.is(unavailable.status, 503);
    assert.is(unavailable.headers.get('retry-after'), '1');
    assert.is((await ask('GET', '/retire/none')).status, 404);
    assert.is((await ask('DELETE', '/configuration')).status, 404);
    assert.is((await ask('PATCH', '/configuration', '{"edition":9}')).status, 412);
    assert.is((await ask('PATCH', '/configuration', '{')).status, 400);
    assert.is(requests.length, 6);
  } finally {
    server.close();
  }
});

answers.run();
