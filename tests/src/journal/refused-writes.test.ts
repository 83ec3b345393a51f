/** Writes that a journal rejects after a failed or late write, until its file is known to be complete again. */
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

const refusals = suite('rejected writes of a journal');

interface OpenedLog {
  readonly journal: Journal;
  readonly records: unknown[];
}

/** Opens a log whose owner collects the restored records, from which a recovery rewrites the file. */
const open = async (
  fixture: JournalFixture,
  disk: Disk = fixture.drive.disk(fixture.clock, new Incarnation()),
): Promise<OpenedLog> => {
  const opened = await fixture.clock.finish(
    'open',
    Journal.open(disk, 'a.log', fixture.pace, (journal) => {
      const records: unknown[] = [];
      return { journal, records, restore: (record: unknown) => void records.push(record) };
    }),
    60000,
  );
  opened.journal.recoverFrom(() => [...opened.records]);
  return opened;
};

/** Adds a record to the owner's records and appends it to the log. */
const append = (
  fixture: JournalFixture,
  { journal, records }: OpenedLog,
  record: unknown,
): Promise<string> => {
  records.push(record);
  return outcomeOf(fixture, journal.append(record));
};

/** The execution status of `work`: 'yes' if it succeeds, otherwise that of its error. */
const executedOf = (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'yes',
    (error: unknown) =>
      error instanceof JournalUnavailableError ? error.executed : 'another error',
  );

/** The records that survive a power loss. */
const recordsOnDisk = async (fixture: JournalFixture): Promise<readonly unknown[]> => {
  fixture.drive.powerLoss();
  return (await open(fixture)).records;
};

refusals(
  'the execution status of a failed write is unknown, and that of the next writes is no',
  async () => {
    const fixture = createFixture(1);
    const opened = await open(fixture);
    fixture.drive.failSyncs = true;
    const first = await fixture.clock.finish('first', executedOf(opened.journal.append(1)), 5000);
    assert.is(first, 'unknown');
    const second = await fixture.clock.finish('second', executedOf(opened.journal.append(2)), 5000);
    assert.is(second, 'no');
    assert.throws(() => opened.journal.requireWritable(), /cannot be written/);
  },
);

refusals('a torn tail is cut off, so that later appends start on a new line', async () => {
  const fixture = createFixture(1);
  const opened = await open(fixture);
  assert.is(await append(fixture, opened, 1), 'done');
  const file = await fixture.clock.finish(
    'file',
    fixture.drive.disk(fixture.clock, new Incarnation()).open('a.log'),
    1000,
  );
  await fixture.clock.finish('torn', file.append(Buffer.from('1234abcd [to')), 1000);
  await fixture.clock.finish('sync', file.sync(), 1000);
  const reopened = await open(fixture);
  assert.equal(reopened.records, [1]);
  assert.is(await append(fixture, reopened, 2), 'done');
  assert.equal(await recordsOnDisk(fixture), [1, 2]);
});

refusals('a write that ends after its timeout acknowledges no append', async () => {
  const fixture = createFixture(1);
  const opened = await open(fixture);
  fixture.drive.stalled = true;
  const late = executedOf(opened.journal.append(1));
  assert.is(await fixture.clock.finish('late', late, 5000), 'unknown');
  assert.is(opened.journal.writable, false);
  fixture.drive.stalled = false;
  await fixture.clock.run(500);
  assert.is(opened.journal.writable, true);
});

refusals(
  'a record that was pending behind a late write is rewritten before any other is appended',
  async () => {
    const fixture = createFixture(1);
    const opened = await open(fixture);
    fixture.drive.stalled = true;
    const first = append(fixture, opened, 1);
    await fixture.clock.run(10);
    const waiting = append(fixture, opened, 2);
    assert.equal(await Promise.all([first, waiting]), ['unavailable', 'unavailable']);
    fixture.drive.stalled = false;
    await fixture.clock.run(500);
    assert.is(opened.journal.writable, true);
    assert.equal(await recordsOnDisk(fixture), [1, 2]);
  },
);

refusals(
  'a rewrite is not started while another one runs or while appends are rejected',
  async () => {
    const fixture = createFixture(1);
    const opened = await open(fixture);
    assert.is(await append(fixture, opened, 1), 'done');
    let snapshots = 0;
    const snapshot = (): readonly unknown[] => {
      snapshots++;
      return [...opened.records];
    };
    const both = [opened.journal.rewrite(snapshot), opened.journal.rewrite(snapshot)];
    await fixture.clock.finish('rewrites', Promise.all(both), 5000);
    assert.is(snapshots, 1);
    fixture.drive.full = true;
    assert.is(await append(fixture, opened, 2), 'unavailable');
    void opened.journal.rewrite(snapshot);
    fixture.drive.full = false;
    await fixture.clock.run(1000);
    assert.is(snapshots, 1);
    assert.equal(await recordsOnDisk(fixture), [1, 2]);
  },
);

refusals('a rewrite that was queued behind a write that fails is skipped', async () => {
  const fixture = createFixture(1);
  const journal = await fixture.clock.finish(
    'open',
    Journal.open(
      fixture.drive.disk(fixture.clock, new Incarnation()),
      'a.log',
      fixture.pace,
      (opened) => ({
        opened,
        restore: () => undefined,
      }),
    ),
    1000,
  );
  let snapshots = 0;
  fixture.drive.stalled = true;
  const first = outcomeOf(fixture, journal.opened.append(1));
  await fixture.clock.run(10);
  const rewritten = journal.opened.rewrite(() => {
    snapshots++;
    return [];
  });
  fixture.drive.failSyncs = true;
  fixture.drive.stalled = false;
  assert.is(await first, 'unavailable');
  await fixture.clock.finish('rewritten', rewritten, 5000);
  assert.is(snapshots, 0);
  assert.is(journal.opened.writable, false);
});

refusals('only transient disk errors are retried', async () => {
  const fixture = createFixture(1);
  let attempts = 0;
  const failing = (code: string) => async (): Promise<number> => {
    attempts++;
    await Promise.resolve();
    if (attempts < 3) throw Object.assign(new Error(code), { code });
    return attempts;
  };
  assert.is(
    await fixture.clock.finish(
      'full',
      retryTransientDiskErrors(fixture.pace, 'a.log', failing('ENOSPC')),
      5000,
    ),
    3,
  );
  attempts = 0;
  const denied = retryTransientDiskErrors(fixture.pace, 'a.log', failing('EACCES'));
  assert.is(await outcomeOf(fixture, denied), 'EACCES');
  assert.is(attempts, 1);
});

refusals.run();
