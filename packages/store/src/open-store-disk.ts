/** Opens what a store has on disk: its identity and its state of the cluster, and its replicas. */
import {
  errorText,
  isTransientDiskError,
  retryTransientDiskErrors,
  type Disk,
  type JournalTimings,
} from '@tillerstair/journal';
import type { Clock } from '@tillerstair/wire';
import { DiskElectionStore } from '@tillerstair/zen';
import { replicaStoreLog } from './replica-records.js';
import { ReplicaStore, type ReplicaStoreLimits } from './replica-store.js';

/** Where a store's disk is, and how it is written. */
export interface StoreDiskOptions {
  readonly disk: Disk;
  readonly clock: Clock;
  readonly timings: JournalTimings;
  readonly limits: ReplicaStoreLimits;
  /** Makes the id of a store whose disk holds none. */
  readonly freshId: () => string;
  /** The size in bytes below which the log of votes and states is not rewritten. */
  readonly rewriteMinBytes: number;
}

/** What a store has on disk. */
export interface StoreDisk {
  readonly electionStore: DiskElectionStore;
  readonly replicaStore: ReplicaStore;
}

/**
 * Opens both logs. A damaged log of replicas is renamed, and the store starts as one that lost its disk. Its identity is
 * given up first: a store that goes on under the old one would count as a replica of what it no longer has.
 */
export const openStoreDisk = async (options: StoreDiskOptions): Promise<StoreDisk> => {
  const { disk, clock, timings, limits, freshId, rewriteMinBytes } = options;
  const openElectionStore = (): Promise<DiskElectionStore> =>
    DiskElectionStore.open(disk, freshId, rewriteMinBytes, timings);
  const openReplicaStore = (): Promise<ReplicaStore> =>
    ReplicaStore.open(disk, clock, limits, timings);
  const electionStore = await openElectionStore();
  try {
    return { electionStore, replicaStore: await openReplicaStore() };
  } catch (error) {
    // Opening waits such errors out by itself; should one come through, it says nothing of the log.
    if (isTransientDiskError(error)) throw error;
    timings.log?.warn(
      `${replicaStoreLog} is damaged (${errorText(error)}): kept as ${replicaStoreLog}.damaged, starting as a new store.`,
    );
    await electionStore.retireIdentity(disk);
    await retryTransientDiskErrors(timings, replicaStoreLog, () => disk.setAside(replicaStoreLog));
    return { electionStore: await openElectionStore(), replicaStore: await openReplicaStore() };
  }
};
