/**
 * The slots that this front owns, each with the replicator that has its values.
 *
 * Owns the replicators. One belongs to one unbroken ownership (`ownedSinceEpoch`): a slot that was another front's
 * meanwhile begins again with what its replicas have.
 */
import type { Slot } from '@tillerstair/state';
import { OwnershipError } from '@tillerstair/wire';
import { SlotReplicator } from './slot-replicator.js';

/** Makes the replicator of a slot for one ownership. */
export type CreateReplicator = (slot: number, ownedSinceEpoch: number) => SlotReplicator;

/** The slots that this front owns. */
export class OwnedSlots {
  private readonly replicators = new Map<number, SlotReplicator>();
  private closing = false;

  constructor(
    private readonly id: string,
    private readonly createReplicator: CreateReplicator,
  ) {}

  /** How many slots are owned. */
  get count(): number {
    return this.replicators.size;
  }

  /** How many values they have in memory. */
  get itemCount(): number {
    let items = 0;
    for (const replicator of this.replicators.values()) items += replicator.size;
    return items;
  }

  /** Follows a newer state: takes over the slots that it gives this front, and lets the others go. */
  apply(slots: readonly Slot[]): void {
    slots.forEach((slot, n) => {
      const old = this.replicators.get(n);
      if (slot.owner === this.id) {
        const same = old?.ownedSinceEpoch === slot.ownedSinceEpoch ? old : undefined;
        if (old && !same) old.close();
        (same ?? this.create(n, slot.ownedSinceEpoch)).apply(slot);
      } else if (old) {
        old.close();
        this.replicators.delete(n);
      }
    });
  }

  /** The replicator of a slot. Throws an `OwnershipError` unless the slot is owned, open and taking requests. */
  replicator(n: number): SlotReplicator {
    const replicator = this.replicators.get(n);
    if (!replicator) throw new OwnershipError('not-owner', `slot ${n} has another owner`);
    if (this.closing || !replicator.isAccepting)
      throw new OwnershipError('taking-over', `slot ${n} is being taken over`);
    return replicator;
  }

  /**
   * Takes no further requests; those in progress go on. A slot that always has a request in progress would otherwise
   * never be released, and its last ones would end with the process.
   */
  stopAccepting(): void {
    this.closing = true;
  }

  /** Slots, with their ownership epochs, that have no request in progress and can go to their transfer target. */
  releaseIdleSlots(): readonly (readonly [number, number])[] {
    return [...this.replicators.values()].flatMap((replicator) => {
      const released = replicator.tryRelease();
      return released ? [released] : [];
    });
  }

  /** Forgets values that nobody has asked for within their retention time. */
  expire(): void {
    for (const replicator of this.replicators.values()) replicator.expire();
  }

  private create(n: number, ownedSinceEpoch: number): SlotReplicator {
    const replicator = this.createReplicator(n, ownedSinceEpoch);
    this.replicators.set(n, replicator);
    return replicator;
  }
}
