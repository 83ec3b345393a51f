/**
 * Reducers for nodes that join and leave. At most one member has an address: a node that joins replaces the member at
 * its address.
 */
import type { JoinAction, LeaveAction } from '../action.js';
import type { Member, State } from '../state.js';
import { withEntry, withoutEntry } from './entries.js';

const isSameMember = (current: Member | undefined, member: Member): boolean =>
  JSON.stringify(current) === JSON.stringify(member);

/**
 * The order to empty a store applies to its name until it is cancelled, also when the store returns with another disk.
 */
const inheritsRetiring = (state: State, member: Member): boolean =>
  member.kind === 'store' &&
  member.name !== '' &&
  [...state.retiring.values()].includes(member.name);

/** Adds or updates a member; returns `state` itself if nothing changes. */
export const reduceJoin = (state: State, { member }: JoinAction): State => {
  if (isSameMember(state.nodes.get(member.id), member)) return state;
  const others = [...state.nodes].filter(
    ([id, other]) => id === member.id || other.addr !== member.addr,
  );
  return {
    ...state,
    retiring: inheritsRetiring(state, member)
      ? withEntry(state.retiring, member.id, member.name)
      : state.retiring,
    nodes: new Map(others).set(member.id, member),
    votingMembers: state.votingMembers.has(member.id)
      ? withEntry(state.votingMembers, member.id, member)
      : state.votingMembers,
  };
};

/** Removes a member. Draining of a front ends with that; emptying of a store continues when it returns. */
export const reduceLeave = (state: State, { id }: LeaveAction): State => {
  const member = state.nodes.get(id);
  if (!member) return state;
  return {
    ...state,
    nodes: withoutEntry(state.nodes, id),
    retiring: member.kind === 'front' ? withoutEntry(state.retiring, id) : state.retiring,
  };
};
