import { Agent } from '@tillerstair/agent';
import { ControlNode } from '@tillerstair/control';
import { Front } from '@tillerstair/proxy';
import { replicationFor } from '@tillerstair/state';
import { openStoreDisk, StoreNode, type ReplicaStore } from '@tillerstair/store';
import {
  DiskElectionStore,
  reloadableBounds,
  type OuterBounds,
  type ReloadableBounds,
} from '@tillerstair/zen';
import { silentLogger, type Logger } from '@tillerstair/wire';
import { Life } from './sim-clock.js';
import { SimPlatter } from './sim-disk.js';
import type { World } from './world.js';

export class Machine {
  readonly platter: SimPlatter;
  life = new Life();
  proxyLife = new Life();
  control: ControlNode | undefined;
  store: StoreNode | undefined;
  replicaStore: ReplicaStore | undefined;
  front: Front | undefined;
  agent: Agent | undefined;
  up = false;
  startFailed = '';
  private readonly settings: ReloadableBounds;

  constructor(
    readonly world: World,
    readonly kind: 'control' | 'store' | 'front',
    readonly n: number,
    private readonly ownSeeds: readonly string[] | undefined,
  ) {
    this.platter = new SimPlatter(world.rng);
    this.settings = reloadableBounds(world.outer);
  }

  get addr(): string {
    return `${this.kind}-${this.n}`;
  }

  get name(): string {
    return `${this.kind}-number-${this.n}`;
  }

  get seeds(): readonly string[] {
    return this.ownSeeds ?? this.world.seeds;
  }

  private get zone(): string {
    return `zone-${this.n % this.world.zones}`;
  }

  private log(part: string): Logger {
    const w = this.world;
    if (!w.trace) return silentLogger;
    const at = (text: string): void =>
      w.trace?.(`${w.clock.now().toFixed(1)} ${this.addr} ${part}: ${text}`);
    return { debug: at, info: at, warn: at, error: at };
  }

  start(): void {
    const rate = this.world.skewed ? 0.97 + this.world.rng() * 0.06 : 1;
    this.life = new Life(rate);
    this.proxyLife = new Life(rate);
    this.up = true;
    void this.begin(this.life, this.proxyLife).catch((e: unknown) => {
      this.startFailed = e instanceof Error ? e.message : String(e);
      this.up = false;
    });
  }

  private async begin(life: Life, proxyLife: Life): Promise<void> {
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
      await this.beginProxy(proxyLife);
      await this.beginAgent(life);
      return;
    }
    const disk = this.platter.disk(clock, life);
    const freshId = (): string => `${this.kind.charAt(0)}${w.freshId()}`;
    const pace = {
      clock,
      syncTimeoutMs: w.bounds.syncTimeout,
      retryIntervalMs: w.bounds.diskRetryInterval,
      log: this.log('disk'),
    };
    const member = { kind: this.kind, addr: this.addr, http: '', zone, data: '', name: this.name };
    if (this.kind === 'control') {
      const electionStore = await DiskElectionStore.open(disk, freshId, w.longAt, pace);
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
      rewriteMinBytes: w.longAt,
      limits: { rewriteMinBytes: w.longAt, retentionMs: w.retentionMs, maxHints: w.hintsMost },
    });
    const me = { id: electionStore.persisted.id, ...member };
    const node = new StoreNode({ ...common, me, electionStore, replicaStore });
    await node.start();
    this.store = node;
    this.replicaStore = replicaStore;
  }

  private async beginAgent(life: Life): Promise<void> {
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

  private async beginProxy(life: Life): Promise<void> {
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
        putWithin: failureTimeout / 2,
        readLease,
        poll: heartbeatInterval / 4,
        retentionMs: w.retentionMs,
        stopWithin: 5 * heartbeatInterval,
      },
      log: this.log('proxy'),
      affinity: true,
    });
    const feed = w.net.transport(`${this.addr}/feed`, life);
    await feed.serve(async (rpc) =>
      rpc.kind === 'front/hello'
        ? { id: front.id, addr: `${this.addr}/data`, http: '' }
        : front.feed(rpc.body),
    );
    await front.start();
    this.front = front;
  }

  kill(how: 'process' | 'power' = 'process'): void {
    this.life.dead = true;
    this.proxyLife.dead = true;
    this.up = false;
    this.world.net.closed(this.addr);
    this.control = undefined;
    this.store = undefined;
    this.front = undefined;
    this.agent = undefined;
    if (how === 'power') this.platter.powerLoss();
  }

  /** Reads the settings again while running (SIGHUP): seeds and bounds are swapped. */
  reload(outer: OuterBounds): void {
    this.settings.replace(outer);
    this.control?.zen.replaceSeeds(this.seeds);
    this.store?.zen.replaceSeeds(this.seeds);
    this.agent?.replaceSeeds(this.seeds);
  }

  /** Tells every process of this machine to stop (SIGTERM); resolves when they have ended. */
  async stopInOrder(): Promise<void> {
    await Promise.all([
      this.front?.stop(),
      this.agent?.stop(),
      this.control?.stop(),
      this.store?.stop(),
    ]);
    this.kill();
  }

  killProxy(): void {
    this.proxyLife.dead = true;
    this.front = undefined;
  }

  killAgent(): void {
    this.life.dead = true;
    this.agent = undefined;
    this.world.net.closed(this.addr);
  }

  restartAgent(): void {
    this.life = new Life(this.proxyLife.rate);
    void this.beginAgent(this.life);
  }

  restartProxy(): void {
    this.proxyLife.dead = true;
    this.proxyLife = new Life(this.life.rate);
    void this.beginProxy(this.proxyLife);
  }

  freeze(): void {
    this.life.frozen = true;
    this.proxyLife.frozen = true;
  }

  wake(): void {
    this.life.wake();
    this.proxyLife.wake();
  }
}
