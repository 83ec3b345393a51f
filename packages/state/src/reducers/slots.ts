/**
 * Reducers for changes of the replicas and the owner of a slot. Every such change raises the ownership epoch, and
 * reports from another epoch change nothing (design.md, "Slots, owners, ownership epochs").
 */
import type { FilledAction, TransferredAction } from '../action.js';
import { replicasAfterJoin } from '../slots.js';
import type { Slot, State } from '../state.js';

/** The slot with this index, if there is one; the index may come from another node. */
const slotAt = (state: State, index: number): Slot | undefined => state.slots[index];

const withSlot = (state: State, index: number, slot: Slot): State => ({
  ...state,
  slots: state.slots.with(index, slot),
});

/** Adds a joining replica to the replicas, in place of the one that it replaces. */
export const reduceFilled = (state: State, action: FilledAction): State => {
  const slot = slotAt(state, action.slot);
  if (slot?.ownershipEpoch !== action.ownershipEpoch) return state;
  if (!slot.joiningReplicas.includes(action.store)) return state;
  return withSlot(state, action.slot, {
    ...slot,
    replicas: replicasAfterJoin(slot),
    joiningReplicas: [],
    replacedReplica: '',
    ownershipEpoch: slot.ownershipEpoch + 1,
  });
};

/** Moves a slot to its transfer target, if that is still a member. */
export const reduceTransferred = (state: State, action: TransferredAction): State => {
  const slot = slotAt(state, action.slot);
  if (slot?.ownershipEpoch !== action.ownershipEpoch) return state;
  if (!state.nodes.has(slot.transferTarget)) return state;
  const ownershipEpoch = slot.ownershipEpoch + 1;
  return withSlot(state, action.slot, {
    ...slot,
    owner: slot.transferTarget,
    ownershipEpoch,
    ownedSinceEpoch: ownershipEpoch,
    transferTarget: '',
  });
};
