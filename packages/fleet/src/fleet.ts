/** A complete fleet of real processes on this host. */
import { mkdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { ExecutionLog, ModelServer, ServiceServer } from '@tillerstair/stand-ins';
import { freePorts, poolOf, zoneOf, type Site, type FleetSizes } from './layout.js';
import { ask, Operator } from './operator.js';
import { FleetProcess, type ProcessExitListener } from './proc.js';
import { Relay } from './relay.js';

/** A machine of the fleet: its addresses (host:port) and its processes. */
export interface Machine {
  readonly kind: 'control' | 'store' | 'front';
  /** Index among the machines of its kind. */
  readonly n: number;
  readonly addr: string;
  readonly http: string;
  /** Further advertised addresses: for a front, the one of its proxy's data connections. */
  readonly extraAddrs: readonly string[];
  readonly processes: readonly FleetProcess[];
}

/** The options of a fleet. */
export interface FleetSpec {
  /** The folder for settings, logs and data; it is emptied first. */
  readonly dir: string;
  readonly sizes: FleetSizes;
  readonly house: Site;
  /** Whether connections go through a relay that can cut them. */
  readonly withRelay: boolean;
  /** Whether turns are placed by prefix affinity. */
  readonly affinity: boolean;
  /** Whether server weights are tuned; true by default. */
  readonly tuning?: boolean;
  readonly log: 'debug' | 'info' | 'warn' | 'error';
  /** Additional settings of all programs. */
  readonly extraSettings?: object;
  /** Additional settings of front-proxies and front-agents. */
  readonly extraFrontSettings?: object;
  /** Called for each process that exits, for whatever reason. */
  readonly onExit?: ProcessExitListener;
}

const portsPerMachine = 7;

/**
 * Polls every 50 ms until `ready` holds, and returns how long it took in ms; throws after `within` ms, naming `what`.
 */
export const until = async (
  what: string,
  within: number,
  ready: () => Promise<boolean>,
): Promise<number> => {
  const startedAt = Date.now();
  for (;;) {
    if (await ready()) return Date.now() - startedAt;
    if (Date.now() - startedAt > within)
      throw new Error(`timed out waiting for ${what} after ${within} ms`);
    await new Promise((done) => setTimeout(done, 50));
  }
};

/** The processes and stand-in servers of a fleet; `close` ends all of them. */
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

  /** The machines of a kind that were not removed. */
  machinesOf(kind: Machine['kind']): readonly Machine[] {
    return this.machines.filter((machine) => machine.kind === kind && !this.removed.has(machine));
  }

  /** The HTTP addresses of the fronts. */
  get fronts(): readonly string[] {
    return this.machinesOf('front').map((machine) => machine.http);
  }

  /** Creates the machines, which are not started, and starts the stand-in servers. */
  async build(): Promise<void> {
    rmSync(this.spec.dir, { recursive: true, force: true });
    mkdirSync(this.spec.dir, { recursive: true });
    const { controls, stores, fronts } = this.spec.sizes;
    const controlPorts = await freePorts(controls);
    this.seeds = controlPorts.slice(0, 3).map((port) => `127.0.0.1:${port}`);
    for (let n = 0; n < controls; n++) await this.add('control', controlPorts[n]);
    for (let n = 0; n < stores; n++) await this.add('store');
    for (let n = 0; n < fronts; n++) await this.add('front');
    const { house } = this.spec;
    const serverPorts = await freePorts(house.models + house.services);
    for (let n = 0; n < house.models; n++) {
      // Every fourth model server is older hardware, three times as slow.
      const slowness = n % 4 === 3 ? 3 : 1;
      const spec = {
        id: `${house.name}-model-${n}`,
        pool: poolOf(house.modelPool, n),
        addr: `127.0.0.1:${serverPorts[n] ?? 0}`,
        prefillMsPerKb: 6 * slowness,
        msPerToken: house.msPerToken * slowness,
        slots: 8,
        cacheKb: 2048,
      };
      this.models.push(new ModelServer(spec, this.executions));
    }
    for (let n = 0; n < house.services; n++) {
      const spec = {
        id: `${house.name}-service-${n}`,
        pool: poolOf(house.servicePool, n),
        addr: `127.0.0.1:${serverPorts[house.models + n] ?? 0}`,
        leastMs: 10,
        mostMs: 40,
      };
      this.services.push(new ServiceServer(spec, this.executions));
    }
    await Promise.all([...this.models, ...this.services].map((server) => server.start()));
  }

  /** Makes these machines the seeds of machines that are added later. */
  useSeeds(machines: readonly Machine[]): void {
    this.seeds = machines.map((machine) => machine.addr);
  }

  /** Adds a machine without starting it; `port` is the port of its internal address, a free one by default. */
  async add(kind: Machine['kind'], port?: number): Promise<Machine> {
    const index = this.machines.filter((machine) => machine.kind === kind).length;
    const ports = await freePorts(portsPerMachine);
    const [freeAddr, ...otherAddrs] = ports.map((free) => `127.0.0.1:${free}`);
    const addr = port === undefined ? freeAddr : `127.0.0.1:${port}`;
    const machine = await (kind === 'front'
      ? this.makeFront(index, addr, otherAddrs)
      : this.makeNode(kind, index, addr, otherAddrs));
    this.machines.push(machine);
    return machine;
  }

  /** The settings that all processes of a machine share; `index` decides its zone. */
  private commonSettings(index: number): object {
    return { zone: zoneOf(index), log: this.spec.log, ...this.spec.extraSettings };
  }

  /** The `listen` setting of a process whose advertised address is served by the relay; empty without a relay. */
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
    const processes = [new FleetProcess(name, `${kind}-node`, settings, dir, this.spec.onExit)];
    return { kind, n: index, addr, http, extraAddrs: [], processes };
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
    const processes = [
      new FleetProcess(`${name}-proxy`, 'front-proxy', proxy, join(dir, 'proxy'), this.spec.onExit),
      new FleetProcess(`${name}-agent`, 'front-agent', agent, join(dir, 'agent'), this.spec.onExit),
    ];
    return { kind: 'front', n: index, addr, http, extraAddrs: [data], processes };
  }

  /** Starts the processes of these machines, of all by default. */
  start(machines: readonly Machine[] = this.machines): void {
    for (const machine of machines) for (const process of machine.processes) process.start();
  }

  /** Ends the processes of these machines, of all by default, by a signal. */
  async stop(
    machines: readonly Machine[] = this.machines,
    how: NodeJS.Signals = 'SIGKILL',
  ): Promise<void> {
    await Promise.all(
      machines.flatMap((machine) => machine.processes.map((process) => process.end(how))),
    );
  }

  /** Kills a machine and leaves it out from then on. */
  async remove(machine: Machine): Promise<void> {
    await this.stop([machine]);
    this.removed.add(machine);
  }

  /** Registers every stand-in server. */
  async register(): Promise<void> {
    for (const server of [...this.models, ...this.services])
      await this.registerOne(server.options.id, server.options.pool, server.options.addr);
  }

  /** Registers a server at `addr` (host:port), and retries for 15 s. */
  async registerOne(id: string, pool: string, addr: string): Promise<void> {
    await until(`the registration of server ${id}`, 15000, async () => {
      const reply = await this.operator.request(
        'PUT',
        `/v1/servers/${id}`,
        JSON.stringify({ pool, url: `http://${addr}` }),
      );
      return reply.status === 200;
    });
  }

  /** The control that the controls report as master; undefined if none is reported or its processes do not run. */
  async master(): Promise<Machine | undefined> {
    for (const control of this.machinesOf('control')) {
      const reply = await ask('GET', `http://${control.http}/ready`, '', 500);
      const body = JSON.stringify(reply.body);
      const master = this.machinesOf('control').find((candidate) =>
        body.includes(`master ${candidate.addr}"`),
      );
      if (master && master.processes.every((process) => process.running)) return master;
    }
    return undefined;
  }

  /** Whether every machine of a kind reports that it is ready. */
  async ready(kind: Machine['kind']): Promise<boolean> {
    const replies = await Promise.all(
      this.machinesOf(kind).map((machine) => ask('GET', `http://${machine.http}/ready`, '', 500)),
    );
    return replies.every((reply) => reply.status === 200);
  }

  /** Kills all processes, and stops the stand-in servers and the relay. */
  async close(): Promise<void> {
    for (const machine of this.machines) for (const process of machine.processes) process.resume();
    await this.stop();
    await Promise.all([...this.models, ...this.services].map((server) => server.stop()));
    await this.relay.close();
  }
}
