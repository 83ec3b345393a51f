/** What a journal refuses from a failed or overlong write until its file is known to be complete again. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  Journal,
  JournalUnavailableError,
  retryTransientDiskErrors,
  type Disk,
} from '@tillerstair/journal';
import { Incarnation } from '@tillerstair/sim';
import { outcomeOf, createFixture, type JournalFixture } from './journal-fixture.js';

const refusals = suite('refused writes of a journal');

interface Opened {
  readonly journal: Journal;
  readonly records: unknown[];
}

/** Opens a log whose owner holds what it was handed, and whose file is written anew from that. */
const open = async (
  r: JournalFixture,
  disk: Disk = r.platter.disk(r.clock, new Incarnation()),
): Promise<Opened> => {
  const opened = await r.clock.finish(
    'open',
    Journal.open(disk, 'a.log', r.timings, (journal) => {
      const records: unknown[] = [];
      return { journal, records, restore: (record: unknown) => void records.push(record) };
    }),
    60000,
  );
  opened.journal.recoverFrom(() => [...opened.records]);
  return opened;
};

const append = (
  r: JournalFixture,
  { journal, records }: Opened,
  record: unknown,
): Promise<string> => {
  records.push(record);
  return outcomeOf(r, journal.append(record));
};

const executedOf = (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'yes',
    (e: unknown) => (e instanceof JournalUnavailableError ? e.executed : 'another error'),
  );

const recordsOnDisk = async (r: JournalFixture): Promise<readonly unknown[]> => {
  r.platter.powerLoss();
  return (await open(r)).records;
};

refusals(
  'of a failed write it is unknown whether it was executed, the next ones are not',
  async () => {
    const r = createFixture(1);
    const opened = await open(r);
    r.platter.failSyncs = true;
    const first = await r.clock.finish('first', executedOf(opened.journal.append(1)), 5000);
    assert.is(first, 'unknown');
    const second = await r.clock.finish('second', executedOf(opened.journal.append(2)), 5000);
    assert.is(second, 'no');
    assert.throws(() => opened.journal.requireWritable(), /cannot be written/);
  },
);

refusals('a torn tail is cut off, so that later appends stand on lines of their own', async () => {
  const r = createFixture(1);
  const opened = await open(r);
  assert.is(await append(r, opened, 1), 'done');
  const file = await r.clock.finish(
    'file',
    r.platter.disk(r.clock, new Incarnation()).open('a.log'),
    1000,
  );
  await r.clock.finish('torn', file.append(Buffer.from('1234abcd [to')), 1000);
  await r.clock.finish('sync', file.sync(), 1000);
  const again = await open(r);
  assert.equal(again.records, [1]);
  assert.is(await append(r, again, 2), 'done');
  assert.equal(await recordsOnDisk(r), [1, 2]);
});

refusals('a write that ends after its bound counts for nobody', async () => {
  const r = createFixture(1);
  const opened = await open(r);
  r.platter.stalled = true;
  const late = executedOf(opened.journal.append(1));
  assert.is(await r.clock.finish('late', late, 5000), 'unknown');
  assert.is(opened.journal.writable, false);
  r.platter.stalled = false;
  await r.clock.run(500);
  assert.is(opened.journal.writable, true);
});

refusals(
  'a record that waited behind an overlong write is written anew before any other',
  async () => {
    const r = createFixture(1);
    const opened = await open(r);
    r.platter.stalled = true;
    const first = append(r, opened, 1);
    await r.clock.run(10);
    const waiting = append(r, opened, 2);
    assert.equal(await Promise.all([first, waiting]), ['unavailable', 'unavailable']);
    r.platter.stalled = false;
    await r.clock.run(500);
    assert.is(opened.journal.writable, true);
    assert.equal(await recordsOnDisk(r), [1, 2]);
  },
);

refusals(
  'a rewrite is not begun while another is under way, or while nothing is taken',
  async () => {
    const r = createFixture(1);
    const opened = await open(r);
    assert.is(await append(r, opened, 1), 'done');
    let snapshots = 0;
    const snapshot = (): readonly unknown[] => {
      snapshots++;
      return [...opened.records];
    };
    const both = [opened.journal.rewrite(snapshot), opened.journal.rewrite(snapshot)];
    await r.clock.finish('rewrites', Promise.all(both), 5000);
    assert.is(snapshots, 1);
    r.platter.full = true;
    assert.is(await append(r, opened, 2), 'unavailable');
    void opened.journal.rewrite(snapshot);
    r.platter.full = false;
    await r.clock.run(1000);
    assert.is(snapshots, 1);
    assert.equal(await recordsOnDisk(r), [1, 2]);
  },
);

refusals('a rewrite that waited for a write that failed is not made', async () => {
  const r = createFixture(1);
  const journal = await r.clock.finish(
    'open',
    Journal.open(r.platter.disk(r.clock, new Incarnation()), 'a.log', r.timings, (opened) => ({
      opened,
      restore: () => undefined,
    })),
    1000,
  );
  let snapshots = 0;
  r.platter.stalled = true;
  const first = outcomeOf(r, journal.opened.append(1));
  await r.clock.run(10);
  const rewritten = journal.opened.rewrite(() => {
    snapshots++;
    return [];
  });
  r.platter.failSyncs = true;
  r.platter.stalled = false;
  assert.is(await first, 'unavailable');
  await r.clock.finish('rewritten', rewritten, 5000);
  assert.is(snapshots, 0);
  assert.is(journal.opened.writable, false);
});

refusals('only a disk that takes no bytes is waited for', async () => {
  const r = createFixture(1);
  let attempts = 0;
  const failing = (code: string) => async (): Promise<number> => {
    attempts++;
    await Promise.resolve();
    if (attempts < 3) throw Object.assign(new Error(code), { code });
    return attempts;
  };
  assert.is(
    await r.clock.finish(
      'full',
      retryTransientDiskErrors(r.timings, 'a.log', failing('ENOSPC')),
      5000,
    ),
    3,
  );
  attempts = 0;
  const denied = retryTransientDiskErrors(r.timings, 'a.log', failing('EACCES'));
  assert.is(await outcomeOf(r, denied), 'EACCES');
  assert.is(attempts, 1);
});

refusals.run();
