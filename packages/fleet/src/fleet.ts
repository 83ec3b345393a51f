/** A whole fleet of real processes on this machine. */
import { mkdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { ExecutionLog, ModelServer, ServiceServer } from '@tillerstair/stand-ins';
import { freePorts, poolOf, zoneOf, type Site, type FleetSizes } from './layout.js';
import { ask, Operator } from './operator.js';
import { FleetProcess, type ProcessExitListener } from './proc.js';
import { Relay } from './relay.js';

/** A machine of the fleet: its addresses and its processes. */
export interface Machine {
  readonly kind: 'control' | 'store' | 'front';
  readonly n: number;
  readonly addr: string;
  readonly http: string;
  readonly extraAddrs: readonly string[];
  readonly processes: readonly FleetProcess[];
}

/** How a fleet is set up. */
export interface FleetSpec {
  readonly dir: string;
  readonly sizes: FleetSizes;
  readonly house: Site;
  readonly withRelay: boolean;
  readonly affinity: boolean;
  readonly tuning?: boolean;
  readonly log: 'debug' | 'info' | 'warn' | 'error';
  /** Further settings of all programs. */
  readonly extraSettings?: object;
  /** Further settings of front-proxies and front-agents. */
  readonly extraFrontSettings?: object;
  /** Called for each process that ended, for whatever reason. */
  readonly onExit?: ProcessExitListener;
}

const portsPerMachine = 7;

/** Polls until a condition holds, and returns how long it took in ms; throws after `within` ms. */
export const until = async (
  what: string,
  within: number,
  ready: () => Promise<boolean>,
): Promise<number> => {
  const t0 = Date.now();
  for (;;) {
    if (await ready()) return Date.now() - t0;
    if (Date.now() - t0 > within) throw new Error(`${what}: not within ${within} ms`);
    await new Promise((done) => setTimeout(done, 50));
  }
};

/** Processes and stand-in servers on this machine; `close` ends all of them. */
export class Fleet {
  readonly executions = new ExecutionLog();
  readonly relay = new Relay();
  readonly models: ModelServer[] = [];
  readonly services: ServiceServer[] = [];
  private readonly machines: Machine[] = [];
  private readonly removed = new Set<Machine>();
  private seeds: readonly string[] = [];
  readonly operator = new Operator(() => this.machinesOf('control').map((m) => m.http));

  constructor(readonly spec: FleetSpec) {}

  machinesOf(kind: Machine['kind']): readonly Machine[] {
    return this.machines.filter((m) => m.kind === kind && !this.removed.has(m));
  }

  get fronts(): readonly string[] {
    return this.machinesOf('front').map((m) => m.http);
  }

  async build(): Promise<void> {
    rmSync(this.spec.dir, { recursive: true, force: true });
    mkdirSync(this.spec.dir, { recursive: true });
    const { controls, stores, fronts } = this.spec.sizes;
    const ports = await freePorts(controls);
    this.seeds = ports.slice(0, 3).map((p) => `127.0.0.1:${p}`);
    for (let n = 0; n < controls; n++) await this.add('control', ports[n]);
    for (let n = 0; n < stores; n++) await this.add('store');
    for (let n = 0; n < fronts; n++) await this.add('front');
    const { house } = this.spec;
    const servers = await freePorts(house.models + house.services);
    for (let n = 0; n < house.models; n++) {
      const old = n % 4 === 3 ? 3 : 1;
      const spec = {
        id: `${house.name}-model-${n}`,
        pool: poolOf(house.modelPool, n),
        addr: `127.0.0.1:${servers[n] ?? 0}`,
        prefillMsPerKb: 6 * old,
        msPerToken: house.msPerToken * old,
        slots: 8,
        cacheKb: 2048,
      };
      this.models.push(new ModelServer(spec, this.executions));
    }
    for (let n = 0; n < house.services; n++) {
      const spec = {
        id: `${house.name}-service-${n}`,
        pool: poolOf(house.servicePool, n),
        addr: `127.0.0.1:${servers[house.models + n] ?? 0}`,
        leastMs: 10,
        mostMs: 40,
      };
      this.services.push(new ServiceServer(spec, this.executions));
    }
    await Promise.all([...this.models, ...this.services].map((s) => s.start()));
  }

  useSeeds(machines: readonly Machine[]): void {
    this.seeds = machines.map((m) => m.addr);
  }

  /** Adds a machine, which is not started; `port` is the one of its inner address. */
  async add(kind: Machine['kind'], port?: number): Promise<Machine> {
    const index = this.machines.filter((machine) => machine.kind === kind).length;
    const ports = await freePorts(portsPerMachine);
    const [inner, ...others] = ports.map((free) => `127.0.0.1:${free}`);
    const addr = port === undefined ? inner : `127.0.0.1:${port}`;
    const machine = await (kind === 'front'
      ? this.makeFront(index, addr, others)
      : this.makeNode(kind, index, addr, others));
    this.machines.push(machine);
    return machine;
  }

  /** What all processes of the n-th machine are started with. */
  private commonSettings(index: number): object {
    return { zone: zoneOf(index), log: this.spec.log, ...this.spec.extraSettings };
  }

  /** Where a process listens, if a relay stands between it and its advertised address. */
  private async relayed(addr: string, listen: string): Promise<object> {
    if (!this.spec.withRelay) return {};
    await this.relay.serve(addr, listen);
    return { listen };
  }

  private async makeNode(
    kind: 'control' | 'store',
    index: number,
    addr: string,
    [listen, http]: readonly string[],
  ): Promise<Machine> {
    const name = `${kind}-${index}`;
    const dir = join(this.spec.dir, name);
    const settings = {
      ...this.commonSettings(index),
      ...(await this.relayed(addr, listen)),
      addr,
      http,
      seeds: this.seeds,
      data: join(dir, 'data'),
    };
    const procs = [new FleetProcess(name, `${kind}-node`, settings, dir, this.spec.onExit)];
    return { kind, n: index, addr, http, extraAddrs: [], processes: procs };
  }

  private async makeFront(
    index: number,
    addr: string,
    [listen, http, data, feed, agentHttp, dataListen]: readonly string[],
  ): Promise<Machine> {
    const name = `front-${index}`;
    const dir = join(this.spec.dir, name);
    const common = { ...this.commonSettings(index), ...this.spec.extraFrontSettings };
    const agent = {
      ...common,
      ...(await this.relayed(addr, listen)),
      addr,
      proxy: feed,
      http: agentHttp,
      seeds: this.seeds,
    };
    const proxy = {
      ...common,
      ...(await this.relayed(data, dataListen)),
      addr: data,
      feed,
      http,
      affinity: this.spec.affinity,
    };
    const procs = [
      new FleetProcess(`${name}-proxy`, 'front-proxy', proxy, join(dir, 'proxy'), this.spec.onExit),
      new FleetProcess(`${name}-agent`, 'front-agent', agent, join(dir, 'agent'), this.spec.onExit),
    ];
    return { kind: 'front', n: index, addr, http, extraAddrs: [data], processes: procs };
  }

  start(machines: readonly Machine[] = this.machines): void {
    for (const m of machines) for (const p of m.processes) p.start();
  }

  async stop(
    machines: readonly Machine[] = this.machines,
    how: NodeJS.Signals = 'SIGKILL',
  ): Promise<void> {
    await Promise.all(machines.flatMap((m) => m.processes.map((p) => p.end(how))));
  }

  async remove(m: Machine): Promise<void> {
    await this.stop([m]);
    this.removed.add(m);
  }

  async register(): Promise<void> {
    for (const s of [...this.models, ...this.services])
      await this.registerOne(s.options.id, s.options.pool, s.options.addr);
  }

  async registerOne(id: string, pool: string, addr: string): Promise<void> {
    await until(`registering ${id}`, 15000, async () => {
      const r = await this.operator.request(
        'PUT',
        `/v1/servers/${id}`,
        JSON.stringify({ pool, url: `http://${addr}` }),
      );
      return r.status === 200;
    });
  }

  async master(): Promise<Machine | undefined> {
    for (const m of this.machinesOf('control')) {
      const r = await ask('GET', `http://${m.http}/ready`, '', 500);
      const text = JSON.stringify(r.body);
      const found = this.machinesOf('control').find((x) => text.includes(`master ${x.addr}"`));
      if (found && found.processes.every((p) => p.running)) return found;
    }
    return undefined;
  }

  async ready(kind: Machine['kind']): Promise<boolean> {
    const all = await Promise.all(
      this.machinesOf(kind).map((m) => ask('GET', `http://${m.http}/ready`, '', 500)),
    );
    return all.every((r) => r.status === 200);
  }

  async close(): Promise<void> {
    for (const m of this.machines) for (const p of m.processes) p.resume();
    await this.stop();
    await Promise.all([...this.models, ...this.services].map((s) => s.stop()));
    await this.relay.close();
  }
}
