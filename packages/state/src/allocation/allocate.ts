/**
 * Allocation of replicas and owners to slots: a pure function of the state and of limits, which the master derives from
 * time.
 */
import type { State } from '../state.js';
import type { AllocationLimits } from './limits.js';
import { allocateOwners } from './owners.js';
import { allocateReplicas } from './replicas.js';

/** Allocates slots as far as the limits allow; returns `state` itself if no slot changes. */
export const allocate = (state: State, limits: AllocationLimits): State => {
  const slots = allocateOwners(state, allocateReplicas(state, limits), limits.maxMoves);
  return slots.every((slot, index) => slot === state.slots[index]) ? state : { ...state, slots };
};
