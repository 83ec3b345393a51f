/** Logs with missing, reordered or damaged records, and rewrites interrupted at any step. */
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

const damage = suite('damaged logs and interrupted rewrites');

/** Records a vote and accepts that many successive versions of the state, so that the log holds their diffs. */
const writeVersions = async (fixture: JournalFixture, versions: number): Promise<void> => {
  const electionStore = await fixture.electionStore();
  await fixture.clock.finish('vote', electionStore.recordVote(3, 'a'), 1000);
  for (let version = 1; version <= versions; version++)
    await fixture.clock.finish('accept', electionStore.accept(stateAt(3, version)), 1000);
};

/** The lines of the election log. */
const linesOf = async (fixture: JournalFixture): Promise<readonly string[]> => {
  const file = await fixture.clock.finish(
    'open',
    fixture.drive.disk(fixture.clock, new Incarnation()).open('zen.log'),
    1000,
  );
  const chunks: Buffer[] = [];
  for await (const chunk of file.chunks()) chunks.push(Buffer.from(chunk));
  return Buffer.concat(chunks).toString('utf8').split('\n').slice(0, -1);
};

/** Replaces the content of the election log. */
const replaceLog = async (fixture: JournalFixture, lines: readonly string[]): Promise<void> => {
  const file = await fixture.clock.finish(
    'open',
    fixture.drive.disk(fixture.clock, new Incarnation()).open('zen.log'),
    1000,
  );
  await fixture.clock.finish(
    'replace',
    file.replace([Buffer.from(lines.map((line) => `${line}\n`).join(''))]),
    1000,
  );
};

damage(
  'a log that lacks any record but the last starts a new member, with one warning',
  async () => {
    const fixture = createFixture(1);
    await writeVersions(fixture, 6);
    const lines = await linesOf(fixture);
    assert.is(lines.length, 8);
    for (let missingIndex = 0; missingIndex < lines.length - 1; missingIndex++) {
      fixture.said.length = 0;
      fixture.drive.wipe();
      await replaceLog(
        fixture,
        lines.filter((_, index) => index !== missingIndex),
      );
      const electionStore = await fixture.electionStore(new Incarnation(), `fresh-${missingIndex}`);
      assert.equal(
        [
          electionStore.persisted.id,
          electionStore.persisted.term,
          electionStore.persisted.accepted,
        ],
        [`fresh-${missingIndex}`, 0, undefined],
        `without record ${missingIndex}`,
      );
      assert.is(
        fixture.said.filter((warning) => warning.includes('starting as a new member')).length,
        1,
      );
      assert.ok(fixture.drive.list().includes('zen.log.damaged'));
      fixture.drive.powerLoss();
      assert.is(
        (await fixture.electionStore(new Incarnation(), 'another')).persisted.id,
        `fresh-${missingIndex}`,
      );
    }
  },
);

damage('a log with reordered, duplicate or damaged records starts a new member', async () => {
  const fixture = createFixture(1);
  await writeVersions(fixture, 5);
  const lines = await linesOf(fixture);
  const [idLine = '', voteLine = '', stateLine = '', ...diffLines] = lines;
  const secondVoteLine = encodeFrame([{ t: 'vote', term: 3, to: 'b' }])
    .toString('utf8')
    .trimEnd();
  const lowerTermLine = encodeFrame([{ t: 'vote', term: 2, to: 'a' }])
    .toString('utf8')
    .trimEnd();
  const cases: readonly (readonly string[])[] = [
    [idLine, voteLine, stateLine, ...[...diffLines].reverse()],
    [idLine, voteLine, stateLine, diffLines[0] ?? '', ...diffLines],
    [idLine, stateLine, ...diffLines],
    [...lines, secondVoteLine],
    [...lines, lowerTermLine],
    [idLine, voteLine, `${stateLine.slice(0, 40)}#${stateLine.slice(41)}`, ...diffLines],
    [
      idLine,
      voteLine,
      encodeFrame([{ t: 'what' }])
        .toString('utf8')
        .trimEnd(),
      stateLine,
      ...diffLines,
    ],
  ];
  for (const [index, changedLines] of cases.entries()) {
    fixture.drive.wipe();
    await replaceLog(fixture, changedLines);
    assert.is(
      (await fixture.electionStore(new Incarnation(), 'fresh')).persisted.id,
      'fresh',
      `case ${index}`,
    );
  }
  fixture.drive.wipe();
  await replaceLog(fixture, lines);
  assert.equal(
    [
      (await fixture.electionStore()).persisted.id,
      (await fixture.electionStore()).persisted.accepted?.version,
    ],
    ['me', 5],
  );
});

damage(
  'a store with a damaged replica log starts as a new store, even after a power loss at any step',
  async () => {
    let powerLosses = 0;
    for (let step = -1; step < 12; step++) {
      const fixture = createFixture(step + 1);
      let idCount = 0;
      const open = (incarnation: Incarnation) =>
        openStoreDisk({
          disk: fixture.drive.disk(fixture.clock, incarnation),
          clock: fixture.clock,
          timings: fixture.pace,
          freshId: () => `s-${++idCount}`,
          rewriteMinBytes: rewriteMinBytes,
          limits: { rewriteMinBytes: rewriteMinBytes, retentionMs: 1e9, maxHints: 10 },
        });
      const first = await fixture.clock.finish('open', open(new Incarnation()), 1000);
      for (let i = 0; i < 4; i++)
        await fixture.clock.finish('write', first.replicaStore.write(1, 1, [item(i)]), 1000);
      fixture.drive.corrupt('store.log', 30);
      const incarnation = new Incarnation();
      fixture.drive.crashFrom(step, () => {
        incarnation.dead = true;
      });
      const opened = open(incarnation);
      await fixture.clock.run(100);
      if (incarnation.dead) {
        powerLosses++;
        fixture.drive.powerLoss();
        fixture.drive.crashAtStep = -1;
      } else await fixture.clock.finish('opened', opened, 1000);
      const reopened = await fixture.clock.finish('again', open(new Incarnation()), 1000);
      assert.is.not(reopened.electionStore.persisted.id, 's-1', `step ${step}`);
      assert.equal(keysOf(reopened.replicaStore), []);
    }
    assert.ok(powerLosses > 4, `${powerLosses} power losses`);
  },
);

damage(
  "a power loss at any step of a rewrite of a control's log loses no acknowledged state, whichever renames survive",
  async () => {
    let rewrites = 0;
    const filesSeen = new Set<string>();
    for (let seed = 0; seed < 4; seed++)
      for (let step = 0; step < 70; step++) {
        const fixture = createFixture(step * 7 + seed);
        const incarnation = new Incarnation();
        const electionStore = await fixture.electionStore(incarnation, 'me', 4000);
        await fixture.clock.finish('vote', electionStore.recordVote(3, 'a'), 1000);
        fixture.drive.crashFrom(step, () => {
          incarnation.dead = true;
        });
        let acknowledgedVersion = 0;
        let maxBytes = 0;
        for (let version = 1; version <= 30; version++) {
          void electionStore.accept(stateAt(3, version)).then(
            () => {
              acknowledgedVersion = version;
            },
            () => undefined,
          );
          if (version % 2 === 0) await fixture.clock.run(0.5);
          maxBytes = Math.max(maxBytes, fixture.drive.bytes('zen.log'));
        }
        await fixture.clock.run(50);
        if (fixture.drive.bytes('zen.log') < maxBytes) rewrites++;
        incarnation.dead = true;
        fixture.drive.powerLoss();
        fixture.drive.crashAtStep = -1;
        for (const name of fixture.drive.list()) filesSeen.add(name);
        const reopened = await fixture.electionStore(new Incarnation(), 'fresh');
        assert.is(
          reopened.persisted.id,
          'me',
          `seed ${seed}, step ${step}: ${fixture.said.join()}`,
        );
        assert.equal([reopened.persisted.term, reopened.persisted.votedFor], [3, 'a']);
        assert.ok(
          (reopened.persisted.accepted?.version ?? 0) >= acknowledgedVersion,
          `seed ${seed}, step ${step}: ${acknowledgedVersion} was acknowledged, ${reopened.persisted.accepted?.version ?? 0} was restored`,
        );
        await fixture.clock.finish(
          'accept after the power loss',
          reopened.accept(stateAt(3, 31)),
          1000,
        );
      }
    assert.ok(rewrites > 20, `${rewrites} rewrites`);
    assert.ok(filesSeen.has('zen.log.next'), 'no run left a temporary file of a rewrite');
  },
);

damage('a rewrite on a full disk loses no synced state, and leaves no temporary file', async () => {
  const fixture = createFixture(3);
  const electionStore = await fixture.electionStore(new Incarnation(), 'me', 2000);
  await fixture.clock.finish('vote', electionStore.recordVote(3, 'a'), 1000);
  let version = 0;
  while (version < 60) {
    version++;
    if (version === 20) fixture.drive.full = true;
    if (version === 30) fixture.drive.full = false;
    if (version === 30) await fixture.clock.run(1000);
    await outcomeOf(fixture, electionStore.accept(stateAt(3, version)));
  }
  assert.is(electionStore.writable, true);
  fixture.drive.powerLoss();
  assert.is((await fixture.electionStore()).persisted.accepted?.version, 60);
  assert.equal(fixture.drive.list(), ['zen.log']);
});

const inFolder = async (use: (dir: string) => Promise<void>): Promise<void> => {
  const dir = await mkdtemp(join(tmpdir(), 'tillerstair-journal-'));
  await use(dir).finally(() => rm(dir, { recursive: true }));
};

damage(
  'in a real folder, a leftover temporary file is removed, and appends after a rewrite are kept',
  () =>
    inFolder(async (dir) => {
      const dataFolder = join(dir, 'made', 'here');
      const disk = await FolderDisk.acquire(dataFolder);
      const { journal } = await openJournal(disk, 'a.log');
      for (let i = 0; i < 3; i++) await journal.append({ n: i });
      await writeFile(
        join(dataFolder, 'a.log.next'),
        'half a line that is longer than all of the rest of this file will ever be, or so it seems to be',
      );
      const leftover = await openJournal(disk, 'a.log');
      assert.equal(leftover.records, [{ n: 0 }, { n: 1 }, { n: 2 }]);
      await leftover.journal.close();
      assert.equal((await readdir(dataFolder)).sort(), ['a.log', 'lock']);
      await journal.rewrite(() => [{ n: 2 }]);
      await journal.append({ n: 3 });
      await journal.close();
      const reopened = await openJournal(disk, 'a.log');
      assert.equal(reopened.records, [{ n: 2 }, { n: 3 }]);
      await reopened.journal.close();
      assert.equal((await readdir(dataFolder)).sort(), ['a.log', 'lock']);
      await disk.setAside('a.log');
      await disk.setAside('never.log');
      assert.equal((await readdir(dataFolder)).sort(), ['a.log.damaged', 'lock']);
      assert.match(await readFile(join(dataFolder, 'a.log.damaged'), 'utf8'), '"n":3');
      await disk.release();
    }),
);

damage.run();
