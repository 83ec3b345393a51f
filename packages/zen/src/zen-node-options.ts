/** What the program around a node gives it, and hears of it. */
import type { Member, Replication, State } from '@tillerstair/state';
import type { Clock, Logger, Transport } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { ElectionStore } from './election-store.js';
import type { MasterView } from './master-types.js';

/** What a node is made of, and what the program around it hears of. */
export interface ZenNodeOptions {
  readonly me: Member;
  /** Addresses that are pinged whoever else is known. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly transport: Transport;
  readonly electionStore: ElectionStore;
  readonly bounds: ZenBounds;
  readonly log: Logger;
  /** Number of slots, used when the cluster is bootstrapped. */
  readonly slots: number;
  /** Replicas and write quorum of every slot, used when the cluster is bootstrapped. */
  readonly replication?: Replication;
  /** Whether this node may help to bootstrap a cluster; not when the installation has run before. */
  readonly mayBootstrap?: boolean;
  /** Derives what follows from a batch of changes, before the master publishes it. */
  readonly settle?: (state: State) => State;
  /** Called with each committed state, one after the other. */
  readonly onApplied?: (state: State) => Promise<void>;
  /** What this node tells its master with every ping. */
  readonly report?: () => unknown;
  /** Hears, on the master, what each node reports. */
  readonly onReport?: (id: string, report: unknown) => void;
  /** What a master tells its nodes with every ping response. */
  readonly listReport?: () => unknown;
  /** Hears what the master reports, and the clock time in milliseconds at which it was asked. */
  readonly onListReport?: (reported: unknown, requestedAt: number) => void;
  /** Hears of each mastership that this node takes up. */
  readonly onLead?: (master: MasterView) => void;
}
