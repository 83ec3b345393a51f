import { inflateSync } from 'node:zlib';
import {
  versionOf,
  isNewerVersion,
  applyDiff,
  isSameVersion,
  decodeState,
  type StateVersion,
  type Member,
  type State,
} from '@tillerstair/state';
import { ElectionError, TaskQueue } from '@tillerstair/wire';
import type { ElectionStore } from './election-store.js';
import { Payload, Publish } from './messages.js';

export interface ReceiverParts {
  readonly electionStore: ElectionStore;
  readonly onApplied: (s: State) => Promise<void>;
  readonly knows: (id: string) => boolean;
  readonly onTerm: (term: number, from: Member) => void;
  readonly onPublished: (from: Member) => void;
}

export class Receiver {
  private readonly applying = new TaskQueue('apply');
  applied: State | undefined;

  constructor(private readonly p: ReceiverParts) {}

  apply(s: State): Promise<void> {
    return this.applying.run(async () => {
      if (this.applied && !isNewerVersion(versionOf(s), versionOf(this.applied))) return;
      await this.p.onApplied(s);
      this.applied = s;
    });
  }

  async onPublish(body: unknown): Promise<{ outcome: 'accepted' | 'need-full' }> {
    const { from, term, clusterId, packed } = Publish.parse(body);
    const { electionStore } = this.p;
    const mine = electionStore.persisted.accepted?.clusterId ?? '';
    if (mine ? mine !== clusterId : !this.p.knows(from.id))
      throw new ElectionError('other-cluster', 'this node is not of that cluster');
    if (
      term < electionStore.persisted.term ||
      (term === electionStore.persisted.term && electionStore.persisted.votedFor !== from.id)
    )
      throw new ElectionError('stale-term', `term ${electionStore.persisted.term} is promised`);
    const payload = Payload.parse(
      JSON.parse(inflateSync(Buffer.from(packed, 'base64')).toString('utf8')),
    );
    const acc = electionStore.persisted.accepted;
    let next: State;
    if ('diff' in payload) {
      if (acc && isSameVersion(versionOf(acc), payload.diff.to)) return this.held();
      const patched = acc && applyDiff(acc, payload.diff);
      if (!patched) return { outcome: 'need-full' };
      next = patched;
    } else {
      next = decodeState(new Map(payload.full));
      if (acc && isSameVersion(versionOf(acc), versionOf(next))) return this.held();
    }
    if (next.term !== term || (acc && !isNewerVersion(versionOf(next), versionOf(acc))))
      throw new ElectionError('stale-state', 'a newer state is held');
    this.p.onTerm(term, from);
    if (term > electionStore.persisted.term) await electionStore.recordVote(term, from.id);
    if (electionStore.persisted.term !== term)
      throw new ElectionError('stale-term', `term ${electionStore.persisted.term} is promised`);
    const acceptedMeanwhile = electionStore.persisted.accepted;
    if (acceptedMeanwhile && !isNewerVersion(versionOf(next), versionOf(acceptedMeanwhile)))
      throw new ElectionError('stale-state', 'a newer state was accepted meanwhile');
    await electionStore.accept(next);
    this.p.onPublished(from);
    return { outcome: 'accepted' };
  }

  private async held(): Promise<{ outcome: 'accepted' }> {
    await this.p.electionStore.synced();
    return { outcome: 'accepted' };
  }

  async onCommit(stateVersion: StateVersion): Promise<unknown> {
    const acc = this.p.electionStore.persisted.accepted;
    if (!acc) throw new ElectionError('not-held', 'that state is not held');
    const { applied } = this;
    if (applied && !isNewerVersion(stateVersion, versionOf(applied))) return {};
    if (!isSameVersion(versionOf(acc), stateVersion))
      throw new ElectionError('not-held', 'that state is not held');
    await this.apply(acc);
    return {};
  }
}
