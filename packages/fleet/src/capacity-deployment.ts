/** The simulated deployment that capacity sweeps measure, and its servers and configurations. */
import { reduceState, Server } from '@tillerstair/state';
import { stormConfig, World, type ObservedMessage, type WorldOptions } from '@tillerstair/sim';

/** The process that sent or received a message; `loop` is the loopback between the two processes of a front machine. */
export type Role = 'master' | 'control' | 'store' | 'agent' | 'proxy' | 'loop';

/**
 * Counts of messages and bytes, keyed by role (`store`), role and kind (`store zen/ping`) and kind (`kind zen/ping`).
 */
export interface Tally {
  readonly messages: ReadonlyMap<string, number>;
  readonly bytes: ReadonlyMap<string, number>;
}

/** Adds an amount to the count of a key. */
const add = (counts: Map<string, number>, key: string, amount: number): void => {
  counts.set(key, (counts.get(key) ?? 0) + amount);
};

/** Returns so many servers: seven of eight in the pool `models`, the rest in `shop`. */
export const testServers = (count: number): readonly Server[] =>
  Array.from({ length: count }, (_, index) =>
    Server.parse({
      id: `server-${String(index).padStart(4, '0')}`,
      pool: index % 8 === 7 ? 'shop' : 'models',
      url: `http://10.0.${index >> 8}.${index & 255}:8000`,
      draining: false,
      down: false,
    }),
  );

/** Returns a configuration based on the version `base`, with `routes` extra routes. */
export const configText = (base: number, routes: number): string =>
  stormConfig({ base, turnPools: ['models'], callPool: 'shop', extraRoutes: routes });

/** The machine and slot counts of a sweep that does not vary them. */
export const defaultSizes: WorldOptions = { controls: 5, stores: 3, fronts: 6, slots: 64 };

/**
 * A deployment on the simulator's clock. Membership, publishing, feeds and syncs run their real code; there is no
 * traffic.
 */
export class SimulatedDeployment {
  private version = 1;

  private constructor(
    readonly simulation: World,
    private routes: number,
  ) {}

  /** Starts a deployment, registers its servers, and waits until it is idle; throws if no master is elected. */
  static async start(
    sizes: WorldOptions,
    servers: number,
    routes = 3,
  ): Promise<SimulatedDeployment> {
    const simulation = new World(1, sizes);
    await simulation.startServing((base) => configText(base, routes), []);
    const deployment = new SimulatedDeployment(simulation, routes);
    const leader = simulation.master?.control?.zen.leading;
    if (!leader) throw new Error(`no master was elected among ${sizes.controls} controls`);
    const change = await simulation.clock.finish(
      'servers',
      leader.submit((state) =>
        testServers(servers).reduce(
          (next, server) => reduceState(next, { kind: 'server', server }),
          state,
        ),
      ),
      20000,
    );
    await simulation.clock.finish('servers in force', leader.waitUntilInForce(change), 20000);
    await deployment.waitUntilIdle();
    return deployment;
  }

  /** Runs until no state was committed for five simulated seconds. */
  async waitUntilIdle(): Promise<void> {
    for (let previousVersion = -1; previousVersion !== this.simulation.committed?.version;) {
      previousVersion = this.simulation.committed?.version ?? 0;
      await this.simulation.clock.run(5000);
    }
  }

  /** The role of the process at an address. */
  roleOf(addr: string): Role {
    if (addr.endsWith('/loop') || addr.endsWith('/feed')) return 'loop';
    if (addr.endsWith('/data')) return 'proxy';
    if (addr.startsWith('store')) return 'store';
    if (addr.startsWith('front')) return 'agent';
    return addr === this.simulation.master?.addr ? 'master' : 'control';
  }

  /** Counts the messages that each role sent and received while `work` ran. */
  async tally(work: () => Promise<unknown>): Promise<Tally> {
    const messages = new Map<string, number>();
    const bytes = new Map<string, number>();
    const count = (role: Role, message: ObservedMessage): void => {
      for (const key of [role, `${role} ${message.kind}`]) {
        add(messages, key, 1);
        add(bytes, key, message.bytes);
      }
    };
    this.simulation.net.onMessage = (message) => {
      const from = this.roleOf(message.from);
      const to = this.roleOf(message.to);
      count(from, message);
      if (to !== from || from !== 'loop') count(to, message);
      add(messages, `kind ${message.kind}`, 1);
      add(bytes, `kind ${message.kind}`, message.bytes);
    };
    await work();
    this.simulation.net.onMessage = undefined;
    return { messages, bytes };
  }

  /** Counts the messages of `ms` simulated ms without traffic. */
  tallyIdle(ms: number): Promise<Tally> {
    return this.tally(() => this.simulation.clock.run(ms));
  }

  /** Submits a configuration with one more route; returns the time until it is reported in force, in ms. */
  async reconfigure(): Promise<number> {
    const { simulation } = this;
    const startedAt = simulation.clock.now();
    const reply = await simulation.operate(
      'PUT',
      '/v1/config',
      configText(this.version, ++this.routes),
      simulation.master,
    );
    if (reply.status !== 200)
      throw new Error(`the configuration was not accepted: ${JSON.stringify(reply)}`);
    this.version++;
    return simulation.clock.now() - startedAt;
  }

  /** Marks a server as draining. */
  async markDraining(serverIndex: number): Promise<void> {
    const reply = await this.simulation.operate(
      'POST',
      `/v1/servers/server-${String(serverIndex).padStart(4, '0')}/draining`,
      '',
      this.simulation.master,
    );
    if (reply.status !== 200)
      throw new Error(`the draining mark was not accepted: ${JSON.stringify(reply)}`);
  }
}

/** The count of a key; 0 if there is none. */
export const countOf = (counts: ReadonlyMap<string, number>, key: string): number =>
  counts.get(key) ?? 0;
