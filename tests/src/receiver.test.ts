/** What a follower does with states that reach it while it is still storing something else. */
import { deflateSync } from 'node:zlib';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { flatten, foundingState, type Mate, type State } from '@tillerstair/state';
import { mishapOf } from '@tillerstair/wire';
import { MemoryKeep, Receiver } from '@tillerstair/zen';

const receiver = suite('publish receiver');

const mateOf = (id: string): Mate => ({ id, kind: 'control', addr: id, http: '', zone: '', data: '', name: '' });
const master = mateOf('a');
const founded = foundingState('cluster', [master, mateOf('b')], 1);
const stateAt = (version: number): State => ({ ...founded, term: 2, version, master: 'a' });

const publishOf = (s: State): object => ({
  from: master, term: s.term, clusterId: s.clusterId, packed: deflateSync(JSON.stringify({ full: [...flatten(s)] })).toString('base64'),
});

/** Lets a test decide when a vote is on disk. */
class SlowVoteKeep extends MemoryKeep {
  private release: () => void = () => undefined;

  override async promise(term: number, to: string): Promise<void> {
    await super.promise(term, to);
    await new Promise<void>((done) => {
      this.release = done;
    });
  }

  voteSynced(): void {
    this.release();
  }
}

receiver('an older state that waited for its vote never replaces a newer one', async () => {
  const keep = new SlowVoteKeep('b');
  await keep.accept(founded);
  const r = new Receiver({ keep, onApplied: async () => undefined, knows: () => true, onTerm: () => undefined, onPublished: () => undefined });
  const older = r.onPublish(publishOf(stateAt(4))).then((a) => a.verdict, (e: unknown) => mishapOf(e).code);
  assert.equal(await r.onPublish(publishOf(stateAt(5))), { verdict: 'accepted' });
  keep.voteSynced();
  assert.is(await older, 'stale-state');
  assert.is(keep.kept.accepted?.version, 5);
});

receiver.run();
