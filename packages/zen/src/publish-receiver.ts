/**
 * The receiving side of a publish (docs/zen.md, "Fence" and "State that survives"): stores the states published by the
 * master that this node voted for, and applies them once they are committed. It owns the applied state. Invariant:
 * neither the accepted nor the applied (term, version) ever goes back.
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

/** The dependencies of a `PublishReceiver`. */
export interface PublishReceiverOptions {
  readonly electionStore: ElectionStore;
  /** Called with one committed state at a time; the state counts as applied once the promise resolves. */
  readonly onApplied: (state: State) => Promise<void>;
  /** Whether this node is joining or following the node with this id. */
  readonly isMaster: (id: string) => boolean;
  /** Called with the term and the sender of each publish that is about to be accepted. */
  readonly onTerm: (term: number, publisher: Member) => void;
  /** Called with the sender of each publish once its state is accepted. */
  readonly onPublished: (publisher: Member) => void;
}

/** The state that a published payload yields, or why it yields none: accepted before, or a diff from another state. */
type ResolvedPublish =
  | { readonly kind: 'state'; readonly state: State }
  | { readonly kind: 'already-accepted' }
  | { readonly kind: 'other-base' };

const decompressPayload = (packed: string): PublishPayload =>
  PublishPayload.parse(JSON.parse(inflateSync(Buffer.from(packed, 'base64')).toString('utf8')));

const resolvePublish = (payload: PublishPayload, accepted: State | undefined): ResolvedPublish => {
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

  /** Applies a committed state; ignores one that is not newer than the applied state. */
  apply(state: State): Promise<void> {
    return this.applyQueue.run(async () => {
      if (this.appliedState && !isNewerVersion(versionOf(state), versionOf(this.appliedState)))
        return;
      await this.onApplied(state);
      this.appliedState = state;
    });
  }

  /**
   * Accepts a published state; resolves with `accepted` once it is on disk, or with `need-full` if the payload is a
   * diff from another state than the accepted one. Rejects with `other-cluster`, `stale-term` or `stale-state`.
   */
  async onPublish(publish: Publish): Promise<PublishResponse> {
    this.requireCluster(publish);
    this.requireTerm(publish);
    const resolved = resolvePublish(
      decompressPayload(publish.packed),
      this.electionStore.persisted.accepted,
    );
    switch (resolved.kind) {
      case 'other-base':
        return { outcome: 'need-full' };
      case 'already-accepted':
        await this.electionStore.synced();
        return { outcome: 'accepted' };
      case 'state':
        return this.accept(publish, resolved.state);
    }
  }

  /** A node without a state accepts its first one only from the master that it is joining or following. */
  private requireCluster({ from, clusterId }: Publish): void {
    const localClusterId = this.electionStore.persisted.accepted?.clusterId ?? '';
    const isExpected = localClusterId ? localClusterId === clusterId : this.isMaster(from.id);
    if (!isExpected)
      throw new ElectionError(
        'other-cluster',
        `this node accepts no state of cluster ${clusterId} from ${from.addr}`,
      );
  }

  /**
   * Enforces one vote per term, as `vote.ts` does: accepting a state of a term in which this node has not voted is its
   * vote for the publisher (see `accept`), and a vote for another master in this term refuses the publish.
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
        `a state of term ${state.term} was published in term ${term}`,
      );
    this.requireNewer(state);
    this.onTerm(term, from);
    if (term > electionStore.persisted.term) await electionStore.recordVote(term, from.id);
    if (electionStore.persisted.term !== term)
      throw new ElectionError(
        'stale-term',
        `this node has since voted in term ${electionStore.persisted.term}`,
      );
    this.requireNewer(state);
    await electionStore.accept(state);
    this.onPublished(from);
    return { outcome: 'accepted' };
  }

  /** Called before and after the vote: another state may have been accepted while the vote was being stored. */
  private requireNewer(state: State): void {
    const { accepted } = this.electionStore.persisted;
    if (accepted && !isNewerVersion(versionOf(state), versionOf(accepted)))
      throw new ElectionError(
        'stale-state',
        `version ${state.version} of term ${state.term} is not newer than the accepted state`,
      );
  }

  /** Applies the accepted state if it is the committed one; rejects with `not-held` if this node accepted another. */
  async onCommit(committed: StateVersion): Promise<object> {
    const { accepted } = this.electionStore.persisted;
    if (!accepted) throw new ElectionError('not-held', 'this node has not accepted any state');
    if (this.applied && !isNewerVersion(committed, versionOf(this.applied))) return {};
    if (!isSameVersion(versionOf(accepted), committed))
      throw new ElectionError(
        'not-held',
        `version ${committed.version} of term ${committed.term} is not the accepted state`,
      );
    await this.apply(accepted);
    return {};
  }
}
