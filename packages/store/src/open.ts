/** Opens what a store keeps on disk: its identity and state of the cluster, and its replicas. */
import {
  isTransientDiskError,
  retryTransientDiskErrors,
  type Disk,
  type JournalTimings,
} from '@tillerstair/journal';
import type { Clock } from '@tillerstair/wire';
import { DiskElectionStore } from '@tillerstair/zen';
import { ReplicaStore, replicaStoreLog, type ReplicaStoreLimits } from './replica-store.js';

export interface StoreDiskOptions {
  readonly disk: Disk;
  readonly clock: Clock;
  readonly timings: JournalTimings;
  readonly limits: ReplicaStoreLimits;
  readonly freshId: () => string;
  readonly rewriteMinBytes: number;
}

export interface StoreDisk {
  readonly electionStore: DiskElectionStore;
  readonly replicaStore: ReplicaStore;
}

/**
 * A damaged log of replicas is kept under another name, and the store starts as one that lost its disk. Its identity goes
 * first: a store that goes on under the old one would count as a replica of what it no longer holds.
 */
export const openStoreDisk = async (p: StoreDiskOptions): Promise<StoreDisk> => {
  const openKeep = (): Promise<DiskElectionStore> =>
    DiskElectionStore.open(p.disk, p.freshId, p.rewriteMinBytes, p.timings);
  const openReplicaStore = (): Promise<ReplicaStore> =>
    ReplicaStore.open(p.disk, p.clock, p.limits, p.timings);
  const electionStore = await openKeep();
  try {
    return { electionStore, replicaStore: await openReplicaStore() };
  } catch (e) {
    if (isTransientDiskError(e)) throw e;
    p.timings.log?.warn(
      `${replicaStoreLog} is not whole (${e instanceof Error ? e.message : String(e)}): kept as ${replicaStoreLog}.damaged, starting as a new store.`,
    );
    await electionStore.forget(p.disk);
    await retryTransientDiskErrors(p.timings, replicaStoreLog, () =>
      p.disk.setAside(replicaStoreLog),
    );
    return { electionStore: await openKeep(), replicaStore: await openReplicaStore() };
  }
};
