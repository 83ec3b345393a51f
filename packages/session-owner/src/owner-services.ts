/** What the requests of all interfaces need of the session owner that runs them. */
import type { Config, Route, RouteKind, Server } from '@tillerstair/state';
import type { ServerDispatcher } from './attempt-machine.js';
import type { Backend, ReportedLoad } from './backend.js';
import type { CompiledState } from './compiled-state.js';
import type { SlotReplicator } from './slot-replicator.js';
import type { PassTurn } from './stored-values.js';

/** A state that requests can be served from. */
export interface ConfiguredState extends CompiledState {
  readonly config: Config;
}

/** A finished turn and the attempt that names it. */
export interface FoundTurn {
  readonly attempt: string;
  readonly turn: PassTurn;
}

/** The session owner as its requests see it. */
export interface OwnerServices extends ServerDispatcher {
  readonly backend: Backend;
  /** Whether this front may still serve by what it was last told. */
  readonly leaseValid: boolean;
  /** The newest state and configuration; undefined before the first publish. */
  readonly current: CompiledState | undefined;
  /** The newest state. Throws an `UnavailableError` (`not-ready`) without lease, state or configuration. */
  requireLease(): ConfiguredState;
  /** The replicator of a key's slot. Throws an `OwnershipError` unless the slot is owned, open and taking requests. */
  replicator(key: string): SlotReplicator;
  /** The route that takes requests of this kind at this path. */
  findRoute(kind: RouteKind, path: string): Route | undefined;
  /**
   * Looks on all replicas for a turn named by its attempt alone, and for what it follows. Empty only where no write
   * quorum can hold the turn; rejects with an `UnavailableError` where that cannot be told.
   */
  findTurn(attempt: string): Promise<readonly FoundTurn[]>;
  /** Records a server's own report of its load. */
  reportLoad(server: Server, load: ReportedLoad): void;
  /** Ends a request's stay at a server; `tokensPerSecond` is what it generated there. */
  releaseServer(server: Server, healthy: boolean, tokensPerSecond?: number): void;
}
