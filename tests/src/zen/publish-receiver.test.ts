/** States that arrive while a follower is still storing its vote for an earlier one. */
import { deflateSync } from 'node:zlib';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { encodeState, bootstrapState, type Member, type State } from '@tillerstair/state';
import { toRpcError } from '@tillerstair/wire';
import { MemoryElectionStore, PublishReceiver, type Publish } from '@tillerstair/zen';

const receiver = suite('publish receiver');

const memberOf = (id: string): Member => ({
  id,
  kind: 'control',
  addr: id,
  http: '',
  zone: '',
  data: '',
  name: '',
});
const master = memberOf('a');
const bootstrapped = bootstrapState('cluster', [master, memberOf('b')], 1);
const stateAt = (version: number): State => ({ ...bootstrapped, term: 2, version, master: 'a' });

const publishOf = (state: State): Publish => ({
  from: master,
  term: state.term,
  clusterId: state.clusterId,
  packed: deflateSync(JSON.stringify({ full: [...encodeState(state)] })).toString('base64'),
});

/** A store in which a vote counts as synced only once the test calls `voteSynced`. */
class SlowVoteElectionStore extends MemoryElectionStore {
  private release: () => void = () => undefined;

  override async recordVote(term: number, to: string): Promise<void> {
    await super.recordVote(term, to);
    await new Promise<void>((resolve) => {
      this.release = resolve;
    });
  }

  voteSynced(): void {
    this.release();
  }
}

receiver(
  'an older state that waited for a vote to be stored never replaces a newer one',
  async () => {
    const electionStore = new SlowVoteElectionStore('b');
    await electionStore.accept(bootstrapped);
    const publishReceiver = new PublishReceiver({
      electionStore,
      onApplied: () => Promise.resolve(),
      isMaster: () => true,
      onTerm: () => undefined,
      onPublished: () => undefined,
    });
    const older = publishReceiver.onPublish(publishOf(stateAt(4))).then(
      (response) => response.outcome,
      (e: unknown) => toRpcError(e).code,
    );
    assert.equal(await publishReceiver.onPublish(publishOf(stateAt(5))), { outcome: 'accepted' });
    electionStore.voteSynced();
    assert.is(await older, 'stale-state');
    assert.is(electionStore.persisted.accepted?.version, 5);
  },
);

receiver.run();
