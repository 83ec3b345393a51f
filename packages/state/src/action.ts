/** What a master can do to the cluster state: each action is one entry, reduced by one function under `reducers/`. */
import type { ConfigRecord, Member, Server } from './state.js';

/** A node joins, or an earlier member tells of another address or name. */
export interface JoinAction {
  readonly kind: 'join';
  readonly member: Member;
}

/** A node is no member any more: it left, or was silent for too long. */
export interface LeaveAction {
  readonly kind: 'leave';
  readonly id: string;
}

/** A configuration is put in place. */
export interface ConfigAction {
  readonly kind: 'config';
  readonly record: ConfigRecord;
}

/** A server is added, or replaced by one of the same id. */
export interface ServerAction {
  readonly kind: 'server';
  readonly server: Server;
}

/** A server is removed. */
export interface ServerRemovedAction {
  readonly kind: 'server-removed';
  readonly id: string;
}

/** A server is marked; marks that are not named stay as they are. */
export interface ServerMarkAction {
  readonly kind: 'server-mark';
  readonly id: string;
  readonly draining?: boolean;
  readonly down?: boolean;
}

/** The voters change: `out` loses its vote ('' for nobody), `in` gets one. */
export interface VotersAction {
  readonly kind: 'voters';
  readonly out: string;
  readonly in: Member | undefined;
}

/** A store holds all of a slot that it was named to join, synced under this ownership epoch. */
export interface FilledAction {
  readonly kind: 'filled';
  readonly store: string;
  readonly slot: number;
  readonly ownershipEpoch: number;
}

/** An owner has released a slot that is to move, under this ownership epoch. */
export interface TransferredAction {
  readonly kind: 'transferred';
  readonly slot: number;
  readonly ownershipEpoch: number;
}

/** A store is to be emptied or a front drained, or no longer. */
export interface RetireAction {
  readonly kind: 'retire';
  readonly id: string;
  readonly on: boolean;
}

/** The weights of servers are tuned. */
export interface WeightsAction {
  readonly kind: 'weights';
  readonly weights: ReadonlyMap<string, number>;
}

/** Everything that a master can do to the cluster state. */
export type StateAction =
  | JoinAction
  | LeaveAction
  | ConfigAction
  | ServerAction
  | ServerRemovedAction
  | ServerMarkAction
  | VotersAction
  | FilledAction
  | TransferredAction
  | RetireAction
  | WeightsAction;
