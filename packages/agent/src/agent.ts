import { z } from 'zod';
import {
  encodeState,
  versionOf,
  isNewerVersion,
  type StateVersion,
  type Member,
  type State,
} from '@tillerstair/state';
import {
  type Clock,
  createAbortController,
  delay,
  FeedError,
  type Logger,
  toRpcError,
  type Transport,
} from '@tillerstair/wire';
import { MemoryElectionStore, ZenNode, type ZenBounds } from '@tillerstair/zen';
import { ListWatch } from './list-watch.js';

export interface AgentParts {
  readonly addr: string;
  readonly http: string;
  readonly zone: string;
  readonly name: string;
  readonly proxy: string;
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly transport: Transport;
  readonly loop: Transport;
  readonly bounds: ZenBounds;
  /** How long an agent that is told to stop may wait for a proxy that stops too, in ms. */
  readonly stopWithin: number;
  readonly log: Logger;
}

const Hello = z.object({ id: z.string(), addr: z.string(), http: z.string() });
const Fed = z.object({
  id: z.string(),
  applied: z.object({ term: z.number(), version: z.number() }),
  seen: z.unknown(),
  released: z.array(z.unknown()),
  stopping: z.boolean().default(false),
});

export class Agent {
  private zen: ZenNode | undefined;
  private list: ListWatch | undefined;
  private readonly gone = createAbortController();
  private seen: unknown = [];
  private released: readonly unknown[] = [];
  private proxyId = '';
  private proxyStops = false;
  private strange = true;
  private fedVersion: StateVersion = versionOf(undefined);
  private fedConfig = '';
  private lastFed = -Infinity;
  private seeds: readonly string[];

  constructor(private readonly p: AgentParts) {
    this.seeds = p.seeds;
  }

  /** Uses other seed addresses from the next ping round on. */
  replaceSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
    this.zen?.replaceSeeds(seeds);
  }

  async start(): Promise<void> {
    await this.p.transport.serve(async (rpc) => {
      const zen = this.zen;
      if (!zen) throw new FeedError('no-proxy', 'the proxy beside this agent is not there');
      return zen.handle(rpc);
    });
    void this.run();
  }

  /** If the proxy is stopping too, its slots are handed over and it is fed until it has ended; else leaves at once. */
  async stop(): Promise<void> {
    const { clock, bounds, transport, stopWithin } = this.p;
    const end = clock.now() + stopWithin;
    const learnBy = clock.now() + bounds.heartbeatInterval / 2;
    while (this.zen && !this.proxyStops && clock.now() < learnBy)
      await delay(clock, bounds.heartbeatInterval / 20);
    while (
      this.zen &&
      this.proxyStops &&
      clock.now() < end &&
      clock.now() - this.lastFed < bounds.heartbeatInterval
    ) {
      const master = this.zen.masterSeen;
      if (master && !this.zen.applied?.retiring.has(this.proxyId))
        await transport
          .call(
            master.addr,
            'control/depart',
            { id: this.proxyId },
            { timeoutMs: bounds.heartbeatInterval },
          )
          .catch(() => undefined);
      await delay(clock, bounds.heartbeatInterval / 8);
    }
    this.gone.abort();
    this.list?.stop();
    await this.zen?.stop();
    await this.p.transport.close();
    await this.p.loop.close();
  }

  get node(): ZenNode | undefined {
    return this.zen;
  }

  readiness(): { ready: boolean; why: string } {
    if (!this.zen) return { ready: false, why: 'the proxy beside this agent is not there' };
    if (!this.zen.masterSeen) return { ready: false, why: 'no master is known' };
    if (this.p.clock.now() - this.lastFed > this.p.bounds.heartbeatInterval * 2)
      return { ready: false, why: 'the proxy takes no feed' };
    return { ready: true, why: `master ${this.zen.masterSeen.addr}` };
  }

  private async run(): Promise<void> {
    const { clock, bounds, log } = this.p;
    while (!this.gone.signal.aborted) {
      try {
        if (!this.zen || this.strange) {
          const hello = Hello.parse(
            await this.p.loop.call(
              this.p.proxy,
              'front/hello',
              {},
              { timeoutMs: bounds.heartbeatInterval },
            ),
          );
          if (hello.id !== this.proxyId) await this.adopt(hello);
          this.strange = false;
        }
        const zen: ZenNode | undefined = this.zen;
        if (zen) await this.feed(zen.applied);
      } catch (e) {
        this.strange = true;
        log.debug(`The proxy does not reply: ${toRpcError(e).message}.`);
        if (this.zen && clock.now() - this.lastFed > bounds.failureTimeout) await this.dismiss();
      }
      await delay(clock, bounds.heartbeatInterval / 4, this.gone.signal);
    }
  }

  private async dismiss(): Promise<void> {
    const old = this.zen;
    this.zen = undefined;
    this.proxyId = '';
    this.list?.stop();
    await old?.stop();
    this.p.log.warn('The proxy is gone, left the cluster.');
  }

  private async adopt(hello: z.infer<typeof Hello>): Promise<void> {
    const { addr, zone, name, clock, transport, bounds, log } = this.p;
    const { seeds } = this;
    const old = this.zen;
    this.zen = undefined;
    this.list?.stop();
    await old?.stop();
    const me: Member = {
      id: hello.id,
      kind: 'front',
      addr,
      http: hello.http,
      zone,
      data: hello.addr,
      name,
    };
    this.proxyId = hello.id;
    this.proxyStops = false;
    this.fedVersion = versionOf(undefined);
    this.fedConfig = '';
    this.lastFed = clock.now();
    const list = new ListWatch(clock, transport, bounds, log, hello.id);
    const zen: ZenNode = new ZenNode({
      me,
      seeds,
      clock,
      transport,
      bounds,
      log,
      electionStore: new MemoryElectionStore(hello.id),
      slots: 0,
      onApplied: (s) => this.feed(s),
      report: () => ({ seen: this.seen, released: this.released }),
      onListReport: (reported, askedAt) => list.onListReport(reported, askedAt),
    });
    this.zen = zen;
    this.list = list;
    zen.start();
    void list.run(zen);
    log.info(`Adopted proxy ${hello.id}.`);
  }

  private async feed(s: State | undefined): Promise<void> {
    const zen = this.zen;
    if (!zen) throw new FeedError('no-proxy', 'the proxy beside this agent is not there');
    const send = s && isNewerVersion(versionOf(s), this.fedVersion);
    const digest = s?.config?.digest ?? '';
    const known = digest !== '' && digest === this.fedConfig;
    const leaseRenewedAt = Math.min(zen.leaseRenewedAt, this.list?.leaseRenewedAt ?? -Infinity);
    const barred = this.list?.barred(s);
    const body = {
      ...(send ? { state: [...encodeState(s)].filter(([k]) => !known || k !== 'config') } : {}),
      ...(send && known ? { config: digest } : {}),
      leaseRenewedAt: Number.isFinite(leaseRenewedAt) ? leaseRenewedAt : -1,
      ...(barred ? { barred } : {}),
      master: zen.masterSeen?.id ?? '',
      term: zen.term,
    };
    if (send) this.fedConfig = '';
    const fed = Fed.parse(
      await this.p.loop.call(this.p.proxy, 'front/feed', body, {
        timeoutMs: this.p.bounds.heartbeatInterval,
      }),
    );
    if (send) this.fedConfig = digest;
    if (fed.id !== this.proxyId) throw new FeedError('other-proxy', 'another proxy replied');
    this.fedVersion = fed.applied;
    this.proxyStops = fed.stopping;
    this.seen = fed.seen;
    const fresh =
      fed.released.length > 0 && JSON.stringify(fed.released) !== JSON.stringify(this.released);
    this.released = fed.released;
    if (fresh) zen.reportNow();
    this.lastFed = this.p.clock.now();
  }
}
