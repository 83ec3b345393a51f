/**
 * Assigns servers to requests: one admission queue for each set of pools that routes share, in front of the placement.
 *
 * Owns the queues. A server is assigned only under a valid read lease and only if the newest state has it in a pool of
 * the route; `mayRun` asks both again before anything is sent.
 */
import { findRoute, type Route, type RouteKind, type Server } from '@tillerstair/state';
import { AdmissionError, type Clock } from '@tillerstair/wire';
import { AdmissionQueue } from './admission-queue.js';
import type { PlacementRequest, ServerDispatcher } from './attempt-machine.js';
import type { Placement } from './placement.js';
import type { CompiledState } from './compiled-state.js';

/** How many requests may wait in one queue before there is a configuration. */
const defaultQueueLimit = 256;

/** What the dispatch is made from. */
export interface ServerDispatchOptions {
  readonly clock: Clock;
  readonly placement: Placement;
  /** The newest state and configuration. */
  readonly compiledState: () => CompiledState | undefined;
  /** Whether the read lease is valid now. */
  readonly leaseValid: () => boolean;
}

/** Assigns servers to requests. */
export class ServerDispatch implements ServerDispatcher {
  readonly clock: Clock;
  private readonly placement: Placement;
  private readonly compiledState: () => CompiledState | undefined;
  private readonly leaseValid: () => boolean;
  private readonly queues = new Map<string, AdmissionQueue<Server>>();

  constructor(options: ServerDispatchOptions) {
    this.clock = options.clock;
    this.placement = options.placement;
    this.compiledState = options.compiledState;
    this.leaseValid = options.leaseValid;
  }

  /** How many requests wait for a server. */
  get waiting(): number {
    return [...this.queues.values()].reduce((sum, queue) => sum + queue.waiting, 0);
  }

  /** The route that takes requests of this kind at this path. */
  findRoute(kind: RouteKind, path: string): Route | undefined {
    const compiledState = this.compiledState();
    return compiledState && findRoute(compiledState.routes, kind, path);
  }

  /** Resolves with a server that counts the request from now on; rejects with an `AdmissionError` where there is none. */
  async place(request: PlacementRequest): Promise<Server> {
    const { promptParts, stickyPool, excluded, timeoutMs, signal } = request;
    const route = this.usableRoute(request);
    const pick = (): Server | undefined => {
      if (!this.leaseValid()) return undefined;
      const now = this.usableRoute(request);
      const server = this.placement.pick(now, promptParts, stickyPool, excluded);
      if (server) this.placement.begin(server, promptParts);
      return server;
    };
    return this.queueOf(route).enter({ isUrgent: route.urgent, timeoutMs, signal, pick });
  }

  /** Whether lease, route and state allow a request to be sent to this server now. */
  mayRun(server: Server, kind: RouteKind, path: string): boolean {
    const route = this.findRoute(kind, path);
    return this.leaseValid() && route !== undefined && this.placement.isAllowed(server, route);
  }

  /** Ends a request's stay at a server, whose place goes to the next one waiting. */
  release(server: Server, healthy: boolean, tokensPerSecond?: number): void {
    this.placement.end(server, healthy, tokensPerSecond);
    this.admitWaiting();
  }

  /** Lets waiting requests in where servers are free. */
  admitWaiting(): void {
    for (const queue of this.queues.values()) queue.admitWaiting();
  }

  /** Lets waiting requests in, and refuses those that would wait beyond their time. */
  processQueues(): void {
    for (const queue of this.queues.values()) {
      queue.admitWaiting();
      queue.rejectOverdue();
    }
  }

  /** The route of a request; throws where there is none or none of its servers is usable. */
  private usableRoute({ kind, path, excluded }: PlacementRequest): Route {
    const route = this.findRoute(kind, path);
    if (!route) throw new AdmissionError('no-route', `no route takes ${kind}s at ${path}`);
    if (!this.placement.hasUsableServer(route, excluded))
      throw new AdmissionError('no-server', `no server of route ${route.name} is usable`);
    return route;
  }

  private queueOf(route: Route): AdmissionQueue<Server> {
    const pools = route.shares
      .map(({ pool }) => pool)
      .sort()
      .join(' ');
    const queue =
      this.queues.get(pools) ??
      new AdmissionQueue<Server>(
        this.clock,
        () => this.compiledState()?.config?.bounds.queue ?? defaultQueueLimit,
      );
    this.queues.set(pools, queue);
    return queue;
  }
}
