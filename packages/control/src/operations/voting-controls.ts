/** Operations that add or remove a voting control, one at a time (docs/zen.md, joint consensus). */
import { reduceState, type State } from '@tillerstair/state';
import type { MasterView } from '@tillerstair/zen';
import { ConflictError, NotFoundError } from './errors.js';
import { memberOf } from './members.js';
import {
  commitChange,
  defineOperation,
  noBody,
  type Operation,
  type OperatorPath,
  type PlannedChange,
} from './operation.js';

/**
 * Throws `ConflictError` during a change of voters: a second one could leave two majorities without a common member.
 */
const assertVotersSettled = (state: State): void => {
  if (state.voters.current.join() !== state.voters.next.join())
    throw new ConflictError('another change of voting controls is in progress');
};

const viewVoters = (state: State): unknown => ({ controls: state.voters.next });

const addVoter = (master: MasterView, reference: string): PlannedChange => ({
  change: (state) => {
    assertVotersSettled(state);
    const member = memberOf(state, reference);
    if (member.kind !== 'control')
      throw new ConflictError(`${reference} is a ${member.kind}, not a control`);
    if (!master.holdsCommitted(member.id))
      throw new ConflictError(
        `control ${reference} has not acknowledged the newest state as synced yet; retry later`,
      );
    return reduceState(state, { kind: 'voters', out: '', in: member });
  },
  view: viewVoters,
});

const removeVoter = (id: string): PlannedChange => ({
  change: (state) => {
    assertVotersSettled(state);
    if (!state.voters.current.includes(id))
      throw new NotFoundError(`${id} is not a voting control`);
    if (state.voters.current.length <= 1)
      throw new ConflictError('the last voting control cannot be removed');
    return reduceState(state, { kind: 'voters', out: id, in: undefined });
  },
  view: viewVoters,
});

const isControl = ({ section, id }: OperatorPath): boolean => section === 'controls' && id !== '';

/** Operations of `/v1/controls/ID`. */
export const votingControlOperations: readonly Operation[] = [
  defineOperation({
    method: 'POST',
    matches: isControl,
    authority: 'commit',
    schema: noBody,
    handler: ({ master, id }) => commitChange(master, addVoter(master, id)),
  }),
  defineOperation({
    method: 'DELETE',
    matches: isControl,
    authority: 'commit',
    schema: noBody,
    handler: ({ master, id }) => commitChange(master, removeVoter(id)),
  }),
];
