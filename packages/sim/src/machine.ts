/** A simulated machine: its disk, and the real node code of its kind, started, killed, frozen and woken. */
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

/** A machine of one kind; a front has two processes, the proxy and the agent, and each has an incarnation of its own. */
export class Machine {
  readonly drive: SimDrive;
  incarnation = new Incarnation();
  proxyIncarnation = new Incarnation();
  control: ControlNode | undefined;
  store: StoreNode | undefined;
  replicaStore: ReplicaStore | undefined;
  front: Front | undefined;
  agent: Agent | undefined;
  /** Whether it was started and not killed since. */
  up = false;
  /** Why its last start failed; empty if it did not. */
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
    const w = this.world;
    if (!w.trace) return silentLogger;
    const at = (text: string): void =>
      w.trace?.(`${w.clock.now().toFixed(1)} ${this.addr} ${part}: ${text}`);
    return { debug: at, info: at, warn: at, error: at };
  }

  /** Starts all its processes, as new incarnations. */
  start(): void {
    const rate = this.world.skewClocks ? 0.97 + this.world.rng() * 0.06 : 1;
    this.incarnation = new Incarnation(rate);
    this.proxyIncarnation = new Incarnation(rate);
    this.up = true;
    void this.startProcesses(this.incarnation, this.proxyIncarnation).catch((e: unknown) => {
      this.startError = e instanceof Error ? e.message : String(e);
      this.up = false;
    });
  }

  private async startProcesses(life: Incarnation, proxyLife: Incarnation): Promise<void> {
    const w = this.world;
    const clock = life.clock(w.clock);
    const transport = w.net.transport(this.addr, life);
    const common = {
      seeds: this.seeds,
      clock,
      transport,
      bounds: this.settings.bounds,
      log: this.log('zen'),
    };
    const { zone } = this;
    if (this.kind === 'front') {
      await this.startProxy(proxyLife);
      await this.startAgent(life);
      return;
    }
    const disk = this.drive.disk(clock, life);
    const freshId = (): string => `${this.kind.charAt(0)}${w.freshId()}`;
    const pace = {
      clock,
      syncTimeoutMs: w.bounds.syncTimeout,
      retryIntervalMs: w.bounds.diskRetryInterval,
      log: this.log('disk'),
    };
    const member = { kind: this.kind, addr: this.addr, http: '', zone, data: '', name: this.name };
    if (this.kind === 'control') {
      const electionStore = await DiskElectionStore.open(disk, freshId, w.rewriteMinBytes, pace);
      const me = { id: electionStore.persisted.id, ...member };
      const node = new ControlNode({
        ...common,
        me,
        electionStore,
        slots: w.slots,
        replication: replicationFor(w.losses),
        list: w.list?.reader(this.addr, life),
      });
      await node.start();
      this.control = node;
      return;
    }
    const { electionStore, replicaStore } = await openStoreDisk({
      disk,
      clock,
      timings: { ...pace, syncTimeoutMs: w.bounds.failureTimeout },
      freshId,
      rewriteMinBytes: w.rewriteMinBytes,
      limits: {
        rewriteMinBytes: w.rewriteMinBytes,
        retentionMs: w.retentionMs,
        maxHints: w.hintsMost,
      },
    });
    const me = { id: electionStore.persisted.id, ...member };
    const node = new StoreNode({ ...common, me, electionStore, replicaStore });
    await node.start();
    this.store = node;
    this.replicaStore = replicaStore;
  }

  private async startAgent(life: Incarnation): Promise<void> {
    const w = this.world;
    const agent = new Agent({
      seeds: this.seeds,
      clock: life.clock(w.clock),
      transport: w.net.transport(this.addr, life),
      bounds: this.settings.bounds,
      log: this.log('zen'),
      addr: this.addr,
      http: '',
      zone: this.zone,
      name: this.name,
      proxy: `${this.addr}/feed`,
      stopWithin: 5 * this.settings.bounds.heartbeatInterval,
      loopback: w.net.transport(`${this.addr}/loop`, life),
    });
    await agent.start();
    this.agent = agent;
  }

  private async startProxy(life: Incarnation): Promise<void> {
    const w = this.world;
    const clock = life.clock(w.clock);
    const { heartbeatInterval, failureTimeout, readLease } = this.settings.bounds;
    const front = new Front({
      id: `f${w.freshId()}`,
      clock,
      transport: w.net.transport(`${this.addr}/data`, life),
      backend: w.servers.backend(life, this.addr),
      bounds: {
        heartbeatInterval,
        putTimeoutMs: failureTimeout / 2,
        readLease,
        pollIntervalMs: heartbeatInterval / 4,
        retentionMs: w.retentionMs,
        stopWithin: 5 * heartbeatInterval,
      },
      log: this.log('proxy'),
      affinity: true,
    });
    const feed = w.net.transport(`${this.addr}/feed`, life);
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

  /** Ends all processes at once; with `power`, what was not synced may be lost. */
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

  /** Reads the settings again while running (SIGHUP): seeds and bounds are swapped. */
  reload(configuredBounds: ConfiguredBounds): void {
    this.settings.replace(configuredBounds);
    this.control?.zen.replaceSeeds(this.seeds);
    this.store?.zen.replaceSeeds(this.seeds);
    this.agent?.replaceSeeds(this.seeds);
  }

  /** Tells every process of this machine to stop (SIGTERM); resolves when they have ended. */
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
