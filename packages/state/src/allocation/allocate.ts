/** Allocation: the replicas and owners of all slots, as a pure function of the state and of what a master knows of time. */
import type { State } from '../state.js';
import type { AllocationLimits } from './limits.js';
import { allocateOwners } from './owners.js';
import { allocateReplicas } from './replicas.js';

/** The state with its slots allocated as far as the limits allow; the very state where no slot needs anything. */
export const allocate = (state: State, limits: AllocationLimits): State => {
  const slots = allocateOwners(state, allocateReplicas(state, limits), limits.maxMoves);
  return slots.every((slot, index) => slot === state.slots[index]) ? state : { ...state, slots };
};
