/** What a master offers to the code around it. */
import type { Mate, State } from '@tillerstair/state';

export type Change = (s: State) => State;

export interface Committed {
  readonly state: State;
  readonly at: number;
}

/** A mastership as seen by those that submit changes to it. */
export interface MasterView {
  readonly term: number;
  readonly lost: AbortSignal;
  readonly committed: State | undefined;
  submit(change: Change): Promise<Committed>;
  confirm(): Promise<State>;
  inForce(c: Committed): Promise<void>;
  silentFor(id: string): number;
  /** Whether the node replied within the last two heartbeats. */
  heard(id: string): boolean;
  /** Pings the nodes now; resolves with the ids of those that replied in this term within one heartbeat. */
  reach(mates: readonly Mate[]): Promise<ReadonlySet<string>>;
  /** Whether the node has acknowledged that the newest committed state is on its disk. */
  synced(id: string): boolean;
}
