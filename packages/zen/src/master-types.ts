/** The dependencies of a master, and its interface to the rest of the control. */
import type { Member, State } from '@tillerstair/state';
import type { Clock, Logger, Transport } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { ElectionStore } from './election-store.js';
import type { MasterPingResponse } from './messages.js';

/** A change of the cluster state; returns the same object if it alters nothing, throws to refuse. */
export type Change = (state: State) => State;

/** A committed state and the time of its commit. */
export interface CommittedState {
  readonly state: State;
  /** Clock time, in ms, of the commit. */
  readonly at: number;
}

/** The dependencies of a `Master`. */
export interface MasterOptions {
  readonly localMember: Member;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly electionStore: ElectionStore;
  readonly bounds: ZenBounds;
  readonly log: Logger;
  /** Derives the dependent parts of the state after each batch of changes, such as the owners of slots. */
  readonly settle: (state: State) => State;
  /** Applies a committed state at this node. */
  readonly apply: (state: State) => Promise<void>;
  /** Receives the report that a listed member sends with each ping. */
  readonly onReport: (memberId: string, report: unknown) => void;
}

/** A master's response to a follower's ping, without the report on the list of servers that its node adds. */
export type MasterStatus = Omit<MasterPingResponse, 'reported'>;

/** The interface of a master to the rest of its control. */
export interface MasterView {
  readonly term: number;
  /** Aborts once this control has stepped down. */
  readonly lost: AbortSignal;
  /** The newest committed state, if this master has committed one. */
  readonly committed: State | undefined;
  /** Clock time, in ms, of the newest commit. */
  readonly committedAt: number;
  /**
   * Applies a change; resolves once the resulting state is committed and applied at this control, or without a publish
   * if the change alters nothing.
   *
   * @throws whatever the change throws to refuse; NotMasterError if the change was not made; UnknownOutcomeError if the
   * change may have been made.
   */
  submit(change: Change): Promise<CommittedState>;
  /**
   * As `submit`, but the outcome of a change that is refused or alters nothing is reported only once a majority has
   * confirmed this master since the call (docs/design.md, "Versions of the configuration").
   *
   * @throws also QuorumUnavailableError if no majority confirms it.
   */
  submitConfirmed(change: Change): Promise<CommittedState>;
  /**
   * A quorum read: resolves with the committed state once a majority has confirmed this master since the call.
   *
   * @throws NotMasterError or QuorumUnavailableError, at the latest after 1.25 heartbeats.
   */
  confirm(): Promise<State>;
  /**
   * Resolves once no front serves from a state older than the committed one: at most one read lease after the commit or
   * the election, whichever is later.
   *
   * @throws UnknownOutcomeError if this control steps down before that.
   */
  waitUntilInForce(committed: CommittedState): Promise<void>;
  /** Time, in ms, since the newest request that the member answered was sent; at most the time since the election. */
  unresponsiveFor(memberId: string): number;
  /** Whether the member answered a request sent within the last two heartbeats. */
  isResponsive(memberId: string): boolean;
  /** Pings the peers now; resolves with the ids of those that replied in this term within one heartbeat. */
  pingPeers(peers: readonly Member[]): Promise<ReadonlySet<string>>;
  /** Whether the member has acknowledged that the newest committed state is on its disk. */
  holdsCommitted(memberId: string): boolean;
}
