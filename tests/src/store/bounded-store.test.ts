/** What a store holds in memory is bounded by bytes. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Incarnation, seededRng, SimClock, SimDrive } from '@tillerstair/sim';
import { ReplicaStore, type ReplicaStoreLimits } from '@tillerstair/store';
import { storeItemBytes } from '@tillerstair/settings';
import { toRpcError } from '@tillerstair/wire';

const bounded = suite('the memory of a store');

const slot = 1;
const epoch = 1;
const valueBytes = 1000;
const maxItemBytes = 100_000;
const limits: ReplicaStoreLimits = {
  rewriteMinBytes: 1 << 30,
  retentionMs: 180_000,
  maxHints: 1000,
  maxItemBytes,
  minRetentionMs: 60_000,
};

const itemOf = (key: string, seq: number, bytes = valueBytes) => ({
  key,
  ownershipEpoch: epoch,
  seq,
  value: { t: 'pass', input: 'x'.repeat(bytes) },
});

const openStore = async (storeLimits: ReplicaStoreLimits = limits) => {
  const clock = new SimClock();
  const drive = new SimDrive(seededRng(1));
  const open = (nextLimits: ReplicaStoreLimits): Promise<ReplicaStore> =>
    clock.finish(
      'open',
      ReplicaStore.open(drive.disk(clock, new Incarnation()), clock, nextLimits),
      10_000,
    );
  const store = await open(storeLimits);
  const outcomeOf = (work: Promise<unknown>): Promise<string> =>
    clock.finish(
      'write',
      work.then(
        () => 'stored',
        (error: unknown) => toRpcError(error).code,
      ),
      10_000,
    );
  return { clock, store, outcomeOf, reopen: open };
};

type Opened = Awaited<ReturnType<typeof openStore>>;

/** Writes new items until one is refused; returns the number that was stored. */
const fill = async ({ store, outcomeOf }: Opened): Promise<number> => {
  for (let n = 0; n < 1000; n++) {
    const outcome = await outcomeOf(store.write(slot, epoch, [itemOf(`o/t/${n}`, n + 1)]));
    if (outcome === 'stored') continue;
    assert.is(outcome, 'store-full');
    return n;
  }
  throw new Error('no write was refused');
};

// Guards against stores that reach the end of their heap together, since all of them hold what callers stored (Fault).
bounded(
  'new items are refused before the memory is in use, outcomes of accepted ones are not',
  async () => {
    const opened = await openStore();
    const { store, outcomeOf } = opened;
    const count = await fill(opened);
    assert.ok(count > 30, `${count} items`);
    assert.ok(store.counts().itemBytes <= maxItemBytes * 0.85, `${store.counts().itemBytes} bytes`);
    assert.is(await outcomeOf(store.write(slot, epoch, [itemOf('o/t/0', 2000, 2000)])), 'stored');
    assert.is(await outcomeOf(store.write(slot, epoch, [itemOf('o/t/new', 2001)], true)), 'stored');
    const huge = itemOf('o/t/1', 2002, maxItemBytes);
    assert.is(await outcomeOf(store.write(slot, epoch, [huge])), 'store-full');
    assert.ok(store.counts().itemBytes <= maxItemBytes);
  },
);

/** A deployment that keeps turns, by its sheet: what its stores have to hold until items may expire. */
interface RetainingDeployment {
  readonly memoryMb: number;
  /** Turns of programs and of their helpers a second, over all stores. */
  readonly turnsPerSecond: number;
  readonly stores: number;
  readonly replicas: number;
}

const retentionS = 60;
const inputBytes = 3600;
const outputBytes = 1150;
const deployments: readonly RetainingDeployment[] = [
  { memoryMb: 200, turnsPerSecond: 425, stores: 10, replicas: 5 },
  { memoryMb: 340, turnsPerSecond: 145, stores: 3, replicas: 3 },
];

// Guards against stores that are full before retention lets anything go: all new work is refused then (RECOVER, SHORT).
bounded('a store holds the turns of the time for which they are kept', async () => {
  const body = Buffer.alloc(inputBytes, 200).toString('base64');
  const output = 'é'.repeat(outputBytes);
  for (const { memoryMb, turnsPerSecond, stores, replicas } of deployments) {
    const maxBytes = storeItemBytes(memoryMb);
    const { store, outcomeOf } = await openStore({ ...limits, maxItemBytes: maxBytes });
    const count = Math.ceil((turnsPerSecond * retentionS * replicas) / stores);
    const batch = 250;
    for (let first = 0; first < count; first += batch) {
      const items = Array.from({ length: batch }, (_, i) => ({
        key: `p/x-0123456789abcdef/t/${String(first + i).padStart(16, '0')}`,
        ownershipEpoch: epoch,
        seq: first + i + 1,
        value: { t: 'pass', status: 'done', after: '', cost: 120, input: body, output },
      }));
      const outcome = await outcomeOf(store.write(slot, epoch, items));
      assert.is(outcome, 'stored', `${first} of ${count} turns in ${maxBytes} bytes`);
    }
  }
});

bounded('hints count as items do, and give their memory back', async () => {
  const { store, outcomeOf } = await openStore();
  let hints = 0;
  while ((await outcomeOf(store.addHint('other', slot, [itemOf(`o/t/${hints}`, 1)]))) === 'stored')
    hints++;
  assert.ok(hints > 30 && hints < 200, `${hints} hints`);
  assert.ok(store.counts().itemBytes <= maxItemBytes);
  for (const { n } of store.hintsFor('other'))
    assert.is(await outcomeOf(store.removeHint(n)), 'stored');
  assert.is(store.counts().itemBytes, 0);
});

bounded('items expire at the required time once much of the memory is in use', async () => {
  const opened = await openStore();
  const { clock, store, outcomeOf } = opened;
  assert.is(await outcomeOf(store.write(slot, epoch, [itemOf('o/t/first', 1)])), 'stored');
  await clock.run(70_000);
  assert.is(await clock.finish('expire', store.dropExpired(), 10_000), 0);
  await fill(opened);
  assert.is(await clock.finish('expire', store.dropExpired(), 10_000), 1);
  await clock.run(50_000);
  assert.is(await clock.finish('expire', store.dropExpired(), 10_000), 0);
  await clock.run(11_000);
  assert.ok((await clock.finish('expire', store.dropExpired(0, 90_000), 10_000)) === 0);
  assert.ok((await clock.finish('expire', store.dropExpired(), 10_000)) > 30);
  assert.is(store.counts().itemBytes, 0);
});

// Guards against a store that ends again at each start, since its log holds more than its memory.
bounded('a log that holds more than the memory is opened without its oldest items', async () => {
  const opened = await openStore({ ...limits, maxItemBytes: 10 * maxItemBytes });
  const count = await fill(opened);
  const reopened = await opened.reopen(limits);
  const { itemBytes, droppedAtStart, items } = reopened.counts();
  assert.ok(itemBytes <= maxItemBytes && items > 0, `${itemBytes} bytes`);
  assert.is(droppedAtStart, count - items);
  assert.is(reopened.read(slot, epoch, 'o/t/0'), null);
  assert.ok(reopened.read(slot, epoch, `o/t/${count - 1}`));
});

bounded.run();
