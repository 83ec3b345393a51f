/** Actions by which a master changes the cluster state, each reduced by one function in `reducers/`. */
import type { ConfigRecord, Member, Server } from './state.js';

/** A node joins, or a member changes its address or name. */
export interface JoinAction {
  readonly kind: 'join';
  readonly member: Member;
}

/** A node leaves, or is removed because it was unresponsive for too long. */
export interface LeaveAction {
  readonly kind: 'leave';
  readonly id: string;
}

/** Replaces the configuration. */
export interface ConfigAction {
  readonly kind: 'config';
  readonly record: ConfigRecord;
}

/** Adds a server, or replaces the one with the same id. */
export interface ServerAction {
  readonly kind: 'server';
  readonly server: Server;
}

/** Removes a server. */
export interface ServerRemovedAction {
  readonly kind: 'server-removed';
  readonly id: string;
}

/** Sets the marks of a server; omitted marks stay as they are. */
export interface ServerMarkAction {
  readonly kind: 'server-mark';
  readonly id: string;
  readonly draining?: boolean;
  readonly down?: boolean;
}

/** Changes the voters: `out` loses its vote ('' for none), `in` gets one. */
export interface VotersAction {
  readonly kind: 'voters';
  readonly out: string;
  readonly in: Member | undefined;
}

/** A store has synced a slot that it joins as a replica, under this ownership epoch. */
export interface FilledAction {
  readonly kind: 'filled';
  readonly store: string;
  readonly slot: number;
  readonly ownershipEpoch: number;
}

/** A slot moves to its transfer target, if it still has this ownership epoch. */
export interface TransferredAction {
  readonly kind: 'transferred';
  readonly slot: number;
  readonly ownershipEpoch: number;
}

/** Starts emptying a store or draining a front, or cancels it (`on: false`). */
export interface RetireAction {
  readonly kind: 'retire';
  readonly id: string;
  readonly on: boolean;
}

/** Replaces the tuned weights of all servers. */
export interface WeightsAction {
  readonly kind: 'weights';
  readonly weights: ReadonlyMap<string, number>;
}

/** Any action on the cluster state. */
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
