/** How operators name nodes: by id, by address or by name. */
import type { Member, State } from '@tillerstair/state';
import { NotFoundError } from './errors.js';

/** The member that an operator names, if there is one; an id goes before an address, an address before a name. */
export const findMember = (state: State, reference: string): Member | undefined => {
  const members = [...state.nodes.values()];
  return (
    state.nodes.get(reference) ??
    members.find((member) => member.addr === reference) ??
    members.find((member) => member.name !== '' && member.name === reference)
  );
};

/** The member that an operator names. Throws `NotFoundError`. */
export const memberOf = (state: State, reference: string): Member => {
  const member = findMember(state, reference);
  if (!member) throw new NotFoundError(`no node ${reference}`);
  return member;
};

/** The id of the node that is being emptied or drained under this id or name; of several, the one named last. */
export const retiringIdOf = (state: State, reference: string): string | undefined =>
  state.retiring.has(reference)
    ? reference
    : [...state.retiring].findLast(([, name]) => name !== '' && name === reference)?.[0];
