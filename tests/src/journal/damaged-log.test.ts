/** Journals with lost, moved or damaged records, and rewrites cut off at any step. */
import { mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { FolderDisk, encodeFrame } from '@tillerstair/journal';
import { Incarnation } from '@tillerstair/sim';
import { openStoreDisk } from '@tillerstair/store';
import {
  stateAt,
  rewriteMinBytes,
  openJournal,
  type JournalFixture,
  createFixture,
  outcomeOf,
  item,
  keysOf,
} from './journal-fixture.js';

const damage = suite('journals damaged or cut off in a rewrite');

const diffs = async (r: JournalFixture, versions: number): Promise<void> => {
  const electionStore = await r.electionStore();
  await r.clock.finish('promise', electionStore.recordVote(3, 'a'), 1000);
  for (let v = 1; v <= versions; v++)
    await r.clock.finish('accept', electionStore.accept(stateAt(3, v)), 1000);
};

const linesOf = async (r: JournalFixture): Promise<readonly string[]> => {
  const file = await r.clock.finish(
    'open',
    r.platter.disk(r.clock, new Incarnation()).open('zen.log'),
    1000,
  );
  const chunks: Buffer[] = [];
  for await (const chunk of file.chunks()) chunks.push(Buffer.from(chunk));
  return Buffer.concat(chunks).toString('utf8').split('\n').slice(0, -1);
};

const store = async (r: JournalFixture, lines: readonly string[]): Promise<void> => {
  const file = await r.clock.finish(
    'open',
    r.platter.disk(r.clock, new Incarnation()).open('zen.log'),
    1000,
  );
  await r.clock.finish(
    'replace',
    file.replace([Buffer.from(lines.map((l) => `${l}\n`).join(''))]),
    1000,
  );
};

damage(
  'a log with a record missing anywhere before its last starts a new member, and says so once',
  async () => {
    const r = createFixture(1);
    await diffs(r, 6);
    const lines = await linesOf(r);
    assert.is(lines.length, 8);
    for (let gone = 0; gone < lines.length - 1; gone++) {
      r.warnings.length = 0;
      r.platter.wipe();
      await store(
        r,
        lines.filter((_, n) => n !== gone),
      );
      const electionStore = await r.electionStore(new Incarnation(), `fresh-${gone}`);
      assert.equal(
        [
          electionStore.persisted.id,
          electionStore.persisted.term,
          electionStore.persisted.accepted,
        ],
        [`fresh-${gone}`, 0, undefined],
        `without record ${gone}`,
      );
      assert.is(r.warnings.filter((t) => t.includes('starting as a new member')).length, 1);
      assert.ok(r.platter.list().includes('zen.log.damaged'));
      r.platter.powerLoss();
      assert.is(
        (await r.electionStore(new Incarnation(), 'another')).persisted.id,
        `fresh-${gone}`,
      );
    }
  },
);

damage('records in another order, twice, or damaged start a new member', async () => {
  const r = createFixture(1);
  await diffs(r, 5);
  const lines = await linesOf(r);
  const [id = '', recordVote = '', full = '', ...rest] = lines;
  const other = encodeFrame([{ t: 'vote', term: 3, to: 'b' }])
    .toString('utf8')
    .trimEnd();
  const lower = encodeFrame([{ t: 'vote', term: 2, to: 'a' }])
    .toString('utf8')
    .trimEnd();
  const cases: readonly (readonly string[])[] = [
    [id, recordVote, full, ...[...rest].reverse()],
    [id, recordVote, full, rest[0] ?? '', ...rest],
    [id, full, ...rest],
    [...lines, other],
    [...lines, lower],
    [id, recordVote, `${full.slice(0, 40)}#${full.slice(41)}`, ...rest],
    [
      id,
      recordVote,
      encodeFrame([{ t: 'what' }])
        .toString('utf8')
        .trimEnd(),
      full,
      ...rest,
    ],
  ];
  for (const [n, lines2] of cases.entries()) {
    r.platter.wipe();
    await store(r, lines2);
    assert.is(
      (await r.electionStore(new Incarnation(), 'fresh')).persisted.id,
      'fresh',
      `case ${n}`,
    );
  }
  r.platter.wipe();
  await store(r, lines);
  assert.equal(
    [(await r.electionStore()).persisted.id, (await r.electionStore()).persisted.accepted?.version],
    ['me', 5],
  );
});

damage(
  'a store with a damaged log of replicas starts as a new store, whatever step it loses power at',
  async () => {
    let lostAt = 0;
    for (let step = -1; step < 12; step++) {
      const r = createFixture(step + 1);
      let ids = 0;
      const open = (life: Incarnation) =>
        openStoreDisk({
          disk: r.platter.disk(r.clock, life),
          clock: r.clock,
          timings: r.timings,
          freshId: () => `s-${++ids}`,
          rewriteMinBytes: rewriteMinBytes,
          limits: { rewriteMinBytes: rewriteMinBytes, retentionMs: 1e9, maxHints: 10 },
        });
      const first = await r.clock.finish('open', open(new Incarnation()), 1000);
      for (let n = 0; n < 4; n++)
        await r.clock.finish('write', first.replicaStore.write(1, 1, [item(n)]), 1000);
      r.platter.corrupt('store.log', 30);
      const life = new Incarnation();
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
      const again = await r.clock.finish('again', open(new Incarnation()), 1000);
      assert.is.not(again.electionStore.persisted.id, 's-1', `step ${step}`);
      assert.equal(keysOf(again.replicaStore), []);
    }
    assert.ok(lostAt > 4, `${lostAt} losses of power`);
  },
);

damage(
  "power lost at every step of a rewrite of the control's log loses nothing acknowledged, each name kept or lost by itself",
  async () => {
    let rewrites = 0;
    const left = new Set<string>();
    for (let seed = 0; seed < 4; seed++)
      for (let step = 0; step < 70; step++) {
        const r = createFixture(step * 7 + seed);
        const life = new Incarnation();
        const electionStore = await r.electionStore(life, 'me', 4000);
        await r.clock.finish('promise', electionStore.recordVote(3, 'a'), 1000);
        r.platter.crashFrom(step, () => {
          life.dead = true;
        });
        let acked = 0;
        let most = 0;
        for (let v = 1; v <= 30; v++) {
          void electionStore.accept(stateAt(3, v)).then(
            () => {
              acked = v;
            },
            () => undefined,
          );
          if (v % 2 === 0) await r.clock.run(0.5);
          most = Math.max(most, r.platter.bytes('zen.log'));
        }
        await r.clock.run(50);
        if (r.platter.bytes('zen.log') < most) rewrites++;
        life.dead = true;
        r.platter.powerLoss();
        r.platter.crashAtStep = -1;
        for (const name of r.platter.list()) left.add(name);
        const again = await r.electionStore(new Incarnation(), 'fresh');
        assert.is(again.persisted.id, 'me', `seed ${seed}, step ${step}: ${r.warnings.join()}`);
        assert.equal([again.persisted.term, again.persisted.votedFor], [3, 'a']);
        assert.ok(
          (again.persisted.accepted?.version ?? 0) >= acked,
          `seed ${seed}, step ${step}: ${acked} was acknowledged, ${again.persisted.accepted?.version ?? 0} is held`,
        );
        await r.clock.finish('goes on', again.accept(stateAt(3, 31)), 1000);
      }
    assert.ok(rewrites > 20, `${rewrites} rewrites`);
    assert.ok(left.has('zen.log.next'), 'a leftover of a rewrite was met');
  },
);

damage(
  'a rewrite under a full disk fails nothing that was synced, and leaves no half file in the way',
  async () => {
    const r = createFixture(3);
    const electionStore = await r.electionStore(new Incarnation(), 'me', 2000);
    await r.clock.finish('promise', electionStore.recordVote(3, 'a'), 1000);
    let v = 0;
    while (v < 60) {
      v++;
      if (v === 20) r.platter.full = true;
      if (v === 30) r.platter.full = false;
      if (v === 30) await r.clock.run(1000);
      await outcomeOf(r, electionStore.accept(stateAt(3, v)));
    }
    assert.is(electionStore.writable, true);
    r.platter.powerLoss();
    assert.is((await r.electionStore()).persisted.accepted?.version, 60);
    assert.equal(r.platter.list(), ['zen.log']);
  },
);

const folder = async (inside: (dir: string) => Promise<void>): Promise<void> => {
  const dir = await mkdtemp(join(tmpdir(), 'tillerstair-journal-'));
  await inside(dir).finally(() => rm(dir, { recursive: true }));
};

damage(
  'on a real folder: a leftover of a rewrite does no harm, and appends after a rewrite are kept',
  () =>
    folder(async (dir) => {
      const data = join(dir, 'made', 'here');
      const disk = await FolderDisk.acquire(data);
      const { journal } = await openJournal(disk, 'a.log');
      for (let n = 0; n < 3; n++) await journal.append({ n });
      await writeFile(
        join(data, 'a.log.next'),
        'half a line that is longer than all of the rest of this file will ever be, or so it seems to be',
      );
      const leftover = await openJournal(disk, 'a.log');
      assert.equal(leftover.records, [{ n: 0 }, { n: 1 }, { n: 2 }]);
      await leftover.journal.close();
      assert.equal((await readdir(data)).sort(), ['a.log', 'lock']);
      await journal.rewrite(() => [{ n: 2 }]);
      await journal.append({ n: 3 });
      await journal.close();
      const again = await openJournal(disk, 'a.log');
      assert.equal(again.records, [{ n: 2 }, { n: 3 }]);
      await again.journal.close();
      assert.equal((await readdir(data)).sort(), ['a.log', 'lock']);
      await disk.setAside('a.log');
      await disk.setAside('never.log');
      assert.equal((await readdir(data)).sort(), ['a.log.damaged', 'lock']);
      assert.match(await readFile(join(data, 'a.log.damaged'), 'utf8'), '"n":3');
      await disk.release();
    }),
);

damage.run();
