/** Journals and data folders: torn and damaged logs, shared syncs, power losses, fences, and the folder's lock. */
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { FolderDisk, FolderInUseError, JournalDamagedError } from '@tillerstair/journal';
import { Incarnation, SimClock, SimDrive, seededRng } from '@tillerstair/sim';
import { ReplicaStore } from '@tillerstair/store';
import { openJournal } from './journal-fixture.js';

const journal = suite('journal and data folder');

const inFolder = async (use: (dir: string) => Promise<void>): Promise<void> => {
  const dir = await mkdtemp(join(tmpdir(), 'tillerstair-journal-'));
  await use(dir).finally(() => rm(dir, { recursive: true }));
};

journal('a torn tail is cut off, and records synced before it are kept', () =>
  inFolder(async (dir) => {
    const disk = await FolderDisk.acquire(dir);
    const { journal: log } = await openJournal(disk, 'a.log');
    await log.append({ n: 1 });
    await log.append({ n: 2 });
    await log.close();
    const path = join(dir, 'a.log');
    const logBytes = await readFile(path);
    for (let missingBytes = 1; missingBytes < 20; missingBytes++) {
      await writeFile(path, logBytes.subarray(0, logBytes.length - missingBytes));
      const reopened = await openJournal(disk, 'a.log');
      assert.equal(reopened.records, [{ n: 1 }]);
      await reopened.journal.append({ n: 3 });
      await reopened.journal.close();
      const extended = await openJournal(disk, 'a.log');
      assert.equal(extended.records, [{ n: 1 }, { n: 3 }]);
      await extended.journal.close();
    }
    await disk.release();
  }),
);

journal('a log that is damaged in the middle does not open, and the error names the byte', () =>
  inFolder(async (dir) => {
    const disk = await FolderDisk.acquire(dir);
    const { journal: log } = await openJournal(disk, 'a.log');
    for (let i = 0; i < 3; i++) await log.append({ n: i });
    await log.close();
    const path = join(dir, 'a.log');
    const bytes = await readFile(path);
    bytes.writeUInt8(bytes.readUInt8(12) ^ 1, 12);
    await writeFile(path, bytes);
    const error = await openJournal(disk, 'a.log').then(
      () => undefined,
      (thrown: unknown) => thrown,
    );
    assert.instance(error, JournalDamagedError);
    assert.match(String(error), 'byte 0');
    await disk.release();
  }),
);

journal(
  'a data folder is locked by one process at a time, and the lock of an ended process is ignored',
  () =>
    inFolder(async (dir) => {
      const disk = await FolderDisk.acquire(dir);
      const second = await FolderDisk.acquire(dir).then(
        () => undefined,
        (error: unknown) => error,
      );
      assert.instance(second, FolderInUseError);
      await disk.release();
      await writeFile(join(dir, 'lock'), '999999999 1');
      const third = await FolderDisk.acquire(dir);
      await third.release();
    }),
);

journal('concurrent appends share syncs', async () => {
  const clock = new SimClock();
  const drive = new SimDrive(seededRng(1));
  const opening = openJournal(drive.disk(clock, new Incarnation()), 'a.log');
  const { journal: log } = await clock.finish('open', opening, 1000);
  await clock.finish(
    'appends',
    Promise.all(Array.from({ length: 100 }, (_, i) => log.append({ n: i }))),
    10000,
  );
  assert.ok(log.syncCount <= 3, `${log.syncCount} syncs`);
});

journal(
  'a power loss at any step of a rewrite under load loses no acknowledged write',
  async () => {
    let rewrites = 0;
    for (let step = 0; step < 60; step++) {
      const clock = new SimClock();
      const drive = new SimDrive(seededRng(step));
      const incarnation = new Incarnation();
      const replicaStore = await clock.finish(
        'open',
        ReplicaStore.open(drive.disk(clock, incarnation), clock, {
          rewriteMinBytes: 600,
          retentionMs: 1e9,
          maxHints: 10,
        }),
        1000,
      );
      drive.crashAtStep = step;
      drive.onCrash = () => {
        incarnation.dead = true;
      };
      const acknowledged: string[] = [];
      for (let i = 0; i < 40; i++) {
        const key = `o/t/${i % 8}`;
        void replicaStore.write(1, 1, [{ key, ownershipEpoch: 1, seq: i + 1, value: i }]).then(
          () => acknowledged.push(`${key} ${i + 1}`),
          () => undefined,
        );
        if (i % 3 === 0) await clock.run(0.5);
      }
      await clock.run(50);
      if (!incarnation.dead && replicaStore.counts().bytes < 3000) rewrites++;
      drive.powerLoss();
      drive.crashAtStep = -1;
      const reopened = await clock.finish(
        'reopen',
        ReplicaStore.open(drive.disk(clock, new Incarnation()), clock, {
          rewriteMinBytes: 600,
          retentionMs: 1e9,
          maxHints: 10,
        }),
        1000,
      );
      const restored = new Map(
        reopened.pull(1, 0, { after: '' }).items.map((entry) => [entry.key, entry.seq]),
      );
      for (const write of acknowledged) {
        const separator = write.lastIndexOf(' ');
        assert.ok(
          (restored.get(write.slice(0, separator)) ?? 0) >= Number(write.slice(separator + 1)),
          `step ${step}: ${write} was acknowledged, restored ${restored.get(write.slice(0, separator)) ?? 'nothing'}`,
        );
      }
    }
    assert.ok(rewrites > 0, 'no run reached the end of a rewrite');
  },
);

journal('a store rejects ownership epochs below its fence, even after a power loss', async () => {
  const clock = new SimClock();
  const drive = new SimDrive(seededRng(3));
  const limits = { rewriteMinBytes: 1 << 20, retentionMs: 1e9, maxHints: 10 };
  const replicaStore = await clock.finish(
    'open',
    ReplicaStore.open(drive.disk(clock, new Incarnation()), clock, limits),
    1000,
  );
  await clock.finish('fence', replicaStore.fence(4, 7, { after: '' }), 1000);
  drive.powerLoss();
  const reopened = await clock.finish(
    'reopen',
    ReplicaStore.open(drive.disk(clock, new Incarnation()), clock, limits),
    1000,
  );
  const writing = reopened
    .write(4, 6, [{ key: 'o/t/x', ownershipEpoch: 6, seq: 1, value: 1 }])
    .then(
      () => 'taken',
      (error: unknown) => String(error),
    );
  const outcome = await clock.finish('write', writing, 1000);
  assert.match(outcome, 'fenced at ownership epoch 7');
});

journal(
  'a lock without a start time is ignored; the lock of a running process with a start time is not',
  () =>
    inFolder(async (dir) => {
      await writeFile(join(dir, 'lock'), `${process.pid} `);
      const disk = await FolderDisk.acquire(dir);
      const reopened = await FolderDisk.acquire(dir).then(
        () => 'taken',
        (error: unknown) => (error instanceof FolderInUseError ? 'in use' : String(error)),
      );
      assert.is(reopened, 'in use');
      await disk.release();
    }),
);

journal.run();
