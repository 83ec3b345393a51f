/** Operators change the configuration: versions, repeats, races, patches, translation. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { OperatorAdapter } from '@tillerstair/platform';
import { compiledConfig, findRoute, buildRouteTable } from '@tillerstair/state';
import {
  platformRoute,
  engine,
  platformService,
  platformConfiguration,
  jsonText,
  startCluster,
  operatorClient,
} from '../support/operator-cluster.js';

const operator = suite('configuration changes of operators');

operator(
  'versions go up in uneven steps, and what was sent is read back word for word at any control',
  async () => {
    const w = await startCluster(41);
    const desk = operatorClient(w);
    const empty = await desk.read();
    assert.is(typeof empty === 'string' ? 200 : empty.status, 404);
    const first = `${JSON.stringify(platformConfiguration(3), null, 1)}\n`;
    assert.is((await desk.change('PUT', 0, first)).status, 200);
    assert.is(w.committed?.config?.version, 3);
    assert.is((await desk.change('PUT', 3, platformConfiguration(11))).status, 200);
    assert.is((await desk.change('PUT', 3, platformConfiguration(12))).status, 412);
    assert.is((await desk.change('PUT', 0, platformConfiguration(1))).status, 412);
    for (const n of [0, 1, 2])
      assert.is(await operatorClient(w, n).read(), jsonText(platformConfiguration(11)));
    assert.is(w.committed?.config?.version, 11);
  },
);

operator(
  'the same change again is acknowledged, also after a later one; another on the same base is not',
  async () => {
    const w = await startCluster(42);
    const desk = operatorClient(w);
    assert.is((await desk.change('PUT', 0, platformConfiguration(2))).status, 200);
    assert.is((await desk.change('PUT', 0, platformConfiguration(2))).status, 200);
    const patch = { edition: 5, upsert: { ways: [platformRoute('r3')] }, remove: { ways: ['r1'] } };
    for (const n of [0, 1, 2])
      assert.is((await operatorClient(w, n).change('PATCH', 2, patch)).status, 200);
    assert.is((await desk.change('PATCH', 2, { ...patch, edition: 6 })).status, 412);
    assert.is((await desk.change('PUT', 5, platformConfiguration(9))).status, 200);
    for (const again of [
      await desk.change('PUT', 0, platformConfiguration(2)),
      await desk.change('PATCH', 2, patch),
      await desk.change('PUT', 5, platformConfiguration(9)),
    ])
      assert.is(again.status, 200);
    assert.is(
      (await desk.change('PUT', 0, platformConfiguration(2, { intakeLimits: undefined }))).status,
      412,
    );
    assert.is(w.committed?.config?.version, 9);
    assert.is(await desk.read(), jsonText(platformConfiguration(9)));
    w.master?.kill('power');
    await w.clock.until('a new master', () => w.master !== undefined, 20000);
    assert.is((await operatorClient(w).change('PATCH', 2, patch)).status, 200);
    assert.is(w.committed?.config?.version, 9);
  },
);

operator('of two changes on one base one wins', async () => {
  for (const seed of [43, 44, 45]) {
    const w = await startCluster(seed);
    assert.is((await operatorClient(w).change('PUT', 0, platformConfiguration(1))).status, 200);
    const nodes = w.of('control').flatMap((m) => m.control ?? []);
    const race = nodes.map((node, i) => {
      const desk = new OperatorAdapter((o) => node.operate(o));
      return i === 0
        ? desk.change(
            'PATCH',
            '1',
            jsonText({ edition: 4, upsert: { ways: [platformRoute('r9')] } }),
          )
        : desk.change('PUT', '1', jsonText(platformConfiguration(4 + i)));
    });
    const got = (await w.clock.finish('race', Promise.all(race), 30000)).map((o) => o.status);
    assert.equal([...got].sort(), [200, 412, 412]);
    assert.is(w.committed?.config?.version, 4 + got.indexOf(200));
  }
});

operator(
  'a patch puts items in their places, adds and removes by name, and keeps unknown fields',
  async () => {
    const w = await startCluster(46);
    const desk = operatorClient(w);
    assert.is(
      (await desk.change('PUT', 0, platformConfiguration(1, { note: { a: [1] } }))).status,
      200,
    );
    const r1 = platformRoute('r1', { deadlineMs: 900, depot: 'd3' });
    const patch = {
      edition: 4,
      upsert: { ways: [platformRoute('r3'), r1], depots: [platformService('d3')] },
      remove: { ways: ['r2', 'none'], depots: ['d2'] },
    };
    assert.is((await desk.change('PATCH', 1, patch)).status, 200);
    const want = {
      ...platformConfiguration(4),
      ways: [r1, platformRoute('r3')],
      depots: [platformService('d1', { engine }), platformService('d3')],
      note: { a: [1] },
    };
    const readBack = await desk.read();
    assert.type(readBack, 'string');
    if (typeof readBack === 'string')
      assert.equal(JSON.parse(readBack), JSON.parse(jsonText(want)));
    const config = compiledConfig(w.committed?.config);
    assert.equal(
      config?.routes.map((l) => l.name),
      ['r1', 'r3'],
    );
    assert.is(config?.routes[0]?.pass?.deadlineMs, 900);
    const first = await operatorClient(await startCluster(47)).change('PATCH', 0, patch);
    assert.is(first.status, 412);
  },
);

operator(
  "the platform's routes and services are translated to the product's configuration",
  async () => {
    const w = await startCluster(48);
    assert.is((await operatorClient(w).change('PUT', 0, platformConfiguration(1))).status, 200);
    const config = compiledConfig(w.committed?.config);
    if (!config) throw new Error('no configuration');
    const [a, b] = config.routes;
    assert.equal(a.pass, {
      manner: 'stream',
      tries: 1,
      deadlineMs: 4000,
      aimMs: 200,
      rank: 0,
      turnRetentionMs: 0,
      resumable: true,
      pauseMs: 250,
    });
    assert.is(a.urgent, true);
    assert.equal(a.shares, [{ pool: 'd1', share: 1 }]);
    assert.is(b.pass?.manner, 'keyed');
    assert.is(b.pass?.turnRetentionMs, 60000);
    assert.is(b.pass?.rank, 3);
    assert.is(b.urgent, false);
    assert.equal(b.shares, [
      { pool: 'd1', share: 90 },
      { pool: 'd2', share: 10 },
    ]);
    assert.equal(config.pools, [
      {
        name: 'd1',
        kind: 'model',
        connections: 240,
        remembersKeys: false,
        check: '/health',
        engine: { places: 32, memoryTokens: 994921, blockTokens: 20 },
      },
      { name: 'd2', kind: 'service', connections: 240, remembersKeys: true, check: '/health' },
    ]);
    assert.equal(config.limits, {
      headerBytes: 16384,
      bodyBytes: 4194304,
      headerWaitMs: 3000,
      idleMs: 15000,
    });
    assert.is(findRoute(buildRouteTable(config), 'pass', 'a.example/r2/x/y')?.name, 'r2');
    assert.not.match(w.committed?.config?.compiled ?? '', 'cacheTokens');
  },
);

operator.run();
