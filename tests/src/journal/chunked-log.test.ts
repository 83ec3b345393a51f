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
import { openJournal } from './journal-rig.js';

/** The records of one line of a store's log, as far as the tests look into them. */
const LogRecords = z.array(
  z.object({
    t: z.string(),
    to: z.string().optional(),
    items: z.array(z.object({ seq: z.number() })).optional(),
  }),
);

const chunked = suite('journals in chunks');

interface Scanned {
  readonly records: readonly unknown[];
  readonly good: number;
  readonly size: number;
}

/** Scans bytes cut into chunks of one size, through one buffer that is overwritten by each of them as `FolderDisk` does. */
const scanIn = (chunkBytes: number, bytes: Buffer): Scanned => {
  const records: unknown[] = [];
  const scanner = new LogScanner('a.log', (record) => void records.push(record));
  const buffer = Buffer.alloc(chunkBytes);
  for (let at = 0; at < bytes.length; at += chunkBytes) {
    const length = bytes.copy(buffer, 0, at, at + chunkBytes);
    scanner.add(buffer.subarray(0, length));
  }
  return { records, good: scanner.validBytes, size: scanner.totalBytes };
};

const first = [{ n: 1, text: 'añ€😀' }, { n: 2 }];
const second = [{ n: 3, text: '€'.repeat(40) }];
const frames = [encodeFrame(first), encodeFrame([{ n: 0 }]), encodeFrame(second)];
const all = [...first, { n: 0 }, ...second];
const whole = Buffer.concat(frames);
const lastAt = whole.length - (frames.at(-1)?.length ?? 0);

chunked('records and characters over any border of chunks are read', () => {
  for (let size = 1; size <= whole.length + 1; size++)
    assert.equal(
      scanIn(size, whole),
      { records: all, good: whole.length, size: whole.length },
      `chunks of ${size}`,
    );
  assert.equal(scanIn(10, Buffer.alloc(0)), { records: [], good: 0, size: 0 });
});

chunked('a tail torn at any byte is told at the same byte, whatever the chunks', () => {
  const kept = all.slice(0, -1);
  for (let length = lastAt; length < whole.length; length++)
    for (const size of [1, 2, 3, 7, 64, 1000])
      assert.equal(
        scanIn(size, whole.subarray(0, length)),
        { records: kept, good: lastAt, size: length },
        `${length} bytes in chunks of ${size}`,
      );
});

chunked('a tail of several damaged lines is cut at the first of them', () => {
  const bytes = Buffer.concat([whole, Buffer.from('\n'), Buffer.from('half a line\nanother')]);
  for (let size = 1; size <= 80; size++)
    assert.equal(
      scanIn(size, bytes),
      { records: all, good: whole.length, size: bytes.length },
      `chunks of ${size}`,
    );
});

chunked('damage before a good record is an error that says where, whatever the chunks', () => {
  const secondAt = frames[0]?.length ?? 0;
  for (let at = secondAt; at < lastAt; at++) {
    const bytes = Buffer.from(whole);
    bytes[at] = (bytes[at] ?? 0) ^ 1;
    const joinsTheLast = at === lastAt - 1;
    for (const size of [1, 2, 5, 64, 1000]) {
      if (joinsTheLast) {
        assert.is(scanIn(size, bytes).good, secondAt);
        continue;
      }
      let reported: unknown;
      try {
        scanIn(size, bytes);
      } catch (e) {
        reported = e;
      }
      assert.instance(reported, JournalDamagedError, `byte ${at} in chunks of ${size}`);
      assert.match(String(reported), `at byte ${secondAt} `);
    }
  }
});

chunked(
  'on a real folder: a record longer than a chunk is read, and a torn one is cut off',
  async () => {
    const dir = await mkdtemp(join(tmpdir(), 'tillerstair-chunks-'));
    try {
      const disk = await FolderDisk.acquire(dir);
      const records = [{ n: 1 }, { text: '€'.repeat(1 << 20) }, { n: 2 }];
      const framed = records.map((r) => encodeFrame([r]));
      const torn = encodeFrame([{ text: 'é'.repeat(1 << 20) }]).subarray(0, -1);
      await writeFile(join(dir, 'a.log'), Buffer.concat([...framed, torn]));
      const { journal, records: held } = await openJournal(disk, 'a.log');
      assert.equal(held, records);
      assert.is(journal.sizeBytes, Buffer.concat(framed).length);
      await journal.rewrite(() => [...records, { n: 3 }]);
      await journal.append({ n: 4 });
      const { sizeBytes: size } = journal;
      await journal.close();
      const again = await openJournal(disk, 'a.log');
      assert.equal(again.records, [...records, { n: 3 }, { n: 4 }]);
      assert.is(again.journal.sizeBytes, size);
      await again.journal.close();
      await disk.release();
    } finally {
      await rm(dir, { recursive: true });
    }
  },
);

const bounds = { rewriteMinBytes: 1 << 30, retentionMs: 1e9, maxHints: 10 };
const longText = 'x'.repeat(100 << 10);
const longItem = (n: number, seq: number) => ({
  key: `o/t/${n}`,
  ownershipEpoch: 1,
  seq,
  value: `${seq} ${longText}`,
});
const longItems = 12;

/** A disk that calls `onChunk` after each chunk of the first file that is written anew. */
const hooked = (disk: Disk, onChunk: (chunk: Buffer) => void): Disk => {
  let replaced = 0;
  return {
    setAside: (name) => disk.setAside(name),
    open: async (name) => {
      const file: DiskFile = await disk.open(name);
      const reported = function* (chunks: Iterable<Buffer>): Generator<Buffer> {
        for (const chunk of chunks) {
          yield chunk;
          onChunk(chunk);
        }
      };
      return {
        ...file,
        replace: (chunks) => file.replace(replaced++ === 0 ? reported(chunks) : chunks),
      };
    },
  };
};

const held = (replicaStore: ReplicaStore): ReadonlyMap<string, number> => {
  const seqs = new Map<string, number>();
  for (let after = ''; ;) {
    const page = replicaStore.pull(1, 0, after);
    for (const i of page.items) seqs.set(i.key, i.seq);
    if (page.next === '') return seqs;
    after = page.next;
  }
};

chunked(
  'what a rewrite writes is of the moment it began, and later records follow it',
  async () => {
    const clock = new SimClock();
    const platter = new SimDrive(seededRng(1));
    const chunks: Buffer[] = [];
    const later: Promise<unknown>[] = [];
    let onFirst = (): void => undefined;
    const disk = hooked(platter.disk(clock, new Incarnation()), (chunk) => {
      chunks.push(chunk);
      if (chunks.length === 1) onFirst();
    });
    const small = { ...bounds, rewriteMinBytes: 1 << 20 };
    const replicaStore = await clock.finish('open', ReplicaStore.open(disk, clock, small), 1000);
    await clock.finish('hint', replicaStore.addHint('b', 1, [longItem(0, 1)]), 1000);
    onFirst = () => {
      later.push(replicaStore.removeHint(1), replicaStore.addHint('c', 1, [longItem(0, 1)]));
      for (let n = 0; n < longItems; n++) later.push(replicaStore.write(1, 1, [longItem(n, 9)]));
      later.push(replicaStore.write(1, 1, [longItem(longItems, 9)]));
    };
    for (let n = 0; n < longItems; n++)
      await clock.finish('write', replicaStore.write(1, 1, [longItem(n, 1)]), 1000);
    await clock.run(100);
    assert.ok(chunks.length > 2, `${chunks.length} chunks`);
    assert.is(later.length, longItems + 3);
    const lines = Buffer.concat(chunks).toString('utf8').split('\n').slice(0, -1);
    const written = lines.flatMap((line) => LogRecords.parse(JSON.parse(line.slice(9))));
    const seqs = written.flatMap((record) =>
      record.t === 'put' ? (record.items ?? []).slice(0, 1).map((item) => item.seq) : [],
    );
    assert.ok(seqs.length > 5 && seqs.every((seq) => seq === 1), seqs.join());
    assert.equal(
      written.flatMap((record) => (record.t === 'hint' ? [record.to] : [])),
      ['b'],
    );
    await clock.finish('later', Promise.all(later), 1000);
    platter.powerLoss();
    const again = await clock.finish(
      'again',
      ReplicaStore.open(platter.disk(clock, new Incarnation()), clock, bounds),
      1000,
    );
    assert.equal(
      [...held(again).values()],
      Array.from({ length: longItems + 1 }, () => 9),
    );
    assert.equal([...again.hintTargets()], ['c']);
  },
);

chunked(
  'power lost at any step of a recovery of several chunks loses nothing acknowledged',
  async () => {
    let recovered = 0;
    for (let step = 0; step < 16; step++) {
      const clock = new SimClock();
      const platter = new SimDrive(seededRng(step));
      const life = new Incarnation();
      const replicaStore = await clock.finish(
        'open',
        ReplicaStore.open(platter.disk(clock, life), clock, bounds),
        1000,
      );
      for (let n = 0; n < longItems; n++)
        await clock.finish('write', replicaStore.write(1, 1, [longItem(n, 1)]), 1000);
      platter.full = true;
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
      platter.full = false;
      platter.crashFrom(step, () => {
        life.dead = true;
      });
      await clock.run(5000);
      if (!life.dead) {
        assert.is(replicaStore.writable, true);
        recovered++;
      }
      platter.powerLoss();
      platter.crashAtStep = -1;
      const again = await clock.finish(
        'again',
        ReplicaStore.open(platter.disk(clock, new Incarnation()), clock, bounds),
        1000,
      );
      const seqs = held(again);
      for (let n = 0; n < longItems; n++)
        assert.ok((seqs.get(`o/t/${n}`) ?? 0) >= 1, `step ${step}: item ${n}`);
    }
    assert.ok(recovered > 0 && recovered < 16, `${recovered} recoveries`);
  },
);

chunked('a recovery whose file reads back otherwise is tried again', async () => {
  const clock = new SimClock();
  const platter = new SimDrive(seededRng(1));
  const pace: JournalTimings = { clock, syncTimeoutMs: 1500, retryIntervalMs: 250 };
  const plain = platter.disk(clock, new Incarnation());
  let badReads = 2;
  let replaced = 0;
  const misreading: Disk = {
    ...plain,
    open: async (name) => {
      const file = await plain.open(name);
      const chunks = async function* (): AsyncGenerator<Buffer> {
        for await (const chunk of file.chunks()) {
          const copy = Buffer.from(chunk);
          if (replaced > 0 && badReads-- > 0) copy[0] ^= 1;
          yield copy;
        }
      };
      const replace = (content: Iterable<Buffer>): Promise<void> => {
        replaced++;
        return file.replace(content);
      };
      return { ...file, chunks, replace };
    },
  };
  const { journal } = await clock.finish('open', openJournal(misreading, 'a.log', pace), 1000);
  journal.recoverFrom(() => [{ n: 1 }]);
  platter.failSyncs = true;
  await clock.finish(
    'append',
    journal.append({ n: 1 }).catch(() => undefined),
    5000,
  );
  platter.failSyncs = false;
  await clock.run(400);
  assert.is(journal.writable, false);
  await clock.run(3000);
  assert.is(journal.writable, true);
  assert.ok(replaced >= 3, `${replaced} attempts`);
});

chunked('a read that fails half way is begun anew with a new owner', async () => {
  const clock = new SimClock();
  const platter = new SimDrive(seededRng(1));
  const plain = platter.disk(clock, new Incarnation());
  const { journal } = await clock.finish(
    'open',
    openJournal(plain, 'a.log', { clock, syncTimeoutMs: 1500, retryIntervalMs: 250 }),
    1000,
  );
  const records = Array.from({ length: 100 }, (_, n) => ({ n, text: 'x'.repeat(50) }));
  for (const record of records) await clock.finish('append', journal.append(record), 1000);
  let failures = 2;
  const failing: Disk = {
    ...plain,
    open: async (name) => {
      const file = await plain.open(name);
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
  const again = await clock.finish(
    'again',
    openJournal(failing, 'a.log', { clock, syncTimeoutMs: 1500, retryIntervalMs: 250 }),
    5000,
  );
  assert.ok(failures <= 0);
  assert.equal(again.records, records);
});

chunked.run();
