/** A placement in simulated time, with servers whose load and draining state the test sets. */
import {
  placementPolicies,
  Placement,
  compileState,
  type Backend,
  type ServerStatus,
} from '@tillerstair/session-owner';
import { SimClock } from '@tillerstair/sim';
import {
  bootstrapState,
  checkConfig,
  configDigest,
  reduceState,
  type Route,
  type Server,
  type State,
} from '@tillerstair/state';

const configText = JSON.stringify({
  base: 0,
  pools: [
    { name: 'first', kind: 'model' },
    { name: 'second', kind: 'model' },
    { name: 'unshared', kind: 'model' },
  ],
  routes: [
    {
      name: 'chat',
      match: { kind: 'turn', path: '/chat' },
      shares: [
        { pool: 'first', share: 1 },
        { pool: 'second', share: 1 },
        { pool: 'unshared', share: 0 },
      ],
    },
  ],
});

/** A server of pool `first` that is neither draining nor down, with the given changes. */
export const makeServer = (id: string, change: Partial<Server> = {}): Server => ({
  id,
  pool: 'first',
  url: `http://127.0.0.1:1/${id}`,
  draining: false,
  down: false,
  zone: '',
  places: 0,
  ...change,
});

/** Interval between polls, in ms. */
export const pollIntervalMs = 100;
/** Time for which a polled or reported load is valid, in ms. */
export const loadValidForMs = 400;
/** Time after its last failure when an unhealthy server may be tried again, in ms. */
export const retryAfterMs = 1000;
/** Maximum number of requests in flight at a server. */
export const maxInFlightPerServer = 2;

const unexpectedRequest = (): never => {
  throw new Error('a placement test must not send a request');
};

/** A `Placement` over servers that reply to polls as the test says. */
export class PlacementFixture {
  readonly clock = new SimClock();
  /** Ids of the polled servers, in order. */
  readonly polledServerIds: string[] = [];
  /** Replies to polls by server id; a poll of any other server fails. */
  readonly statuses = new Map<string, ServerStatus>();
  readonly placement: Placement;
  readonly route: Route;
  private state: State;

  constructor(servers: readonly Server[], intervalMs: number = pollIntervalMs) {
    const { config } = checkConfig(configText);
    const route = config?.routes[0];
    if (!route) throw new Error('the test configuration has no route');
    this.route = route;
    this.state = {
      ...bootstrapState('test', [], 1),
      config: {
        version: 1,
        text: configText,
        digest: configDigest(configText),
        compiled: JSON.stringify(config),
        changeId: '',
      },
    };
    for (const server of servers) this.list(server);
    const backend: Backend = {
      generate: unexpectedRequest,
      act: unexpectedRequest,
      pass: unexpectedRequest,
      load: (server) => {
        this.polledServerIds.push(server.id);
        const status = this.statuses.get(server.id);
        return status
          ? Promise.resolve(status)
          : Promise.reject(new Error(`server ${server.id} does not reply`));
      },
    };
    this.placement = new Placement({
      clock: this.clock,
      backend,
      policies: placementPolicies(true),
      bounds: {
        pollIntervalMs: intervalMs,
        pollTimeoutMs: 50,
        retryUnhealthyAfterMs: retryAfterMs,
        pollValidForMs: loadValidForMs,
        reportedLoadValidForMs: loadValidForMs,
      },
      compiledState: () => compileState(this.state, undefined),
      maxInFlightPerServer: () => maxInFlightPerServer,
      frontId: 'owner',
    });
  }

  /** A fixture whose servers have all just replied to a poll that they are idle. */
  static async createPolled(servers: readonly Server[]): Promise<PlacementFixture> {
    const fixture = new PlacementFixture(servers);
    for (const { id } of servers) fixture.statuses.set(id, { busy: 0, draining: false });
    await fixture.placement.poll();
    return fixture;
  }

  /** Adds a server to the cluster state, or replaces the one with its id. */
  list(server: Server): void {
    this.state = reduceState(this.state, { kind: 'server', server });
  }

  remove(id: string): void {
    this.state = reduceState(this.state, { kind: 'server-removed', id });
  }

  /** The id of the server that is picked for a request without a prompt. */
  pick(skip: readonly string[] = []): string | undefined {
    return this.placement.pick(this.route, [], '', new Set(skip))?.id;
  }

  hasUsableServer(skip: readonly string[] = []): boolean {
    return this.placement.hasUsableServer(this.route, new Set(skip));
  }

  /** Records consecutive failures of requests to a server. */
  recordFailures(server: Server, times: number): void {
    for (let i = 0; i < times; i++) this.placement.end(server, false);
  }
}
