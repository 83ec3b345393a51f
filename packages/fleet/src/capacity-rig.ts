/** The simulated deployment that sweeps measure. */
import { reduceState, Server } from '@tillerstair/state';
import { stormConfig, World, type ObservedMessage, type WorldOptions } from '@tillerstair/sim';

/** Which process sent or received a message; `loop` is between the two processes of a front machine. */
export type Role = 'master' | 'control' | 'store' | 'agent' | 'proxy' | 'loop';

/** How many messages and bytes there were, by role and by role and kind. */
export interface Tally {
  readonly messages: ReadonlyMap<string, number>;
  readonly bytes: ReadonlyMap<string, number>;
}

const add = (m: Map<string, number>, k: string, by: number): void => {
  m.set(k, (m.get(k) ?? 0) + by);
};

/** So many servers, seven of eight in the pool of models. */
export const serversOf = (count: number): readonly Server[] =>
  Array.from({ length: count }, (_, n) =>
    Server.parse({
      id: `server-${String(n).padStart(4, '0')}`,
      pool: n % 8 === 7 ? 'shop' : 'models',
      url: `http://10.0.${n >> 8}.${n & 255}:8000`,
      draining: false,
      down: false,
    }),
  );

/** A configuration on a version, with so many routes more than the usual ones. */
export const configOf = (base: number, routes: number): string =>
  stormConfig({ base, turnPools: ['models'], callPool: 'shop', extraRoutes: routes });

/** The machines of a sweep, unless it changes their number. */
export const rigSizes: WorldOptions = { controls: 5, stores: 3, fronts: 6, slots: 64 };

/** A whole hollow fleet on the simulator's clock: real membership, publish, feed and sync code, no traffic of its own. */
export class Rig {
  private version = 1;

  private constructor(
    readonly w: World,
    private routes: number,
  ) {}

  static async raise(sizes: WorldOptions, servers: number, routes = 3): Promise<Rig> {
    const w = new World(1, sizes);
    await w.startServing((base) => configOf(base, routes), []);
    const rig = new Rig(w, routes);
    const lead = w.master?.control?.zen.leading;
    if (!lead) throw new Error('no master');
    const c = await w.clock.finish(
      'servers',
      lead.submit((s) =>
        serversOf(servers).reduce((t, server) => reduceState(t, { kind: 'server', server }), s),
      ),
      20000,
    );
    await w.clock.finish('servers in force', lead.waitUntilInForce(c), 20000);
    await rig.quiet();
    return rig;
  }

  /** Runs until no state was committed for five seconds. */
  async quiet(): Promise<void> {
    for (let was = -1; was !== this.w.committed?.version;) {
      was = this.w.committed?.version ?? 0;
      await this.w.clock.run(5000);
    }
  }

  roleOf(addr: string): Role {
    if (addr.endsWith('/loop') || addr.endsWith('/feed')) return 'loop';
    if (addr.endsWith('/data')) return 'proxy';
    if (addr.startsWith('store')) return 'store';
    if (addr.startsWith('front')) return 'agent';
    return addr === this.w.master?.addr ? 'master' : 'control';
  }

  /** What each role sent and received, under `role` and `role kind`, while `work` ran. */
  async tally(work: () => Promise<unknown>): Promise<Tally> {
    const messages = new Map<string, number>();
    const bytes = new Map<string, number>();
    const count = (role: Role, m: ObservedMessage): void => {
      for (const k of [role, `${role} ${m.kind}`]) {
        add(messages, k, 1);
        add(bytes, k, m.bytes);
      }
    };
    this.w.net.onMessage = (m) => {
      const from = this.roleOf(m.from);
      const to = this.roleOf(m.to);
      count(from, m);
      if (to !== from || from !== 'loop') count(to, m);
      add(messages, `kind ${m.kind}`, 1);
      add(bytes, `kind ${m.kind}`, m.bytes);
    };
    await work();
    this.w.net.onMessage = undefined;
    return { messages, bytes };
  }

  rest(ms: number): Promise<Tally> {
    return this.tally(() => this.w.clock.run(ms));
  }

  /** Hands in a configuration with one route more; the time until it is told in force, in ms. */
  async reconfigure(): Promise<number> {
    const { w } = this;
    const t0 = w.clock.now();
    const put = await w.operate(
      'PUT',
      '/v1/config',
      configOf(this.version, ++this.routes),
      w.master,
    );
    if (put.status !== 200) throw new Error(`config: ${JSON.stringify(put)}`);
    this.version++;
    return w.clock.now() - t0;
  }

  async mark(n: number): Promise<void> {
    const r = await this.w.operate(
      'POST',
      `/v1/servers/server-${String(n).padStart(4, '0')}/draining`,
      '',
      this.w.master,
    );
    if (r.status !== 200) throw new Error(`draining: ${JSON.stringify(r)}`);
  }
}

/** The value of a key; 0 where there is none. */
export const of = (m: ReadonlyMap<string, number>, k: string): number => m.get(k) ?? 0;
