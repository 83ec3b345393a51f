/**
 * Assigns slots to fronts. A slot whose owner is not a member gets another owner immediately; one whose owner is live
 * is only marked to move, and moves once the owner has released it (design.md, "Planned moves").
 */
import type { Member, Slot, State } from '../state.js';
import { compareIds, liveMembers } from './live-members.js';

/** Number of slots that each eligible front owns or is to own. */
class SlotCounts {
  private readonly counts: Map<string, number>;

  constructor(fronts: readonly Member[]) {
    this.counts = new Map(fronts.map((front) => [front.id, 0]));
  }

  /** Whether a front is eligible for slots. */
  has(frontId: string): boolean {
    return this.counts.has(frontId);
  }

  /** Number of slots of a front; undefined if it is not eligible. */
  get(frontId: string): number | undefined {
    return this.counts.get(frontId);
  }

  /** Adds to the number of slots of a front; no effect if it is not eligible. */
  add(frontId: string, count: number): void {
    const current = this.counts.get(frontId);
    if (current !== undefined) this.counts.set(frontId, current + count);
  }

  /** Id of the front with the fewest slots, the lowest id of several; '' if no front is eligible. */
  leastLoaded(): string {
    const byCount = [...this.counts].sort(
      ([firstId, first], [secondId, second]) => first - second || compareIds(firstId, secondId),
    );
    return byCount.at(0)?.[0] ?? '';
  }
}

/** Draining fronts are eligible only if no other front is live. */
const eligibleFronts = (state: State, liveFronts: readonly Member[]): readonly Member[] => {
  const staying = liveFronts.filter((front) => !state.retiring.has(front.id));
  return staying.length > 0 ? staying : liveFronts;
};

/** Assigns a slot whose owner is not a member to its transfer target, or to the front with the fewest slots. */
const assignOwner = (slot: Slot, counts: SlotCounts): Slot => {
  const owner = counts.has(slot.transferTarget) ? slot.transferTarget : counts.leastLoaded();
  counts.add(owner, 1);
  const ownershipEpoch = slot.ownershipEpoch + 1;
  return { ...slot, owner, ownershipEpoch, ownedSinceEpoch: ownershipEpoch, transferTarget: '' };
};

/** Clears the transfer target of a slot if that front is not eligible any more. */
const withValidTarget = (slot: Slot, counts: SlotCounts): Slot =>
  slot.transferTarget === '' || counts.has(slot.transferTarget)
    ? slot
    : { ...slot, transferTarget: '' };

const mayBeMarked = (slot: Slot): boolean =>
  slot.replicas.length > 0 && slot.joiningReplicas.length === 0 && slot.transferTarget === '';

/** Marks slots of draining fronts, and of fronts with more than their fair share, to move, up to the limit. */
const markMoves = (
  slots: readonly Slot[],
  counts: SlotCounts,
  fairShare: number,
  maxMoves: number,
): readonly Slot[] => {
  let remaining = maxMoves - slots.filter((slot) => slot.transferTarget !== '').length;
  return slots.map((slot) => {
    if (remaining <= 0 || !mayBeMarked(slot)) return slot;
    const owned = counts.get(slot.owner);
    const target = counts.leastLoaded();
    const isBalanced =
      owned !== undefined && (owned <= fairShare || (counts.get(target) ?? 0) + 1 >= owned);
    if (isBalanced) return slot;
    remaining--;
    counts.add(slot.owner, -1);
    counts.add(target, 1);
    return { ...slot, transferTarget: target };
  });
};

/** Assigns owners and marks moves, within the limit. A slot that does not change stays the same object. */
export const allocateOwners = (
  state: State,
  slots: readonly Slot[],
  maxMoves: number,
): readonly Slot[] => {
  const liveFronts = liveMembers(state, 'front');
  if (liveFronts.length === 0) return slots;
  const liveIds = new Set(liveFronts.map((front) => front.id));
  const fronts = eligibleFronts(state, liveFronts);
  const counts = new SlotCounts(fronts);
  for (const { owner, transferTarget } of slots)
    counts.add(liveIds.has(owner) && counts.has(transferTarget) ? transferTarget : owner, 1);
  const owned = slots.map((slot) => {
    if (slot.replicas.length === 0) return slot;
    return liveIds.has(slot.owner) ? withValidTarget(slot, counts) : assignOwner(slot, counts);
  });
  return markMoves(owned, counts, Math.ceil(slots.length / fronts.length), maxMoves);
};
