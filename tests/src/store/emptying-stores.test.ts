/** Emptying a store (moving its replicas away before it is removed), also while it or another store is lost. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { allSlotsFullyReplicated } from '@tillerstair/state';
import type { World, Machine } from '@tillerstair/sim';
import { configText, servers, worldUp } from '../support/world-helpers.js';
import {
  twoLossCluster,
  oneLossCluster,
  storeIdOf,
  loseDisk,
  isFullyReplicated,
  runWorkload,
  assertWorkloadPreserved,
  restartFronts,
} from '../support/replica-cluster.js';

const emptying = suite('emptying stores');

const seeds = [71, 72, 73];

const isEmptied = async (cluster: World, machine: Machine): Promise<boolean> => {
  const response = await cluster.operate('GET', `/v1/stores/${machine.name}/empty`);
  return JSON.stringify(response.body).includes('"done":true');
};

const waitUntilEmptied = async (
  cluster: World,
  machine: Machine,
  timeoutMs: number,
): Promise<void> => {
  const deadline = cluster.clock.now() + timeoutMs;
  while (!(await isEmptied(cluster, machine))) {
    if (cluster.clock.now() > deadline)
      throw new Error(`${machine.name} was not emptied within ${timeoutMs} ms`);
    await cluster.clock.run(100);
  }
};

emptying(
  'no data is lost if a store loses its disk right after it was emptied, together with another store',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, oneLossCluster);
      await runWorkload(cluster, 'r');
      const emptied = cluster.at('store-1');
      assert.is((await cluster.operate('POST', `/v1/stores/${emptied.name}/empty`)).status, 200);
      await waitUntilEmptied(cluster, emptied, 6000);
      loseDisk(emptied);
      loseDisk(cluster.of('store').find((machine) => machine !== emptied));
      await restartFronts(cluster);
      await cluster.clock.run(2000);
      await assertWorkloadPreserved(cluster, 'r');
    }
  },
);

emptying(
  'emptying is not reported done while the replicas of another lost store are not replaced',
  async () => {
    for (const seed of seeds)
      for (const delayMs of [0, 200, 600]) {
        const cluster = await worldUp(seed, { ...oneLossCluster, stores: 5 });
        await runWorkload(cluster, 'l');
        const emptied = cluster.at('store-1');
        assert.is((await cluster.operate('POST', `/v1/stores/${emptied.name}/empty`)).status, 200);
        await cluster.clock.run(delayMs);
        loseDisk(cluster.at('store-2'));
        await waitUntilEmptied(cluster, emptied, 30000);
        const liveIds = new Set(
          cluster
            .of('store')
            .filter((machine) => machine.up)
            .map((machine) => storeIdOf(machine)),
        );
        assert.ok(
          cluster.committed?.slots.every(
            (slot) => slot.replicas.filter((id) => liveIds.has(id)).length === 3,
          ),
          'emptying was reported done before the lost replicas were replaced',
        );
        loseDisk(emptied);
        loseDisk(cluster.at('store-3'));
        await restartFronts(cluster);
        await cluster.clock.run(2000);
        await assertWorkloadPreserved(cluster, 'l');
      }
  },
);

emptying(
  'a store that is lost while it is emptied is replaced, and a repeated empty request is idempotent',
  async () => {
    const cluster = await worldUp(78, oneLossCluster);
    await runWorkload(cluster, 'd');
    const emptied = cluster.at('store-1');
    assert.is((await cluster.operate('POST', `/v1/stores/${emptied.name}/empty`)).status, 200);
    loseDisk(emptied);
    assert.is((await cluster.operate('POST', `/v1/stores/${emptied.name}/empty`)).status, 200);
    assert.is(await isEmptied(cluster, emptied), false);
    await waitUntilEmptied(cluster, emptied, 20000);
    assert.is((await cluster.operate('POST', `/v1/stores/${emptied.name}/empty`)).status, 200);
    assert.is((await cluster.operate('POST', '/v1/stores/nobody/empty')).status, 404);
    assert.is((await cluster.operate('POST', '/v1/stores/store-number-0/empty')).status, 409);
    assert.ok(
      cluster.committed &&
        allSlotsFullyReplicated(
          cluster.committed,
          (id) => cluster.committed?.nodes.has(id) ?? false,
        ),
    );
    await assertWorkloadPreserved(cluster, 'd');
  },
);

emptying(
  'a store that loses its disk while it is emptied gets no replicas, and its emptying completes',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, oneLossCluster);
      await runWorkload(cluster, 'x');
      const emptied = cluster.at('store-1');
      assert.is((await cluster.operate('POST', `/v1/stores/${emptied.name}/empty`)).status, 200);
      loseDisk(emptied);
      emptied.start();
      await cluster.clock.until(
        'the store to be a member again',
        () => cluster.committed?.nodes.has(storeIdOf(emptied)) ?? false,
        10000,
      );
      await waitUntilEmptied(cluster, emptied, 20000);
      assert.not(
        cluster.committed?.slots.some((slot) => slot.replicas.includes(storeIdOf(emptied))),
      );
      assert.is((await cluster.operate('DELETE', `/v1/stores/${emptied.name}/empty`)).status, 200);
      assert.is(cluster.retiringNodes.size, 0);
      await assertWorkloadPreserved(cluster, 'x');
    }
  },
);

emptying('with five replicas, a store is emptied only if five other stores remain', async () => {
  const cluster = await worldUp(79, { ...twoLossCluster, stores: 5 });
  const refused = await cluster.operate('POST', '/v1/stores/store-0/empty');
  assert.is(refused.status, 409);
  cluster.add('store').start();
  await cluster.clock.until(
    'six stores to be members',
    () =>
      [...(cluster.committed?.nodes.values() ?? [])].filter((member) => member.kind === 'store')
        .length === 6,
    5000,
  );
  await cluster.operate('PUT', '/v1/config', configText(1));
  assert.is(cluster.committed?.servers.size, servers.length);
  assert.is((await cluster.operate('POST', '/v1/stores/store-number-0/empty')).status, 200);
  await waitUntilEmptied(cluster, cluster.at('store-0'), 10000);
  assert.ok(isFullyReplicated(cluster));
});

emptying.run();
