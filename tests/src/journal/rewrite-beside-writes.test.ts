/** Writes to a log while it is rewritten on a slow disk. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Disk } from '@tillerstair/journal';
import { Incarnation, seededRng, SimClock, SimDrive } from '@tillerstair/sim';
import { ReplicaStore } from '@tillerstair/store';
import { delay } from '@tillerstair/wire';

const rewrites = suite('rewriting a log beside writes');

const replaceMs = 3000;
/** Time after which an owner gives up a write to a replica in the deployment with the shortest one, in ms. */
const putTimeoutMs = 900;
const limits = { rewriteMinBytes: 1 << 14, retentionMs: 1e9, maxHints: 10 };
const valueBytes = 4000;
const timings = { syncTimeoutMs: 1500, retryIntervalMs: 250 };

/** A disk on which the replacement of a file takes `replaceMs` before it begins; counts the replacements. */
const slowToReplace = (disk: Disk, clock: SimClock) => {
  const replacements = { begun: 0, ended: 0 };
  const slowDisk: Disk = {
    setAside: (name) => disk.setAside(name),
    open: async (name) => {
      const file = await disk.open(name);
      const replace: typeof file.replace = async (chunks) => {
        replacements.begun++;
        await delay(clock, replaceMs);
        await file.replace(chunks).finally(() => replacements.ended++);
      };
      return { ...file, replace };
    },
  };
  return { slowDisk, replacements };
};

const itemOf = (n: number, seq: number) => ({
  key: `o/t/${n}`,
  ownershipEpoch: 1,
  seq,
  value: `${seq}`.padEnd(valueBytes, 'x'),
});

const setUp = async (seed: number) => {
  const clock = new SimClock();
  const drive = new SimDrive(seededRng(seed));
  const { slowDisk, replacements } = slowToReplace(drive.disk(clock, new Incarnation()), clock);
  const store = await clock.finish(
    'open',
    ReplicaStore.open(slowDisk, clock, limits, { ...timings, clock }),
    1000,
  );
  const write = (n: number, seq: number): Promise<boolean> =>
    clock.finish(
      'write',
      store.write(1, 1, [itemOf(n, seq)]).then(
        () => true,
        () => false,
      ),
      putTimeoutMs,
    );
  /** Overwrites one key until a rewrite begins; resolves with the newest sequence number. */
  const writeUntilRewrite = async (): Promise<number> => {
    let seq = 0;
    while (replacements.begun === 0) assert.ok(await write(0, ++seq));
    return seq;
  };
  const reopen = (): Promise<ReplicaStore> =>
    clock.finish(
      'open again',
      ReplicaStore.open(drive.disk(clock, new Incarnation()), clock, limits, { ...timings, clock }),
      1000,
    );
  return { clock, drive, replacements, store, write, writeUntilRewrite, reopen };
};

// Guards against writes that wait until the whole log has been rewritten, at all replicas at the same time (503).
rewrites('writes are acknowledged in time while the log is rewritten, and are kept', async () => {
  for (const isAfterRewrite of [false, true]) {
    const fixture = await setUp(1);
    const seq = await fixture.writeUntilRewrite();
    for (let n = 1; n < 9; n++) assert.ok(await fixture.write(n, seq + n));
    assert.is(fixture.replacements.ended, 0);
    const bytesBefore = fixture.store.counts().bytes;
    if (isAfterRewrite) {
      await fixture.clock.run(2 * replaceMs);
      assert.is(fixture.replacements.ended, 1);
      assert.ok(fixture.store.counts().bytes < bytesBefore, 'the log was not rewritten');
      assert.ok(await fixture.write(9, seq + 9));
    }
    fixture.drive.powerLoss();
    const reopened = await fixture.reopen();
    const count = isAfterRewrite ? 10 : 9;
    for (let n = 0; n < count; n++)
      assert.is(reopened.read(1, 1, `o/t/${n}`)?.seq, n === 0 ? seq : seq + n);
  }
});

rewrites('a write that fails during a rewrite ends it, and the log is made anew', async () => {
  const fixture = await setUp(2);
  const seq = await fixture.writeUntilRewrite();
  assert.ok(await fixture.write(1, seq + 1));
  fixture.drive.failSyncs = true;
  assert.is(await fixture.write(2, seq + 2), false);
  fixture.drive.failSyncs = false;
  assert.is(fixture.store.writable, false);
  await fixture.clock.run(4 * replaceMs);
  assert.is(fixture.store.writable, true);
  assert.ok(await fixture.write(3, seq + 3));
  fixture.drive.powerLoss();
  const reopened = await fixture.reopen();
  for (const n of [1, 2, 3]) assert.is(reopened.read(1, 1, `o/t/${n}`)?.seq, seq + n);
});

rewrites('a rewrite that fails leaves the log as it is, and writes go on', async () => {
  const fixture = await setUp(3);
  const seq = await fixture.writeUntilRewrite();
  await fixture.clock.run(replaceMs - 1);
  fixture.drive.full = true;
  await fixture.clock.run(2);
  fixture.drive.full = false;
  await fixture.clock.run(replaceMs);
  assert.is(fixture.replacements.ended, 1);
  assert.is(fixture.store.writable, true);
  assert.ok(await fixture.write(1, seq + 1));
  fixture.drive.powerLoss();
  const reopened = await fixture.reopen();
  assert.is(reopened.read(1, 1, 'o/t/0')?.seq, seq);
  assert.is(reopened.read(1, 1, 'o/t/1')?.seq, seq + 1);
});

rewrites.run();
