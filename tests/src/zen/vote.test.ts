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

votes('is given to one candidate per term', async () => {
  const electionStore = await electionStoreWith(bootstrapped);
  assert.is(await outcomeOf(grantVote(electionStore, 'a', validateOf(a, 4))), 'done');
  assert.is(await outcomeOf(grantVote(electionStore, 'b', validateOf(b, 4))), 'stale-term');
  assert.equal([electionStore.persisted.term, electionStore.persisted.votedFor], [4, 'a']);
  assert.is(await outcomeOf(grantVote(electionStore, 'b', validateOf(b, 5))), 'done');
});

votes('is not given in a lower term, even to the candidate of the later term', async () => {
  const electionStore = await electionStoreWith(bootstrapped);
  await electionStore.recordVote(4, 'a');
  assert.is(await outcomeOf(grantVote(electionStore, 'a', validateOf(a, 3))), 'stale-term');
  assert.is(electionStore.persisted.term, 4);
});

votes('is given only to the candidate that this node is joining', async () => {
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

votes('is acknowledged only once it is on disk, also when it is repeated', async () => {
  const electionStore = new ObservedElectionStore('me');
  electionStore.failsToSync = true;
  assert.is(await outcomeOf(grantVote(electionStore, 'a', validateOf(a, 4))), 'internal');
  assert.is(await outcomeOf(grantVote(electionStore, 'a', validateOf(a, 4))), 'internal');
  electionStore.failsToSync = false;
  assert.is(await outcomeOf(grantVote(electionStore, 'a', validateOf(a, 4))), 'done');
  assert.is(electionStore.syncsAwaited, 2);
});

votes(
  'includes the accepted state only if that is newer than the state of the candidate',
  async () => {
    const electionStore = await electionStoreWith(stateAt(3, 5));
    const toOlder = await grantVote(electionStore, 'a', validateOf(a, 4, stateAt(3, 4)));
    assert.ok(toOlder.state);
    const toSame = await grantVote(electionStore, 'a', validateOf(a, 4, stateAt(3, 5)));
    assert.is(toSame.state, undefined);
    assert.equal(toSame.accepted, { term: 3, version: 5 });
  },
);

votes.run();
