/** Operations that give a control a vote or take it away, one control at a time (zen.md, joint consensus). */
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

/** While a change of voters is under way, a further one could leave two majorities that do not meet. */
const assertVotersSettled = (state: State): void => {
  if (state.voters.current.join() !== state.voters.next.join())
    throw new ConflictError('another change of controls is under way');
};

const viewVoters = (state: State): unknown => ({ controls: state.voters.next });

const addVoter = (master: MasterView, reference: string): PlannedChange => ({
  change: (state) => {
    assertVotersSettled(state);
    const member = memberOf(state, reference);
    if (member.kind !== 'control') throw new ConflictError(`${reference} is a ${member.kind}`);
    if (!master.holdsCommitted(member.id))
      throw new ConflictError(
        `${reference} does not hold the newest state on its disk yet; ask again`,
      );
    return reduceState(state, { kind: 'voters', out: '', in: member });
  },
  view: viewVoters,
});

const removeVoter = (id: string): PlannedChange => ({
  change: (state) => {
    assertVotersSettled(state);
    if (!state.voters.current.includes(id)) throw new NotFoundError(`${id} is no voting control`);
    if (state.voters.current.length <= 1)
      throw new ConflictError('the last control cannot be taken out');
    return reduceState(state, { kind: 'voters', out: id, in: undefined });
  },
  view: viewVoters,
});

const isControl = ({ section, id }: OperatorPath): boolean => section === 'controls' && id !== '';

/** `/v1/controls/ID`. */
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
