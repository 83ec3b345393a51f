import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { FolderDisk, FolderInUseError, JournalDamagedError } from '@tillerstair/journal';
import { Incarnation, SimClock, SimDrive, seededRng } from '@tillerstair/sim';
import { ReplicaStore } from '@tillerstair/store';
import { openJournal } from './journal-rig.js';

const journal = suite('journal and disk');

const folder = async (work: (dir: string) => Promise<void>): Promise<void> => {
  const dir = await mkdtemp(join(tmpdir(), 'tillerstair-journal-'));
  await work(dir).finally(() => rm(dir, { recursive: true }));
};

journal('a torn tail is cut off, what was synced before it stays', () =>
  folder(async (dir) => {
    const disk = await FolderDisk.acquire(dir);
    const { journal: j } = await openJournal(disk, 'a.log');
    await j.append({ n: 1 });
    await j.append({ n: 2 });
    await j.close();
    const path = join(dir, 'a.log');
    const whole = await readFile(path);
    for (let cut = 1; cut < 20; cut++) {
      await writeFile(path, whole.subarray(0, whole.length - cut));
      const again = await openJournal(disk, 'a.log');
      assert.equal(again.records, [{ n: 1 }]);
      await again.journal.append({ n: 3 });
      await again.journal.close();
      const last = await openJournal(disk, 'a.log');
      assert.equal(last.records, [{ n: 1 }, { n: 3 }]);
      await last.journal.close();
    }
    await disk.release();
  }),
);

journal('a damaged middle refuses to open and says where', () =>
  folder(async (dir) => {
    const disk = await FolderDisk.acquire(dir);
    const { journal: j } = await openJournal(disk, 'a.log');
    for (let n = 0; n < 3; n++) await j.append({ n });
    await j.close();
    const path = join(dir, 'a.log');
    const bytes = await readFile(path);
    bytes.writeUInt8(bytes.readUInt8(12) ^ 1, 12);
    await writeFile(path, bytes);
    const errorCode = await openJournal(disk, 'a.log').then(
      () => undefined,
      (e: unknown) => e,
    );
    assert.instance(errorCode, JournalDamagedError);
    assert.match(String(errorCode), 'byte 0');
    await disk.release();
  }),
);

journal("a data folder is taken by one process only, and a dead one's lock does not hold", () =>
  folder(async (dir) => {
    const disk = await FolderDisk.acquire(dir);
    const second = await FolderDisk.acquire(dir).then(
      () => undefined,
      (e: unknown) => e,
    );
    assert.instance(second, FolderInUseError);
    await disk.release();
    await writeFile(join(dir, 'lock'), '999999999 1');
    const third = await FolderDisk.acquire(dir);
    await third.release();
  }),
);

journal('appends at once share syncs', async () => {
  const clock = new SimClock();
  const platter = new SimDrive(seededRng(1));
  const opening = openJournal(platter.disk(clock, new Incarnation()), 'a.log');
  const { journal: j } = await clock.finish('open', opening, 1000);
  await clock.finish(
    'appends',
    Promise.all(Array.from({ length: 100 }, (_, n) => j.append({ n }))),
    10000,
  );
  assert.ok(j.syncCount <= 3, `${j.syncCount} syncs`);
});

journal('power lost at every step of a rewrite under load loses nothing acknowledged', async () => {
  let rewrites = 0;
  for (let step = 0; step < 60; step++) {
    const clock = new SimClock();
    const platter = new SimDrive(seededRng(step));
    const life = new Incarnation();
    const replicaStore = await clock.finish(
      'open',
      ReplicaStore.open(platter.disk(clock, life), clock, {
        rewriteMinBytes: 600,
        retentionMs: 1e9,
        maxHints: 10,
      }),
      1000,
    );
    platter.crashAtStep = step;
    platter.onCrash = () => {
      life.dead = true;
    };
    const acked: string[] = [];
    for (let n = 0; n < 40; n++) {
      const key = `o/t/${n % 8}`;
      void replicaStore.write(1, 1, [{ key, ownershipEpoch: 1, seq: n + 1, value: n }]).then(
        () => acked.push(`${key} ${n + 1}`),
        () => undefined,
      );
      if (n % 3 === 0) await clock.run(0.5);
    }
    await clock.run(50);
    if (!life.dead && replicaStore.counts().bytes < 3000) rewrites++;
    platter.powerLoss();
    platter.crashAtStep = -1;
    const again = await clock.finish(
      'reopen',
      ReplicaStore.open(platter.disk(clock, new Incarnation()), clock, {
        rewriteMinBytes: 600,
        retentionMs: 1e9,
        maxHints: 10,
      }),
      1000,
    );
    const held = new Map(again.pull(1, 0, '').items.map((i) => [i.key, i.seq]));
    for (const a of acked) {
      const at = a.lastIndexOf(' ');
      assert.ok(
        (held.get(a.slice(0, at)) ?? 0) >= Number(a.slice(at + 1)),
        `step ${step}: ${a} was acknowledged, held ${held.get(a.slice(0, at)) ?? 'nothing'}`,
      );
    }
  }
  assert.ok(rewrites > 0, 'no run reached the end of a rewrite');
});

journal('a store refuses ownership epochs below its fence, after power loss too', async () => {
  const clock = new SimClock();
  const platter = new SimDrive(seededRng(3));
  const bounds = { rewriteMinBytes: 1 << 20, retentionMs: 1e9, maxHints: 10 };
  const replicaStore = await clock.finish(
    'open',
    ReplicaStore.open(platter.disk(clock, new Incarnation()), clock, bounds),
    1000,
  );
  await clock.finish('fence', replicaStore.fence(4, 7, ''), 1000);
  platter.powerLoss();
  const again = await clock.finish(
    'reopen',
    ReplicaStore.open(platter.disk(clock, new Incarnation()), clock, bounds),
    1000,
  );
  const writing = again.write(4, 6, [{ key: 'o/t/x', ownershipEpoch: 6, seq: 1, value: 1 }]).then(
    () => 'taken',
    (e: unknown) => String(e),
  );
  const low = await clock.finish('write', writing, 1000);
  assert.match(low, 'fenced at ownership epoch 7');
});

journal(
  'a lock that does not say when its holder began holds nobody off, one that does and lives does',
  () =>
    folder(async (dir) => {
      await writeFile(join(dir, 'lock'), `${process.pid} `);
      const disk = await FolderDisk.acquire(dir);
      const again = await FolderDisk.acquire(dir).then(
        () => 'taken',
        (e: unknown) => (e instanceof FolderInUseError ? 'held' : String(e)),
      );
      assert.is(again, 'held');
      await disk.release();
    }),
);

journal.run();
