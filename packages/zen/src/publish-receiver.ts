/**
 * The receiving side of a publish (docs/zen.md, "Fence" and "State that survives"): accepts states of the master that this
 * node voted for, on disk, and applies them once committed. Owns the state that is applied. Invariant: neither the
 * accepted nor the applied (term, version) ever goes back.
 */
import { inflateSync } from 'node:zlib';
import {
  isSameVersion,
  isNewerVersion,
  applyDiff,
  decodeState,
  versionOf,
  type Member,
  type State,
  type StateVersion,
} from '@tillerstair/state';
import { ElectionError, TaskQueue } from '@tillerstair/wire';
import type { ElectionStore } from './election-store.js';
import { PublishPayload, type Publish, type PublishResponse } from './messages.js';

/** What a receiver needs of its node. */
export interface PublishReceiverOptions {
  readonly electionStore: ElectionStore;
  /** Called with each committed state, one after the other; the state counts as applied once it resolves. */
  readonly onApplied: (state: State) => Promise<void>;
  /** Whether this node joins or follows the node of this id. */
  readonly isMaster: (id: string) => boolean;
  /** Hears the term of each publish that is about to be accepted. */
  readonly onTerm: (term: number, publisher: Member) => void;
  /** Hears who published each accepted state. */
  readonly onPublished: (publisher: Member) => void;
}

/** What a published payload comes to on top of the accepted state. */
type DecodedPublish =
  | { readonly kind: 'state'; readonly state: State }
  | { readonly kind: 'already-accepted' }
  | { readonly kind: 'other-base' };

const decompressPayload = (packed: string): PublishPayload =>
  PublishPayload.parse(JSON.parse(inflateSync(Buffer.from(packed, 'base64')).toString('utf8')));

const resolvePublish = (payload: PublishPayload, accepted: State | undefined): DecodedPublish => {
  const isAccepted = (version: StateVersion): boolean =>
    accepted !== undefined && isSameVersion(versionOf(accepted), version);
  if ('full' in payload) {
    const state = decodeState(new Map(payload.full));
    return isAccepted(versionOf(state)) ? { kind: 'already-accepted' } : { kind: 'state', state };
  }
  if (isAccepted(payload.diff.to)) return { kind: 'already-accepted' };
  const state = accepted && applyDiff(accepted, payload.diff);
  return state ? { kind: 'state', state } : { kind: 'other-base' };
};

/** Accepts published states and applies committed ones. */
export class PublishReceiver {
  private readonly applyQueue = new TaskQueue('apply');
  private readonly electionStore: ElectionStore;
  private readonly onApplied: (state: State) => Promise<void>;
  private readonly isMaster: (id: string) => boolean;
  private readonly onTerm: (term: number, publisher: Member) => void;
  private readonly onPublished: (publisher: Member) => void;
  private appliedState: State | undefined;

  constructor(options: PublishReceiverOptions) {
    this.electionStore = options.electionStore;
    this.onApplied = options.onApplied;
    this.isMaster = options.isMaster;
    this.onTerm = options.onTerm;
    this.onPublished = options.onPublished;
  }

  /** The newest committed state that this node has applied. */
  get applied(): State | undefined {
    return this.appliedState;
  }

  /** Applies a committed state; one that is not newer than the applied state is passed over. */
  apply(state: State): Promise<void> {
    return this.applyQueue.run(async () => {
      if (this.appliedState && !isNewerVersion(versionOf(state), versionOf(this.appliedState)))
        return;
      await this.onApplied(state);
      this.appliedState = state;
    });
  }

  /**
   * Accepts a published state; resolves once it is on disk, or with `need-full` if a difference starts from another
   * state than the accepted one. Rejects with `other-cluster`, `stale-term` or `stale-state`.
   */
  async onPublish(publish: Publish): Promise<PublishResponse> {
    this.requireCluster(publish);
    this.requireTerm(publish);
    const decoded = resolvePublish(
      decompressPayload(publish.packed),
      this.electionStore.persisted.accepted,
    );
    switch (decoded.kind) {
      case 'other-base':
        return { outcome: 'need-full' };
      case 'already-accepted':
        await this.electionStore.synced();
        return { outcome: 'accepted' };
      case 'state':
        return this.accept(publish, decoded.state);
    }
  }

  /** A node without a state takes its first from the master that it joins or follows alone. */
  private requireCluster({ from, clusterId }: Publish): void {
    const localClusterId = this.electionStore.persisted.accepted?.clusterId ?? '';
    const isExpected = localClusterId ? localClusterId === clusterId : this.isMaster(from.id);
    if (!isExpected) throw new ElectionError('other-cluster', 'this node is not of that cluster');
  }

  /**
   * One vote a term, as in `vote.ts`: accepting a state of a term that this node has not voted in is its vote for the
   * publisher (see `accept`), and one that it gave to another binds it here too.
   */
  private requireTerm({ from, term }: Publish): void {
    const { term: votedTerm, votedFor } = this.electionStore.persisted;
    if (term < votedTerm || (term === votedTerm && votedFor !== from.id))
      throw new ElectionError(
        'stale-term',
        `this node has voted for ${votedFor} in term ${votedTerm}`,
      );
  }

  private async accept({ from, term }: Publish, state: State): Promise<PublishResponse> {
    const { electionStore } = this;
    if (state.term !== term)
      throw new ElectionError(
        'stale-state',
        `a state of term ${state.term} is published in ${term}`,
      );
    this.requireNewer(state);
    this.onTerm(term, from);
    if (term > electionStore.persisted.term) await electionStore.recordVote(term, from.id);
    if (electionStore.persisted.term !== term)
      throw new ElectionError(
        'stale-term',
        `voted in term ${electionStore.persisted.term} meanwhile`,
      );
    this.requireNewer(state);
    await electionStore.accept(state);
    this.onPublished(from);
    return { outcome: 'accepted' };
  }

  /** Checked before the vote, and again after it: another state may have been accepted while it was stored. */
  private requireNewer(state: State): void {
    const { accepted } = this.electionStore.persisted;
    if (accepted && !isNewerVersion(versionOf(state), versionOf(accepted)))
      throw new ElectionError('stale-state', 'a newer state has been accepted');
  }

  /** Applies the accepted state if that is the committed one; rejects with `not-held` if it is another. */
  async onCommit(committed: StateVersion): Promise<object> {
    const { accepted } = this.electionStore.persisted;
    if (!accepted) throw new ElectionError('not-held', 'no state has been accepted');
    if (this.applied && !isNewerVersion(committed, versionOf(this.applied))) return {};
    if (!isSameVersion(versionOf(accepted), committed))
      throw new ElectionError('not-held', 'that state has not been accepted');
    await this.apply(accepted);
    return {};
  }
}
