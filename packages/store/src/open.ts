/** Opens what a store keeps on disk: its identity and state of the cluster, and its replicas. */
import { isDiskTrouble, untilDiskTakes, type Disk, type JournalPace } from '@tillerstair/journal';
import type { Clock } from '@tillerstair/wire';
import { DiskKeep } from '@tillerstair/zen';
import { Shelf, shelfLog, type ShelfBounds } from './shelf.js';

export interface StoreDiskParts {
  readonly disk: Disk;
  readonly clock: Clock;
  readonly pace: JournalPace;
  readonly bounds: ShelfBounds;
  readonly freshId: () => string;
  readonly longAt: number;
}

export interface StoreDisk {
  readonly keep: DiskKeep;
  readonly shelf: Shelf;
}

/**
 * A damaged log of replicas is kept under another name, and the store starts as one that lost its disk. Its identity goes
 * first: a store that goes on under the old one would count as a replica of what it no longer holds.
 */
export const openStoreDisk = async (p: StoreDiskParts): Promise<StoreDisk> => {
  const openKeep = (): Promise<DiskKeep> => DiskKeep.open(p.disk, p.freshId, p.longAt, p.pace);
  const openShelf = (): Promise<Shelf> => Shelf.open(p.disk, p.clock, p.bounds, p.pace);
  const keep = await openKeep();
  try {
    return { keep, shelf: await openShelf() };
  } catch (e) {
    if (isDiskTrouble(e)) throw e;
    p.pace.log?.warn(`${shelfLog} is not whole (${e instanceof Error ? e.message : String(e)}): kept as ${shelfLog}.damaged, starting as a new store.`);
    await keep.forget(p.disk);
    await untilDiskTakes(p.pace, shelfLog, () => p.disk.setAside(shelfLog));
    return { keep: await openKeep(), shelf: await openShelf() };
  }
};
