/** Which logs of votes and states prove themselves whole, and what a store of an election does on a failed disk. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { encodeFrame } from '@tillerstair/journal';
import { Incarnation, seededRng, SimClock, SimDrive } from '@tillerstair/sim';
import { diffStates, encodeState, type State } from '@tillerstair/state';
import { silentLogger } from '@tillerstair/wire';
import { DiskElectionStore } from '@tillerstair/zen';
import { a, b, outcomeOf, stateAt } from '../support/zen-fixtures.js';

const logs = suite('a log of votes and accepted states');

const waitMs = 60000;

const rig = () => {
  const clock = new SimClock();
  const platter = new SimDrive(seededRng(1));
  const warnings: string[] = [];
  const log = { ...silentLogger, warn: (text: string) => warnings.push(text) };
  const pace = { clock, syncTimeoutMs: 1500, retryIntervalMs: 250, log };
  const disk = () => platter.disk(clock, new Incarnation());
  const open = (freshId = 'fresh', rewriteAt = 1 << 20): Promise<DiskElectionStore> =>
    clock.finish(
      'open',
      DiskElectionStore.open(disk(), () => freshId, rewriteAt, pace),
      waitMs,
    );
  const write = async (records: readonly object[]): Promise<void> => {
    const file = await clock.finish('open', disk().open('zen.log'), waitMs);
    const batches = records.map((record) => encodeFrame([record]));
    await clock.finish('write', file.replace(batches), waitMs);
  };
  return { clock, platter, warnings, open, write };
};

const id = { t: 'id', id: 'me' };
const vote = (term: number, to: string): object => ({ t: 'vote', term, to });
const full = (state: State): object => ({ t: 'full', state: [...encodeState(state)] });
const diff = (from: State, to: State): object => ({ t: 'diff', diff: diffStates(from, to) });

/** The id that a member goes on with after it has read these records, and the warnings it gave. */
const reopened = async (...records: readonly object[]) => {
  const { open, write, warnings, platter } = rig();
  await write(records);
  const { persisted } = await open();
  return { persisted, warnings, files: platter.list() };
};
const isRefused = async (...records: readonly object[]): Promise<boolean> => {
  const { persisted, warnings, files } = await reopened(...records);
  if (persisted.id === 'me') return false;
  assert.equal([persisted.id, persisted.term, persisted.accepted], ['fresh', 0, undefined]);
  assert.is(warnings.length, 1);
  assert.ok(files.includes('zen.log.damaged'));
  return true;
};

logs('that proves itself whole gives back id, votes and the newest state', async () => {
  const { persisted, warnings } = await reopened(
    id,
    { t: 'bootstrap-vote', members: [a, b] },
    full(stateAt(0, 1)),
    vote(3, 'a'),
    diff(stateAt(0, 1), stateAt(3, 2)),
    vote(5, 'b'),
  );
  assert.equal([persisted.id, persisted.term, persisted.votedFor], ['me', 5, 'b']);
  assert.equal(persisted.bootstrapVote, [a, b]);
  assert.equal([persisted.accepted?.term, persisted.accepted?.version], [3, 2]);
  assert.equal(warnings, []);
});

logs('must begin with the id', async () => {
  assert.ok(await isRefused(vote(3, 'a')));
  assert.ok(await isRefused(vote(3, 'a'), id));
});

logs('holds no term after a later one', async () => {
  assert.ok(await isRefused(id, vote(3, 'a'), vote(2, 'a')));
  assert.not.ok(await isRefused(id, vote(3, 'a'), vote(4, 'a')));
});

logs('holds no two votes of a term', async () => {
  assert.ok(await isRefused(id, vote(3, 'a'), vote(3, 'b')));
  assert.ok(await isRefused(id, vote(3, 'a'), vote(3, '')));
  assert.not.ok(await isRefused(id, vote(3, ''), vote(3, 'b')));
});

logs('holds no state of a term that was not voted for', async () => {
  assert.ok(await isRefused(id, vote(2, 'a'), full(stateAt(3, 2))));
  assert.not.ok(await isRefused(id, vote(3, 'a'), full(stateAt(3, 2))));
});

logs('holds no older state after a newer one', async () => {
  assert.ok(await isRefused(id, vote(3, 'a'), full(stateAt(3, 2)), full(stateAt(3, 1))));
  assert.ok(await isRefused(id, vote(3, 'a'), full(stateAt(3, 2)), full(stateAt(2, 9))));
});

logs('holds no difference without the state that it starts from', async () => {
  const skips = diff(stateAt(3, 2), stateAt(3, 3));
  assert.ok(await isRefused(id, vote(3, 'a'), skips));
  assert.ok(await isRefused(id, vote(3, 'a'), full(stateAt(3, 1)), skips));
});

logs('holds no record of an unknown kind', async () => {
  assert.ok(await isRefused(id, { t: 'promise', term: 3, to: 'a' }));
});

const disks = suite('a store of an election');

disks('takes no record while its disk takes no writes, and keeps what it holds', async () => {
  const { clock, platter, open } = rig();
  const electionStore = await open('me');
  platter.failSyncs = true;
  assert.is(
    await clock.finish('vote', outcomeOf(electionStore.recordVote(3, 'a')), waitMs),
    'unavailable',
  );
  assert.is(electionStore.writable, false);
  assert.is(await outcomeOf(electionStore.recordVote(4, 'b')), 'unavailable');
  assert.is(await outcomeOf(electionStore.accept(stateAt(0, 1))), 'unavailable');
  assert.is(await outcomeOf(electionStore.synced()), 'unavailable');
  assert.equal([electionStore.persisted.term, electionStore.persisted.votedFor], [3, 'a']);
  assert.is(electionStore.persisted.accepted, undefined);
  platter.failSyncs = false;
  await clock.until('recovery', () => electionStore.writable, waitMs);
  platter.powerLoss();
  assert.equal((await open()).persisted.votedFor, 'a');
});

disks('does not open before its id is on disk', async () => {
  const { clock, platter, open } = rig();
  platter.failSyncs = true;
  let isOpen = false;
  const opened = DiskElectionStore.open(
    platter.disk(clock, new Incarnation()),
    () => 'me',
    1 << 20,
    {
      clock,
      syncTimeoutMs: 1500,
      retryIntervalMs: 250,
    },
  ).then(() => {
    isOpen = true;
  });
  await clock.run(5000);
  assert.is(isOpen, false);
  platter.failSyncs = false;
  await clock.finish(
    'open',
    opened.then(() => 'open'),
    waitMs,
  );
  platter.powerLoss();
  assert.is((await open()).persisted.id, 'me');
});

logs.run();
disks.run();
