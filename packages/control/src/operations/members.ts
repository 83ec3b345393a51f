/** Resolves the references by which operators name nodes: an id, an address or a name. */
import type { Member, State } from '@tillerstair/state';
import { NotFoundError } from './errors.js';

/** The member with this id, address or name, if any; an id takes precedence over an address, an address over a name. */
export const findMember = (state: State, reference: string): Member | undefined => {
  const members = [...state.nodes.values()];
  return (
    state.nodes.get(reference) ??
    members.find((member) => member.addr === reference) ??
    members.find((member) => member.name !== '' && member.name === reference)
  );
};

/** The member with this id, address or name. Throws `NotFoundError` if there is none. */
export const memberOf = (state: State, reference: string): Member => {
  const member = findMember(state, reference);
  if (!member) throw new NotFoundError(`no node ${reference}`);
  return member;
};

/** Id of the node being emptied or drained that has this id or name; of several with the name, the one added last. */
export const retiringIdOf = (state: State, reference: string): string | undefined =>
  state.retiring.has(reference)
    ? reference
    : [...state.retiring].findLast(([, name]) => name !== '' && name === reference)?.[0];
