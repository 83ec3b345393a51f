/**
 * Operations that empty a store or drain a front, and that cancel it. A node is retired only if enough others of its
 * kind remain, so no data is lost and no slot is left unserved.
 */
import { reduceState, type IsLive, type Member, type State } from '@tillerstair/state';
import { drainingProgress, emptyingProgress } from '../cluster-reports.js';
import { ConflictError, NotFoundError } from './errors.js';
import { findMember, retiringIdOf } from './members.js';
import {
  commitChange,
  defineOperation,
  noBody,
  readWithLiveNodes,
  type Operation,
  type OperatorPath,
  type PlannedChange,
} from './operation.js';

type RetirableKind = 'store' | 'front';

/** A commit does not show which nodes reply, so the response to the order itself never reports emptying as done. */
const noLiveNodes: IsLive = () => false;

/** Throws `ConflictError` if too few other members of its kind would remain. */
const assertOthersSuffice = (state: State, member: Member): void => {
  const others = [...state.nodes.values()].filter(
    (other) =>
      other.kind === member.kind && other.id !== member.id && !state.retiring.has(other.id),
  );
  const { replicas } = state.replication;
  if (member.kind === 'store' && others.length < replicas)
    throw new ConflictError(
      `only ${others.length} other stores would stay, ${replicas} replicas are needed`,
    );
  if (member.kind === 'front' && others.length < 1)
    throw new ConflictError('no other front would stay');
};

interface RetirementTarget {
  readonly reference: string;
  readonly id: string;
  readonly member: Member | undefined;
}

/** Resolves a reference, also to an absent node that is still ordered to retire under this id or name. */
const resolveTarget = (state: State, reference: string, kind: RetirableKind): RetirementTarget => {
  const member = findMember(state, reference);
  if (member && member.kind !== kind)
    throw new ConflictError(`${reference} is a ${member.kind}, not a ${kind}`);
  return { reference, member, id: member?.id ?? retiringIdOf(state, reference) ?? reference };
};

const retire = (state: State, { reference, id, member }: RetirementTarget): State => {
  if (state.retiring.has(id)) return state;
  if (!member) throw new NotFoundError(`no node ${reference}`);
  assertOthersSuffice(state, member);
  return reduceState(state, { kind: 'retire', id, on: true });
};

const cancelRetirement = (state: State, { reference, id, member }: RetirementTarget): State => {
  if (!member) throw new NotFoundError(`no node ${reference}`);
  return reduceState(state, { kind: 'retire', id, on: false });
};

const planRetirement = (
  reference: string,
  kind: RetirableKind,
  apply: (state: State, target: RetirementTarget) => State,
): PlannedChange => {
  let id = reference;
  return {
    change: (state) => {
      const target = resolveTarget(state, reference, kind);
      ({ id } = target);
      return apply(state, target);
    },
    view: (state) =>
      kind === 'store' ? emptyingProgress(state, id, noLiveNodes) : drainingProgress(state, id),
  };
};

/** Id of the store whose progress is requested; an absent store is known only by the order to empty it. */
const storeIdOf = (state: State, reference: string): string => {
  const member = findMember(state, reference);
  if (member && member.kind !== 'store')
    throw new NotFoundError(`${reference} is a ${member.kind}, not a store`);
  const id = member?.id ?? retiringIdOf(state, reference);
  if (id === undefined) throw new NotFoundError(`no store ${reference}`);
  return id;
};

const isStoreEmptying = ({ section, verb }: OperatorPath): boolean =>
  section === 'stores' && verb === 'empty';
const isFrontDraining = ({ section, verb }: OperatorPath): boolean =>
  section === 'fronts' && verb === 'drain';

const retirementOperation = (
  method: 'POST' | 'DELETE',
  kind: RetirableKind,
  matches: (path: OperatorPath) => boolean,
): Operation =>
  defineOperation({
    method,
    matches,
    authority: 'commit',
    schema: noBody,
    handler: ({ master, id }) =>
      commitChange(master, planRetirement(id, kind, method === 'POST' ? retire : cancelRetirement)),
  });

/** Operations of `/v1/stores/ID/empty` and `/v1/fronts/ID/drain`. */
export const retirementOperations: readonly Operation[] = [
  retirementOperation('POST', 'store', isStoreEmptying),
  retirementOperation('DELETE', 'store', isStoreEmptying),
  defineOperation({
    method: 'GET',
    matches: isStoreEmptying,
    authority: 'quorum-read',
    schema: noBody,
    handler: ({ master, id }) =>
      readWithLiveNodes(master, ['store'], (state, isLive) =>
        emptyingProgress(state, storeIdOf(state, id), isLive),
      ),
  }),
  retirementOperation('POST', 'front', isFrontDraining),
  retirementOperation('DELETE', 'front', isFrontDraining),
];
