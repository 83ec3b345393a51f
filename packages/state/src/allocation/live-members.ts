/**
 * Live members of one kind. Live means that the cluster state lists the node: it joined and was not removed. It does
 * not mean that the node replies now, nor that its disk accepts writes.
 */
import type { Member, State } from '../state.js';

/** Members of a kind that the state lists, sorted by id so that every master allocates alike. */
export const liveMembers = (state: State, kind: Member['kind']): readonly Member[] =>
  [...state.nodes.values()]
    .filter((member) => member.kind === kind)
    .sort((first, second) => compareIds(first.id, second.id));

/** Compares two ids for sorting, in ascending order. */
export const compareIds = (first: string, second: string): number => (first < second ? -1 : 1);
