/**
 * Placement of requests on servers: the pool by the route's shares, then the server of the pool that the policies rank
 * first (docs/design.md, "Placement"). Invariant: nothing new goes to a server that drains, is unhealthy or is full, or
 * whose pool has no share in the route.
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

/** Equal servers are ordered by a hash into so many values, another one at each front. */
const tieBreakRange = 1 << 20;

/** What a `Placement` needs. */
export interface PlacementOptions {
  readonly clock: Clock;
  readonly backend: Backend;
  /** Applied one after the other. */
  readonly policies: readonly PlacementPolicy[];
  readonly bounds: ObservationBounds;
  readonly compiledState: () => CompiledState | undefined;
  /** Requests that this front may have in flight at a server which does not say how many it can run. */
  readonly maxInFlightPerServer: () => number;
  /** The front that places; its zone comes first. */
  readonly frontId: string;
}

/** Picks servers, and observes what comes of it. */
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

  /** Sets the servers that get nothing new, since the front's own copy of the server list does not offer them. */
  setBarred(ids: ReadonlySet<string>): void {
    this.observations.barred = ids;
  }

  /** The server reported its load with a response. */
  recordReportedLoad(server: Server, load: ReportedLoad): void {
    this.observations.recordReportedLoad(server, load);
  }

  /** Whether a picked server may still be sent a request of the route: looked at right before it is sent. */
  isAllowed(picked: Server, route: Route): boolean {
    const server = this.compiledState()?.state.servers.get(picked.id);
    if (server?.url !== picked.url || server.pool !== picked.pool) return false;
    if (server.draining || this.observations.observed(server).draining) return false;
    return activeShares(route).some(({ pool }) => pool === server.pool);
  }

  /** Whether any server of the route is, or may soon be, able to run a request, be it full now or not. */
  hasUsableServer(route: Route, skip: ReadonlySet<string>): boolean {
    const state = this.compiledState()?.state;
    if (!state) return false;
    const pools = new Set(activeShares(route).map(({ pool }) => pool));
    return [...state.servers.values()].some(
      (server) =>
        pools.has(server.pool) && !skip.has(server.id) && !server.draining && this.isUsable(server),
    );
  }

  /** The server that a request of the route goes to, or undefined if none can run it now. `begin` is then called. */
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

  /** A request with this prompt is sent to the server; `end` follows. */
  begin(server: Server, prompt: readonly PrefixBlock[]): void {
    this.observations.recordStart(server);
    this.prefixIndex.record(server.id, prompt);
  }

  /** A request that was begun has ended, at some speed if that is known. */
  end(server: Server, isSuccess: boolean, tokensPerSecond?: number): void {
    if (isSuccess) this.observations.recordSuccess(server, tokensPerSecond);
    else this.observations.recordFailure(server);
  }

  /** Failures of a server since its last success. */
  failuresOf(id: string): number {
    return this.observations.failuresOf(id);
  }

  /** What this front reports to the master of every listed server. */
  report(): readonly ServerReport[] {
    const servers = this.compiledState()?.state.servers.values() ?? [];
    return [...servers].map((server) => this.observations.reportOf(server));
  }

  /** Polls every listed server, or those alone that never responded before. Never rejects. */
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
