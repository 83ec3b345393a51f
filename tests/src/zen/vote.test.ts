/** When a node votes for a candidate, and when it refuses. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type Member, type State } from '@tillerstair/state';
import { grantVote, type Validate } from '@tillerstair/zen';
import {
  a,
  b,
  bootstrapped,
  ObservedElectionStore,
  outcomeOf,
  stateAt,
  electionStoreWith,
} from '../support/zen-fixtures.js';

const votes = suite('a vote');

const validateOf = (from: Member, term: number, have: State = bootstrapped): Validate => ({
  from,
  term,
  clusterId: have.clusterId,
  have: { term: have.term, version: have.version },
});

votes('is given to one candidate a term', async () => {
  const electionStore = await electionStoreWith(bootstrapped);
  assert.is(await outcomeOf(grantVote(electionStore, 'a', validateOf(a, 4))), 'done');
  assert.is(await outcomeOf(grantVote(electionStore, 'b', validateOf(b, 4))), 'stale-term');
  assert.equal([electionStore.persisted.term, electionStore.persisted.votedFor], [4, 'a']);
  assert.is(await outcomeOf(grantVote(electionStore, 'b', validateOf(b, 5))), 'done');
});

votes('is not given in a lower term, also not to the candidate of the later one', async () => {
  const electionStore = await electionStoreWith(bootstrapped);
  await electionStore.recordVote(4, 'a');
  assert.is(await outcomeOf(grantVote(electionStore, 'a', validateOf(a, 3))), 'stale-term');
  assert.is(electionStore.persisted.term, 4);
});

votes('is given only to the candidate that this node joins', async () => {
  const electionStore = await electionStoreWith(bootstrapped);
  assert.is(await outcomeOf(grantVote(electionStore, 'a', validateOf(b, 4))), 'not-joining');
  assert.is(await outcomeOf(grantVote(electionStore, undefined, validateOf(b, 4))), 'not-joining');
  assert.is(electionStore.persisted.term, 0);
});

votes('is not given to a candidate of another cluster', async () => {
  const electionStore = await electionStoreWith(bootstrapped);
  const validate = validateOf(a, 4, stateAt(0, 1, { clusterId: 'y' }));
  assert.is(await outcomeOf(grantVote(electionStore, 'a', validate)), 'other-cluster');
  assert.is(electionStore.persisted.term, 0);
  assert.is(await outcomeOf(grantVote(await electionStoreWith(undefined), 'a', validate)), 'done');
});

votes('is said only once it is on disk, also when it is said again', async () => {
  const electionStore = new ObservedElectionStore('me');
  electionStore.failsToSync = true;
  assert.is(await outcomeOf(grantVote(electionStore, 'a', validateOf(a, 4))), 'internal');
  assert.is(await outcomeOf(grantVote(electionStore, 'a', validateOf(a, 4))), 'internal');
  electionStore.failsToSync = false;
  assert.is(await outcomeOf(grantVote(electionStore, 'a', validateOf(a, 4))), 'done');
  assert.is(electionStore.syncsAwaited, 2);
});

votes('carries the accepted state only if that is ahead of the candidate', async () => {
  const electionStore = await electionStoreWith(stateAt(3, 5));
  const behind = await grantVote(electionStore, 'a', validateOf(a, 4, stateAt(3, 4)));
  assert.ok(behind.state);
  const level = await grantVote(electionStore, 'a', validateOf(a, 4, stateAt(3, 5)));
  assert.is(level.state, undefined);
  assert.equal(level.accepted, { term: 3, version: 5 });
});

votes.run();
