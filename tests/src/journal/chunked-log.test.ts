/** Logs that are read and rewritten in chunks: chunk boundaries, torn tails, snapshots, and failures half-way. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import {
  FolderDisk,
  encodeFrame,
  JournalDamagedError,
  LogScanner,
  type Disk,
  type DiskFile,
  type JournalTimings,
} from '@tillerstair/journal';
import { Incarnation, SimClock, SimDrive, seededRng } from '@tillerstair/sim';
import { ReplicaStore } from '@tillerstair/store';
import { openJournal } from './journal-fixture.js';

/** The fields of a store's log records that the tests check; one line holds an array of records. */
const LogRecords = z.array(
  z.object({
    t: z.string(),
    to: z.string().optional(),
    items: z.array(z.object({ seq: z.number() })).optional(),
  }),
);

const chunked = suite('chunked logs');

/** The records of a scanned log, the length of its valid part (`good`) and of all of it, in bytes. */
interface ScanResult {
  readonly records: readonly unknown[];
  readonly good: number;
  readonly totalBytes: number;
}

/** Scans bytes in chunks of one size that share one buffer, as those of `FolderDisk` do. */
const scanInChunks = (chunkBytes: number, bytes: Buffer): ScanResult => {
  const records: unknown[] = [];
  const scanner = new LogScanner('a.log', (record) => void records.push(record));
  const buffer = Buffer.alloc(chunkBytes);
  for (let offset = 0; offset < bytes.length; offset += chunkBytes) {
    const length = bytes.copy(buffer, 0, offset, offset + chunkBytes);
    scanner.add(buffer.subarray(0, length));
  }
  return { records, good: scanner.validBytes, totalBytes: scanner.totalBytes };
};

const firstBatch = [{ n: 1, text: 'añ€😀' }, { n: 2 }];
const lastBatch = [{ n: 3, text: '€'.repeat(40) }];
const frames = [encodeFrame(firstBatch), encodeFrame([{ n: 0 }]), encodeFrame(lastBatch)];
const allRecords = [...firstBatch, { n: 0 }, ...lastBatch];
const logBytes = Buffer.concat(frames);
const lastFrameStart = logBytes.length - (frames.at(-1)?.length ?? 0);

chunked('records and characters that span chunk boundaries are read', () => {
  for (let size = 1; size <= logBytes.length + 1; size++)
    assert.equal(
      scanInChunks(size, logBytes),
      { records: allRecords, good: logBytes.length, totalBytes: logBytes.length },
      `chunks of ${size}`,
    );
  assert.equal(scanInChunks(10, Buffer.alloc(0)), { records: [], good: 0, totalBytes: 0 });
});

chunked('a torn tail is cut at the same byte for any chunk size', () => {
  const validRecords = allRecords.slice(0, -1);
  for (let length = lastFrameStart; length < logBytes.length; length++)
    for (const size of [1, 2, 3, 7, 64, 1000])
      assert.equal(
        scanInChunks(size, logBytes.subarray(0, length)),
        { records: validRecords, good: lastFrameStart, totalBytes: length },
        `${length} bytes in chunks of ${size}`,
      );
});

chunked('a tail of several damaged lines is cut at the first damaged line', () => {
  const bytes = Buffer.concat([logBytes, Buffer.from('\n'), Buffer.from('half a line\nanother')]);
  for (let size = 1; size <= 80; size++)
    assert.equal(
      scanInChunks(size, bytes),
      { records: allRecords, good: logBytes.length, totalBytes: bytes.length },
      `chunks of ${size}`,
    );
});

chunked('damage before a valid record is an error that names its byte, for any chunk size', () => {
  const secondFrameStart = frames[0]?.length ?? 0;
  for (let damagedByte = secondFrameStart; damagedByte < lastFrameStart; damagedByte++) {
    const bytes = Buffer.from(logBytes);
    bytes[damagedByte] = (bytes[damagedByte] ?? 0) ^ 1;
    const damagesLineFeed = damagedByte === lastFrameStart - 1;
    for (const size of [1, 2, 5, 64, 1000]) {
      if (damagesLineFeed) {
        assert.is(scanInChunks(size, bytes).good, secondFrameStart);
        continue;
      }
      let thrown: unknown;
      try {
        scanInChunks(size, bytes);
      } catch (error) {
        thrown = error;
      }
      assert.instance(thrown, JournalDamagedError, `byte ${damagedByte} in chunks of ${size}`);
      assert.match(String(thrown), `at byte ${secondFrameStart} `);
    }
  }
});

chunked(
  'in a real folder, a record longer than a chunk is read, and a torn one is cut off',
  async () => {
    const dir = await mkdtemp(join(tmpdir(), 'tillerstair-chunks-'));
    try {
      const disk = await FolderDisk.acquire(dir);
      const records = [{ n: 1 }, { text: '€'.repeat(1 << 20) }, { n: 2 }];
      const encodedFrames = records.map((record) => encodeFrame([record]));
      const tornFrame = encodeFrame([{ text: 'é'.repeat(1 << 20) }]).subarray(0, -1);
      await writeFile(join(dir, 'a.log'), Buffer.concat([...encodedFrames, tornFrame]));
      const { journal, records: restored } = await openJournal(disk, 'a.log');
      assert.equal(restored, records);
      assert.is(journal.sizeBytes, Buffer.concat(encodedFrames).length);
      await journal.rewrite(() => [...records, { n: 3 }]);
      await journal.append({ n: 4 });
      const { sizeBytes: size } = journal;
      await journal.close();
      const reopened = await openJournal(disk, 'a.log');
      assert.equal(reopened.records, [...records, { n: 3 }, { n: 4 }]);
      assert.is(reopened.journal.sizeBytes, size);
      await reopened.journal.close();
      await disk.release();
    } finally {
      await rm(dir, { recursive: true });
    }
  },
);

const limits = { rewriteMinBytes: 1 << 30, retentionMs: 1e9, maxHints: 10 };
const longText = 'x'.repeat(100 << 10);
const longItem = (index: number, seq: number) => ({
  key: `o/t/${index}`,
  ownershipEpoch: 1,
  seq,
  value: `${seq} ${longText}`,
});
const longItemCount = 12;

/** Wraps a disk so that `onChunk` is called after each chunk of the first `replace`. */
const observeFirstReplace = (disk: Disk, onChunk: (chunk: Buffer) => void): Disk => {
  let replaceCount = 0;
  return {
    setAside: (name) => disk.setAside(name),
    open: async (name) => {
      const file: DiskFile = await disk.open(name);
      const reported = async function* (
        chunks: Iterable<Buffer> | AsyncIterable<Buffer>,
      ): AsyncGenerator<Buffer> {
        for await (const chunk of chunks) {
          yield chunk;
          onChunk(chunk);
        }
      };
      return {
        ...file,
        replace: (chunks) => file.replace(replaceCount++ === 0 ? reported(chunks) : chunks),
      };
    },
  };
};

const sequencesOf = (replicaStore: ReplicaStore): ReadonlyMap<string, number> => {
  const seqs = new Map<string, number>();
  for (let after = ''; ;) {
    const page = replicaStore.pull(1, 0, { after });
    for (const item of page.items) seqs.set(item.key, item.seq);
    if (page.next === '') return seqs;
    after = page.next;
  }
};

chunked('a rewrite writes the snapshot of its start, and later records follow it', async () => {
  const clock = new SimClock();
  const drive = new SimDrive(seededRng(1));
  const chunks: Buffer[] = [];
  const laterWrites: Promise<unknown>[] = [];
  let onFirstChunk = (): void => undefined;
  const disk = observeFirstReplace(drive.disk(clock, new Incarnation()), (chunk) => {
    chunks.push(chunk);
    if (chunks.length === 1) onFirstChunk();
  });
  const smallLimits = { ...limits, rewriteMinBytes: 1 << 20 };
  const replicaStore = await clock.finish(
    'open',
    ReplicaStore.open(disk, clock, smallLimits),
    1000,
  );
  await clock.finish('hint', replicaStore.addHint('b', 1, [longItem(0, 1)]), 1000);
  onFirstChunk = () => {
    laterWrites.push(replicaStore.removeHint(1), replicaStore.addHint('c', 1, [longItem(0, 1)]));
    for (let i = 0; i < longItemCount; i++)
      laterWrites.push(replicaStore.write(1, 1, [longItem(i, 9)]));
    laterWrites.push(replicaStore.write(1, 1, [longItem(longItemCount, 9)]));
  };
  for (let i = 0; i < longItemCount; i++)
    await clock.finish('write', replicaStore.write(1, 1, [longItem(i, 1)]), 1000);
  await clock.run(100);
  assert.ok(chunks.length > 2, `${chunks.length} chunks`);
  assert.is(laterWrites.length, longItemCount + 3);
  const lines = Buffer.concat(chunks).toString('utf8').split('\n').slice(0, -1);
  const writtenRecords = lines.flatMap((line) => LogRecords.parse(JSON.parse(line.slice(9))));
  const seqs = writtenRecords.flatMap((record) =>
    record.t === 'put' ? (record.items ?? []).slice(0, 1).map((item) => item.seq) : [],
  );
  const snapshotCount = seqs.filter((seq) => seq === 1).length;
  assert.ok(snapshotCount > 5, seqs.join());
  assert.equal(seqs, [
    ...Array.from({ length: snapshotCount }, () => 1),
    ...Array.from({ length: longItemCount + 1 }, () => 9),
  ]);
  assert.equal(
    writtenRecords.flatMap((record) => (record.t === 'hint' ? [record.to] : [])),
    ['b', 'c'],
  );
  await clock.finish('later', Promise.all(laterWrites), 1000);
  drive.powerLoss();
  const reopened = await clock.finish(
    'again',
    ReplicaStore.open(drive.disk(clock, new Incarnation()), clock, limits),
    1000,
  );
  assert.equal(
    [...sequencesOf(reopened).values()],
    Array.from({ length: longItemCount + 1 }, () => 9),
  );
  assert.equal([...reopened.hintTargets()], ['c']);
});

chunked(
  'a power loss at any step of a recovery in several chunks loses no acknowledged item',
  async () => {
    let recovered = 0;
    for (let step = 0; step < 16; step++) {
      const clock = new SimClock();
      const drive = new SimDrive(seededRng(step));
      const incarnation = new Incarnation();
      const replicaStore = await clock.finish(
        'open',
        ReplicaStore.open(drive.disk(clock, incarnation), clock, limits),
        1000,
      );
      for (let i = 0; i < longItemCount; i++)
        await clock.finish('write', replicaStore.write(1, 1, [longItem(i, 1)]), 1000);
      drive.full = true;
      const refused = await clock.finish(
        'refused',
        replicaStore.write(1, 1, [longItem(0, 2)]).then(
          () => 'done',
          () => 'refused',
        ),
        5000,
      );
      assert.is(refused, 'refused');
      await clock.run(2000);
      drive.full = false;
      drive.crashFrom(step, () => {
        incarnation.dead = true;
      });
      await clock.run(5000);
      if (!incarnation.dead) {
        assert.is(replicaStore.writable, true);
        recovered++;
      }
      drive.powerLoss();
      drive.crashAtStep = -1;
      const reopened = await clock.finish(
        'again',
        ReplicaStore.open(drive.disk(clock, new Incarnation()), clock, limits),
        1000,
      );
      const seqs = sequencesOf(reopened);
      for (let i = 0; i < longItemCount; i++)
        assert.ok((seqs.get(`o/t/${i}`) ?? 0) >= 1, `step ${step}: item ${i}`);
    }
    assert.ok(recovered > 0 && recovered < 16, `${recovered} recoveries`);
  },
);

chunked('a recovery is retried if the file reads back with other bytes', async () => {
  const clock = new SimClock();
  const drive = new SimDrive(seededRng(1));
  const timings: JournalTimings = { clock, syncTimeoutMs: 1500, retryIntervalMs: 250 };
  const simDisk = drive.disk(clock, new Incarnation());
  let badReads = 2;
  let replaced = 0;
  const misreading: Disk = {
    ...simDisk,
    open: async (name) => {
      const file = await simDisk.open(name);
      const chunks = async function* (): AsyncGenerator<Buffer> {
        for await (const chunk of file.chunks()) {
          const copy = Buffer.from(chunk);
          if (replaced > 0 && badReads-- > 0) copy[0] ^= 1;
          yield copy;
        }
      };
      const replace = (content: Iterable<Buffer> | AsyncIterable<Buffer>): Promise<void> => {
        replaced++;
        return file.replace(content);
      };
      return { ...file, chunks, replace };
    },
  };
  const { journal } = await clock.finish('open', openJournal(misreading, 'a.log', timings), 1000);
  journal.recoverFrom(() => [{ n: 1 }]);
  drive.failSyncs = true;
  await clock.finish(
    'append',
    journal.append({ n: 1 }).catch(() => undefined),
    5000,
  );
  drive.failSyncs = false;
  await clock.run(400);
  assert.is(journal.writable, false);
  await clock.run(3000);
  assert.is(journal.writable, true);
  assert.ok(replaced >= 3, `${replaced} attempts`);
});

chunked('a read that fails half-way is restarted with a new owner', async () => {
  const clock = new SimClock();
  const drive = new SimDrive(seededRng(1));
  const simDisk = drive.disk(clock, new Incarnation());
  const { journal } = await clock.finish(
    'open',
    openJournal(simDisk, 'a.log', { clock, syncTimeoutMs: 1500, retryIntervalMs: 250 }),
    1000,
  );
  const records = Array.from({ length: 100 }, (_, n) => ({ n, text: 'x'.repeat(50) }));
  for (const record of records) await clock.finish('append', journal.append(record), 1000);
  let failures = 2;
  const failing: Disk = {
    ...simDisk,
    open: async (name) => {
      const file = await simDisk.open(name);
      const chunks = async function* (): AsyncGenerator<Buffer> {
        let count = 0;
        for await (const chunk of file.chunks()) {
          if (count++ === 3 && failures-- > 0)
            throw Object.assign(new Error('input/output error'), { code: 'EIO' });
          yield chunk;
        }
      };
      return { ...file, chunks };
    },
  };
  const reopened = await clock.finish(
    'again',
    openJournal(failing, 'a.log', { clock, syncTimeoutMs: 1500, retryIntervalMs: 250 }),
    5000,
  );
  assert.ok(failures <= 0);
  assert.equal(reopened.records, records);
});

chunked.run();
