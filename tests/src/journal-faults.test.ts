import { mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { FolderDisk, frame, Journal, type JournalPace } from '@tillerstair/journal';
import { Life, SimClock, SimPlatter, seededRng } from '@tillerstair/sim';
import { bootstrapState, type Member, type State } from '@tillerstair/state';
import { openStoreDisk, ReplicaStore } from '@tillerstair/store';
import { noLog } from '@tillerstair/wire';
import { DiskElectionStore } from '@tillerstair/zen';

const faults = suite('journals under disk faults');

const peers: readonly Member[] = ['a', 'b', 'c'].map((id) => ({ id, kind: 'control', addr: `${id}:1`, http: '', zone: 'z', data: '', name: '' }));
const bootstrapped = bootstrapState('x', peers, 8);
const at = (term: number, version: number): State => ({ ...bootstrapped, term, version });

const longAt = 1 << 20;

interface Rig {
  readonly clock: SimClock;
  readonly platter: SimPlatter;
  readonly said: string[];
  readonly pace: JournalPace;
  electionStore(life?: Life, id?: string, rewriteAt?: number): Promise<DiskElectionStore>;
  replicaStore(life?: Life, rewriteAt?: number): Promise<ReplicaStore>;
}

const rig = (seed: number): Rig => {
  const clock = new SimClock();
  const platter = new SimPlatter(seededRng(seed));
  const said: string[] = [];
  const pace = { clock, syncWithin: 1500, retryEvery: 250, log: { ...noLog, warn: (text: string) => void said.push(text) } };
  return {
    clock, platter, said, pace,
    electionStore: (life = new Life(), id = 'me', rewriteAt = longAt) =>
      clock.finish('keep', DiskElectionStore.open(platter.disk(clock, life), () => id, rewriteAt, pace), 60000),
    replicaStore: (life = new Life(), rewriteAt = longAt) =>
      clock.finish('replica store', ReplicaStore.open(platter.disk(clock, life), clock, { journalLongAt: rewriteAt, retentionMs: 1e9, hintsMost: 10 }, pace), 60000),
  };
};

const outcome = (work: Promise<unknown>): Promise<string> =>
  work.then(() => 'done', (e: unknown) => (e instanceof Error && 'code' in e ? String(e.code) : String(e)));

const finish = (r: Rig, work: Promise<unknown>): Promise<string> => r.clock.finish('work', outcome(work), 5000);

const item = (n: number) => ({ key: `o/t/${n}`, ownershipEpoch: 1, seq: n + 1, value: n });

const keysOf = (s: ReplicaStore): readonly string[] => s.pull(1, 0, '').items.map((i) => i.key).sort();

faults('after a failed append nothing is taken, and after recovery disk and memory agree', async () => {
  for (let seed = 0; seed < 20; seed++) {
    const r = rig(seed);
    const replicaStore = await r.replicaStore();
    assert.is(await finish(r, replicaStore.write(1, 1, [item(0)])), 'done');
    r.platter.full = true;
    const both = await Promise.all([finish(r, replicaStore.write(1, 1, [item(1)])), finish(r, replicaStore.write(1, 1, [item(2)]))]);
    assert.equal(both, ['unavailable', 'unavailable']);
    assert.is(await finish(r, replicaStore.write(1, 1, [item(3)])), 'unavailable');
    await r.clock.run(3000);
    assert.is(replicaStore.writable, false);
    r.platter.full = false;
    await r.clock.run(2 * r.pace.retryEvery);
    assert.is(replicaStore.writable, true);
    assert.is(await finish(r, replicaStore.write(1, 1, [item(4)])), 'done');
    const held = keysOf(replicaStore);
    r.platter.powerLoss();
    assert.equal(keysOf(await r.replicaStore()), held);
    assert.ok(held.includes('o/t/0') && held.includes('o/t/4') && !held.includes('o/t/3'), held.join());
  }
});

faults('power lost while a disk is full leaves all that was acknowledged', async () => {
  for (let seed = 0; seed < 40; seed++) {
    const r = rig(seed);
    const life = new Life();
    const replicaStore = await r.replicaStore(life);
    assert.is(await finish(r, replicaStore.write(1, 1, [item(0)])), 'done');
    r.platter.full = true;
    assert.is(await finish(r, replicaStore.write(1, 1, [item(1)])), 'unavailable');
    await r.clock.run(seed * 50);
    life.dead = true;
    r.platter.powerLoss();
    const again = await r.replicaStore();
    assert.ok(keysOf(again).includes('o/t/0'));
    r.platter.full = false;
    assert.is(await finish(r, again.write(1, 1, [item(2)])), 'done');
  }
});

faults('a failed sync is not made good by a later one: the file is written anew', async () => {
  const r = rig(1);
  const replicaStore = await r.replicaStore();
  r.platter.failSyncs = true;
  assert.is(await finish(r, replicaStore.write(1, 1, [item(0)])), 'unavailable');
  r.platter.failSyncs = false;
  await r.clock.run(1000);
  assert.is(replicaStore.writable, true);
  r.platter.powerLoss();
  assert.equal(keysOf(await r.replicaStore()), ['o/t/0']);
});

faults('a write that neither ends nor fails is answered in bounded time, and one at a time is under way', async () => {
  const r = rig(1);
  const replicaStore = await r.replicaStore();
  assert.is(await finish(r, replicaStore.write(1, 1, [item(0)])), 'done');
  r.platter.stalled = true;
  const t0 = r.clock.now();
  const first = finish(r, replicaStore.write(1, 1, [item(1)]));
  assert.is(await first, 'unavailable');
  assert.ok(r.clock.now() - t0 <= r.pace.syncWithin + 1, `${r.clock.now() - t0}`);
  const t1 = r.clock.now();
  assert.is(await finish(r, replicaStore.write(1, 1, [item(2)])), 'unavailable');
  assert.is(r.clock.now(), t1);
  const events = r.clock.events;
  await r.clock.run(60000);
  assert.ok(r.clock.events - events < 10, 'a stalled disk is not asked again and again');
  r.platter.stalled = false;
  await r.clock.run(500);
  assert.is(await finish(r, replicaStore.write(1, 1, [item(3)])), 'done');
  const held = keysOf(replicaStore);
  r.platter.powerLoss();
  assert.equal(keysOf(await r.replicaStore()), held);
});

faults('records that waited behind a stalled write are on disk after it, since their owner holds them', async () => {
  const r = rig(1);
  const replicaStore = await r.replicaStore();
  r.platter.stalled = true;
  const first = finish(r, replicaStore.write(1, 1, [item(0)]));
  await r.clock.run(10);
  const second = finish(r, replicaStore.write(1, 1, [item(1)]));
  assert.equal(await Promise.all([first, second]), ['unavailable', 'unavailable']);
  r.platter.stalled = false;
  await r.clock.run(500);
  assert.is(replicaStore.writable, true);
  assert.equal(keysOf(replicaStore), ['o/t/0', 'o/t/1']);
  r.platter.powerLoss();
  assert.equal(keysOf(await r.replicaStore()), ['o/t/0', 'o/t/1']);
});

faults('a long failure is retried at the pace given', async () => {
  const r = rig(1);
  const replicaStore = await r.replicaStore();
  r.platter.full = true;
  await finish(r, replicaStore.write(1, 1, [item(0)]));
  const events = r.clock.events;
  await r.clock.run(25000);
  assert.ok(r.clock.events - events < 5 * (25000 / r.pace.retryEvery), `${r.clock.events - events} events`);
});

faults('a promise whose sync failed is not told and not taken back', async () => {
  for (let seed = 0; seed < 20; seed++) {
    const r = rig(seed);
    const electionStore = await r.electionStore();
    await r.clock.finish('promise', electionStore.recordVote(3, 'a'), 1000);
    r.platter.full = true;
    assert.is(await finish(r, electionStore.recordVote(4, 'b')), 'unavailable');
    assert.is(await finish(r, electionStore.synced()), 'unavailable');
    assert.is(await finish(r, electionStore.recordVote(5, 'c')), 'unavailable');
    assert.equal([electionStore.persisted.term, electionStore.persisted.votedFor, electionStore.writable], [4, 'b', false]);
    r.platter.full = false;
    await r.clock.run(1000);
    assert.is(await finish(r, electionStore.synced()), 'done');
    r.platter.powerLoss();
    const { persisted } = await r.electionStore();
    assert.equal([persisted.id, persisted.term, persisted.votedFor], ['me', 4, 'b']);
  }
});

faults('a state whose sync failed stays accepted, and later ones follow it on disk', async () => {
  for (let seed = 0; seed < 20; seed++) {
    const r = rig(seed);
    const electionStore = await r.electionStore();
    await r.clock.finish('promise', electionStore.recordVote(3, 'a'), 1000);
    await r.clock.finish('accept', electionStore.accept(at(3, 1)), 1000);
    r.platter.full = true;
    assert.is(await finish(r, electionStore.accept(at(3, 2))), 'unavailable');
    assert.is(await finish(r, electionStore.accept(at(3, 3))), 'unavailable');
    assert.is(electionStore.persisted.accepted?.version, 2);
    r.platter.full = false;
    await r.clock.run(1000);
    assert.is(await finish(r, electionStore.accept(at(3, 3))), 'done');
    r.platter.powerLoss();
    const again = await r.electionStore();
    assert.equal([again.persisted.id, again.persisted.accepted?.version], ['me', 3]);
    assert.equal(r.said.filter((t) => t.includes('damaged')), []);
  }
});

faults('a new member waits for a full disk before it has an id', async () => {
  const r = rig(1);
  r.platter.full = true;
  const opening = r.electionStore();
  await r.clock.run(2000);
  r.platter.full = false;
  const electionStore = await opening;
  assert.is(electionStore.persisted.id, 'me');
  r.platter.powerLoss();
  assert.is((await r.electionStore(new Life(), 'other')).persisted.id, 'me');
});

const diffs = async (r: Rig, versions: number): Promise<void> => {
  const electionStore = await r.electionStore();
  await r.clock.finish('promise', electionStore.recordVote(3, 'a'), 1000);
  for (let v = 1; v <= versions; v++) await r.clock.finish('accept', electionStore.accept(at(3, v)), 1000);
};

const linesOf = async (r: Rig): Promise<readonly string[]> => {
  const file = await r.clock.finish('open', r.platter.disk(r.clock, new Life()).open('zen.log'), 1000);
  const chunks: Buffer[] = [];
  for await (const chunk of file.chunks()) chunks.push(Buffer.from(chunk));
  return Buffer.concat(chunks).toString('utf8').split('\n').slice(0, -1);
};

const store = async (r: Rig, lines: readonly string[]): Promise<void> => {
  const file = await r.clock.finish('open', r.platter.disk(r.clock, new Life()).open('zen.log'), 1000);
  await r.clock.finish('replace', file.replace([Buffer.from(lines.map((l) => `${l}\n`).join(''))]), 1000);
};

faults('a log with a record missing anywhere before its last starts a new member, and says so once', async () => {
  const r = rig(1);
  await diffs(r, 6);
  const lines = await linesOf(r);
  assert.is(lines.length, 8);
  for (let gone = 0; gone < lines.length - 1; gone++) {
    r.said.length = 0;
    r.platter.wipe();
    await store(r, lines.filter((_, n) => n !== gone));
    const electionStore = await r.electionStore(new Life(), `fresh-${gone}`);
    assert.equal([electionStore.persisted.id, electionStore.persisted.term, electionStore.persisted.accepted], [`fresh-${gone}`, 0, undefined], `without record ${gone}`);
    assert.is(r.said.filter((t) => t.includes('starting as a new member')).length, 1);
    assert.ok(r.platter.list().includes('zen.log.damaged'));
    r.platter.powerLoss();
    assert.is((await r.electionStore(new Life(), 'another')).persisted.id, `fresh-${gone}`);
  }
});

faults('records in another order, twice, or damaged start a new member', async () => {
  const r = rig(1);
  await diffs(r, 5);
  const lines = await linesOf(r);
  const [id = '', recordVote = '', full = '', ...rest] = lines;
  const other = frame([{ t: 'promise', term: 3, to: 'b' }]).toString('utf8').trimEnd();
  const lower = frame([{ t: 'promise', term: 2, to: 'a' }]).toString('utf8').trimEnd();
  const cases: readonly (readonly string[])[] = [
    [id, recordVote, full, ...[...rest].reverse()],
    [id, recordVote, full, rest[0] ?? '', ...rest],
    [id, full, ...rest],
    [...lines, other],
    [...lines, lower],
    [id, recordVote, `${full.slice(0, 40)}#${full.slice(41)}`, ...rest],
    [id, recordVote, frame([{ t: 'what' }]).toString('utf8').trimEnd(), full, ...rest],
  ];
  for (const [n, lines2] of cases.entries()) {
    r.platter.wipe();
    await store(r, lines2);
    assert.is((await r.electionStore(new Life(), 'fresh')).persisted.id, 'fresh', `case ${n}`);
  }
  r.platter.wipe();
  await store(r, lines);
  assert.equal([(await r.electionStore()).persisted.id, (await r.electionStore()).persisted.accepted?.version], ['me', 5]);
});

faults('a store with a damaged log of replicas starts as a new store, whatever step it loses power at', async () => {
  let lostAt = 0;
  for (let step = -1; step < 12; step++) {
    const r = rig(step + 1);
    let ids = 0;
    const open = (life: Life) =>
      openStoreDisk({
        disk: r.platter.disk(r.clock, life), clock: r.clock, pace: r.pace, freshId: () => `s-${++ids}`, longAt,
        bounds: { journalLongAt: longAt, retentionMs: 1e9, hintsMost: 10 },
      });
    const first = await r.clock.finish('open', open(new Life()), 1000);
    for (let n = 0; n < 4; n++) await r.clock.finish('write', first.replicaStore.write(1, 1, [item(n)]), 1000);
    r.platter.corrupt('store.log', 30);
    const life = new Life();
    r.platter.crashFrom(step, () => {
      life.dead = true;
    });
    const opened = open(life);
    await r.clock.run(100);
    if (life.dead) {
      lostAt++;
      r.platter.powerLoss();
      r.platter.crashAtStep = -1;
    } else await r.clock.finish('opened', opened, 1000);
    const again = await r.clock.finish('again', open(new Life()), 1000);
    assert.is.not(again.electionStore.persisted.id, 's-1', `step ${step}`);
    assert.equal(keysOf(again.replicaStore), []);
  }
  assert.ok(lostAt > 4, `${lostAt} losses of power`);
});

faults('power lost at every step of a rewrite of the control\'s log loses nothing acknowledged, each name kept or lost by itself', async () => {
  let rewrites = 0;
  const left = new Set<string>();
  for (let seed = 0; seed < 4; seed++)
    for (let step = 0; step < 70; step++) {
      const r = rig(step * 7 + seed);
      const life = new Life();
      const electionStore = await r.electionStore(life, 'me', 4000);
      await r.clock.finish('promise', electionStore.recordVote(3, 'a'), 1000);
      r.platter.crashFrom(step, () => {
        life.dead = true;
      });
      let acked = 0;
      let most = 0;
      for (let v = 1; v <= 30; v++) {
        void electionStore.accept(at(3, v)).then(() => {
          acked = v;
        }, () => undefined);
        if (v % 2 === 0) await r.clock.run(0.5);
        most = Math.max(most, r.platter.bytes('zen.log'));
      }
      await r.clock.run(50);
      if (r.platter.bytes('zen.log') < most) rewrites++;
      life.dead = true;
      r.platter.powerLoss();
      r.platter.crashAtStep = -1;
      for (const name of r.platter.list()) left.add(name);
      const again = await r.electionStore(new Life(), 'fresh');
      assert.is(again.persisted.id, 'me', `seed ${seed}, step ${step}: ${r.said.join()}`);
      assert.equal([again.persisted.term, again.persisted.votedFor], [3, 'a']);
      assert.ok((again.persisted.accepted?.version ?? 0) >= acked, `seed ${seed}, step ${step}: ${acked} was acknowledged, ${again.persisted.accepted?.version ?? 0} is held`);
      await r.clock.finish('goes on', again.accept(at(3, 31)), 1000);
    }
  assert.ok(rewrites > 20, `${rewrites} rewrites`);
  assert.ok(left.has('zen.log.next'), 'a leftover of a rewrite was met');
});

faults('a rewrite under a full disk fails nothing that was synced, and leaves no half file in the way', async () => {
  const r = rig(3);
  const electionStore = await r.electionStore(new Life(), 'me', 2000);
  await r.clock.finish('promise', electionStore.recordVote(3, 'a'), 1000);
  let v = 0;
  while (v < 60) {
    v++;
    if (v === 20) r.platter.full = true;
    if (v === 30) r.platter.full = false;
    if (v === 30) await r.clock.run(1000);
    await finish(r, electionStore.accept(at(3, v)));
  }
  assert.is(electionStore.writable, true);
  r.platter.powerLoss();
  assert.is((await r.electionStore()).persisted.accepted?.version, 60);
  assert.equal(r.platter.list(), ['zen.log']);
});

const folder = async (inside: (dir: string) => Promise<void>): Promise<void> => {
  const dir = await mkdtemp(join(tmpdir(), 'tillerstair-journal-'));
  await inside(dir).finally(() => rm(dir, { recursive: true }));
};

faults('on a real folder: a leftover of a rewrite does no harm, and appends after a rewrite are kept', () =>
  folder(async (dir) => {
    const data = join(dir, 'made', 'here');
    const disk = await FolderDisk.take(data);
    const { journal } = await Journal.open(disk, 'a.log');
    for (let n = 0; n < 3; n++) await journal.append({ n });
    await writeFile(join(data, 'a.log.next'), 'half a line that is longer than all of the rest of this file will ever be, or so it seems to be');
    const leftover = await Journal.open(disk, 'a.log');
    assert.equal(leftover.records, [{ n: 0 }, { n: 1 }, { n: 2 }]);
    await leftover.journal.close();
    assert.equal((await readdir(data)).sort(), ['a.log', 'lock']);
    await journal.rewrite(() => [{ n: 2 }]);
    await journal.append({ n: 3 });
    await journal.close();
    const again = await Journal.open(disk, 'a.log');
    assert.equal(again.records, [{ n: 2 }, { n: 3 }]);
    await again.journal.close();
    assert.equal((await readdir(data)).sort(), ['a.log', 'lock']);
    await disk.setAside('a.log');
    await disk.setAside('never.log');
    assert.equal((await readdir(data)).sort(), ['a.log.damaged', 'lock']);
    assert.match(await readFile(join(data, 'a.log.damaged'), 'utf8'), '"n":3');
    await disk.free();
  }),
);

faults.run();
