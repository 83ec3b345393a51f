/**
 * The members of one kind. Live means listed here: the cluster state has the node, since it joined and was not removed. It
 * does not say that the node replies now, nor that its disk accepts writes.
 */
import type { Member, State } from '../state.js';

/** The members of a kind that the state lists, by id, so that every master allocates alike. */
export const liveMembers = (state: State, kind: Member['kind']): readonly Member[] =>
  [...state.nodes.values()]
    .filter((member) => member.kind === kind)
    .sort((first, second) => compareIds(first.id, second.id));

/** The order of two ids. */
export const compareIds = (first: string, second: string): number => (first < second ? -1 : 1);
