/** Replication of slots: two losses at once, zones, a store that joins late, and a joining store that is lost. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { marginLines, isMarginFull } from '@tillerstair/ctl';
import {
  allocate,
  bootstrapState,
  MarginReport,
  reduceState,
  replicationFor,
  type Member,
  type State,
} from '@tillerstair/state';
import { worldUp } from '../support/world-helpers.js';
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

const replicas = suite('replicas');

const seeds = [71, 72, 73];

replicas(
  'the numbers of replicas and of the quorum follow the tolerated losses, and are part of the state',
  async () => {
    const cluster = await worldUp(70, twoLossCluster);
    assert.equal(cluster.committed?.replication, { replicas: 5, quorum: 3 });
    assert.ok(cluster.committed?.slots.every((slot) => slot.replicas.length === 5));
    assert.equal(cluster.of('store')[0]?.store?.zen.applied?.replication, {
      replicas: 5,
      quorum: 3,
    });
    const oneLossState = await worldUp(70, oneLossCluster);
    assert.equal(oneLossState.committed?.replication, { replicas: 3, quorum: 2 });
  },
);

replicas('with five replicas, a write stored by only two stores is not acknowledged', async () => {
  for (const seed of seeds) {
    const cluster = await worldUp(seed, { ...twoLossCluster, stores: 5 });
    const program = await cluster.clock.finish('program', cluster.program(900), 10000);
    const dataAddresses = cluster.of('front').map((machine) => `${machine.addr}/data`);
    cluster.net.cutBoth(
      cluster
        .of('store')
        .slice(0, 3)
        .map((machine) => machine.addr),
      dataAddresses,
    );
    const turn = await cluster.clock.finish(
      'turn',
      cluster.turn(program.program, null, `c #${seed}`, 'c'),
      60000,
    );
    assert.is.not(turn.reported, 'done');
  }
});

replicas(
  'with five replicas, two disks lost right after acknowledged writes lose no turn and run no call twice',
  async () => {
    for (const seed of [...seeds, 74, 75, 76]) {
      const cluster = await worldUp(seed, twoLossCluster);
      await runWorkload(cluster, 'w');
      const firstIndex = Math.floor(cluster.rng() * 7);
      const secondIndex = (firstIndex + 1 + Math.floor(cluster.rng() * 6)) % 7;
      const lost = [cluster.of('store')[firstIndex], cluster.of('store')[secondIndex]];
      const lostIds = lost.map(storeIdOf);
      for (const machine of lost) loseDisk(machine);
      await restartFronts(cluster);
      for (const machine of lost) machine.start();
      const startedAt = cluster.clock.now();
      await cluster.clock.until(
        'all replicas replaced',
        () => isFullyReplicated(cluster, lostIds),
        20000,
      );
      assert.ok(
        cluster.clock.now() - startedAt < 4800,
        `${Math.round(cluster.clock.now() - startedAt)} ms`,
      );
      await assertWorkloadPreserved(cluster, 'w');
      for (const machine of cluster
        .of('store')
        .filter((store) => !lost.includes(store))
        .slice(0, 2))
        loseDisk(machine);
      await restartFronts(cluster);
      await cluster.clock.run(2000);
      await assertWorkloadPreserved(cluster, 'w');
    }
  },
);

replicas('every slot keeps a quorum after the loss of a zone, where the zones allow it', () => {
  const member = (kind: Member['kind'], index: number, zone: string): Member => ({
    id: `${kind}-${index}`,
    kind,
    addr: `10.0.0.${index}:1`,
    http: '',
    zone,
    data: '',
    name: '',
  });
  for (const [losses, zones] of [
    [2, ['a', 'a', 'a', 'a', 'b', 'b', 'c', 'c']],
    [3, ['a', 'a', 'a', 'a', 'b', 'b', 'c', 'c', 'd', 'd']],
    [1, ['a', 'a', 'b', 'c']],
  ] as const) {
    const stores = zones.map((zone, index) => member('store', index, zone));
    const bootstrapped = bootstrapState(
      'c',
      [member('control', 1, 'a')],
      32,
      replicationFor(losses),
    );
    const joined = [member('front', 1, 'a'), ...stores].reduce<State>(
      (state, joining) => reduceState(state, { kind: 'join', member: joining }),
      bootstrapped,
    );
    const allocated = allocate(joined, {
      minStores: bootstrapped.replication.replicas,
      maxMoves: 32,
      maxFills: 32,
      unresponsiveStores: new Set(),
    });
    for (const slot of allocated.slots)
      for (const zone of new Set(zones)) {
        const remaining = slot.replicas.filter(
          (id) => allocated.nodes.get(id)?.zone !== zone,
        ).length;
        assert.ok(
          remaining >= allocated.replication.quorum,
          `${slot.replicas.join()} without ${zone}`,
        );
      }
  }
});

replicas(
  'a store that is missing at the first start does not keep the others from serving, and joins later',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, { ...twoLossCluster, stores: 4 });
      assert.ok(cluster.committed?.slots.every((slot) => slot.replicas.length === 4));
      await runWorkload(cluster, 'm');
      cluster.add('store').start();
      await cluster.clock.until(
        'all slots fully replicated',
        () => isFullyReplicated(cluster),
        10000,
      );
      for (const machine of cluster.of('store').slice(0, 2)) loseDisk(machine);
      await restartFronts(cluster);
      await cluster.clock.run(2000);
      await assertWorkloadPreserved(cluster, 'm');
    }
  },
);

replicas('with fewer stores than the quorum the cluster does not serve', async () => {
  const cluster = await worldUp(77, { ...twoLossCluster, stores: 2 }).catch(() => undefined);
  assert.is(cluster, undefined);
});

replicas(
  'the margin reports how many more losses are tolerated, and is unavailable without a majority',
  async () => {
    const cluster = await worldUp(80, twoLossCluster);
    const margin = async () =>
      MarginReport.parse((await cluster.operate('GET', '/v1/margin')).body);
    const before = await margin();
    assert.equal(before.voters, { voting: 5, live: 5, changing: false, margin: 2 });
    assert.is(before.leastSlotMargin, 2);
    assert.ok(isMarginFull(before));
    assert.equal(marginLines(before), [
      'voting controls: 5 of 5 live: 2 more losses are tolerated',
      'slots: 8, 5 replicas each, writes on 3: 2 more losses are tolerated',
    ]);
    const lost = storeIdOf(cluster.at('store-2'));
    loseDisk(cluster.at('store-2'));
    cluster
      .of('control')
      .find((machine) => machine !== cluster.master)
      ?.kill('power');
    const after = await margin();
    assert.is(after.voters.margin, 1);
    assert.is(after.leastSlotMargin, 1);
    assert.not(isMarginFull(after));
    const fullSlots =
      cluster.committed?.slots.filter((slot) => slot.replicas.length === 5).length ?? 0;
    assert.ok(marginLines(after).length > 2 && marginLines(after).length <= 2 + fullSlots);
    await cluster.clock.until(
      'all replicas replaced',
      () => isFullyReplicated(cluster, [lost]),
      20000,
    );
    assert.is((await margin()).leastSlotMargin, 2);
    for (const machine of cluster.of('control'))
      if (machine !== cluster.master) machine.kill('power');
    assert.is((await cluster.operate('GET', '/v1/margin')).status, 503);
  },
);

replicas('a joining store that is lost is replaced by another one', async () => {
  for (const seed of seeds) {
    const cluster = await worldUp(seed, { ...oneLossCluster, stores: 3 });
    await runWorkload(cluster, 'f');
    const filler = cluster.add('store');
    filler.drive.delay = 400;
    filler.start();
    await cluster.clock.until(
      'listed',
      () =>
        [...(cluster.committed?.nodes.values() ?? [])].filter((member) => member.kind === 'store')
          .length === 4,
      8000,
    );
    const lost = cluster.at('store-0');
    const lostId = storeIdOf(lost);
    loseDisk(lost);
    await cluster.clock.until(
      'a slot being filled by the joining store',
      () =>
        cluster.committed?.slots.some((slot) => slot.joiningReplicas.includes(storeIdOf(filler))) ??
        false,
      10000,
    );
    loseDisk(filler);
    cluster.add('store').start();
    await cluster.clock.until(
      'all slots fully replicated',
      () => isFullyReplicated(cluster, [lostId]),
      10000,
    );
    loseDisk(cluster.at('store-1'));
    await restartFronts(cluster);
    await cluster.clock.run(2000);
    await assertWorkloadPreserved(cluster, 'f');
  }
});

replicas(
  'an empty store at a new address replaces a lost one within half of catchUpS, even with slow disks',
  async () => {
    const halfCatchUpMs = 2400;
    for (const [lossAgeMs, diskDelayMs] of [
      [1000, 2],
      [1500, 12],
      [4000, 12],
    ] as const) {
      const cluster = await worldUp(81, { ...oneLossCluster, stores: 3, slots: 64 });
      await runWorkload(cluster, 'a');
      for (const machine of cluster.of('store')) machine.drive.delay = diskDelayMs;
      const oldStore = cluster.at('store-0');
      const lostId = storeIdOf(oldStore);
      loseDisk(oldStore);
      cluster.net.cutBoth(
        [oldStore.addr],
        cluster.machines.map((machine) => machine.addr),
      );
      await cluster.clock.run(lossAgeMs);
      const newStore = cluster.add('store');
      newStore.drive.delay = diskDelayMs;
      newStore.start();
      const startedAt = cluster.clock.now();
      await cluster.clock.until(
        'all slots fully replicated',
        () => isFullyReplicated(cluster, [lostId]),
        20000,
      );
      assert.ok(
        cluster.clock.now() - startedAt <= halfCatchUpMs,
        `${lossAgeMs} ms after the loss, disk ${diskDelayMs} ms: ${Math.round(cluster.clock.now() - startedAt)} ms`,
      );
      loseDisk(cluster.at('store-1'));
      await restartFronts(cluster);
      await cluster.clock.run(2000);
      await assertWorkloadPreserved(cluster, 'a');
    }
  },
);

replicas(
  'a look-up of an unknown attempt finds nothing while every slot has a quorum, and fails otherwise',
  async () => {
    const cluster = await worldUp(82, { ...twoLossCluster, stores: 5 });
    const owner = cluster.of('front')[0]?.front?.owner;
    const lookUp = () =>
      cluster.clock.finish(
        'look-up',
        owner?.findTurn('nobody').then(
          (turns) => `${turns.length} found`,
          () => 'unavailable',
        ) ?? Promise.resolve(''),
        20000,
      );
    assert.is(await lookUp(), '0 found');
    for (const machine of cluster.of('store').slice(0, 2)) machine.kill('power');
    assert.is(await lookUp(), '0 found');
    cluster.of('store')[2]?.kill('power');
    assert.is(await lookUp(), 'unavailable');
  },
);

replicas.run();
