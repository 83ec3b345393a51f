/** Pulling of a slot from several replicas, each of which holds a part of its items. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Item, PageRequest } from '@tillerstair/state';
import { Incarnation, seededRng, SimClock, SimDrive } from '@tillerstair/sim';
import { ReplicaStore, SlotPull } from '@tillerstair/store';
import { ReplicaError, toRpcError, UnavailableError } from '@tillerstair/wire';

const pulls = suite('pulling a slot');

const slot = 3;
const epoch = 7;
const quorum = 2;
const requestTimeoutMs = 1800;
const unlimited = { rewriteMinBytes: 1 << 30, retentionMs: 1e9, maxHints: 10 };

const itemOf = (key: string, seq: number, bytes = 10): Item => ({
  key,
  ownershipEpoch: epoch - 1,
  seq,
  value: 'x'.repeat(bytes),
});

interface Request {
  readonly source: string;
  readonly page: PageRequest;
}

/** A store that pulls, and its sources by id. */
const setUp = async (itemsOfSources: Readonly<Record<string, readonly Item[]>>) => {
  const clock = new SimClock();
  const open = (drive = new SimDrive(seededRng(1))): Promise<ReplicaStore> => {
    const disk = drive.disk(clock, new Incarnation());
    return clock.finish('open', ReplicaStore.open(disk, clock, unlimited), 1000);
  };
  const sources = new Map<string, ReplicaStore>();
  for (const [id, items] of Object.entries(itemsOfSources)) {
    const source = await open();
    await clock.finish('write', source.write(slot, epoch - 1, items), 1000);
    await clock.finish('fence', source.fence(slot, epoch, { after: '' }), 1000);
    sources.set(id, source);
  }
  const drive = new SimDrive(seededRng(2));
  const target = await open(drive);
  const requests: Request[] = [];
  const failing = new Set<string>();
  const beforeItems: (() => Promise<unknown>)[] = [];
  const epochs = { current: epoch };
  const pull = new SlotPull({
    slot,
    quorum: () => quorum,
    replicaStore: target,
    clock,
    requestTimeoutMs,
    isCurrent: () => epochs.current === epoch,
    limitRequests: (task) => task(),
    requestPage: async (source, page) => {
      requests.push({ source, page });
      if (page.keys) await beforeItems.shift()?.();
      const replica = sources.get(source);
      if (!replica || (page.keys && failing.has(source)))
        throw new ReplicaError('away', `${source} is away`);
      return replica.pull(slot, epoch, page);
    },
  });
  const run = (): Promise<number | string> =>
    clock.finish(
      'pull',
      pull.run([...sources.keys()]).catch((error: unknown) => toRpcError(error).code),
      10_000,
    );
  const stored = (): readonly string[] =>
    (target.pull(slot, 0, { after: '', list: true }).versions ?? [])
      .map(({ key, seq }) => `${key}.${seq}`)
      .sort();
  const fetchedKeys = (): readonly string[] =>
    requests.flatMap(({ page }) => page.keys ?? []).sort();
  const state = { clock, sources, drive, target, requests, failing, beforeItems, epochs };
  return { ...state, run, stored, fetchedKeys };
};

// Guards against a refill that copies every item from each replica of a quorum, so that large slots miss catchUpS (LOST).
pulls('each item is fetched once, in its newest version', async () => {
  const pulling = await setUp({
    one: [itemOf('a', 1), itemOf('b', 2), itemOf('c', 9)],
    two: [itemOf('a', 1), itemOf('b', 5), itemOf('d', 4)],
  });
  assert.is(await pulling.run(), 4);
  assert.equal(pulling.stored(), ['a.1', 'b.5', 'c.9', 'd.4']);
  assert.equal(pulling.fetchedKeys(), ['a', 'b', 'c', 'd']);
});

pulls('large items are divided among the replicas that hold them', async () => {
  const items = Array.from({ length: 8 }, (_, i) => itemOf(`k${i}`, i + 1, 100_000));
  const pulling = await setUp({ one: items, two: items });
  assert.is(await pulling.run(), items.length);
  const fetches = pulling.requests.filter(({ page }) => page.keys);
  assert.is(fetches.length, items.length);
  assert.is(fetches.filter(({ source }) => source === 'one').length, items.length / 2);
});

pulls('items that the store holds already are not fetched again', async () => {
  const pulling = await setUp({ one: [itemOf('a', 1), itemOf('b', 2)], two: [itemOf('a', 1)] });
  const held = pulling.target.acceptHandoff(slot, [itemOf('a', 1)]);
  await pulling.clock.finish('hand-off', held, 1000);
  assert.is(await pulling.run(), 1);
  assert.equal(pulling.fetchedKeys(), ['b']);
});

pulls(
  'a pull fails while a replica does not return its items, and the next one continues',
  async () => {
    const items = Array.from({ length: 4 }, (_, i) => itemOf(`k${i}`, i + 1, 100_000));
    const pulling = await setUp({ one: items, two: items });
    pulling.failing.add('two');
    assert.is(await pulling.run(), 'away');
    assert.is(pulling.stored().length, 2);
    pulling.failing.delete('two');
    assert.is(await pulling.run(), 2);
    assert.is(pulling.stored().length, 4);
  },
);

pulls('the next pull prefers replicas that returned their items', async () => {
  const items = [itemOf('a', 1)];
  const pulling = await setUp({ one: items, two: items, three: items });
  pulling.failing.add('one');
  assert.is(await pulling.run(), 'away');
  pulling.requests.length = 0;
  assert.is(await pulling.run(), 1);
  assert.ok(pulling.requests.every(({ source }) => source !== 'one'));
});

pulls('a pull fails while the items that the store holds cannot be synced', async () => {
  const pulling = await setUp({ one: [itemOf('a', 1)], two: [itemOf('a', 1)] });
  pulling.drive.failSyncs = true;
  const held = pulling.target.acceptHandoff(slot, [itemOf('a', 1)]).catch(() => undefined);
  await pulling.clock.finish('hand-off', held, 10_000);
  assert.is(await pulling.run(), 'unavailable');
});

// Guards against copies of a slot for an ownership epoch that is over, beside those for the next one.
pulls('a pull fetches nothing once the slot has another ownership epoch', async () => {
  const pulling = await setUp({ one: [itemOf('a', 1)], two: [itemOf('b', 1)] });
  pulling.epochs.current++;
  assert.is(await pulling.run(), 'unavailable');
  assert.equal(pulling.fetchedKeys(), []);
});

pulls('fewer replicas than a quorum are not enough', async () => {
  const pulling = await setUp({ one: [itemOf('a', 1)] });
  assert.is(await pulling.run(), 'unavailable');
  assert.equal(pulling.stored(), []);
});

pulls('an item that is dropped by one replica is fetched from another that lists it', async () => {
  const pulling = await setUp({ one: [itemOf('o/a', 1)], two: [itemOf('o/a', 1)] });
  const one = pulling.sources.get('one');
  pulling.beforeItems.push(() => one?.dropReassignedSlots(() => epoch) ?? Promise.resolve());
  assert.is(await pulling.run(), new UnavailableError('unavailable', '').code);
  assert.is(await pulling.run(), 1);
  assert.equal(pulling.stored(), ['o/a.1']);
});

pulls(
  'an item that is overwritten while it is fetched is stored in its newer version',
  async () => {
    const pulling = await setUp({ one: [itemOf('a', 1)], two: [itemOf('b', 1)] });
    const one = pulling.sources.get('one');
    pulling.beforeItems.push(() => one?.write(slot, epoch, [itemOf('a', 3)]) ?? Promise.resolve());
    assert.is(await pulling.run(), 2);
    assert.equal(pulling.stored(), ['a.3', 'b.1']);
  },
);

pulls.run();
