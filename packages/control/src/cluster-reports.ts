/** Reports on the cluster state for operators: its status, and the progress of emptying stores and draining fronts. */
import {
  liveNodes,
  replicasToWrite,
  allSlotsFullyReplicated,
  type IsLive,
  type Member,
  type Server,
  type State,
} from '@tillerstair/state';

/** Progress of emptying a store. */
export interface EmptyingProgress {
  /** Id of the store. */
  readonly store: string;
  readonly retiring: boolean;
  /** Number of slots that have a replica on this store, a joining one included. */
  readonly slotsHeld: number;
  /** Number of slots in the whole cluster that have a joining replica. */
  readonly slotsJoining: number;
  /** Whether the store may be switched off permanently. */
  readonly done: boolean;
}

/**
 * Computes the progress of emptying a store. It is done only when, without this store, every slot tolerates all the
 * simultaneous losses that its replication is meant for (design.md, "Emptying a store").
 */
export const emptyingProgress = (
  state: State,
  storeId: string,
  isLive: IsLive,
): EmptyingProgress => {
  const slotsHeld = state.slots.filter((slot) => replicasToWrite(slot).includes(storeId)).length;
  const slotsJoining = state.slots.filter((slot) => slot.joiningReplicas.length > 0).length;
  const retiring = state.retiring.has(storeId);
  return {
    store: storeId,
    retiring,
    slotsHeld,
    slotsJoining,
    done: retiring && slotsHeld === 0 && allSlotsFullyReplicated(state, liveNodes(state, isLive)),
  };
};

/** Progress of draining a front; `slotsHeld` is the number of slots that it still owns. */
export interface DrainingProgress {
  readonly front: string;
  readonly retiring: boolean;
  readonly slotsHeld: number;
}

/** Computes the progress of draining a front. */
export const drainingProgress = (state: State, frontId: string): DrainingProgress => ({
  front: frontId,
  retiring: state.retiring.has(frontId),
  slotsHeld: state.slots.filter((slot) => slot.owner === frontId).length,
});

/** Summary of the cluster, as `GET /v1/status` returns it. */
export interface StatusReport {
  readonly clusterId: string;
  readonly term: number;
  readonly version: number;
  readonly master: string;
  readonly controls: State['voters'];
  readonly config: { readonly version: number; readonly digest: string } | null;
  readonly nodes: readonly Member[];
  readonly servers: readonly Server[];
  readonly stores: readonly EmptyingProgress[];
  readonly slots: {
    readonly count: number;
    /** Number of slots whose owner is in the list of nodes. */
    readonly owned: number;
    /** Number of slots that have a joining replica. */
    readonly joiningReplicas: number;
  };
  readonly weights: readonly (readonly [string, number])[];
}

/** Summarizes the cluster; `isLive` says which stores count as live. */
export const statusReport = (state: State, isLive: IsLive): StatusReport => ({
  clusterId: state.clusterId,
  term: state.term,
  version: state.version,
  master: state.master,
  controls: state.voters,
  config: state.config ? { version: state.config.version, digest: state.config.digest } : null,
  nodes: [...state.nodes.values()],
  servers: [...state.servers.values()],
  stores: [...state.nodes.values()]
    .filter((member) => member.kind === 'store')
    .map((member) => emptyingProgress(state, member.id, isLive)),
  slots: {
    count: state.slots.length,
    owned: state.slots.filter((slot) => state.nodes.has(slot.owner)).length,
    joiningReplicas: state.slots.filter((slot) => slot.joiningReplicas.length > 0).length,
  },
  weights: [...state.weights],
});
