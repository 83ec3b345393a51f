/** Opens the logs of a store: the election log, which holds its id and the cluster state, and the replica log. */
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

/** The disk of a store, and the timings and limits of its logs. */
export interface StoreDiskOptions {
  readonly disk: Disk;
  readonly clock: Clock;
  readonly timings: JournalTimings;
  readonly limits: ReplicaStoreLimits;
  /** Generates the id of a store whose disk holds none. */
  readonly freshId: () => string;
  /** Size below which the election log is not rewritten, in bytes. */
  readonly rewriteMinBytes: number;
}

/** The opened logs of a store. */
export interface StoreDisk {
  readonly electionStore: DiskElectionStore;
  readonly replicaStore: ReplicaStore;
}

/**
 * Opens both logs. A damaged replica log is renamed, and the store starts as a new one with empty replicas. Its id is
 * retired first: under the old id the store would still count as a replica of slots whose items it no longer has.
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
    // Opening a log retries transient errors; one that is thrown all the same does not mean that the log is damaged.
    if (isTransientDiskError(error)) throw error;
    timings.log?.warn(
      `${replicaStoreLog} is damaged (${errorText(error)}): kept as ${replicaStoreLog}.damaged, starting as a new store.`,
    );
    await electionStore.retireIdentity(disk);
    await retryTransientDiskErrors(timings, replicaStoreLog, () => disk.setAside(replicaStoreLog));
    return { electionStore: await openElectionStore(), replicaStore: await openReplicaStore() };
  }
};
