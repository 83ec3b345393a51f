/**
 * The agent of a proxy on the same machine: maintains the front's control link, so that a proxy that is busy or paused
 * for a moment does not lose it. Owns the cluster node that represents the adopted proxy, and the feed of that proxy. A
 * restarted proxy has a new id and becomes a new node; if the proxy does not reply for the failure timeout, its node
 * leaves the cluster.
 */
import type { Readiness } from '@tillerstair/settings';
import type { Member, State } from '@tillerstair/state';
import {
  createAbortController,
  delay,
  FeedError,
  toRpcError,
  type Clock,
  type Logger,
  type Transport,
} from '@tillerstair/wire';
import { MemoryElectionStore, ZenNode, type ZenBounds } from '@tillerstair/zen';
import { ProxyHello } from './messages.js';
import { emptyReport, ProxyFeed, type ProxyReport } from './proxy-feed.js';
import { ServerListMonitor } from './server-list-monitor.js';

/** Dependencies and settings of an agent. */
export interface AgentOptions {
  /** Address of the agent for other nodes. */
  readonly addr: string;
  /** Address of the agent's HTTP endpoints. */
  readonly http: string;
  readonly zone: string;
  /** Name that operators may use for this node. */
  readonly name: string;
  /** Loopback address of the proxy. */
  readonly proxy: string;
  readonly seeds: readonly string[];
  readonly clock: Clock;
  /** Transport to other nodes. */
  readonly transport: Transport;
  /** Transport to the proxy. */
  readonly loopback: Transport;
  readonly bounds: ZenBounds;
  /** How long a stopping agent may wait for a proxy that is stopping too, in ms. */
  readonly stopWithin: number;
  readonly log: Logger;
}

/** The proxy that this agent represents in the cluster. */
interface AdoptedProxy {
  readonly id: string;
  readonly zen: ZenNode;
  readonly serverList: ServerListMonitor;
  readonly feed: ProxyFeed;
}

const proxyMissingText = 'this agent has no proxy that replies';

/** Number of feeds per heartbeat. */
const feedsPerHeartbeat = 4;
/** Heartbeats without an accepted feed after which a proxy is not ready, and a stopping one counts as exited. */
const readyHeartbeats = 2;
/** How much later than its agent a proxy may get the stop signal, as a share of a heartbeat. */
const stopSignalSkewShare = 1 / 2;
/** Interval at which a stopping agent checks whether its proxy is stopping, as a share of a heartbeat. */
const stopCheckShare = 1 / 20;
/** Interval at which a stopping agent asks the master to drain its proxy, as a share of a heartbeat. */
const drainRequestShare = 1 / 8;

/** Adopts the local proxy, feeds it, and represents it in the cluster. */
export class Agent {
  private readonly clock: Clock;
  private readonly transport: Transport;
  private readonly loopback: Transport;
  private readonly bounds: ZenBounds;
  private readonly log: Logger;
  private readonly stopping = createAbortController();
  private adopted: AdoptedProxy | undefined;
  /** Last report of any proxy; it is used for a newly adopted proxy until that one reports. */
  private lastReport: ProxyReport = emptyReport;
  /** Whether the proxy's id must be read before the next feed, because the last one failed. */
  private mustIdentify = true;
  private seeds: readonly string[];

  constructor(private readonly parts: AgentOptions) {
    this.clock = parts.clock;
    this.transport = parts.transport;
    this.loopback = parts.loopback;
    this.bounds = parts.bounds;
    this.log = parts.log;
    this.seeds = parts.seeds;
  }

  /** Replaces the seed addresses; the next ping round uses the new ones. */
  replaceSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
    this.adopted?.zen.replaceSeeds(seeds);
  }

  /** Starts serving other nodes and looking for the proxy. */
  async start(): Promise<void> {
    await this.transport.serve(async (request) => this.currentProxy().zen.handle(request));
    void this.run();
  }

  /**
   * Stops the agent. If the proxy is stopping too, its slots are handed over first and it is fed until it has released
   * its read lease, at most until `stopWithin` ms after the call; otherwise its node leaves the cluster immediately.
   */
  async stop(): Promise<void> {
    const deadline = this.clock.now() + this.parts.stopWithin;
    await this.awaitProxyStopStatus();
    await this.drainStoppingProxy(deadline);
    this.stopping.abort();
    this.adopted?.serverList.stop();
    await this.adopted?.zen.stop(this.adopted.feed.leaseReleased);
    await this.transport.close();
    await this.loopback.close();
  }

  /**
   * Waits until the proxy reports whether it is stopping, in a reply to a feed that was sent after the stop signal. A
   * busy proxy replies late, and would lose its slots with requests in flight if the agent left before. A proxy that
   * does not reply for the failure timeout counts as exited.
   */
  private async awaitProxyStopStatus(): Promise<void> {
    const { clock, bounds } = this;
    const startedAt = clock.now();
    const isDecided = (): boolean => {
      const elapsedMs = clock.now() - startedAt;
      const hasReplied =
        this.adopted !== undefined && this.adopted.feed.repliedFeedSentAt > startedAt;
      const goesOn = hasReplied && elapsedMs >= bounds.heartbeatInterval * stopSignalSkewShare;
      return goesOn || elapsedMs >= bounds.failureTimeout;
    };
    while (this.adopted && !this.adopted.feed.proxyIsStopping && !isDecided())
      await delay(clock, bounds.heartbeatInterval * stopCheckShare);
  }

  private async drainStoppingProxy(deadline: number): Promise<void> {
    const { heartbeatInterval } = this.bounds;
    const acceptsFeed = ({ feed }: AdoptedProxy): boolean =>
      feed.proxyIsStopping &&
      !feed.leaseReleased &&
      feed.idleMs < heartbeatInterval * readyHeartbeats;
    while (this.adopted && this.clock.now() < deadline && acceptsFeed(this.adopted)) {
      await this.requestDrain(this.adopted);
      await delay(this.clock, heartbeatInterval * drainRequestShare);
    }
  }

  /** Asks the master to hand over the proxy's slots, unless the proxy's node is already retiring. */
  private async requestDrain({ id, zen }: AdoptedProxy): Promise<void> {
    const master = zen.knownMaster;
    if (!master || zen.applied?.retiring.has(id)) return;
    const timeoutMs = this.bounds.heartbeatInterval;
    await this.transport
      .call(master.addr, 'control/depart', { id }, { timeoutMs })
      .catch(() => undefined);
  }

  /** The cluster node that represents the proxy; undefined while no proxy is adopted. */
  get zenNode(): ZenNode | undefined {
    return this.adopted?.zen;
  }

  /** Whether the agent knows a master and the proxy accepts its feeds; if not, the reason. */
  readiness(): Readiness {
    if (!this.adopted) return { ready: false, why: proxyMissingText };
    const { zen, feed } = this.adopted;
    if (!zen.knownMaster) return { ready: false, why: 'no master is known' };
    if (feed.idleMs > this.bounds.heartbeatInterval * readyHeartbeats)
      return { ready: false, why: `the proxy accepted no feed for ${readyHeartbeats} heartbeats` };
    return { ready: true, why: `master ${zen.knownMaster.addr}` };
  }

  private currentProxy(): AdoptedProxy {
    if (!this.adopted) throw new FeedError('no-proxy', proxyMissingText);
    return this.adopted;
  }

  private async run(): Promise<void> {
    const { bounds, clock, log, stopping } = this;
    while (!stopping.signal.aborted) {
      try {
        if (!this.adopted || this.mustIdentify) await this.identifyProxy();
        if (this.adopted) await this.feed(this.adopted.zen.applied);
      } catch (error) {
        this.mustIdentify = true;
        log.debug(`The proxy at ${this.parts.proxy} does not reply: ${toRpcError(error).message}.`);
        if (this.adopted && this.adopted.feed.idleMs > bounds.failureTimeout)
          await this.leaveAfterTimeout();
      }
      await delay(clock, bounds.heartbeatInterval / feedsPerHeartbeat, stopping.signal);
    }
  }

  private async identifyProxy(): Promise<void> {
    const { bounds, loopback, parts } = this;
    const hello = ProxyHello.parse(
      await loopback.call(parts.proxy, 'front/hello', {}, { timeoutMs: bounds.heartbeatInterval }),
    );
    if (hello.id !== this.adopted?.id) await this.adopt(hello);
    this.mustIdentify = false;
  }

  private async leaveCluster(): Promise<void> {
    const previous = this.adopted;
    this.adopted = undefined;
    previous?.serverList.stop();
    await previous?.zen.stop(previous.feed.leaseReleased);
  }

  private async leaveAfterTimeout(): Promise<void> {
    await this.leaveCluster();
    this.log.warn('The proxy does not reply, left the cluster.');
  }

  private async adopt(hello: ProxyHello): Promise<void> {
    await this.leaveCluster();
    const { bounds, clock, log, loopback, transport } = this;
    const serverList = new ServerListMonitor(clock, transport, bounds, log, hello.id);
    const feedOptions = { clock, loopback, addr: this.parts.proxy, bounds };
    const feed = new ProxyFeed(feedOptions, hello.id, this.lastReport);
    const zen = this.createNode(hello, serverList);
    this.adopted = { id: hello.id, zen, serverList, feed };
    zen.start();
    void serverList.run(zen);
    log.info(`Adopted proxy ${hello.id}.`);
  }

  private createNode(hello: ProxyHello, serverList: ServerListMonitor): ZenNode {
    const { addr, zone, name } = this.parts;
    const member: Member = {
      id: hello.id,
      kind: 'front',
      addr,
      http: hello.http,
      zone,
      data: hello.addr,
      name,
    };
    return new ZenNode({
      me: member,
      seeds: this.seeds,
      clock: this.clock,
      transport: this.transport,
      bounds: this.bounds,
      log: this.log,
      electionStore: new MemoryElectionStore(hello.id),
      slots: 0,
      onApplied: (state) => this.feed(state),
      report: () => this.lastReport,
      onListReport: (reported, askedAt) => {
        serverList.applyReport(reported, askedAt);
      },
    });
  }

  /** Feeds the proxy. Its lease is no newer than the last reading of the server list. */
  private async feed(state: State | undefined): Promise<void> {
    const { zen, serverList, feed } = this.currentProxy();
    const hasNewReleases = await feed.feed(state, {
      leaseRenewedAt: Math.min(zen.leaseRenewedAt, serverList.leaseRenewedAt),
      barred: serverList.barredServers(state),
      master: zen.knownMaster?.id ?? '',
      term: zen.term,
    });
    this.lastReport = feed.report;
    if (hasNewReleases) zen.reportNow();
  }
}
