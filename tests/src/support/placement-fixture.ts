/** Placement over a list of servers whose load and draining a test sets, in simulated time. */
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

export const pollIntervalMs = 100;
export const loadValidForMs = 400;
export const retryAfterMs = 1000;
export const maxInFlightPerServer = 2;

const unused = (): never => {
  throw new Error('a placement test sends nothing');
};

export class PlacementFixture {
  readonly clock = new SimClock();
  /** Asked servers, in order, and what each says; one that is not here fails. */
  readonly polledServerIds: string[] = [];
  readonly statuses = new Map<string, ServerStatus>();
  readonly placement: Placement;
  readonly route: Route;
  private state: State;

  constructor(servers: readonly Server[], poll: number = pollIntervalMs) {
    const { config } = checkConfig(configText);
    const route = config?.routes[0];
    if (!route) throw new Error('no route');
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
      generate: unused,
      act: unused,
      pass: unused,
      load: (server) => {
        this.polledServerIds.push(server.id);
        const load = this.statuses.get(server.id);
        return load ? Promise.resolve(load) : Promise.reject(new Error('no reply'));
      },
    };
    this.placement = new Placement({
      clock: this.clock,
      backend,
      policies: placementPolicies(true),
      bounds: {
        pollIntervalMs: poll,
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

  /** All servers are idle and have just said so. */
  static async createPolled(servers: readonly Server[]): Promise<PlacementFixture> {
    const fixture = new PlacementFixture(servers);
    for (const { id } of servers) fixture.statuses.set(id, { busy: 0, draining: false });
    await fixture.placement.poll();
    return fixture;
  }

  list(server: Server): void {
    this.state = reduceState(this.state, { kind: 'server', server });
  }

  remove(id: string): void {
    this.state = reduceState(this.state, { kind: 'server-removed', id });
  }

  pick(skip: readonly string[] = []): string | undefined {
    return this.placement.pick(this.route, [], '', new Set(skip))?.id;
  }

  hasUsableServer(skip: readonly string[] = []): boolean {
    return this.placement.hasUsableServer(this.route, new Set(skip));
  }

  recordFailures(server: Server, times: number): void {
    for (let n = 0; n < times; n++) this.placement.end(server, false);
  }
}
