/** Which published and committed states a node refuses. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type Member, type State } from '@tillerstair/state';
import { MemoryElectionStore, PublishReceiver } from '@tillerstair/zen';
import {
  a,
  b,
  bootstrapped,
  ObservedElectionStore,
  outcomeOf,
  publishDiffOf,
  publishOf,
  stateAt,
  electionStoreWith,
} from '../support/zen-fixtures.js';

const refusals = suite('a published state');

const receiverOf = (electionStore: MemoryElectionStore, masterIds: readonly string[] = []) => {
  const applied: State[] = [];
  const terms: number[] = [];
  const publishers: Member[] = [];
  const receiver = new PublishReceiver({
    electionStore,
    onApplied: (state) => {
      applied.push(state);
      return Promise.resolve();
    },
    isMaster: (id) => masterIds.includes(id),
    onTerm: (term) => terms.push(term),
    onPublished: (from) => publishers.push(from),
  });
  const publish = (from: Member, state: State): Promise<string> =>
    outcomeOf(receiver.onPublish(publishOf(from, state)));
  return { receiver, publish, applied, terms, publishers };
};

refusals('of a lower term is refused even from the master that this node voted for', async () => {
  const electionStore = await electionStoreWith(bootstrapped);
  await electionStore.recordVote(4, 'a');
  const { publish } = receiverOf(electionStore);
  assert.is(await publish(a, stateAt(3, 9)), 'stale-term');
  assert.is(await publish(a, stateAt(4, 9)), 'done');
});

refusals('of a lower term is not acknowledged even if it was accepted before', async () => {
  const electionStore = await electionStoreWith(stateAt(3, 9));
  await electionStore.recordVote(4, 'b');
  const { publish } = receiverOf(electionStore);
  assert.is(await publish(a, stateAt(3, 9)), 'stale-term');
});

refusals('of a master that this node did not vote for in its term is refused', async () => {
  const electionStore = await electionStoreWith(bootstrapped);
  await electionStore.recordVote(4, 'a');
  const { publish, publishers } = receiverOf(electionStore);
  assert.is(await publish(b, stateAt(4, 9)), 'stale-term');
  assert.is(electionStore.persisted.accepted?.version, 1);
  assert.equal(publishers, []);
});

refusals('of another cluster is refused', async () => {
  const electionStore = await electionStoreWith(bootstrapped);
  const { publish } = receiverOf(electionStore, ['a']);
  assert.is(await publish(a, stateAt(4, 9, { clusterId: 'y' })), 'other-cluster');
});

refusals(
  'is accepted by a node without a state only from the master it joins or follows',
  async () => {
    const { publish } = receiverOf(await electionStoreWith(undefined), ['b']);
    assert.is(await publish(a, stateAt(4, 9)), 'other-cluster');
    assert.is(await publish(b, stateAt(4, 9)), 'done');
  },
);

refusals('with a term other than that of its publish is refused', async () => {
  const { receiver } = receiverOf(await electionStoreWith(bootstrapped));
  const mislabelled = { ...publishOf(a, stateAt(3, 9)), term: 4 };
  assert.is(await outcomeOf(receiver.onPublish(mislabelled)), 'stale-state');
});

refusals('that is older than the accepted one is refused', async () => {
  const electionStore = await electionStoreWith(stateAt(4, 9));
  await electionStore.recordVote(4, 'a');
  const { publish, terms } = receiverOf(electionStore);
  assert.is(await publish(a, stateAt(4, 8)), 'stale-state');
  assert.equal(terms, []);
  assert.is(electionStore.persisted.accepted?.version, 9);
});

refusals('in a later term counts as a vote for its master, recorded before the state', async () => {
  const electionStore = await electionStoreWith(bootstrapped);
  const { publish, terms } = receiverOf(electionStore);
  assert.is(await publish(a, stateAt(4, 9)), 'done');
  assert.equal([electionStore.persisted.term, electionStore.persisted.votedFor], [4, 'a']);
  assert.equal(terms, [4]);
});

/** A store that runs `meanwhile` while a vote is being written. */
class InterruptedElectionStore extends MemoryElectionStore {
  meanwhile: () => Promise<unknown> = () => Promise.resolve();

  override async recordVote(term: number, to: string): Promise<void> {
    await super.recordVote(term, to);
    const work = this.meanwhile;
    this.meanwhile = () => Promise.resolve();
    await work();
  }
}

refusals(
  'is refused if the node voted in a later term while the vote for it was stored',
  async () => {
    const electionStore = new InterruptedElectionStore('me');
    await electionStore.accept(bootstrapped);
    const { publish } = receiverOf(electionStore);
    electionStore.meanwhile = () => electionStore.recordVote(5, 'c');
    assert.is(await publish(a, stateAt(4, 9)), 'stale-term');
    assert.is(electionStore.persisted.accepted?.version, 1);
  },
);

refusals('is refused if a newer state was accepted while the vote for it was stored', async () => {
  const electionStore = new InterruptedElectionStore('me');
  await electionStore.accept(bootstrapped);
  const { publish } = receiverOf(electionStore);
  electionStore.meanwhile = () => electionStore.accept(stateAt(4, 10));
  assert.is(await publish(a, stateAt(4, 9)), 'stale-state');
  assert.is(electionStore.persisted.accepted?.version, 10);
});

refusals('that was accepted before is acknowledged again once it is on disk', async () => {
  const electionStore = new ObservedElectionStore('me');
  const accepted = stateAt(4, 9);
  await electionStore.accept(accepted);
  await electionStore.recordVote(4, 'a');
  const { receiver } = receiverOf(electionStore);
  const bodies = [publishOf(a, accepted), publishDiffOf(a, stateAt(4, 8), accepted)];
  for (const body of bodies) assert.equal(await receiver.onPublish(body), { outcome: 'accepted' });
  assert.is(electionStore.syncsAwaited, 2);
  electionStore.failsToSync = true;
  for (const body of bodies) assert.is(await outcomeOf(receiver.onPublish(body)), 'internal');
});

refusals(
  'sent as a diff from a state other than the accepted one requests the full state',
  async () => {
    const electionStore = await electionStoreWith(stateAt(4, 7));
    await electionStore.recordVote(4, 'a');
    const { receiver } = receiverOf(electionStore);
    const diffFromUnaccepted = publishDiffOf(a, stateAt(4, 8), stateAt(4, 9));
    assert.equal(await receiver.onPublish(diffFromUnaccepted), { outcome: 'need-full' });
    assert.is(electionStore.persisted.accepted?.version, 7);
    const diffFromAccepted = publishDiffOf(a, stateAt(4, 7), stateAt(4, 8));
    assert.equal(await receiver.onPublish(diffFromAccepted), { outcome: 'accepted' });
  },
);

const commits = suite('a commit');

commits('is refused unless it names the accepted state', async () => {
  const withoutState = receiverOf(await electionStoreWith(undefined));
  const commit = { term: 4, version: 9 };
  assert.is(await outcomeOf(withoutState.receiver.onCommit(commit)), 'not-held');
  const { receiver, applied } = receiverOf(await electionStoreWith(stateAt(4, 9)));
  assert.is(await outcomeOf(receiver.onCommit({ term: 4, version: 8 })), 'not-held');
  assert.is(await outcomeOf(receiver.onCommit({ term: 5, version: 9 })), 'not-held');
  assert.is(applied.length, 0);
  assert.is(await outcomeOf(receiver.onCommit(commit)), 'done');
  assert.is(applied.length, 1);
});

commits('of a state that is already applied changes nothing', async () => {
  const electionStore = await electionStoreWith(stateAt(4, 9));
  const { receiver, applied } = receiverOf(electionStore);
  await receiver.onCommit({ term: 4, version: 9 });
  await electionStore.accept(stateAt(4, 10));
  assert.is(await outcomeOf(receiver.onCommit({ term: 4, version: 9 })), 'done');
  assert.is(await outcomeOf(receiver.onCommit({ term: 4, version: 8 })), 'done');
  assert.is(applied.length, 1);
});

commits('never applies an older state over a newer one', async () => {
  const { receiver, applied } = receiverOf(await electionStoreWith(undefined));
  await receiver.apply(stateAt(4, 9));
  await receiver.apply(stateAt(4, 8));
  await receiver.apply(stateAt(4, 9));
  assert.equal(
    applied.map((state) => state.version),
    [9],
  );
  assert.is(receiver.applied?.version, 9);
});

refusals.run();
commits.run();
