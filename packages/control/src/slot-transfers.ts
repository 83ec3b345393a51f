/** Slots that are marked to move to another front, and for how long they have been. */
import { reduceState, type State } from '@tillerstair/state';

/** A slot that may go to its transfer target, if it is still under this ownership epoch. */
export interface SlotRelease {
  readonly slot: number;
  readonly ownershipEpoch: number;
}

/** Gives released slots to their transfer targets; one whose ownership epoch has passed stays where it is. */
export const transferReleased = (state: State, released: readonly SlotRelease[]): State =>
  released.reduce(
    (current, { slot, ownershipEpoch }) =>
      reduceState(current, { kind: 'transferred', slot, ownershipEpoch }),
    state,
  );

/** Since when each marked slot has been known to be marked. */
export class SlotTransfers {
  private markedSince: ReadonlyMap<number, number> = new Map();

  /** The slots that have been marked for longer than `maxWaitMs`; these move though their owner is silent. */
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
