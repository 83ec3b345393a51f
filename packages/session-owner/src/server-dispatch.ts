/**
 * Assigns servers to requests: an admission queue in front of the placement, one for each set of pools. Routes with the
 * same set of pools share a queue; a request that only one pool may run waits in the queue of that pool.
 *
 * Owns the queues. A server is assigned only under a valid read lease and only if the newest state lists it in a pool
 * of the route; `mayRun` checks both again before anything is sent.
 */
import { findRoute, type Route, type RouteKind, type Server } from '@tillerstair/state';
import { AdmissionError, type Clock } from '@tillerstair/wire';
import { AdmissionQueue } from './admission-queue.js';
import type { PlacementRequest, ServerDispatcher } from './attempt-machine.js';
import type { Placement } from './placement.js';
import type { CompiledState } from './compiled-state.js';

/** Maximum number of waiting requests of each class in a queue if there is no configuration. */
const defaultQueueLimit = 256;

/** The route with one of its pools alone; without pools if the route does not lead there. */
const restrictToPool = (route: Route, poolName: string): Route => ({
  ...route,
  shares: route.shares.filter(({ pool }) => pool === poolName),
});

/** Dependencies of a `ServerDispatch`. */
export interface ServerDispatchOptions {
  readonly clock: Clock;
  readonly placement: Placement;
  /** The newest state and configuration; undefined before the first publish. */
  readonly compiledState: () => CompiledState | undefined;
  /** Whether the read lease is valid now. */
  readonly leaseValid: () => boolean;
}

/** The admission queues of all sets of pools, in front of the placement. */
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

  /** Number of requests that wait for a server, in all queues. */
  get waiting(): number {
    return [...this.queues.values()].reduce((sum, queue) => sum + queue.waiting, 0);
  }

  /** The route that matches requests of this kind at this path. */
  findRoute(kind: RouteKind, path: string): Route | undefined {
    const compiledState = this.compiledState();
    return compiledState && findRoute(compiledState.routes, kind, path);
  }

  /**
   * Resolves with a server at which the request counts as in flight. Rejects with an `AdmissionError` if there is no
   * route, no usable server, or no free server in time, and with a `RequestCancelledError` if `signal` aborts.
   */
  async place(request: PlacementRequest): Promise<Server> {
    const { promptParts, stickyPool, excluded, timeoutMs, signal } = request;
    const route = this.usableRoute(request);
    const pick = (): Server | undefined => {
      if (!this.leaseValid()) return undefined;
      const currentRoute = this.usableRoute(request);
      const server = this.placement.pick(currentRoute, promptParts, stickyPool, excluded);
      if (server) this.placement.begin(server, promptParts);
      return server;
    };
    return this.queueOf(route).enter({ isUrgent: route.urgent, timeoutMs, signal, pick });
  }

  /** Whether the read lease, the route and the cluster state allow a request to be sent to this server now. */
  mayRun(server: Server, kind: RouteKind, path: string): boolean {
    const route = this.findRoute(kind, path);
    return this.leaseValid() && route !== undefined && this.placement.isAllowed(server, route);
  }

  /** Records the end of a request at a server and admits waiting requests. */
  release(server: Server, healthy: boolean, tokensPerSecond?: number): void {
    this.placement.end(server, healthy, tokensPerSecond);
    this.admitWaiting();
  }

  /** Admits waiting requests to free servers. */
  admitWaiting(): void {
    for (const queue of this.queues.values()) queue.admitWaiting();
  }

  /** Admits waiting requests, and rejects those that are expected to miss their deadline. */
  processQueues(): void {
    for (const queue of this.queues.values()) {
      queue.admitWaiting();
      queue.rejectOverdue();
    }
  }

  /**
   * The route of a request, restricted to its required pool if there is one. Throws an `AdmissionError` if there is no
   * route, or if none of its servers is usable.
   */
  private usableRoute({ kind, path, requiredPool, excluded }: PlacementRequest): Route {
    const found = this.findRoute(kind, path);
    if (!found)
      throw new AdmissionError('no-route', `no route matches ${kind} requests at ${path}`);
    const route = requiredPool === '' ? found : restrictToPool(found, requiredPool);
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
