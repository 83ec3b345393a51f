/** A store's replicas: fencing, replacement of items, paging, hints, retention, and a damaged replica log. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Incarnation, SimClock, SimDrive, seededRng } from '@tillerstair/sim';
import type { Item } from '@tillerstair/state';
import { openStoreDisk, ReplicaStore } from '@tillerstair/store';
import { silentLogger } from '@tillerstair/wire';

const replicas = suite('replica store');

const retentionMs = 60000;
const limits = { rewriteMinBytes: 1 << 30, retentionMs, maxHints: 2 };

const item = (key: string, ownershipEpoch: number, seq: number, value: unknown = seq): Item => ({
  key,
  ownershipEpoch,
  seq,
  value,
});

const open = (clock: SimClock, drive: SimDrive): Promise<ReplicaStore> => {
  const timings = { clock, syncTimeoutMs: 1500, retryIntervalMs: 250 };
  const disk = drive.disk(clock, new Incarnation());
  return clock.finish('open', ReplicaStore.open(disk, clock, limits, timings), 5000);
};

const setUp = async () => {
  const clock = new SimClock();
  const drive = new SimDrive(seededRng(1));
  const store = await open(clock, drive);
  const outcomeOf = (work: Promise<unknown>): Promise<string> =>
    clock.finish(
      'work',
      work.then(
        () => 'done',
        (error: unknown) =>
          error instanceof Error && 'code' in error ? String(error.code) : String(error),
      ),
      10000,
    );
  return { clock, drive, store, outcomeOf };
};

const codeOf = (work: () => unknown): string => {
  try {
    work();
    return 'done';
  } catch (error) {
    return error instanceof Error && 'code' in error ? String(error.code) : String(error);
  }
};

const keysOf = (store: ReplicaStore, slot: number): readonly string[] =>
  store.pull(slot, 0, { after: '' }).items.map((entry) => entry.key);

replicas('writes, fences and reads below the fence are rejected and change nothing', async () => {
  const { store, outcomeOf } = await setUp();
  assert.is(await outcomeOf(store.write(1, 5, [item('a', 5, 1)])), 'done');
  assert.is(await outcomeOf(store.fence(1, 7, { after: '' })), 'done');
  assert.is(await outcomeOf(store.write(1, 6, [item('a', 6, 9)])), 'stale-epoch');
  assert.is(await outcomeOf(store.fence(1, 6, { after: '' })), 'stale-epoch');
  assert.is(await outcomeOf(Promise.resolve().then(() => store.read(1, 6, 'a'))), 'stale-epoch');
  assert.equal(store.pull(1, 7, { after: '' }).items, [item('a', 5, 1)]);
  assert.is(await outcomeOf(store.write(2, 1, [item('a', 1, 1)])), 'done');
});

replicas(
  'a write raises the fence to its ownership epoch; an older write never lowers it',
  async () => {
    const { store, outcomeOf, clock, drive } = await setUp();
    assert.is(await outcomeOf(store.write(1, 5, [item('a', 5, 1)])), 'done');
    assert.is(await outcomeOf(store.write(1, 4, [item('b', 4, 1)])), 'stale-epoch');
    assert.is(await outcomeOf(store.acceptHandoff(1, [item('c', 2, 1)])), 'done');
    assert.is(await outcomeOf(store.write(1, 4, [item('b', 4, 1)])), 'stale-epoch');
    drive.powerLoss();
    const reopened = await open(clock, drive);
    assert.is(await outcomeOf(reopened.write(1, 4, [item('b', 4, 1)])), 'stale-epoch');
    assert.is(await outcomeOf(reopened.write(1, 5, [item('b', 5, 2)])), 'done');
  },
);

replicas(
  'an item is only replaced by a newer one, compared by ownership epoch, then by sequence',
  async () => {
    const { store, outcomeOf } = await setUp();
    await outcomeOf(store.acceptHandoff(1, [item('a', 2, 5)]));
    for (const older of [item('a', 1, 9), item('a', 2, 4)]) {
      await outcomeOf(store.write(1, 0, [older]));
      await outcomeOf(store.acceptHandoff(1, [older]));
      assert.equal(store.pull(1, 0, { after: '' }).items, [item('a', 2, 5)]);
    }
    await outcomeOf(store.acceptHandoff(1, [item('a', 3, 1)]));
    assert.equal(store.pull(1, 0, { after: '' }).items, [item('a', 3, 1)]);
  },
);

replicas('a pull is rejected before the slot is fenced', async () => {
  const { store, outcomeOf } = await setUp();
  await outcomeOf(store.write(1, 5, [item('a', 5, 1)]));
  assert.is(
    codeOf(() => store.pull(1, 6, { after: '' })),
    'not-fenced',
  );
  await outcomeOf(store.fence(1, 6, { after: '' }));
  assert.is(store.pull(1, 6, { after: '' }).items.length, 1);
});

replicas('a page that follows a dropped item is rejected', async () => {
  const { store, outcomeOf } = await setUp();
  await outcomeOf(store.write(1, 5, [item('a', 5, 1), item('b', 5, 2)]));
  assert.equal(
    store.pull(1, 5, { after: 'a' }).items.map((entry) => entry.key),
    ['b'],
  );
  assert.is(
    codeOf(() => store.pull(1, 5, { after: 'c' })),
    'page-gone',
  );
});

replicas('a page ends at the size limit, and the next one follows its last item', async () => {
  const { store, outcomeOf } = await setUp();
  const text = 'x'.repeat(50 << 10);
  for (let i = 0; i < 7; i++) await outcomeOf(store.write(1, 1, [item(`k${i}`, 1, i, text)]));
  const first = store.pull(1, 1, { after: '' });
  assert.equal(
    first.items.map((entry) => entry.key),
    ['k0', 'k1', 'k2'],
  );
  assert.is(first.next, 'k2');
  assert.equal(
    store.pull(1, 1, { after: first.next }).items.map((entry) => entry.key),
    ['k3', 'k4', 'k5'],
  );
});

replicas('while the disk is full, writes are rejected before they change memory', async () => {
  const { store, outcomeOf, drive } = await setUp();
  await outcomeOf(store.write(1, 5, [item('a', 5, 1)]));
  drive.full = true;
  assert.is(await outcomeOf(store.write(1, 5, [item('b', 5, 2)])), 'unavailable');
  assert.is(await outcomeOf(store.write(1, 5, [item('c', 5, 3)])), 'unavailable');
  assert.is(await outcomeOf(store.fence(1, 9, { after: '' })), 'unavailable');
  assert.equal(keysOf(store, 1), ['a', 'b']);
  assert.is(await outcomeOf(Promise.resolve().then(() => store.read(1, 5, 'a'))), 'done');
});

replicas(
  'a fence and a handoff that change nothing wait until all items in memory are synced',
  async () => {
    const { store, outcomeOf, drive } = await setUp();
    await outcomeOf(store.write(1, 5, [item('a', 5, 1)]));
    drive.failSyncs = true;
    assert.is(await outcomeOf(store.fence(1, 5, { after: '' })), 'unavailable');
    assert.is(await outcomeOf(store.acceptHandoff(1, [item('a', 5, 1)])), 'unavailable');
    assert.is(await outcomeOf(store.waitForSync()), 'unavailable');
    assert.is(await outcomeOf(store.fence(1, 5, { after: 'a' })), 'done');
  },
);

replicas('hints are rejected once the limit is reached', async () => {
  const { store, outcomeOf } = await setUp();
  assert.is(await outcomeOf(store.addHint('x', 1, [item('a', 1, 1)])), 'done');
  assert.is(await outcomeOf(store.addHint('y', 1, [item('a', 1, 2)])), 'done');
  assert.is(await outcomeOf(store.addHint('x', 1, [item('a', 1, 3)])), 'hints-full');
  const [first] = store.hintsFor('x');
  assert.ok(first);
  assert.is(await outcomeOf(store.removeHint(first.n)), 'done');
  assert.is(await outcomeOf(store.addHint('x', 1, [item('a', 1, 3)])), 'done');
  assert.equal([...store.hintTargets()].sort(), ['x', 'y']);
});

replicas('hints and their numbers survive a restart', async () => {
  const { store, outcomeOf, clock, drive } = await setUp();
  await outcomeOf(store.addHint('x', 1, [item('a', 1, 1)]));
  await outcomeOf(store.addHint('x', 1, [item('a', 1, 2)]));
  const numbers = store.hintsFor('x').map((hint) => hint.n);
  await outcomeOf(store.removeHint(numbers[0] ?? 0));
  drive.powerLoss();
  const reopened = await open(clock, drive);
  await outcomeOf(reopened.addHint('x', 2, [item('b', 1, 1)]));
  const numbersAfter = reopened.hintsFor('x').map((hint) => hint.n);
  assert.is(numbersAfter.length, 2);
  assert.is(numbersAfter[0], numbers[1]);
  assert.ok((numbersAfter[1] ?? 0) > (numbers[1] ?? 0));
});

replicas(
  'only items neither written nor fenced within the retention time are dropped',
  async () => {
    const { store, outcomeOf, clock } = await setUp();
    await outcomeOf(store.write(1, 5, [item('a', 5, 1)]));
    await outcomeOf(store.write(2, 5, [item('b', 5, 1)]));
    await clock.run(retentionMs - 1000);
    assert.is(await outcomeOf(store.fence(1, 6, { after: '' })), 'done');
    assert.is(await clock.finish('drop', store.dropExpired(), 1000), 0);
    await clock.run(2000);
    assert.is(await clock.finish('drop', store.dropExpired(10 * retentionMs), 1000), 0);
    assert.is(await clock.finish('drop', store.dropExpired(), 1000), 1);
    assert.equal([keysOf(store, 1), keysOf(store, 2)], [['a'], []]);
  },
);

replicas(
  'a reassigned slot is dropped only by a state that is not older than its fence',
  async () => {
    const { store, outcomeOf } = await setUp();
    await outcomeOf(store.write(1, 5, [item('a', 5, 1)]));
    await outcomeOf(store.write(2, 5, [item('b', 5, 1)]));
    await outcomeOf(store.dropReassignedSlots((slot) => (slot === 1 ? 4 : -1)));
    assert.equal([keysOf(store, 1), keysOf(store, 2)], [['a'], ['b']]);
    await outcomeOf(store.dropReassignedSlots((slot) => (slot === 1 ? 5 : -1)));
    assert.equal([keysOf(store, 1), keysOf(store, 2)], [[], ['b']]);
    assert.is(await outcomeOf(store.write(1, 4, [item('a', 4, 1)])), 'stale-epoch');
  },
);

replicas('a turn is found with the turns before it, and a cycle of turns terminates', async () => {
  const { store, outcomeOf } = await setUp();
  const turn = (name: string, after: string, seq: number): Item =>
    item(`p/x/t/${name}`, 1, seq, { after });
  await outcomeOf(store.write(1, 1, [turn('one', 'two', 1)]));
  await outcomeOf(store.write(2, 1, [turn('two', 'one', 2)]));
  assert.equal(
    store.findTurns('one').map((entry) => entry.key),
    ['p/x/t/one', 'p/x/t/two'],
  );
  await outcomeOf(store.write(3, 1, [item('p/y/t/one', 1, 3, { after: '' })]));
  await outcomeOf(store.dropReassignedSlots((slot) => (slot === 1 ? 1 : -1)));
  assert.equal(
    store.findTurns('one').map((entry) => entry.seq),
    [3],
  );
  await outcomeOf(store.dropReassignedSlots((slot) => (slot === 3 ? 1 : -1)));
  assert.equal(store.findTurns('one'), []);
});

replicas(
  'a store with a damaged replica log starts under a new id, and keeps that id',
  async () => {
    const { store, outcomeOf, clock, drive } = await setUp();
    await outcomeOf(store.write(1, 5, [item('a', 5, 1)]));
    await outcomeOf(store.write(1, 5, [item('b', 5, 2)]));
    const openAs = (freshId: string) =>
      clock.finish(
        'open',
        openStoreDisk({
          disk: drive.disk(clock, new Incarnation()),
          clock,
          timings: { clock, syncTimeoutMs: 1500, retryIntervalMs: 250, log: silentLogger },
          limits: limits,
          freshId: () => freshId,
          rewriteMinBytes: 1 << 30,
        }),
        5000,
      );
    assert.is((await openAs('first')).electionStore.persisted.id, 'first');
    drive.corrupt('store.log', 12);
    const opened = await openAs('second');
    assert.is(opened.electionStore.persisted.id, 'second');
    assert.equal(keysOf(opened.replicaStore, 1), []);
    assert.ok(drive.list().includes('store.log.damaged'));
    assert.ok(drive.list().includes('zen.log.damaged'));
    assert.is((await openAs('third')).electionStore.persisted.id, 'second');
  },
);

replicas.run();
