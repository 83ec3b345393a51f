/**
 * The slots that this front owns, each with the replicator that keeps its items in memory.
 *
 * A replicator belongs to one unbroken ownership (`ownedSinceEpoch`). A slot that another front owned meanwhile gets a
 * new replicator, which reads its items from the replicas.
 */
import type { Slot } from '@tillerstair/state';
import { OwnershipError } from '@tillerstair/wire';
import { SlotReplicator } from './slot-replicator.js';

/** Creates the replicator of a slot for the ownership that began at `ownedSinceEpoch`. */
export type CreateReplicator = (slotNumber: number, ownedSinceEpoch: number) => SlotReplicator;

/** The replicators of the slots that this front owns, by slot number. */
export class OwnedSlots {
  private readonly replicators = new Map<number, SlotReplicator>();
  private hasStoppedAccepting = false;

  constructor(
    private readonly id: string,
    private readonly createReplicator: CreateReplicator,
  ) {}

  /** Number of owned slots. */
  get count(): number {
    return this.replicators.size;
  }

  /** Number of items in memory over all owned slots. */
  get itemCount(): number {
    let items = 0;
    for (const replicator of this.replicators.values()) items += replicator.size;
    return items;
  }

  /**
   * Applies the slots of a newer state: takes over those assigned to this front and closes those assigned elsewhere.
   */
  apply(slots: readonly Slot[]): void {
    slots.forEach((slot, slotNumber) => {
      const existing = this.replicators.get(slotNumber);
      if (slot.owner === this.id) {
        const reusable = existing?.ownedSinceEpoch === slot.ownedSinceEpoch ? existing : undefined;
        if (existing && !reusable) existing.close();
        (reusable ?? this.create(slotNumber, slot.ownedSinceEpoch)).apply(slot);
      } else if (existing) {
        existing.close();
        this.replicators.delete(slotNumber);
      }
    });
  }

  /** The replicator of a slot. Throws an `OwnershipError` unless the slot is owned, open and accepting requests. */
  replicator(slotNumber: number): SlotReplicator {
    const replicator = this.replicators.get(slotNumber);
    if (!replicator) throw new OwnershipError('not-owner', `slot ${slotNumber} has another owner`);
    if (this.hasStoppedAccepting || !replicator.isAccepting)
      throw new OwnershipError('taking-over', `slot ${slotNumber} is being taken over`);
    return replicator;
  }

  /**
   * Rejects new requests; those in flight continue. Otherwise a slot that always has a request in flight would never be
   * released, and its last requests would be lost when the process exits.
   */
  stopAccepting(): void {
    this.hasStoppedAccepting = true;
  }

  /**
   * Releases each open slot that has a transfer target and no request in flight; returns the released slots' numbers
   * and ownership epochs.
   */
  releaseIdleSlots(): readonly (readonly [number, number])[] {
    return [...this.replicators.values()].flatMap((replicator) => {
      const released = replicator.tryRelease();
      return released ? [released] : [];
    });
  }

  /** Drops the items whose retention has passed since the last write to their group. */
  expire(): void {
    for (const replicator of this.replicators.values()) replicator.expire();
  }

  private create(slotNumber: number, ownedSinceEpoch: number): SlotReplicator {
    const replicator = this.createReplicator(slotNumber, ownedSinceEpoch);
    this.replicators.set(slotNumber, replicator);
    return replicator;
  }
}
