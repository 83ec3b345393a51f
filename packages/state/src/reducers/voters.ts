/**
 * Reducer for the voting controls, changed one at a time by joint consensus: while `current` and `next` differ,
 * decisions need a majority of both (zen.md). The change ends once the state with both groups is committed.
 */
import type { VotersAction } from '../action.js';
import type { State } from '../state.js';
import { withEntry } from './entries.js';

/** Whether no change of voters is in progress. */
const areVotersSettled = ({ voters }: State): boolean =>
  voters.current.join() === voters.next.join();

/** Begins a change of voters; returns `state` itself while one is in progress, or if no voter would remain. */
export const reduceVoters = (state: State, action: VotersAction): State => {
  if (!areVotersSettled(state)) return state;
  const { current } = state.voters;
  const added = action.in;
  const remaining = current.filter((id) => id !== action.out);
  const next = added && !remaining.includes(added.id) ? [...remaining, added.id].sort() : remaining;
  if (next.length === 0) return state;
  return {
    ...state,
    voters: { current, next },
    votingMembers: added ? withEntry(state.votingMembers, added.id, added) : state.votingMembers,
  };
};

/** Ends a change of voters, to be published once the state with both groups is committed. */
export const completeVotingChange = (state: State): State => {
  if (areVotersSettled(state)) return state;
  const { next } = state.voters;
  const votingMembers = new Map([...state.votingMembers].filter(([id]) => next.includes(id)));
  return { ...state, voters: { current: next, next }, votingMembers };
};
