/** The machines of one simulated world: added, started, found by kind, brought up to serve. */
import type { OperatorResponse } from '@tillerstair/control';
import type { State } from '@tillerstair/state';
import { zenBounds, type ConfiguredBounds, type ZenBounds } from '@tillerstair/zen';
import { Machine } from './machine.js';
import { seededRng } from './random.js';
import { SimClock } from './sim-clock.js';
import type { SimServerList } from './sim-server-list.js';
import { SimNet } from './sim-net.js';
import { SimServers } from './sim-servers.js';

/** How many machines of each kind a world has, and the bounds of its deployment. */
export interface WorldOptions {
  readonly controls: number;
  readonly stores: number;
  readonly fronts: number;
  readonly slots?: number;
  /** Outer bounds of the deployment, in ms; the usual ones if left out. */
  readonly configuredBounds?: ConfiguredBounds;
  /** Losses of stores at once that the cluster is bootstrapped to bear. */
  readonly losses?: number;
  /** How many zones the machines are spread over; three if left out. */
  readonly zones?: number;
}

const usualOuter: ConfiguredBounds = {
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
  /** Names the seeds that settings hold from now on; the first three controls while unset. */
  namedSeeds: readonly string[] | undefined;
  /** Slots of the cluster. */
  readonly slots: number;
  readonly losses: number;
  /** Logs longer than this many bytes are written anew. */
  readonly rewriteMinBytes = 1 << 16;
  /** The most hints that a store has. */
  hintsMost = 10000;
  /** How long idle turns stay, in ms. */
  retentionMs = 3600000;
  /** The list of servers that controls read; servers are added by operators while unset. */
  list: SimServerList | undefined;
  readonly machines: Machine[] = [];
  /** Gets each line of all logs, while set. */
  trace: ((line: string) => void) | undefined;
  /** Whether machines that start from now on have clocks that run fast or slow. */
  skewClocks = false;
  private idCount = 0;
  private readonly machineCounts = new Map<Machine['kind'], number>();

  constructor(
    readonly seed: number,
    sizes: WorldOptions,
  ) {
    this.rng = seededRng(seed);
    this.configuredBounds = sizes.configuredBounds ?? usualOuter;
    this.bounds = zenBounds(this.configuredBounds);
    this.slots = sizes.slots ?? 8;
    this.losses = sizes.losses ?? 1;
    this.zones = sizes.zones ?? 3;
    this.net = new SimNet(this.clock, this.rng);
    this.servers = new SimServers(this.clock, this.rng);
    for (let n = 0; n < sizes.controls; n++) this.add('control');
    for (let n = 0; n < sizes.stores; n++) this.add('store');
    for (let n = 0; n < sizes.fronts; n++) this.add('front');
  }

  /** A number that no other caller of this world gets. */
  protected nextIdNumber(): number {
    return ++this.idCount;
  }

  /** An id that no other has. */
  freshId(): string {
    return `${Math.floor(this.rng() * 36 ** 4)
      .toString(36)
      .padStart(4, '0')}${this.nextIdNumber()}`;
  }

  /** The machines of a kind, in the order in which they were added. */
  of(kind: Machine['kind']): readonly Machine[] {
    return this.machines.filter((m) => m.kind === kind);
  }

  /** The machine at an address; throws if there is none. */
  at(addr: string): Machine {
    const m = this.machines.find((x) => x.addr === addr);
    if (!m) throw new Error(`no machine ${addr}`);
    return m;
  }

  /** Adds a machine, which is not started. */
  add(kind: Machine['kind'], seeds?: readonly string[]): Machine {
    const n = this.machineCounts.get(kind) ?? 0;
    this.machineCounts.set(kind, n + 1);
    const m = new Machine(this, kind, n, seeds);
    this.machines.push(m);
    return m;
  }

  /** Removes a machine from the world; its processes must have ended. */
  remove(m: Machine): void {
    this.machines.splice(this.machines.indexOf(m), 1);
  }

  /** The addresses that settings name as seeds now. */
  get seeds(): readonly string[] {
    return (
      this.namedSeeds ??
      this.of('control')
        .slice(0, 3)
        .map((m) => m.addr)
    );
  }

  /** What the master has committed; undefined while there is none. */
  get committed(): State | undefined {
    return this.master?.control?.zen.leading?.committed;
  }

  /** The nodes that are being drained or emptied. */
  get retiringNodes(): ReadonlySet<string> {
    return new Set(this.committed?.retiring.keys());
  }

  start(machines: readonly Machine[] = this.machines): void {
    for (const m of machines) m.start();
  }

  /** All controls that lead, in whatever term. */
  masters(): readonly Machine[] {
    return this.of('control').filter(
      (m) => m.up && !m.incarnation.frozen && m.control?.zen.leading?.committed !== undefined,
    );
  }

  /** The control that leads in the newest term. */
  get master(): Machine | undefined {
    return [...this.masters()].sort(
      (a, b) => (b.control?.zen.term ?? 0) - (a.control?.zen.term ?? 0),
    )[0];
  }

  /** The fronts that would answer a readiness check. */
  readyFronts(): readonly Machine[] {
    return this.of('front').filter(
      (m) => m.up && !m.incarnation.frozen && m.front?.owner.readiness().ready === true,
    );
  }

  /** Sends an operator's request to a control, the master if there is one; throws if it takes longer than `within` ms. */
  async operate(
    method: string,
    path: string,
    body = '',
    at?: Machine,
    within = 20000,
  ): Promise<OperatorResponse> {
    const m = at ?? this.master ?? this.of('control').find((x) => x.up);
    const node = m?.control;
    if (!node) return { status: 0, body: null };
    return this.clock.finish(`${method} ${path}`, node.operate({ method, path, body }), within);
  }

  /** Starts all machines and waits until they serve a configuration and know the servers. */
  async startServing(
    configText: (base: number) => string,
    servers: readonly (readonly [string, string])[],
  ): Promise<void> {
    this.start();
    await this.clock.until('a master', () => this.master !== undefined, 12000);
    const put = await this.operate('PUT', '/v1/config', configText(0));
    if (put.status !== 200) throw new Error(`config: ${JSON.stringify(put)}`);
    for (const [id, pool] of servers) {
      const r = await this.operate(
        'PUT',
        `/v1/servers/${id}`,
        JSON.stringify({ pool, url: 'http://127.0.0.1:1' }),
      );
      if (r.status !== 200) throw new Error(`server: ${JSON.stringify(r)}`);
    }
    const fronts = this.of('front').length;
    await this.clock.until(
      'fronts',
      () =>
        this.readyFronts().length === fronts &&
        this.slotsReplicated() &&
        this.frontsKnowServers(servers.length),
      20000,
    );
  }

  private frontsKnowServers(servers: number): boolean {
    return this.of('front').every((m) => m.front?.owner.current?.state.servers.size === servers);
  }

  /** Whether each slot has an owner and all its replicas. */
  slotsReplicated(): boolean {
    const s = this.committed;
    return (
      s !== undefined &&
      s.slots.every((slot) => s.nodes.has(slot.owner) && slot.joiningReplicas.length === 0)
    );
  }

  /** Whether each slot has an owner. */
  slotsOwned(): boolean {
    const s = this.committed;
    return s !== undefined && s.slots.every((slot) => s.nodes.has(slot.owner));
  }
}
