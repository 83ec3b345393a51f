/** Operations that empty a store or drain a front, and take that back; nothing is lost, and no slot is left unserved. */
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

/** A commit proves nothing of who replies, so emptying is never called done in the answer to the order itself. */
const nobodyLive: IsLive = () => false;

/** Refuses to retire a member without which its kind could not do its work. */
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

/** The node that is named, also one that is gone but still ordered to retire under this id or name. */
const targetOf = (state: State, reference: string, kind: RetirableKind): RetirementTarget => {
  const member = findMember(state, reference);
  if (member && member.kind !== kind)
    throw new ConflictError(`${reference} is a ${member.kind}, not a ${kind}`);
  return { reference, member, id: member?.id ?? retiringIdOf(state, reference) ?? reference };
};

const retired = (state: State, { reference, id, member }: RetirementTarget): State => {
  if (state.retiring.has(id)) return state;
  if (!member) throw new NotFoundError(`no node ${reference}`);
  assertOthersSuffice(state, member);
  return reduceState(state, { kind: 'retire', id, on: true });
};

const reinstated = (state: State, { reference, id, member }: RetirementTarget): State => {
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
      const target = targetOf(state, reference, kind);
      ({ id } = target);
      return apply(state, target);
    },
    view: (state) =>
      kind === 'store' ? emptyingProgress(state, id, nobodyLive) : drainingProgress(state, id),
  };
};

/** The store whose emptying is asked after; it may be gone and known only by the order to empty it. */
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
      commitChange(master, planRetirement(id, kind, method === 'POST' ? retired : reinstated)),
  });

/** `/v1/stores/ID/empty`, `/v1/fronts/ID/drain`. */
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
