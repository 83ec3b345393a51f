/** Opens what a store keeps on disk: its identity and state of the cluster, and its replicas. */
import { isDiskTrouble, untilDiskTakes, type Disk, type JournalPace } from '@tillerstair/journal';
import type { Clock } from '@tillerstair/wire';
import { DiskElectionStore } from '@tillerstair/zen';
import { ReplicaStore, replicaStoreLog, type ReplicaStoreBounds } from './replica-store.js';

export interface StoreDiskParts {
  readonly disk: Disk;
  readonly clock: Clock;
  readonly pace: JournalPace;
  readonly bounds: ReplicaStoreBounds;
  readonly freshId: () => string;
  readonly longAt: number;
}

export interface StoreDisk {
  readonly electionStore: DiskElectionStore;
  readonly replicaStore: ReplicaStore;
}

/**
 * A damaged log of replicas is kept under another name, and the store starts as one that lost its disk. Its identity goes
 * first: a store that goes on under the old one would count as a replica of what it no longer holds.
 */
export const openStoreDisk = async (p: StoreDiskParts): Promise<StoreDisk> => {
  const openKeep = (): Promise<DiskElectionStore> =>
    DiskElectionStore.open(p.disk, p.freshId, p.longAt, p.pace);
  const openReplicaStore = (): Promise<ReplicaStore> =>
    ReplicaStore.open(p.disk, p.clock, p.bounds, p.pace);
  const electionStore = await openKeep();
  try {
    return { electionStore, replicaStore: await openReplicaStore() };
  } catch (e) {
    if (isDiskTrouble(e)) throw e;
    p.pace.log?.warn(
      `${replicaStoreLog} is not whole (${e instanceof Error ? e.message : String(e)}): kept as ${replicaStoreLog}.damaged, starting as a new store.`,
    );
    await electionStore.forget(p.disk);
    await untilDiskTakes(p.pace, replicaStoreLog, () => p.disk.setAside(replicaStoreLog));
    return { electionStore: await openKeep(), replicaStore: await openReplicaStore() };
  }
};
