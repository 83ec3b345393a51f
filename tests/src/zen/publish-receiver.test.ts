/** What a follower does with states that reach it while it is still storing something else. */
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

const publishOf = (s: State): Publish => ({
  from: master,
  term: s.term,
  clusterId: s.clusterId,
  packed: deflateSync(JSON.stringify({ full: [...encodeState(s)] })).toString('base64'),
});

/** Lets a test decide when a vote is on disk. */
class SlowVoteElectionStore extends MemoryElectionStore {
  private release: () => void = () => undefined;

  override async recordVote(term: number, to: string): Promise<void> {
    await super.recordVote(term, to);
    await new Promise<void>((done) => {
      this.release = done;
    });
  }

  voteSynced(): void {
    this.release();
  }
}

receiver('an older state that waited for its vote never replaces a newer one', async () => {
  const electionStore = new SlowVoteElectionStore('b');
  await electionStore.accept(bootstrapped);
  const r = new PublishReceiver({
    electionStore,
    onApplied: () => Promise.resolve(),
    isMaster: () => true,
    onTerm: () => undefined,
    onPublished: () => undefined,
  });
  const older = r.onPublish(publishOf(stateAt(4))).then(
    (a) => a.outcome,
    (e: unknown) => toRpcError(e).code,
  );
  assert.equal(await r.onPublish(publishOf(stateAt(5))), { outcome: 'accepted' });
  electionStore.voteSynced();
  assert.is(await older, 'stale-state');
  assert.is(electionStore.persisted.accepted?.version, 5);
});

receiver.run();
