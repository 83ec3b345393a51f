/** The view that one node has of the cluster state, as lines that operators compare between nodes (`GET /v1/view`). */
import type { Server, Slot, State, StateVersion } from './state.js';
import { versionOf } from './versions.js';

/** One fact of a view: its subject, and its value on the node. */
export type NodeViewFact = readonly [subject: string, value: string];

/**
 * A node's view: its id, the master that it follows, the state version that it has applied, and the facts of that
 * state.
 */
export interface NodeView {
  readonly id: string;
  readonly kind: string;
  readonly term: number;
  readonly master: string;
  readonly applied: StateVersion;
  readonly facts: readonly NodeViewFact[];
}

const describeSlot = (slot: Slot): string => {
  const replaced = slot.replacedReplica ? ` instead of ${slot.replacedReplica}` : '';
  const target = slot.transferTarget ? ` handing to ${slot.transferTarget}` : '';
  return (
    `owner ${slot.owner} ownership epoch ${slot.ownershipEpoch}` +
    ` replicas ${slot.replicas.join(' ')} filling ${slot.joiningReplicas.join(' ')}${replaced}${target}`
  );
};

const describeServer = ({ pool, url, draining, down }: Server): string =>
  `${pool} ${url}${draining ? ' draining' : ''}${down ? ' down' : ''}`;

const factsOf = (state: State): readonly NodeViewFact[] => [
  ['cluster', state.clusterId],
  ['controls', state.voters.current.join(' ')],
  ['controls next', state.voters.next.join(' ')],
  ['config', state.config ? `${state.config.version} ${state.config.digest}` : 'none'],
  ...[...state.nodes].map(([id, { kind, addr }]): NodeViewFact => [
    `node ${id}`,
    `${kind} ${addr}`,
  ]),
  ...state.slots.map((slot, index): NodeViewFact => [`slot ${index}`, describeSlot(slot)]),
  ...[...state.servers].map(([id, server]): NodeViewFact => [
    `server ${id}`,
    describeServer(server),
  ]),
  ...[...state.weights].map(([key, weight]): NodeViewFact => [`weight ${key}`, String(weight)]),
  ...[...state.retiring.keys()].map((id): NodeViewFact => [`retiring ${id}`, 'yes']),
];

/** Builds the view of the node `id`; `state` is the state that it has applied, if any. */
export const nodeViewOf = (
  id: string,
  kind: string,
  term: number,
  master: string,
  state: State | undefined,
): NodeView => ({
  id,
  kind,
  term,
  master,
  applied: versionOf(state),
  facts: state ? factsOf(state) : [],
});
