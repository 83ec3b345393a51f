/** Options of a `ZenNode`. */
import type { Member, Replication, State } from '@tillerstair/state';
import type { Clock, Logger, Transport } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { ElectionStore } from './election-store.js';
import type { MasterView } from './master-types.js';

/** Dependencies, settings and callbacks of a `ZenNode`. */
export interface ZenNodeOptions {
  /** The node itself. */
  readonly me: Member;
  /** Addresses that every ping round includes, in addition to the known controls. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly transport: Transport;
  readonly electionStore: ElectionStore;
  readonly bounds: ZenBounds;
  readonly log: Logger;
  /** Number of slots; used only to bootstrap a cluster. */
  readonly slots: number;
  /** Replicas and write quorum of each slot; used only to bootstrap a cluster. */
  readonly replication?: Replication;
  /** Whether this node may help to bootstrap a cluster, by default true; false if the installation has run before. */
  readonly mayBootstrap?: boolean;
  /** Derives the dependent parts of the state, such as slot owners, from a batch of changes before it is published. */
  readonly settle?: (state: State) => State;
  /** Applies a committed state; called for one state at a time, in order. */
  readonly onApplied?: (state: State) => Promise<void>;
  /** Returns the report that this node sends to its master with every ping and ping response. */
  readonly report?: () => unknown;
  /** Called on the master with each report of a listed node. */
  readonly onReport?: (id: string, report: unknown) => void;
  /** Returns the report, such as of the server list, that a master adds to its response to a follower's ping. */
  readonly listReport?: () => unknown;
  /** Called with the master's report, and the clock time in milliseconds at which the ping that it answers was sent. */
  readonly onListReport?: (reported: unknown, requestedAt: number) => void;
  /** Called each time this node has become master and committed its first state. */
  readonly onLead?: (master: MasterView) => void;
}
