/** Which logs of votes and states count as complete, and how an election store behaves on a failed disk. */
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

const setUp = () => {
  const clock = new SimClock();
  const storage = new SimDrive(seededRng(1));
  const warnings: string[] = [];
  const log = { ...silentLogger, warn: (text: string) => warnings.push(text) };
  const timings = { clock, syncTimeoutMs: 1500, retryIntervalMs: 250, log };
  const disk = () => storage.disk(clock, new Incarnation());
  const open = (newId = 'new', rewriteAtBytes = 1 << 20): Promise<DiskElectionStore> =>
    clock.finish(
      'open',
      DiskElectionStore.open(disk(), () => newId, rewriteAtBytes, timings),
      waitMs,
    );
  const write = async (records: readonly object[]): Promise<void> => {
    const file = await clock.finish('open', disk().open('zen.log'), waitMs);
    const batches = records.map((record) => encodeFrame([record]));
    await clock.finish('write', file.replace(batches), waitMs);
  };
  return { clock, storage, warnings, open, write };
};

const id = { t: 'id', id: 'me' };
const vote = (term: number, to: string): object => ({ t: 'vote', term, to });
const full = (state: State): object => ({ t: 'full', state: [...encodeState(state)] });
const diff = (from: State, to: State): object => ({ t: 'diff', diff: diffStates(from, to) });

/** Opens an election store on a log of these records; returns its state, the warnings and the files on disk. */
const reopen = async (...records: readonly object[]) => {
  const { open, write, warnings, storage } = setUp();
  await write(records);
  const { persisted } = await open();
  return { persisted, warnings, files: storage.list() };
};
const isRefused = async (...records: readonly object[]): Promise<boolean> => {
  const { persisted, warnings, files } = await reopen(...records);
  if (persisted.id === 'me') return false;
  assert.equal([persisted.id, persisted.term, persisted.accepted], ['new', 0, undefined]);
  assert.is(warnings.length, 1);
  assert.ok(files.includes('zen.log.damaged'));
  return true;
};

logs('that is complete restores the id, the votes and the newest state', async () => {
  const { persisted, warnings } = await reopen(
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

logs('must not have a term after a later one', async () => {
  assert.ok(await isRefused(id, vote(3, 'a'), vote(2, 'a')));
  assert.not.ok(await isRefused(id, vote(3, 'a'), vote(4, 'a')));
});

logs('must not have two votes in a term', async () => {
  assert.ok(await isRefused(id, vote(3, 'a'), vote(3, 'b')));
  assert.ok(await isRefused(id, vote(3, 'a'), vote(3, '')));
  assert.not.ok(await isRefused(id, vote(3, ''), vote(3, 'b')));
});

logs('must not have a state of a term without a vote', async () => {
  assert.ok(await isRefused(id, vote(2, 'a'), full(stateAt(3, 2))));
  assert.not.ok(await isRefused(id, vote(3, 'a'), full(stateAt(3, 2))));
});

logs('must not have an older state after a newer one', async () => {
  assert.ok(await isRefused(id, vote(3, 'a'), full(stateAt(3, 2)), full(stateAt(3, 1))));
  assert.ok(await isRefused(id, vote(3, 'a'), full(stateAt(3, 2)), full(stateAt(2, 9))));
});

logs('must not have a diff without the state that it starts from', async () => {
  const diffFromMissing = diff(stateAt(3, 2), stateAt(3, 3));
  assert.ok(await isRefused(id, vote(3, 'a'), diffFromMissing));
  assert.ok(await isRefused(id, vote(3, 'a'), full(stateAt(3, 1)), diffFromMissing));
});

logs('must not have a record of an unknown kind', async () => {
  assert.ok(await isRefused(id, { t: 'promise', term: 3, to: 'a' }));
});

const stores = suite('an election store');

stores('rejects records while its disk accepts no writes, and keeps its state', async () => {
  const { clock, storage, open } = setUp();
  const electionStore = await open('me');
  storage.failSyncs = true;
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
  storage.failSyncs = false;
  await clock.until('recovery', () => electionStore.writable, waitMs);
  storage.powerLoss();
  assert.equal((await open()).persisted.votedFor, 'a');
});

stores('does not open before its id is on disk', async () => {
  const { clock, storage, open } = setUp();
  storage.failSyncs = true;
  let isOpen = false;
  const opened = DiskElectionStore.open(
    storage.disk(clock, new Incarnation()),
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
  storage.failSyncs = false;
  await clock.finish(
    'open',
    opened.then(() => 'open'),
    waitMs,
  );
  storage.powerLoss();
  assert.is((await open()).persisted.id, 'me');
});

logs.run();
stores.run();
