/** Servers from a server list: draining marks and removals reach every front, whatever fails. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { World, type Machine } from '@tillerstair/sim';
import {
  assertNoBreach,
  configText,
  fiveControls,
  recordsOf,
  servers,
} from '../support/world-helpers.js';
import {
  type ListedCluster,
  serverIdsByFront,
  startListedCluster,
  sendLoad,
  roundRobinFronts,
} from '../support/listed-servers.js';
import { firstOf } from '../support/machines.js';

const list = suite('servers from a server list');

const seeds = [21, 22, 23, 24];

const drainMs = 3000;

const countExecutions = (cluster: World, server: string, from: number, to = Infinity): number =>
  cluster.servers.executed.filter(
    (execution) => execution.server === server && execution.began >= from && execution.began < to,
  ).length;

const assertDrained = ({ cluster }: ListedCluster, server: string, drainedAt: number): void => {
  assert.is(countExecutions(cluster, server, drainedAt + drainMs), 0);
  assertNoBreach(recordsOf(cluster));
};

const someFrontKnowsDraining = (cluster: World, server: string): boolean =>
  cluster
    .of('front')
    .some((machine) => machine.front?.owner.current?.state.servers.get(server)?.draining === true);

list('listed servers are added with their zone and places, and removed when unlisted', async () => {
  for (const seed of seeds) {
    const { cluster, serverList } = await startListedCluster(seed);
    const listedAt = serverList.put({ id: 's3', pool: 'shop', zone: 'zone-2', places: 7 });
    await cluster.clock.until(
      's3',
      () => serverIdsByFront(cluster).every((ids) => ids.includes('s3')),
      700,
    );
    const s3 = cluster.committed?.servers.get('s3');
    assert.equal([s3?.zone, s3?.places, s3?.draining], ['zone-2', 7, false]);
    await sendLoad(cluster, 'a', 1500, roundRobinFronts(cluster));
    assert.ok(countExecutions(cluster, 's3', listedAt) > 0);
    const unlistedAt = serverList.drop('s3');
    await cluster.clock.until(
      's3 gone',
      () => serverIdsByFront(cluster).every((ids) => !ids.includes('s3')),
      700,
    );
    await sendLoad(cluster, 'b', 1500, roundRobinFronts(cluster));
    assert.is(countExecutions(cluster, 's3', unlistedAt + 700), 0);
    assertDrained({ cluster, serverList }, 's3', unlistedAt);
  }
});

list('a server of a pool that no configuration names is kept', async () => {
  const { cluster, serverList } = await startListedCluster(21);
  serverList.put({ id: 'n1', pool: 'not-yet' });
  await cluster.clock.until(
    'n1',
    () => serverIdsByFront(cluster).every((ids) => ids.includes('n1')),
    700,
  );
  assert.is(cluster.committed?.servers.get('n1')?.pool, 'not-yet');
});

list('a draining mark reaches every front, also from a list that lags', async () => {
  for (const seed of seeds) {
    const listedCluster = await startListedCluster(seed, fiveControls, seed % 2 === 0 ? 0 : 800);
    const { cluster, serverList } = listedCluster;
    const markedAt = serverList.markDraining('s1');
    await cluster.clock.run(markedAt - cluster.clock.now() + 700);
    for (const machine of cluster.of('front'))
      assert.is(machine.front?.owner.current?.state.servers.get('s1')?.draining, true);
    const loadStart = await sendLoad(cluster, 'm', 3500, roundRobinFronts(cluster));
    assert.is(countExecutions(cluster, 's1', loadStart), 0);
    assert.ok(countExecutions(cluster, 's2', loadStart) > 20);
    assertDrained(listedCluster, 's1', markedAt);
  }
});

list('a server that drained once stays draining under its id', async () => {
  const { cluster, serverList } = await startListedCluster(22);
  serverList.markDraining('s1');
  await cluster.clock.run(1000);
  serverList.put({ id: 's1', pool: 'shop' });
  await cluster.clock.run(2000);
  assert.is(cluster.committed?.servers.get('s1')?.draining, true);
});

const testMasterFault = async (
  label: string,
  injectFault: (cluster: World, master: Machine) => void,
): Promise<void> => {
  let unawareSeeds = 0;
  for (const seed of seeds) {
    const listedCluster = await startListedCluster(seed);
    const { cluster, serverList } = listedCluster;
    const master = cluster.master;
    if (!master) throw new Error('the cluster has no master');
    const markedAt = serverList.markDraining('s1');
    injectFault(cluster, master);
    const load = sendLoad(cluster, `${label}${seed}-`, 9000, roundRobinFronts(cluster));
    await cluster.clock.run(1);
    if (!someFrontKnowsDraining(cluster, 's1')) unawareSeeds++;
    await load;
    assertDrained(listedCluster, 's1', markedAt);
    assert.ok(
      countExecutions(cluster, 's2', markedAt + drainMs) > 20,
      'the other server is used afterwards',
    );
    assert.ok(
      countExecutions(cluster, 's2', markedAt, markedAt + drainMs) > 20,
      'the other server is used until then',
    );
    assert.is(cluster.committed?.servers.get('s1')?.draining, true);
  }
  assert.is(unawareSeeds, seeds.length);
};

list('the master loses power right after a server is marked', () =>
  testMasterFault('p', (_, master) => master.kill('power')),
);

list('the master freezes right after a server is marked', () =>
  testMasterFault('f', (_, master) => master.freeze()),
);

list('the master is isolated right after a server is marked', () =>
  testMasterFault('c', (cluster, master) =>
    cluster.net.cutBoth(
      [master.addr],
      cluster.machines.filter((machine) => machine !== master).map((machine) => machine.addr),
    ),
  ),
);

list('the master loses power at any moment of its reading and publishing', async () => {
  for (let delayMs = 0; delayMs < 560; delayMs += 70) {
    const listedCluster = await startListedCluster(21 + (delayMs % 5));
    const { cluster, serverList } = listedCluster;
    const markedAt = serverList.markDraining('s1');
    const load = sendLoad(cluster, `q${delayMs}-`, 6000, roundRobinFronts(cluster));
    cluster.clock.after(delayMs, () => cluster.master?.kill('power'));
    await load;
    assertDrained(listedCluster, 's1', markedAt);
    assert.ok(countExecutions(cluster, 's2', markedAt + drainMs) > 20);
  }
});

list('a server that is unlisted while there is no master gets no requests', async () => {
  for (const seed of seeds) {
    const listedCluster = await startListedCluster(seed);
    const { cluster, serverList } = listedCluster;
    cluster.master?.freeze();
    const unlistedAt = serverList.drop('s1');
    await sendLoad(cluster, 'd', 9000, roundRobinFronts(cluster));
    assertDrained(listedCluster, 's1', unlistedAt);
    assert.ok(countExecutions(cluster, 's2', unlistedAt + drainMs) > 20);
    assert.is(cluster.committed?.servers.has('s1'), false);
  }
});

list(
  'after a partition of the controls, or of a front from them, no request is sent late',
  async () => {
    for (const seed of seeds) {
      const listedCluster = await startListedCluster(seed);
      const { cluster, serverList } = listedCluster;
      const controlAddresses = cluster.of('control').map((machine) => machine.addr);
      const isolatedAddress = firstOf(cluster, 'front').addr;
      const markedAt = serverList.markDraining('s1');
      if (seed % 2 === 0) cluster.net.cutBoth([isolatedAddress], controlAddresses);
      else
        for (const address of controlAddresses)
          cluster.net.cutBoth(
            [address],
            controlAddresses.filter((other) => other !== address),
          );
      await sendLoad(cluster, 'u', 6000, roundRobinFronts(cluster));
      cluster.net.healCuts();
      await cluster.clock.run(8000);
      await sendLoad(cluster, 'v', 1500, roundRobinFronts(cluster));
      assertDrained(listedCluster, 's1', markedAt);
      assert.ok(countExecutions(cluster, 's2', markedAt + 14000) > 20);
    }
  },
);

list('an agent that restarts while there is no master releases no draining server', async () => {
  for (const seed of seeds) {
    const listedCluster = await startListedCluster(seed);
    const { cluster, serverList } = listedCluster;
    const markedAt = serverList.markDraining('s1');
    cluster.master?.freeze();
    const load = sendLoad(cluster, 'r', 8000, roundRobinFronts(cluster));
    await cluster.clock.run(2200);
    for (const machine of cluster.of('front')) {
      machine.killAgent();
      machine.restartAgent();
    }
    await load;
    assertDrained(listedCluster, 's1', markedAt);
  }
});

list(
  'requests are served while the list fails or hangs, also across a change of master',
  async () => {
    for (const seed of seeds) {
      const listedCluster = await startListedCluster(seed);
      const { cluster, serverList } = listedCluster;
      if (seed % 2 === 0) serverList.failing = true;
      else serverList.hanging = true;
      const loadStart = await sendLoad(cluster, 'x', 4000, roundRobinFronts(cluster));
      for (
        let intervalStart = loadStart + 500;
        intervalStart < loadStart + 4000;
        intervalStart += 500
      )
        assert.ok(
          countExecutions(cluster, 's1', intervalStart, intervalStart + 500) +
            countExecutions(cluster, 's2', intervalStart, intervalStart + 500) >
            10,
        );
      cluster.master?.kill('power');
      const failoverStart = await sendLoad(cluster, 'y', 8000, roundRobinFronts(cluster));
      for (
        let intervalStart = failoverStart + 500;
        intervalStart < failoverStart + 8000;
        intervalStart += 500
      )
        assert.ok(
          countExecutions(cluster, 's1', intervalStart, intervalStart + 500) +
            countExecutions(cluster, 's2', intervalStart, intervalStart + 500) >
            0,
          `gap at ${intervalStart - failoverStart}`,
        );
      assert.is(cluster.committed?.servers.size, servers.length);
      serverList.failing = false;
      serverList.hanging = false;
      const markedAt = serverList.markDraining('s1');
      await sendLoad(cluster, 'z', 4000, roundRobinFronts(cluster));
      assertDrained(listedCluster, 's1', markedAt);
      assert.is(countExecutions(cluster, 's1', markedAt + 1800), 0);
    }
  },
);

list('if only the master cannot reach the list, no draining server stays in use', async () => {
  for (const seed of seeds) {
    const listedCluster = await startListedCluster(seed);
    const { cluster, serverList } = listedCluster;
    serverList.cut.add(cluster.master?.addr ?? '');
    const markedAt = serverList.markDraining('s1');
    await sendLoad(cluster, 'k', 6000, roundRobinFronts(cluster));
    assertDrained(listedCluster, 's1', markedAt);
    assert.ok(countExecutions(cluster, 's2', markedAt + drainMs) > 20);
  }
});

list('while the master is slow to commit a reading, no front serves by an older one', async () => {
  for (const seed of seeds) {
    const listedCluster = await startListedCluster(seed);
    const { cluster, serverList } = listedCluster;
    const isolatedFront = firstOf(cluster, 'front');
    const controls = cluster.of('control');
    cluster.net.cutBoth(
      [isolatedFront.addr],
      controls.filter((machine) => machine !== cluster.master).map((machine) => machine.addr),
    );
    for (const machine of controls) machine.drive.delay = 1000;
    let changesSubmitted = 0;
    const submitChange = (): void => {
      const number = ++changesSubmitted;
      void cluster.master?.control?.operate({
        method: 'PUT',
        path: `/v1/servers/x${number}`,
        body: JSON.stringify({ pool: 'idle', url: 'http://127.0.0.1:1' }),
      });
      if (number < 60) cluster.clock.after(100, submitChange);
    };
    submitChange();
    serverList.readMs = 480;
    const readsBefore = serverList.reads.length;
    await cluster.clock.until('a read', () => serverList.reads.length > readsBefore, 5000);
    await cluster.clock.run(250);
    const markedAt = serverList.markDraining('s1');
    await sendLoad(cluster, 'l', 5000, () => isolatedFront);
    assertDrained(listedCluster, 's1', markedAt);
    assert.is(countExecutions(cluster, 's1', markedAt + cluster.bounds.readLease + 1), 0);
    assert.ok(countExecutions(cluster, 's1', markedAt) > 0);
  }
});

list('a server at the address of one that left is a separate server', async () => {
  for (const seed of seeds) {
    const listedCluster = await startListedCluster(seed);
    const { cluster, serverList } = listedCluster;
    const markedAt = serverList.markDraining('s1');
    await cluster.clock.run(1000);
    serverList.put({ id: 's9', pool: 'shop', url: 'http://127.0.0.1:1' });
    await cluster.clock.run(4000);
    serverList.drop('s1');
    const loadStart = await sendLoad(cluster, 'i', 3000, roundRobinFronts(cluster));
    assert.ok(countExecutions(cluster, 's9', loadStart) > 10);
    assert.is(cluster.committed?.servers.get('s9')?.draining, false);
    assertDrained(listedCluster, 's1', markedAt);
  }
});

list('operators add servers where there is no list', async () => {
  const cluster = new World(21, fiveControls);
  await cluster.startServing((base) => configText(base), servers);
  await cluster.clock.run(5000);
  assert.is(cluster.committed?.servers.size, servers.length);
  cluster.master?.kill('power');
  await sendLoad(cluster, 'n', 6000, roundRobinFronts(cluster));
  assert.is(cluster.committed?.servers.size, servers.length);
  assertNoBreach(recordsOf(cluster));
});

list.run();
