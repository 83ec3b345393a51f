/** Configuration changes of operators: versions, resent changes, concurrent changes, patches, translation. */
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
  'versions may increase in uneven steps, and any control returns the configuration exactly as sent',
  async () => {
    const cluster = await startCluster(41);
    const client = operatorClient(cluster);
    const empty = await client.read();
    assert.is(typeof empty === 'string' ? 200 : empty.status, 404);
    const first = `${JSON.stringify(platformConfiguration(3), null, 1)}\n`;
    assert.is((await client.change('PUT', 0, first)).status, 200);
    assert.is(cluster.committed?.config?.version, 3);
    assert.is((await client.change('PUT', 3, platformConfiguration(11))).status, 200);
    assert.is((await client.change('PUT', 3, platformConfiguration(12))).status, 412);
    assert.is((await client.change('PUT', 0, platformConfiguration(1))).status, 412);
    for (const controlIndex of [0, 1, 2])
      assert.is(
        await operatorClient(cluster, controlIndex).read(),
        jsonText(platformConfiguration(11)),
      );
    assert.is(cluster.committed?.config?.version, 11);
  },
);

operator(
  'a resent change is acknowledged, also after a later one; another on the same base is refused',
  async () => {
    const cluster = await startCluster(42);
    const client = operatorClient(cluster);
    assert.is((await client.change('PUT', 0, platformConfiguration(2))).status, 200);
    assert.is((await client.change('PUT', 0, platformConfiguration(2))).status, 200);
    const patch = { edition: 5, upsert: { ways: [platformRoute('r3')] }, remove: { ways: ['r1'] } };
    for (const controlIndex of [0, 1, 2])
      assert.is(
        (await operatorClient(cluster, controlIndex).change('PATCH', 2, patch)).status,
        200,
      );
    assert.is((await client.change('PATCH', 2, { ...patch, edition: 6 })).status, 412);
    assert.is((await client.change('PUT', 5, platformConfiguration(9))).status, 200);
    for (const response of [
      await client.change('PUT', 0, platformConfiguration(2)),
      await client.change('PATCH', 2, patch),
      await client.change('PUT', 5, platformConfiguration(9)),
    ])
      assert.is(response.status, 200);
    assert.is(
      (await client.change('PUT', 0, platformConfiguration(2, { intakeLimits: undefined }))).status,
      412,
    );
    assert.is(cluster.committed?.config?.version, 9);
    assert.is(await client.read(), jsonText(platformConfiguration(9)));
    cluster.master?.kill('power');
    await cluster.clock.until('a new master', () => cluster.master !== undefined, 20000);
    assert.is((await operatorClient(cluster).change('PATCH', 2, patch)).status, 200);
    assert.is(cluster.committed?.config?.version, 9);
  },
);

operator('of concurrent changes on one base only one is accepted', async () => {
  for (const seed of [43, 44, 45]) {
    const cluster = await startCluster(seed);
    assert.is(
      (await operatorClient(cluster).change('PUT', 0, platformConfiguration(1))).status,
      200,
    );
    const nodes = cluster.of('control').flatMap((machine) => machine.control ?? []);
    const pending = nodes.map((node, i) => {
      const adapter = new OperatorAdapter((request) => node.operate(request));
      return i === 0
        ? adapter.change(
            'PATCH',
            '1',
            jsonText({ edition: 4, upsert: { ways: [platformRoute('r9')] } }),
          )
        : adapter.change('PUT', '1', jsonText(platformConfiguration(4 + i)));
    });
    const statuses = (await cluster.clock.finish('race', Promise.all(pending), 30000)).map(
      (response) => response.status,
    );
    assert.equal([...statuses].sort(), [200, 412, 412]);
    assert.is(cluster.committed?.config?.version, 4 + statuses.indexOf(200));
  }
});

operator(
  'a patch replaces items in place, adds and removes by name, and keeps unknown fields',
  async () => {
    const cluster = await startCluster(46);
    const client = operatorClient(cluster);
    assert.is(
      (await client.change('PUT', 0, platformConfiguration(1, { note: { a: [1] } }))).status,
      200,
    );
    const changedRoute = platformRoute('r1', { deadlineMs: 900, depot: 'd3' });
    const patch = {
      edition: 4,
      upsert: { ways: [platformRoute('r3'), changedRoute], depots: [platformService('d3')] },
      remove: { ways: ['r2', 'none'], depots: ['d2'] },
    };
    assert.is((await client.change('PATCH', 1, patch)).status, 200);
    const expected = {
      ...platformConfiguration(4),
      ways: [changedRoute, platformRoute('r3')],
      depots: [platformService('d1', { engine }), platformService('d3')],
      note: { a: [1] },
    };
    const readBack = await client.read();
    assert.type(readBack, 'string');
    if (typeof readBack === 'string')
      assert.equal(JSON.parse(readBack), JSON.parse(jsonText(expected)));
    const config = compiledConfig(cluster.committed?.config);
    assert.equal(
      config?.routes.map((route) => route.name),
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
    const cluster = await startCluster(48);
    assert.is(
      (await operatorClient(cluster).change('PUT', 0, platformConfiguration(1))).status,
      200,
    );
    const config = compiledConfig(cluster.committed?.config);
    if (!config) throw new Error('the cluster has no configuration');
    const [streamRoute, keyedRoute] = config.routes;
    assert.equal(streamRoute.pass, {
      manner: 'stream',
      tries: 1,
      deadlineMs: 4000,
      aimMs: 200,
      rank: 0,
      turnRetentionMs: 0,
      resumable: true,
      pauseMs: 250,
    });
    assert.is(streamRoute.urgent, true);
    assert.equal(streamRoute.shares, [{ pool: 'd1', share: 1 }]);
    assert.is(keyedRoute.pass?.manner, 'keyed');
    assert.is(keyedRoute.pass?.turnRetentionMs, 60000);
    assert.is(keyedRoute.pass?.rank, 3);
    assert.is(keyedRoute.urgent, false);
    assert.equal(keyedRoute.shares, [
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
    assert.not.match(cluster.committed?.config?.compiled ?? '', 'cacheTokens');
  },
);

operator.run();
