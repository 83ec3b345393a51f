import type { Member, State } from '@tillerstair/state';
import type { Transport, Clock, Logger } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { ElectionStore } from './election-store.js';

/** What a master is made of, and what the rest of a control may ask of it. */

export type Change = (s: State) => State;

export interface Committed {
  readonly state: State;
  readonly at: number;
}

export interface Task {
  readonly change: Change;
  /** Whether a majority must confirm this master before the task ends without a publish of its own. */
  readonly proven: boolean;
  done(c: Committed): void;
  fail(e: Error): void;
}

export interface MasterParts {
  readonly me: Member;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly electionStore: ElectionStore;
  readonly bounds: ZenBounds;
  readonly log: Logger;
  readonly settle: (s: State) => State;
  readonly apply: (s: State) => Promise<void>;
  readonly onReport: (id: string, report: unknown) => void;
}

export interface MasterView {
  readonly term: number;
  readonly lost: AbortSignal;
  readonly committed: State | undefined;
  /** When the newest committed state was. */
  readonly committedAt: number;
  submit(change: Change): Promise<Committed>;
  /** As `submit`, but a refusal, and a change that alters nothing, end only once a majority has confirmed this master since. */
  decide(change: Change): Promise<Committed>;
  confirm(): Promise<State>;
  inForce(c: Committed): Promise<void>;
  unresponsiveFor(id: string): number;
  /** Whether the node replied within the last two heartbeats. */
  heard(id: string): boolean;
  /** Pings the nodes now; resolves with the ids of those that replied in this term within one heartbeat. */
  reach(peers: readonly Member[]): Promise<ReadonlySet<string>>;
  /** Whether the node has acknowledged that the newest committed state is on its disk. */
  synced(id: string): boolean;
}
