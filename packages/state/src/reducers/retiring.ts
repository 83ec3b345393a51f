/** Reducer for stores being emptied and fronts being drained, by id, with the node name that the order applies to. */
import type { RetireAction } from '../action.js';
import type { State } from '../state.js';
import { withEntry } from './entries.js';

/** Cancels the order for a node, and for all others that inherited it by the same name. */
const withoutRetiring = (retiring: State['retiring'], id: string): State['retiring'] => {
  const name = retiring.get(id) ?? '';
  return new Map(
    [...retiring].filter(
      ([otherId, otherName]) => otherId !== id && (name === '' || otherName !== name),
    ),
  );
};

/** Sets or cancels the order to empty a store or drain a front; returns `state` itself if nothing changes. */
export const reduceRetire = (state: State, { id, on }: RetireAction): State => {
  if (state.retiring.has(id) === on) return state;
  return {
    ...state,
    retiring: on
      ? withEntry(state.retiring, id, state.nodes.get(id)?.name ?? '')
      : withoutRetiring(state.retiring, id),
  };
};
