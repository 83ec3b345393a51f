/** Slots that are marked to move to another front, and since when. */
import { reduceState, type State } from '@tillerstair/state';

/** A slot that may move to its transfer target if its ownership epoch is still this one. */
export interface SlotRelease {
  readonly slot: number;
  readonly ownershipEpoch: number;
}

/** Moves released slots to their transfer targets; a slot with another ownership epoch by now stays with its owner. */
export const transferReleased = (state: State, released: readonly SlotRelease[]): State =>
  released.reduce(
    (current, { slot, ownershipEpoch }) =>
      reduceState(current, { kind: 'transferred', slot, ownershipEpoch }),
    state,
  );

/** Tracks since when each marked slot has been observed as marked. */
export class SlotTransfers {
  private markedSince: ReadonlyMap<number, number> = new Map();

  /** Slots that have been marked for longer than `maxWaitMs`; these move although their owner has not released them. */
  overdue(state: State, now: number, maxWaitMs: number): readonly SlotRelease[] {
    const markedSince = new Map<number, number>();
    state.slots.forEach(({ transferTarget }, slot) => {
      if (transferTarget !== '') markedSince.set(slot, this.markedSince.get(slot) ?? now);
    });
    this.markedSince = markedSince;
    return [...markedSince].flatMap(([slot, since]) =>
      now - since > maxWaitMs
        ? [{ slot, ownershipEpoch: state.slots[slot]?.ownershipEpoch ?? -1 }]
        : [],
    );
  }
}
