/** The services of a session owner that the request handlers of all interfaces use. */
import type { Config, Route, RouteKind, Server } from '@tillerstair/state';
import type { ServerDispatcher } from './attempt-machine.js';
import type { Backend, ReportedLoad } from './backend.js';
import type { ByteBudget } from '@tillerstair/wire';
import type { CompiledState } from './compiled-state.js';
import type { SlotReplicator } from './slot-replicator.js';
import type { PassTurn } from './stored-values.js';

/** A compiled state with a configuration, as required to serve requests. */
export interface ConfiguredState extends CompiledState {
  readonly config: Config;
}

/** A finished turn that was found on the stores, and its attempt id. */
export interface FoundTurn {
  readonly attempt: string;
  readonly turn: PassTurn;
}

/** The session owner, as its request handlers see it. */
export interface OwnerServices extends ServerDispatcher {
  readonly backend: Backend;
  /** The memory for the answers of all requests under way. */
  readonly answerMemory: ByteBudget;
  /** The memory for the conversations that requests under way continue. */
  readonly conversationMemory: ByteBudget;
  /** Whether the read lease is valid, so that this front may serve from the newest state that it applied. */
  readonly leaseValid: boolean;
  /** The newest compiled state; undefined before the first publish. */
  readonly current: CompiledState | undefined;
  /** The newest compiled state. Throws an `UnavailableError` (`not-ready`) without lease, state or configuration. */
  requireLease(): ConfiguredState;
  /**
   * The replicator of a key's slot. Throws an `OwnershipError` unless the slot is owned, open and accepting requests.
   */
  replicator(key: string): SlotReplicator;
  /** The route for requests of this kind at this path; undefined if the configuration has none. */
  findRoute(kind: RouteKind, path: string): Route | undefined;
  /**
   * Searches all replicas for a turn by its attempt id alone, and for the turns that it follows. Empty only if no write
   * quorum can have the turn; rejects with an `UnavailableError` if too few replicas respond to decide that.
   */
  findTurn(attempt: string): Promise<readonly FoundTurn[]>;
  /** Records the load that a server reported with a response. */
  reportLoad(server: Server, load: ReportedLoad): void;
  /**
   * Ends a request at a server and frees its capacity. `healthy` is whether the server responded as expected;
   * `tokensPerSecond` is its rate of generation for this request, if known.
   */
  releaseServer(server: Server, healthy: boolean, tokensPerSecond?: number): void;
}
