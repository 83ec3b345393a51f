/** A simulated machine: a disk, and processes that run the real node code and can be killed, frozen and restarted. */
import { Agent } from '@tillerstair/agent';
import { ControlNode } from '@tillerstair/control';
import { Front } from '@tillerstair/proxy';
import { replicationFor } from '@tillerstair/state';
import { openStoreDisk, StoreNode, type ReplicaStore } from '@tillerstair/store';
import {
  DiskElectionStore,
  reloadableBounds,
  type ConfiguredBounds,
  type ReloadableBounds,
} from '@tillerstair/zen';
import { silentLogger, type Logger } from '@tillerstair/wire';
import { Incarnation } from './incarnation.js';
import { SimDrive } from './sim-drive.js';
import type { SimCluster } from './sim-cluster.js';

/** A machine of one kind. A front has two processes, proxy and agent, each with its own incarnation. */
export class Machine {
  readonly drive: SimDrive;
  incarnation = new Incarnation();
  proxyIncarnation = new Incarnation();
  control: ControlNode | undefined;
  store: StoreNode | undefined;
  replicaStore: ReplicaStore | undefined;
  front: Front | undefined;
  agent: Agent | undefined;
  /** Whether the machine is started and has not been killed since. */
  up = false;
  /** Error message of the last failed start; empty if no start failed. */
  startError = '';
  private readonly settings: ReloadableBounds;

  constructor(
    readonly world: SimCluster,
    readonly kind: 'control' | 'store' | 'front',
    readonly index: number,
    private readonly fixedSeeds: readonly string[] | undefined,
  ) {
    this.drive = new SimDrive(world.rng);
    this.settings = reloadableBounds(world.configuredBounds);
  }

  get addr(): string {
    return `${this.kind}-${this.index}`;
  }

  get name(): string {
    return `${this.kind}-number-${this.index}`;
  }

  get seeds(): readonly string[] {
    return this.fixedSeeds ?? this.world.seeds;
  }

  private get zone(): string {
    return `zone-${this.index % this.world.zones}`;
  }

  private log(part: string): Logger {
    const world = this.world;
    if (!world.trace) return silentLogger;
    const write = (text: string): void =>
      world.trace?.(`${world.clock.now().toFixed(1)} ${this.addr} ${part}: ${text}`);
    return { debug: write, info: write, warn: write, error: write };
  }

  /** Starts all processes of the machine, each with a new incarnation. */
  start(): void {
    const rate = this.world.skewClocks ? 0.97 + this.world.rng() * 0.06 : 1;
    this.incarnation = new Incarnation(rate);
    this.proxyIncarnation = new Incarnation(rate);
    this.up = true;
    void this.startProcesses(this.incarnation, this.proxyIncarnation).catch((error: unknown) => {
      this.startError = error instanceof Error ? error.message : String(error);
      this.up = false;
    });
  }

  private async startProcesses(incarnation: Incarnation, proxy: Incarnation): Promise<void> {
    const world = this.world;
    const clock = incarnation.clock(world.clock);
    const transport = world.net.transport(this.addr, incarnation);
    const common = {
      seeds: this.seeds,
      clock,
      transport,
      bounds: this.settings.bounds,
      log: this.log('zen'),
    };
    const { zone } = this;
    if (this.kind === 'front') {
      await this.startProxy(proxy);
      await this.startAgent(incarnation);
      return;
    }
    const disk = this.drive.disk(clock, incarnation);
    const freshId = (): string => `${this.kind.charAt(0)}${world.freshId()}`;
    const timings = {
      clock,
      syncTimeoutMs: world.bounds.syncTimeout,
      retryIntervalMs: world.bounds.diskRetryInterval,
      log: this.log('disk'),
    };
    const member = { kind: this.kind, addr: this.addr, http: '', zone, data: '', name: this.name };
    if (this.kind === 'control') {
      const electionStore = await DiskElectionStore.open(disk, freshId, world.maxLogBytes, timings);
      const localMember = { id: electionStore.persisted.id, ...member };
      const node = new ControlNode({
        ...common,
        localMember,
        electionStore,
        slots: world.slots,
        replication: replicationFor(world.losses),
        list: world.list?.reader(this.addr, incarnation),
      });
      await node.start();
      this.control = node;
      return;
    }
    const { electionStore, replicaStore } = await openStoreDisk({
      disk,
      clock,
      timings: { ...timings, syncTimeoutMs: world.bounds.failureTimeout },
      freshId,
      rewriteMinBytes: world.maxLogBytes,
      limits: {
        rewriteMinBytes: world.maxLogBytes,
        retentionMs: world.retentionMs,
        maxHints: world.hintsMost,
      },
    });
    const localMember = { id: electionStore.persisted.id, ...member };
    const node = new StoreNode({ ...common, localMember, electionStore, replicaStore });
    await node.start();
    this.store = node;
    this.replicaStore = replicaStore;
  }

  private async startAgent(incarnation: Incarnation): Promise<void> {
    const world = this.world;
    const agent = new Agent({
      seeds: this.seeds,
      clock: incarnation.clock(world.clock),
      transport: world.net.transport(this.addr, incarnation),
      bounds: this.settings.bounds,
      log: this.log('zen'),
      addr: this.addr,
      http: '',
      zone: this.zone,
      name: this.name,
      proxy: `${this.addr}/feed`,
      stopWithin: 5 * this.settings.bounds.heartbeatInterval,
      loopback: world.net.transport(`${this.addr}/loop`, incarnation),
    });
    await agent.start();
    this.agent = agent;
  }

  private async startProxy(incarnation: Incarnation): Promise<void> {
    const world = this.world;
    const clock = incarnation.clock(world.clock);
    const { heartbeatInterval, failureTimeout, readLease } = this.settings.bounds;
    const front = new Front({
      id: `f${world.freshId()}`,
      clock,
      transport: world.net.transport(`${this.addr}/data`, incarnation),
      backend: world.servers.backend(incarnation, this.addr),
      bounds: {
        heartbeatInterval,
        putTimeoutMs: failureTimeout / 2,
        readLease,
        pollIntervalMs: heartbeatInterval / 4,
        retentionMs: world.retentionMs,
        stopWithin: 5 * heartbeatInterval,
      },
      log: this.log('proxy'),
      affinity: true,
    });
    const feed = world.net.transport(`${this.addr}/feed`, incarnation);
    const hello = { id: front.id, addr: `${this.addr}/data`, http: '' };
    await feed.serve(
      (rpc) =>
        new Promise((resolve) => {
          resolve(rpc.kind === 'front/hello' ? hello : front.feed(rpc.body));
        }),
    );
    await front.start();
    this.front = front;
  }

  /** Ends all processes at once; with `power`, data that was not synced may be lost. */
  kill(how: 'process' | 'power' = 'process'): void {
    this.incarnation.dead = true;
    this.proxyIncarnation.dead = true;
    this.up = false;
    this.world.net.closed(this.addr);
    this.control = undefined;
    this.store = undefined;
    this.front = undefined;
    this.agent = undefined;
    if (how === 'power') this.drive.powerLoss();
  }

  /** Reloads the settings of the running processes (SIGHUP): replaces the seeds and the time bounds. */
  reload(configuredBounds: ConfiguredBounds): void {
    this.settings.replace(configuredBounds);
    this.control?.zen.replaceSeeds(this.seeds);
    this.store?.zen.replaceSeeds(this.seeds);
    this.agent?.replaceSeeds(this.seeds);
  }

  /** Stops every process of this machine gracefully (SIGTERM); resolves when all have ended. */
  async stopGracefully(): Promise<void> {
    await Promise.all([
      this.front?.stop(),
      this.agent?.stop(),
      this.control?.stop(),
      this.store?.stop(),
    ]);
    this.kill();
  }

  killProxy(): void {
    this.proxyIncarnation.dead = true;
    this.front = undefined;
  }

  killAgent(): void {
    this.incarnation.dead = true;
    this.agent = undefined;
    this.world.net.closed(this.addr);
  }

  restartAgent(): void {
    this.incarnation = new Incarnation(this.proxyIncarnation.rate);
    void this.startAgent(this.incarnation);
  }

  restartProxy(): void {
    this.proxyIncarnation.dead = true;
    this.proxyIncarnation = new Incarnation(this.incarnation.rate);
    void this.startProxy(this.proxyIncarnation);
  }

  freeze(): void {
    this.incarnation.frozen = true;
    this.proxyIncarnation.frozen = true;
  }

  wake(): void {
    this.incarnation.wake();
    this.proxyIncarnation.wake();
  }
}
