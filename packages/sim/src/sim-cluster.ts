/** The machines of one simulated world: adds, starts and finds them, and configures them for serving. */
import type { OperatorResponse } from '@tillerstair/control';
import type { State } from '@tillerstair/state';
import { zenBounds, type ConfiguredBounds, type ZenBounds } from '@tillerstair/zen';
import { Machine } from './machine.js';
import { seededRng } from './random.js';
import { SimClock } from './sim-clock.js';
import type { SimServerList } from './sim-server-list.js';
import { SimNet } from './sim-net.js';
import { SimServers } from './sim-servers.js';

/** Options of a world: the number of machines of each kind, and the settings of its deployment. */
export interface WorldOptions {
  readonly controls: number;
  readonly stores: number;
  readonly fronts: number;
  /** Number of slots; 8 by default. */
  readonly slots?: number;
  /** Configured time bounds of the deployment, in ms. */
  readonly configuredBounds?: ConfiguredBounds;
  /** Number of simultaneous store losses that the cluster is bootstrapped to withstand; 1 by default. */
  readonly losses?: number;
  /** Number of zones that the machines are spread over; 3 by default. */
  readonly zones?: number;
}

const defaultBounds: ConfiguredBounds = {
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 1000,
  failureTimeout: 3000,
};

/** The machines of one world, with the clock, network and servers that they share. */
export class SimCluster {
  readonly rng;
  readonly clock = new SimClock();
  readonly net;
  readonly servers;
  readonly configuredBounds: ConfiguredBounds;
  readonly bounds: ZenBounds;
  readonly zones: number;
  /** Seed addresses for settings that are read from now on; while unset, the first three controls are the seeds. */
  namedSeeds: readonly string[] | undefined;
  /** Number of slots of the cluster. */
  readonly slots: number;
  readonly losses: number;
  /** Logs longer than this many bytes are rewritten. */
  readonly maxLogBytes = 1 << 16;
  /** Limit of the hints that a store keeps. */
  hintsMost = 10000;
  /** Retention time of idle turns, in ms. */
  retentionMs = 3600000;
  /** The list of servers that controls read; while unset, operators add the servers. */
  list: SimServerList | undefined;
  readonly machines: Machine[] = [];
  /** Called, if set, with each log line of all machines. */
  trace: ((line: string) => void) | undefined;
  /** Whether machines that start from now on get clocks that run up to 3 percent fast or slow. */
  skewClocks = false;
  private idCount = 0;
  private readonly machineCounts = new Map<Machine['kind'], number>();

  constructor(
    readonly seed: number,
    options: WorldOptions,
  ) {
    this.rng = seededRng(seed);
    this.configuredBounds = options.configuredBounds ?? defaultBounds;
    this.bounds = zenBounds(this.configuredBounds);
    this.slots = options.slots ?? 8;
    this.losses = options.losses ?? 1;
    this.zones = options.zones ?? 3;
    this.net = new SimNet(this.clock, this.rng);
    this.servers = new SimServers(this.clock, this.rng);
    for (let index = 0; index < options.controls; index++) this.add('control');
    for (let index = 0; index < options.stores; index++) this.add('store');
    for (let index = 0; index < options.fronts; index++) this.add('front');
  }

  /** A number that is unique in this world. */
  protected nextIdNumber(): number {
    return ++this.idCount;
  }

  /** An id that is unique in this world. */
  freshId(): string {
    return `${Math.floor(this.rng() * 36 ** 4)
      .toString(36)
      .padStart(4, '0')}${this.nextIdNumber()}`;
  }

  /** The machines of a kind, in the order in which they were added. */
  of(kind: Machine['kind']): readonly Machine[] {
    return this.machines.filter((machine) => machine.kind === kind);
  }

  /** The machine at an address; throws if there is none. */
  at(addr: string): Machine {
    const machine = this.machines.find((candidate) => candidate.addr === addr);
    if (!machine) throw new Error(`there is no machine ${addr} in the world`);
    return machine;
  }

  /** Adds a machine without starting it. */
  add(kind: Machine['kind'], seeds?: readonly string[]): Machine {
    const index = this.machineCounts.get(kind) ?? 0;
    this.machineCounts.set(kind, index + 1);
    const machine = new Machine(this, kind, index, seeds);
    this.machines.push(machine);
    return machine;
  }

  /** Removes a machine from the world; its processes must have ended. */
  remove(machine: Machine): void {
    this.machines.splice(this.machines.indexOf(machine), 1);
  }

  /** The seed addresses for settings that are read now. */
  get seeds(): readonly string[] {
    return (
      this.namedSeeds ??
      this.of('control')
        .slice(0, 3)
        .map((machine) => machine.addr)
    );
  }

  /** The state that the master has committed; undefined while there is no master. */
  get committed(): State | undefined {
    return this.master?.control?.zen.leading?.committed;
  }

  /** Ids of the nodes that are being drained or emptied. */
  get retiringNodes(): ReadonlySet<string> {
    return new Set(this.committed?.retiring.keys());
  }

  /** Starts the given machines, by default all. */
  start(machines: readonly Machine[] = this.machines): void {
    for (const machine of machines) machine.start();
  }

  /** All controls that act as master, in any term. */
  masters(): readonly Machine[] {
    return this.of('control').filter(
      (machine) =>
        machine.up &&
        !machine.incarnation.frozen &&
        machine.control?.zen.leading?.committed !== undefined,
    );
  }

  /** The master of the newest term. */
  get master(): Machine | undefined {
    return [...this.masters()].sort(
      (a, b) => (b.control?.zen.term ?? 0) - (a.control?.zen.term ?? 0),
    )[0];
  }

  /** The fronts that would answer a readiness check. */
  readyFronts(): readonly Machine[] {
    return this.of('front').filter(
      (machine) =>
        machine.up &&
        !machine.incarnation.frozen &&
        machine.front?.owner.readiness().ready === true,
    );
  }

  /** Sends an operator's request to `at`, the master or any control that is up; throws after `timeoutMs`. */
  async operate(
    method: string,
    path: string,
    body = '',
    at?: Machine,
    timeoutMs = 20000,
  ): Promise<OperatorResponse> {
    const machine = at ?? this.master ?? this.of('control').find((control) => control.up);
    const node = machine?.control;
    if (!node) return { status: 0, body: null };
    return this.clock.finish(`${method} ${path}`, node.operate({ method, path, body }), timeoutMs);
  }

  /** Starts all machines, sets the configuration and the servers, and waits until all fronts serve with them. */
  async startServing(
    configText: (base: number) => string,
    servers: readonly (readonly [string, string])[],
  ): Promise<void> {
    this.start();
    await this.clock.until('a master', () => this.master !== undefined, 12000);
    const changed = await this.operate('PUT', '/v1/config', configText(0));
    if (changed.status !== 200)
      throw new Error(`the first configuration was not accepted: ${JSON.stringify(changed)}`);
    for (const [id, pool] of servers) {
      const added = await this.operate(
        'PUT',
        `/v1/servers/${id}`,
        JSON.stringify({ pool, url: 'http://127.0.0.1:1' }),
      );
      if (added.status !== 200)
        throw new Error(`server ${id} of pool ${pool} was not added: ${JSON.stringify(added)}`);
    }
    const fronts = this.of('front').length;
    await this.clock.until(
      'fronts',
      () =>
        this.readyFronts().length === fronts &&
        this.slotsComplete() &&
        this.frontsKnowServers(servers.length),
      20000,
    );
  }

  private frontsKnowServers(servers: number): boolean {
    return this.of('front').every(
      (machine) => machine.front?.owner.current?.state.servers.size === servers,
    );
  }

  /** Whether each slot has an owner and all its replicas. */
  slotsComplete(): boolean {
    const state = this.committed;
    return (
      state !== undefined &&
      state.slots.every((slot) => state.nodes.has(slot.owner) && slot.joiningReplicas.length === 0)
    );
  }

  /** Whether each slot has an owner. */
  slotsOwned(): boolean {
    const state = this.committed;
    return state !== undefined && state.slots.every((slot) => state.nodes.has(slot.owner));
  }
}
