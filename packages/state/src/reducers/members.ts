/** Nodes that join and leave. At most one member has an address: a newcomer takes the place of the one before it. */
import type { JoinAction, LeaveAction } from '../action.js';
import type { Member, State } from '../state.js';
import { withEntry, withoutEntry } from './entries.js';

const isSameMember = (current: Member | undefined, member: Member): boolean =>
  JSON.stringify(current) === JSON.stringify(member);

/** The order to empty a store stands for its name until it is taken back, also when it comes back with another disk. */
const inheritsRetiring = (state: State, member: Member): boolean =>
  member.kind === 'store' &&
  member.name !== '' &&
  [...state.retiring.values()].includes(member.name);

/** Adds a member; the state itself where it is known as it is. */
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

/** Removes a member. A front's draining ends with it; a store's emptying goes on when it comes back. */
export const reduceLeave = (state: State, { id }: LeaveAction): State => {
  const member = state.nodes.get(id);
  if (!member) return state;
  return {
    ...state,
    nodes: withoutEntry(state.nodes, id),
    retiring: member.kind === 'front' ? withoutEntry(state.retiring, id) : state.retiring,
  };
};
