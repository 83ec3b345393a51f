/** Recovery of stores and controls that were unavailable or lost their disk. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { ReplyRecord } from '@tillerstair/checker';
import { World, type Machine } from '@tillerstair/sim';
import {
  assertNoBreach,
  configText,
  recordsOf,
  servers,
  small,
  worldUp,
} from '../support/world-helpers.js';
import { storeIdOf } from '../support/replica-cluster.js';
import { runTurns } from '../support/run-turns.js';

const refills = suite('recovery of stores and controls');

const seeds = [21, 22, 23];

/** Waits until a store is a replica of every slot and no slot is being filled. */
const untilRefilled = async (cluster: World, store: Machine, withinMs: number): Promise<void> => {
  await cluster.clock.until(
    'refilled',
    () =>
      cluster.committed?.slots.every(
        (slot) => slot.replicas.includes(storeIdOf(store)) && slot.joiningReplicas.length === 0,
      ) ?? false,
    withinMs,
  );
};

const createPrograms = (cluster: World): Promise<readonly ReplyRecord[]> =>
  cluster.clock.finish(
    'programs',
    Promise.all(Array.from({ length: 24 }, () => cluster.program(900))),
    20000,
  );

/** Runs a turn of each program; resolves with the turns, all of them done. */
const runOneTurnEach = async (
  cluster: World,
  programs: readonly ReplyRecord[],
  tag: string,
): Promise<readonly ReplyRecord[]> => {
  const turns = await cluster.clock.finish(
    'turns',
    Promise.all(
      programs.map((program, i) =>
        cluster.turn(program.program, null, `${tag} #${cluster.seed}-${i}`, 'k'),
      ),
    ),
    60000,
  );
  assert.ok(turns.every((turn) => turn.reported === 'done'));
  return turns;
};

/** Destroys a store's disk, restarts the fronts, and checks that each turn of a program can still be fetched. */
const loseDiskAndReadAll = async (
  cluster: World,
  store: Machine | undefined,
  program: string,
): Promise<void> => {
  store?.kill('power');
  store?.drive.wipe();
  for (const machine of cluster.of('front')) machine.kill();
  cluster.start(cluster.of('front'));
  await cluster.clock.until(
    'fronts',
    () => cluster.readyFronts().length === 2 && cluster.slotsComplete(),
    20000,
  );
  for (const turn of cluster.reported.filter(
    (reply) => reply.kind === 'turn' && reply.program === program,
  ))
    assert.is(
      (await cluster.clock.finish('fetch', cluster.fetch(program, turn.turn), 30000)).text,
      turn.text,
    );
  assertNoBreach(recordsOf(cluster));
};

refills(
  'a store that was unavailable gets missed writes from hints, and can then replace a lost store',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, small);
      const program = await cluster.clock.finish('program', cluster.program(900), 10000);
      const [restarted, lost, other] = cluster.of('store');
      restarted.kill('power');
      await cluster.clock.run(4000);
      await runTurns(cluster, program.program, 0, 5);
      const hints = [lost, other].reduce(
        (total, machine) => total + (machine.replicaStore?.counts().hints ?? 0),
        0,
      );
      assert.ok(hints >= 5, `${hints} hints`);
      restarted.start();
      await cluster.clock.until(
        'handoff of all hints',
        () =>
          [lost, other].every((machine) => machine.replicaStore?.counts().hints === 0) &&
          (restarted.replicaStore?.counts().items ?? 0) >= 6,
        20000,
      );
      await loseDiskAndReadAll(cluster, lost, program.program);
    }
  },
);

refills('an empty store is part of no quorum until it is refilled', async () => {
  for (const seed of seeds) {
    const cluster = await worldUp(seed, small);
    const program = await cluster.clock.finish('program', cluster.program(900), 10000);
    await runTurns(cluster, program.program, 0, 4);
    const [emptied, other] = cluster.of('store');
    emptied.kill('power');
    emptied.drive.wipe();
    emptied.start();
    await cluster.clock.until(
      'the empty store to join slots',
      () =>
        cluster.committed?.slots.some((slot) =>
          slot.joiningReplicas.includes(storeIdOf(emptied)),
        ) ?? false,
      30000,
    );
    const slots = cluster.committed?.slots ?? [];
    assert.ok(
      slots.filter((slot) => slot.joiningReplicas.length > 0).length <= slots.length / 2,
      'more than half of the slots are filled at once',
    );
    await untilRefilled(cluster, emptied, 60000);
    await loseDiskAndReadAll(cluster, other, program.program);
  }
});

refills(
  'a store that is being filled counts towards no takeover, so turns it lacks are not reported missing',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, small);
      const programs = await createPrograms(cluster);
      const dataAddresses = cluster.of('front').map((machine) => `${machine.addr}/data`);
      cluster.net.cutBoth(['store-1'], [...dataAddresses, 'store-0', 'store-2']);
      const turns = await runOneTurnEach(cluster, programs, 'h');
      const store = cluster.at('store-0');
      store.kill('power');
      store.drive.wipe();
      for (const machine of cluster.of('front')) machine.kill();
      cluster.net.healCuts();
      cluster.net.cutBoth(['store-2'], [...dataAddresses, 'store-0', 'store-1']);
      store.start();
      cluster.start(cluster.of('front'));
      await cluster.clock.until(
        'filling',
        () => cluster.committed?.slots.some((slot) => slot.joiningReplicas.length > 0) ?? false,
        30000,
      );
      await cluster.clock.until('fronts', () => cluster.readyFronts().length === 2, 20000);
      await cluster.clock.run(4000);
      for (const turn of turns) {
        const fetched = await cluster.clock.finish(
          'fetch',
          cluster.fetch(turn.program, turn.turn),
          30000,
        );
        assert.is.not(fetched.errorCode, 'missing');
      }
      cluster.net.healCuts();
      await untilRefilled(cluster, store, 60000);
      await cluster.clock.run(2000);
      for (const turn of turns)
        assert.is(
          (await cluster.clock.finish('fetch', cluster.fetch(turn.program, turn.turn), 30000)).text,
          turn.text,
        );
    }
  },
);

refills('with two disks lost at once, history is reported unavailable, never missing', async () => {
  for (const seed of seeds) {
    const cluster = await worldUp(seed, small);
    const program = await cluster.clock.finish('program', cluster.program(900), 10000);
    await runTurns(cluster, program.program, 0, 2);
    for (const machine of cluster.of('store').slice(0, 2)) {
      machine.kill('power');
      machine.drive.wipe();
      machine.start();
    }
    for (const machine of cluster.of('front')) machine.kill();
    cluster.start(cluster.of('front'));
    await cluster.clock.until('fronts', () => cluster.readyFronts().length === 2, 20000);
    await cluster.clock.run(5000);
    for (const turn of cluster.reported.filter((reply) => reply.kind === 'turn')) {
      const fetched = await cluster.clock.finish(
        'fetch',
        cluster.fetch(program.program, turn.turn),
        30000,
      );
      assert.is(fetched.reported, 'refused');
      assert.is.not(fetched.errorCode, 'missing');
    }
  }
});

refills(
  'takeover and refill move sessions of megabytes in pages below 512 KB and lose no turn',
  async () => {
    const cluster = await worldUp(29, small);
    const program = await cluster.clock.finish('program', cluster.program(1000), 10000);
    const otherProgram = await cluster.clock.finish('program', cluster.program(900), 10000);
    let after: string | null = null;
    for (let i = 0; i < 60; i++) {
      const prompt = `${'long history '.repeat(3000)} #29-${i}`;
      const parent: string | null = i % 20 === 0 ? null : after;
      const turn: ReplyRecord = await cluster.clock.finish(
        'turn',
        cluster.turn(program.program, parent, prompt, `b${i}`),
        30000,
      );
      assert.is(turn.reported, 'done', turn.errorCode);
      after = turn.turn;
    }
    cluster.net.largestMessages.clear();
    const store = cluster.of('store')[0];
    store.kill('power');
    store.drive.wipe();
    for (const machine of cluster.of('front')) machine.kill();
    cluster.start(cluster.of('front'));
    await cluster.clock.until(
      'fronts',
      () => cluster.readyFronts().length === 2 && cluster.slotsComplete(),
      20000,
    );
    const otherTurn = await cluster.clock.finish(
      'turn of another slot',
      cluster.turn(otherProgram.program, null, 'short #29', 'q'),
      5000,
    );
    assert.is(otherTurn.reported, 'done');
    store.start();
    await untilRefilled(cluster, store, 90000);
    for (const kind of ['store/fence', 'store/pull', 'store/put', 'store/hand'])
      assert.ok(
        (cluster.net.largestMessages.get(kind) ?? 0) < 1 << 19,
        `${kind} ${cluster.net.largestMessages.get(kind) ?? 0}`,
      );
    assert.ok((cluster.net.largestMessages.get('store/pull') ?? 0) > 1 << 16);
    await loseDiskAndReadAll(cluster, cluster.of('store')[1], program.program);
  },
);

refills(
  'without hints, no turn is lost when the other two stores lose their disks one after the other',
  async () => {
    for (const seed of seeds) {
      const cluster = new World(seed, small);
      cluster.hintsMost = 0;
      await cluster.startServing((base) => configText(base), servers);
      const program = await cluster.clock.finish('program', cluster.program(900), 10000);
      const [restarted, emptied, lost] = cluster.of('store');
      restarted.kill('power');
      await cluster.clock.run(1500);
      await runTurns(cluster, program.program, 0, 5);
      assert.equal(
        [emptied, lost].map((machine) => machine.replicaStore?.counts().hints),
        [0, 0],
      );
      restarted.start();
      await cluster.clock.run(2000);
      emptied.kill('power');
      emptied.drive.wipe();
      emptied.start();
      await untilRefilled(cluster, emptied, 60000);
      await cluster.clock.run(1000);
      await loseDiskAndReadAll(cluster, lost, program.program);
    }
  },
);

refills(
  'a control that lost its disk is replaced as a voter without delay, even if it was the master',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, small);
      for (const machine of cluster.of('control')) {
        const oldId = machine.control?.id ?? 'none';
        machine.kill('power');
        machine.drive.wipe();
        if (seed === 22) await cluster.clock.run(1000);
        machine.start();
        const startedAt = cluster.clock.now();
        await cluster.clock.until(
          'the new control to be a voter',
          () => cluster.committed?.voters.current.includes(machine.control?.id ?? 'none') ?? false,
          20000,
        );
        assert.ok(
          cluster.clock.now() - startedAt < cluster.bounds.replicaReplacementDelay,
          `${cluster.clock.now() - startedAt} ms`,
        );
        assert.not(cluster.committed?.voters.next.includes(oldId));
        assert.is(cluster.committed?.voters.current.length, 3);
        await cluster.clock.run(2000);
      }
      const response = await cluster.operate('PUT', '/v1/config', configText(1));
      assert.is(response.status, 200);
    }
  },
);

refills(
  'a store that lost its disk is a replica of every slot within 4.8 s of its start',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, small);
      const programs = await createPrograms(cluster);
      const turns = await runOneTurnEach(cluster, programs, 'q');
      const store = cluster.at('store-0');
      store.kill('power');
      store.drive.wipe();
      if (seed === 22) await cluster.clock.run(1000);
      store.start();
      await untilRefilled(cluster, store, 4800);
      await loseDiskAndReadAll(cluster, cluster.of('store')[1], programs[0]?.program ?? '');
      for (const turn of turns)
        assert.is(
          (await cluster.clock.finish('fetch', cluster.fetch(turn.program, turn.turn), 30000)).text,
          turn.text,
        );
    }
  },
);

refills.run();
