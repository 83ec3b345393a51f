/** Moves of slots between stores and between owners, slow disks, and the expiry of idle programs. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { World, type Machine } from '@tillerstair/sim';
import {
  assertNoBreach,
  configText,
  fiveControls,
  recordsOf,
  servers,
  small,
  worldUp,
} from '../support/world-helpers.js';
import { runTurns } from '../support/run-turns.js';
import { storeIdOf } from '../support/replica-cluster.js';

const moves = suite('slot moves');

const seeds = [21, 22, 23];

/** Starts another store and waits until the cluster has four stores. */
const addFourthStore = async (cluster: World): Promise<Machine> => {
  const newStore = cluster.add('store');
  newStore.start();
  await cluster.clock.until(
    'four stores to be members',
    () =>
      [...(cluster.committed?.nodes.values() ?? [])].filter((member) => member.kind === 'store')
        .length === 4,
    20000,
  );
  return newStore;
};

const createPrograms = (cluster: World, count: number) =>
  cluster.clock.finish(
    'programs',
    Promise.all(Array.from({ length: count }, () => cluster.program(900))),
    20000,
  );

const waitUntilFilling = (cluster: World) =>
  cluster.clock.until(
    'a slot being filled',
    () => cluster.committed?.slots.some((slot) => slot.joiningReplicas.length > 0) ?? false,
    20000,
  );

/** Runs one turn of each program concurrently; fails if one of them is not done. */
const runRound = async (
  cluster: World,
  programs: readonly string[],
  roundNumber: number,
): Promise<void> => {
  const turns = await cluster.clock.finish(
    'turns',
    Promise.all(
      programs.map((program, i) =>
        cluster.turn(program, null, `e${roundNumber} #${cluster.seed}-${i}`, `e${roundNumber}`),
      ),
    ),
    60000,
  );
  assert.equal(
    turns.filter((turn) => turn.reported !== 'done').map((turn) => turn.errorCode),
    [],
  );
};

moves(
  'emptying a store is rejected if too few stores would remain, and otherwise leaves it without slots',
  async () => {
    const cluster = await worldUp(seeds[0] ?? 1, small);
    const program = await cluster.clock.finish('program', cluster.program(900), 10000);
    await runTurns(cluster, program.program, 0, 3);
    const refused = await cluster.operate('POST', '/v1/stores/store-0/empty');
    assert.is(refused.status, 409);
    assert.match(JSON.stringify(refused.body), 'only 2 other stores would stay');
    cluster.add('store').start();
    await cluster.clock.until(
      'four stores to be members',
      () =>
        [...(cluster.committed?.nodes.values() ?? [])].filter((member) => member.kind === 'store')
          .length === 4,
      20000,
    );
    assert.is((await cluster.operate('POST', '/v1/stores/store-0/empty')).status, 200);
    const emptiedId = cluster.at('store-0').store?.id ?? '';
    await cluster.clock.until(
      'half of the slots moved',
      () =>
        (cluster.committed?.slots.filter((slot) => slot.replicas.includes(emptiedId)).length ??
          9) <= 4,
      60000,
    );
    cluster.master?.kill('power');
    await cluster.clock.until(
      'emptied',
      () =>
        cluster.committed?.slots.every(
          (slot) => !slot.replicas.includes(emptiedId) && slot.joiningReplicas.length === 0,
        ) ?? false,
      60000,
    );
    const status = await cluster.operate('GET', '/v1/status');
    assert.match(JSON.stringify(status.body), '"slotsHeld":0');
    cluster.at('store-0').kill();
    await runTurns(cluster, program.program, 3, 2);
    for (const turn of cluster.reported.filter((reply) => reply.kind === 'turn'))
      assert.is(
        (await cluster.clock.finish('fetch', cluster.fetch(program.program, turn.turn), 30000))
          .text,
        turn.text,
      );
    assertNoBreach(recordsOf(cluster));
  },
);

moves('a planned change of slot owners rejects no request and interrupts none', async () => {
  for (const seed of seeds) {
    const cluster = await worldUp(seed, small);
    const programs = await cluster.clock.finish(
      'programs',
      Promise.all(Array.from({ length: 6 }, () => cluster.program(900, cluster.of('front')[0]))),
      20000,
    );
    const ownersBefore = cluster.committed?.slots.map((slot) => slot.owner).join();
    const pending: Promise<unknown>[] = [];
    cluster.add('front').start();
    let turnCount = 0;
    const deadline = cluster.clock.now() + 14000;
    let drained = false;
    while (cluster.clock.now() < deadline) {
      const front = cluster.of('front')[0];
      for (const program of programs)
        pending.push(
          cluster.turn(program.program, null, `m #${seed}-${turnCount}`, `m${turnCount++}`, front),
        );
      if (!drained && cluster.clock.now() > deadline - 7000) {
        drained = true;
        assert.is((await cluster.operate('POST', '/v1/fronts/front-1/drain')).status, 200);
      }
      await cluster.clock.run(170);
    }
    await cluster.clock.finish('all', Promise.all(pending), 60000);
    assert.is.not(cluster.committed?.slots.map((slot) => slot.owner).join(), ownersBefore);
    const drainedId = cluster.at('front-1').front?.id;
    assert.ok(cluster.committed?.slots.every((slot) => slot.owner !== drainedId));
    const failures = cluster.reported
      .filter((turn) => turn.reported !== 'done' && turn.errorCode !== 'budget-spent')
      .map((turn) => `${turn.kind} ${turn.reported} ${turn.errorCode}`);
    assert.equal(failures, []);
    assertNoBreach(recordsOf(cluster));
  }
});

moves('a slow disk of one store neither delays turns for long nor loses any', async () => {
  for (const seed of seeds) {
    const cluster = await worldUp(seed, fiveControls);
    const program = await cluster.clock.finish('program', cluster.program(900), 10000);
    const slowStore = cluster.of('store')[seed % 3];
    slowStore.drive.delay = 2500;
    const startedAt = cluster.clock.now();
    await runTurns(cluster, program.program, 0, 6);
    assert.ok(
      cluster.clock.now() - startedAt < 6000,
      `${cluster.clock.now() - startedAt} ms for six turns`,
    );
    assertNoBreach(recordsOf(cluster));
  }
});

moves(
  'stores and fronts drop a program that was idle beyond the retention time, and no other',
  async () => {
    const cluster = await worldUp(31, small);
    const program = await cluster.clock.finish('program', cluster.program(900), 10000);
    const [turn] = await cluster.clock.finish(
      'turn',
      Promise.all([cluster.turn(program.program, null, 'x #31', 'k')]),
      10000,
    );
    const otherProgram = await cluster.clock.finish('program', cluster.program(900), 10000);
    const itemCounts = () =>
      cluster.of('store').map((machine) => machine.replicaStore?.counts().items ?? 0);
    assert.ok(
      itemCounts().every((count) => count >= 3),
      itemCounts().join(),
    );
    for (let i = 0; i < 3; i++) {
      await cluster.clock.run(1200000);
      await runTurns(cluster, otherProgram.program, 100 + i, 1);
    }
    await cluster.clock.run(900000);
    const expired = await cluster.clock.finish(
      'fetch',
      cluster.fetch(program.program, turn.turn),
      10000,
    );
    assert.is(expired.errorCode, 'missing');
    const kept = cluster.reported.filter(
      (reply) => reply.kind === 'turn' && reply.program === otherProgram.program,
    );
    for (const machine of cluster.of('front')) machine.kill();
    cluster.start(cluster.of('front'));
    await cluster.clock.until(
      'fronts',
      () => cluster.readyFronts().length === 2 && cluster.slotsComplete(),
      20000,
    );
    for (const reply of kept)
      assert.is(
        (
          await cluster.clock.finish(
            'fetch',
            cluster.fetch(otherProgram.program, reply.turn),
            10000,
          )
        ).text,
        reply.text,
      );
  },
);

moves(
  'a store being emptied stays a replica until its replacement is filled, even if another store fails',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, small);
      const programs = await createPrograms(w, 24);
      const runNextRound = (roundNumber: number) =>
        runRound(
          w,
          programs.map((program) => program.program),
          roundNumber,
        );
      await runNextRound(0);
      const newStore = await addFourthStore(w);
      for (const store of ['store-0', 'store-1', 'store-2']) w.net.cut(newStore.addr, store);
      assert.is((await w.operate('POST', '/v1/stores/store-0/empty')).status, 200);
      await waitUntilFilling(w);
      await w.clock.run(1000);
      w.at('store-1').kill('power');
      await w.clock.run(2000);
      await runNextRound(1);
      const turns = w.reported.filter((turn) => turn.kind === 'turn');
      for (const t of turns)
        assert.is((await w.clock.finish('fetch', w.fetch(t.program, t.turn), 30000)).text, t.text);
      w.net.healCuts();
      await w.clock
        .until(
          'emptied',
          () =>
            w.committed?.slots.every(
              (slot) =>
                slot.replicas.length === 3 &&
                slot.joiningReplicas.length === 0 &&
                !slot.replicas.includes(w.at('store-0').store?.id ?? ''),
            ) ?? false,
          90000,
        )
        .catch(() => -1);
      w.at('store-1').start();
      await w.clock.until(
        'settled',
        () =>
          w.committed?.slots.every(
            (slot) =>
              slot.joiningReplicas.length === 0 &&
              !slot.replicas.includes(w.at('store-0').store?.id ?? ''),
          ) ?? false,
        90000,
      );
      w.at('store-0').kill('power');
      for (const machine of w.of('front')) machine.kill();
      w.start(w.of('front'));
      await w.clock.until('fronts', () => w.readyFronts().length === 2 && w.slotsComplete(), 20000);
      await w.clock.run(1000);
      for (const t of turns)
        assert.is((await w.clock.finish('fetch', w.fetch(t.program, t.turn), 30000)).text, t.text);
      await runNextRound(2);
      assertNoBreach(recordsOf(w));
    }
  },
);

moves(
  'while a replacement is filled, a write needs a quorum of both the old and the new replicas',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, small);
      const programs = await createPrograms(cluster, 12);
      const newStore = await addFourthStore(cluster);
      newStore.drive.delay = 2500;
      assert.is((await cluster.operate('POST', '/v1/stores/store-0/empty')).status, 200);
      await waitUntilFilling(cluster);
      for (const machine of cluster.of('front'))
        for (const store of ['store-2', newStore.addr])
          cluster.net.cut(`${machine.addr}/data`, store);
      const newStoreId = newStore.store?.id ?? 'none';
      const pending: Promise<unknown>[] = [];
      for (
        let i = 0;
        !cluster.committed?.slots.some((slot) => slot.replicas.includes(newStoreId));
        i++
      ) {
        assert.ok(i < 200, 'no replica was replaced within 200 rounds');
        for (const program of programs)
          pending.push(
            cluster.turn(program.program, null, `j${i} #${seed}-${program.program}`, `j${i}`),
          );
        await cluster.clock.run(350);
      }
      for (const store of ['store-0', 'store-1']) cluster.at(store).kill('power');
      cluster.net.healCuts();
      newStore.drive.delay = 0.2;
      await cluster.clock.finish('all', Promise.all(pending), 60000);
      for (const machine of cluster.of('front')) machine.kill();
      cluster.start(cluster.of('front'));
      await cluster.clock.until('fronts', () => cluster.readyFronts().length === 2, 20000);
      await cluster.clock.run(3000);
      const done = cluster.reported.filter(
        (turn) => turn.kind === 'turn' && turn.reported === 'done',
      );
      assert.ok(done.length > 0);
      const fetches = await cluster.clock.finish(
        'fetches',
        Promise.all(done.map((turn) => cluster.fetch(turn.program, turn.turn))),
        60000,
      );
      assert.equal(fetches.filter((fetched) => fetched.errorCode === 'missing').length, 0);
      const lookups = await cluster.clock.finish(
        'none',
        Promise.all(programs.map((program) => cluster.fetch(program.program, 't-none'))),
        60000,
      );
      assert.ok(
        lookups.some((fetched) => fetched.errorCode === 'missing'),
        'no slot with a replaced replica is open',
      );
      assertNoBreach(recordsOf(cluster));
    }
  },
);

/** Writes `itemsPerSlot` items with the same value to each replica of each slot. */
const fillStores = async (cluster: World, itemsPerSlot: number, value: string): Promise<void> => {
  const writes: Promise<unknown>[] = [];
  for (const machine of cluster.of('store'))
    for (const [slotNumber, slot] of cluster.committed?.slots.entries() ?? []) {
      if (!slot.replicas.includes(storeIdOf(machine))) continue;
      const items = Array.from({ length: itemsPerSlot }, (_, i) => ({
        key: `k/${slotNumber}-${i}`,
        ownershipEpoch: slot.ownershipEpoch,
        seq: i,
        value,
      }));
      for (const item of items)
        writes.push(Promise.resolve(machine.replicaStore?.acceptHandoff(slotNumber, [item])));
    }
  await Promise.all(writes);
};

/** Whether a store is not a replica of any slot, and no slot is being filled. */
const isNoReplica = (cluster: World, storeId: string): boolean =>
  cluster.committed?.slots.every(
    (slot) => !slot.replicas.includes(storeId) && slot.joiningReplicas.length === 0,
  ) ?? false;

moves('20 MB in 64 slots move off a store within 6 s, and turns are served meanwhile', async () => {
  const cluster = new World(33, { controls: 3, stores: 4, fronts: 2, slots: 64 });
  await cluster.startServing((base) => configText(base), servers);
  const program = await cluster.clock.finish('program', cluster.program(900), 10000);
  const filling = fillStores(cluster, 14, 'v'.repeat(32 << 10));
  await cluster.clock.finish('filling the stores', filling, 60000);
  assert.ok(
    (cluster.at('store-1').replicaStore?.counts().bytes ?? 0) > 20e6,
    String(cluster.at('store-1').replicaStore?.counts().bytes),
  );
  assert.is((await cluster.operate('POST', '/v1/stores/store-number-1/empty')).status, 200);
  const startedAt = cluster.clock.now();
  const storeId = cluster.at('store-1').store?.id ?? 'none';
  const isEmptied = (): boolean => isNoReplica(cluster, storeId);
  for (let i = 0; !isEmptied() && i < 30; i++) await runTurns(cluster, program.program, i, 1);
  await cluster.clock.until('emptied', isEmptied, 6000);
  assert.ok(cluster.clock.now() - startedAt < 6000, `${cluster.clock.now() - startedAt} ms`);
  const itemCounts = cluster
    .of('store')
    .filter((machine) => machine.store?.id !== storeId)
    .map((machine) => machine.replicaStore?.counts().items ?? 0);
  assert.ok(
    itemCounts.every((count) => count >= 64 * 14),
    itemCounts.join(),
  );
  await cluster.clock.run(2000);
  assert.is(cluster.at('store-1').replicaStore?.counts().items, 0);
});

moves.run();
