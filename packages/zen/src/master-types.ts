/** What a master is made of, and what the rest of a control may ask of it. */
import type { Member, State } from '@tillerstair/state';
import type { Clock, Logger, Transport } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { ElectionStore } from './election-store.js';
import type { MasterPingResponse } from './messages.js';

/** A change of the cluster state; returns the state itself if there is nothing to alter, throws to refuse. */
export type Change = (state: State) => State;

/** A committed state. */
export interface CommittedState {
  readonly state: State;
  /** Clock time, in ms, of the commit. */
  readonly at: number;
}

/** What a master works with. */
export interface MasterOptions {
  readonly localMember: Member;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly electionStore: ElectionStore;
  readonly bounds: ZenBounds;
  readonly log: Logger;
  /** Derives from each batch of changes what follows from it, such as the owners of slots. */
  readonly settle: (state: State) => State;
  /** Applies a committed state at this node. */
  readonly apply: (state: State) => Promise<void>;
  /** Hears what a listed member reports of itself with each ping. */
  readonly onReport: (memberId: string, report: unknown) => void;
}

/** What a master answers to the ping of a follower; its node adds what it reports of the list of servers. */
export type MasterStatus = Omit<MasterPingResponse, 'reported'>;

/** A master as the rest of its control sees it. */
export interface MasterView {
  readonly term: number;
  /** Aborts once this control has stepped down. */
  readonly lost: AbortSignal;
  /** The newest committed state, if this master has committed one. */
  readonly committed: State | undefined;
  /** Clock time, in ms, of the newest commit. */
  readonly committedAt: number;
  /**
   * Makes a change; resolves once the state with it is committed and applied here, at once if it alters nothing.
   *
   * @throws whatever the change throws to refuse; NotMasterError if nothing was done; UnknownOutcomeError if the change
   * may have been made.
   */
  submit(change: Change): Promise<CommittedState>;
  /**
   * As `submit`, but a refusal, and a change that alters nothing, end only once a majority has confirmed this master
   * since the call (docs/design.md, "Versions of the configuration").
   *
   * @throws also QuorumUnavailableError if no majority does.
   */
  submitConfirmed(change: Change): Promise<CommittedState>;
  /**
   * A quorum read: the committed state, once a majority has confirmed this master since the call.
   *
   * @throws NotMasterError or QuorumUnavailableError, at the latest after 1.25 heartbeats.
   */
  confirm(): Promise<State>;
  /**
   * Resolves once no front serves from a state older than the committed one, at most one read lease after the commit,
   * the election or the last departure of a front.
   *
   * @throws UnknownOutcomeError when this control steps down meanwhile.
   */
  waitUntilInForce(committed: CommittedState): Promise<void>;
  /** For how long, in ms, the member has not answered; at most the time since the election. */
  unresponsiveFor(memberId: string): number;
  /** Whether the node replied within the last two heartbeats. */
  isResponsive(memberId: string): boolean;
  /** Pings the nodes now; resolves with the ids of those that replied in this term within one heartbeat. */
  pingPeers(peers: readonly Member[]): Promise<ReadonlySet<string>>;
  /** Whether the node has acknowledged that the newest committed state is on its disk. */
  holdsCommitted(memberId: string): boolean;
}
