/**
 * Placement of requests on servers: selects a pool by the route's shares, then the server of the pool that the policies
 * rank first (docs/design.md, "Placement"). Invariant: no new request is placed on a server that is draining, unhealthy
 * or full, or whose pool has no share in the route.
 */
import { slotForKey, weightKey, type Route, type Server, type State } from '@tillerstair/state';
import type { Clock } from '@tillerstair/wire';
import type { Backend, ReportedLoad } from './backend.js';
import type { Candidate, PlacementContext, PlacementPolicy } from './policies.js';
import { PoolCredit, activeShares } from './pool-credit.js';
import { PrefixIndex } from './prefix-index.js';
import { countTokens, type PrefixBlock } from './prefix-blocks.js';
import {
  ServerObservations,
  type ObservationBounds,
  type ServerReport,
} from './server-observations.js';
import { ServerPoller } from './server-poller.js';
import type { CompiledState } from './compiled-state.js';

/** Servers with equal scores are ordered by a hash with this many values, which differs for each front. */
const tieBreakRange = 1 << 20;

/** Dependencies and limits of a `Placement`. */
export interface PlacementOptions {
  readonly clock: Clock;
  readonly backend: Backend;
  /** Applied in this order. */
  readonly policies: readonly PlacementPolicy[];
  readonly bounds: ObservationBounds;
  /** The newest state and configuration; undefined before the first publish. */
  readonly compiledState: () => CompiledState | undefined;
  /** Maximum number of this front's requests in flight at a server whose own limit is not known. */
  readonly maxInFlightPerServer: () => number;
  /** The id of this front; servers in its zone are preferred. */
  readonly frontId: string;
}

/** Selects servers for requests and records their load, health and speed. */
export class Placement {
  private readonly compiledState: () => CompiledState | undefined;
  private readonly policies: readonly PlacementPolicy[];
  private readonly maxInFlightPerServer: () => number;
  private readonly frontId: string;
  private readonly observations: ServerObservations;
  private readonly poller: ServerPoller;
  private readonly prefixIndex = new PrefixIndex();
  private readonly poolCredit = new PoolCredit();

  constructor(options: PlacementOptions) {
    const { clock, backend, bounds, compiledState } = options;
    this.compiledState = compiledState;
    this.policies = options.policies;
    this.maxInFlightPerServer = options.maxInFlightPerServer;
    this.frontId = options.frontId;
    this.observations = new ServerObservations(clock, bounds);
    const { observations } = this;
    this.poller = new ServerPoller({ clock, backend, bounds, compiledState, observations });
  }

  /** Sets the ids of servers that get no new requests, as this front's copy of the server list does not offer them. */
  setBarred(ids: ReadonlySet<string>): void {
    this.observations.barred = ids;
  }

  /** Records the load that the server reported with a response. */
  recordReportedLoad(server: Server, load: ReportedLoad): void {
    this.observations.recordReportedLoad(server, load);
  }

  /** Whether a request of the route may still be sent to a picked server; checked right before it is sent. */
  isAllowed(picked: Server, route: Route): boolean {
    const server = this.compiledState()?.state.servers.get(picked.id);
    if (server?.url !== picked.url || server.pool !== picked.pool) return false;
    if (server.draining || this.observations.observed(server).draining) return false;
    return activeShares(route).some(({ pool }) => pool === server.pool);
  }

  /** Whether any server of the route can run requests, or may after its first poll, even if it is full now. */
  hasUsableServer(route: Route, skip: ReadonlySet<string>): boolean {
    const state = this.compiledState()?.state;
    if (!state) return false;
    const pools = new Set(activeShares(route).map(({ pool }) => pool));
    return [...state.servers.values()].some(
      (server) =>
        pools.has(server.pool) && !skip.has(server.id) && !server.draining && this.isUsable(server),
    );
  }

  /**
   * The best server for a request of the route, or undefined if none can run it now. The caller then calls `begin`.
   *
   * @param stickyPool - the pool to try first; empty for none
   * @param skip - ids of servers that must not be picked
   */
  pick(
    route: Route,
    prompt: readonly PrefixBlock[],
    stickyPool: string,
    skip: ReadonlySet<string>,
  ): Server | undefined {
    const state = this.compiledState()?.state;
    if (!state) return undefined;
    const context = this.contextOf(state, prompt);
    for (const pool of this.poolCredit.order(route, stickyPool)) {
      const server = this.bestServer(state, pool, skip, context);
      if (!server) continue;
      this.poolCredit.charge(route, pool);
      return server;
    }
    return undefined;
  }

  /** Records that a request with this prompt goes to the server; `end` must be called once for it. */
  begin(server: Server, prompt: readonly PrefixBlock[]): void {
    this.observations.recordStart(server);
    this.prefixIndex.record(server.id, prompt);
  }

  /** Records the end of a request, with the speed of its generation if it is known. */
  end(server: Server, isSuccess: boolean, tokensPerSecond?: number): void {
    if (isSuccess) this.observations.recordSuccess(server, tokensPerSecond);
    else this.observations.recordFailure(server);
  }

  /** Number of failures of a server since its last success. */
  failuresOf(id: string): number {
    return this.observations.failuresOf(id);
  }

  /** The report on every listed server that this front sends to the master. */
  report(): readonly ServerReport[] {
    const servers = this.compiledState()?.state.servers.values() ?? [];
    return [...servers].map((server) => this.observations.reportOf(server));
  }

  /** Polls every listed server, or only those that have never responded to a poll. Never rejects. */
  poll(onlyNew = false): Promise<void> {
    return this.poller.poll(onlyNew);
  }

  private isUsable(server: Server): boolean {
    if (this.observations.awaitsFirstPoll(server)) return true;
    const { draining, health } = this.observations.observed(server);
    return !draining && health !== 'bad';
  }

  private maxInFlight(server: Server): number {
    const pool = this.compiledState()?.config?.pools.find(({ name }) => name === server.pool);
    const places = pool?.engine?.places ?? server.places;
    return places > 0 ? places : this.maxInFlightPerServer();
  }

  private contextOf(state: State, prompt: readonly PrefixBlock[]): PlacementContext {
    const pools = new Map(this.compiledState()?.config?.pools.map((pool) => [pool.name, pool]));
    const zone = state.nodes.get(this.frontId)?.zone ?? '';
    return {
      promptTokens: countTokens(prompt),
      observed: (server) => this.observations.observed(server),
      cachedShare: this.prefixIndex.cachedShareOf(prompt),
      engine: (server) => pools.get(server.pool)?.engine,
      isNear: (server) => zone === '' || server.zone === '' || server.zone.toLowerCase() === zone,
      weight: (server) => state.weights.get(weightKey(server.pool, server.id)) ?? 1,
    };
  }

  private bestServer(
    state: State,
    pool: string,
    skip: ReadonlySet<string>,
    context: PlacementContext,
  ): Server | undefined {
    const candidates: readonly Candidate[] = [...state.servers.values()]
      .filter((server) => server.pool === pool && !skip.has(server.id))
      .map((server) => ({ server, score: 0 }));
    const ranked = this.policies
      .reduce((remaining, policy) => policy(remaining, context), candidates)
      .filter(({ server }) => this.observations.inFlight(server) < this.maxInFlight(server));
    const sorted = [...ranked].sort(
      (a, b) => b.score - a.score || this.tieBreak(a.server) - this.tieBreak(b.server),
    );
    return sorted.at(0)?.server;
  }

  private tieBreak(server: Server): number {
    return slotForKey(`${this.frontId}|${server.id}`, tieBreakRange);
  }
}
