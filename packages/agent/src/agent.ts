/**
 * The agent beside a proxy: keeps the control link of the front, so that a proxy which is busy or stopped for a moment
 * does not lose it. Owns the node of the cluster that stands for the adopted proxy, and the feed of that proxy. A proxy
 * that started anew has a new id and is a new node; one that is silent for the failure timeout leaves the cluster.
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

/** What an agent is made from. */
export interface AgentOptions {
  /** The agent's address for other nodes. */
  readonly addr: string;
  /** The address of the agent's own pages. */
  readonly http: string;
  readonly zone: string;
  /** The name that operators may use for this node. */
  readonly name: string;
  /** The loopback address of the proxy. */
  readonly proxy: string;
  readonly seeds: readonly string[];
  readonly clock: Clock;
  /** The transport to other nodes. */
  readonly transport: Transport;
  /** The transport to the proxy. */
  readonly loopback: Transport;
  readonly bounds: ZenBounds;
  /** How long an agent that is told to stop may wait for a proxy that stops too, in ms. */
  readonly stopWithin: number;
  readonly log: Logger;
}

/** The proxy that this agent stands for in the cluster. */
interface AdoptedProxy {
  readonly id: string;
  readonly zen: ZenNode;
  readonly serverList: ServerListMonitor;
  readonly feed: ProxyFeed;
}

const proxyMissingText = 'the proxy beside this agent is not there';

/** Feeds a proxy so many times a heartbeat. */
const feedsPerHeartbeat = 4;
/** A proxy that took no feed for so many heartbeats is not ready; one that stops has ended. */
const readyHeartbeats = 2;
/** The proxy may be signalled later than its agent by this share of a heartbeat; and how often the agent looks. */
const stopSignalSkewShare = 1 / 2;
const stopCheckShare = 1 / 20;
/** How often a stopping agent asks the master to drain its proxy, as a share of a heartbeat. */
const drainRequestShare = 1 / 8;

/** An agent and the proxy that it adopted. */
export class Agent {
  private readonly clock: Clock;
  private readonly transport: Transport;
  private readonly loopback: Transport;
  private readonly bounds: ZenBounds;
  private readonly log: Logger;
  private readonly stopping = createAbortController();
  private adopted: AdoptedProxy | undefined;
  /** The last report of any proxy; a newly adopted one has it until it reports itself. */
  private lastReport: ProxyReport = emptyReport;
  /** Whether the last feed failed, so that the proxy is asked who it is before the next one. */
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

  /** Uses other seed addresses from the next ping round on. */
  replaceSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
    this.adopted?.zen.replaceSeeds(seeds);
  }

  /** Begins to serve other nodes and to look for the proxy. */
  async start(): Promise<void> {
    await this.transport.serve(async (request) => this.currentProxy().zen.handle(request));
    void this.run();
  }

  /**
   * If the proxy is stopping too, its slots are handed over and it is fed until it has released its read lease; else
   * leaves at once.
   */
  async stop(): Promise<void> {
    const end = this.clock.now() + this.parts.stopWithin;
    await this.awaitProxyStopStatus();
    await this.drainStoppingProxy(end);
    this.stopping.abort();
    this.adopted?.serverList.stop();
    await this.adopted?.zen.stop(this.adopted.feed.leaseReleased);
    await this.transport.close();
    await this.loopback.close();
  }

  /**
   * Waits for the proxy's word in a reply to a feed that was sent after the signal. A busy proxy replies late, and would
   * lose its slots with requests under way if its agent left before; one that is silent for the failure timeout is gone.
   */
  private async awaitProxyStopStatus(): Promise<void> {
    const { clock, bounds } = this;
    const since = clock.now();
    const mayKnow = (): boolean => {
      const elapsedMs = clock.now() - since;
      const isAsked = this.adopted !== undefined && this.adopted.feed.repliedFeedSentAt > since;
      const isTold = isAsked && elapsedMs >= bounds.heartbeatInterval * stopSignalSkewShare;
      return isTold || elapsedMs >= bounds.failureTimeout;
    };
    while (this.adopted && !this.adopted.feed.proxyIsStopping && !mayKnow())
      await delay(clock, bounds.heartbeatInterval * stopCheckShare);
  }

  private async drainStoppingProxy(end: number): Promise<void> {
    const { heartbeatInterval } = this.bounds;
    const isFed = ({ feed }: AdoptedProxy): boolean =>
      feed.proxyIsStopping &&
      !feed.leaseReleased &&
      feed.idleMs < heartbeatInterval * readyHeartbeats;
    while (this.adopted && this.clock.now() < end && isFed(this.adopted)) {
      await this.requestDrain(this.adopted);
      await delay(this.clock, heartbeatInterval * drainRequestShare);
    }
  }

  /** Asks the master to hand the slots of the proxy over, unless it does so already. */
  private async requestDrain({ id, zen }: AdoptedProxy): Promise<void> {
    const master = zen.knownMaster;
    if (!master || zen.applied?.retiring.has(id)) return;
    const timeoutMs = this.bounds.heartbeatInterval;
    await this.transport
      .call(master.addr, 'control/depart', { id }, { timeoutMs })
      .catch(() => undefined);
  }

  /** The node of the cluster that stands for the proxy; undefined while there is none. */
  get zenNode(): ZenNode | undefined {
    return this.adopted?.zen;
  }

  /** Whether the proxy is fed by an agent that knows a master, and why not. */
  readiness(): Readiness {
    if (!this.adopted) return { ready: false, why: proxyMissingText };
    const { zen, feed } = this.adopted;
    if (!zen.knownMaster) return { ready: false, why: 'no master is known' };
    if (feed.idleMs > this.bounds.heartbeatInterval * readyHeartbeats)
      return { ready: false, why: 'the proxy takes no feed' };
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
        log.debug(`The proxy does not reply: ${toRpcError(error).message}.`);
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
    const old = this.adopted;
    this.adopted = undefined;
    old?.serverList.stop();
    await old?.zen.stop(old.feed.leaseReleased);
  }

  private async leaveAfterTimeout(): Promise<void> {
    await this.leaveCluster();
    this.log.warn('The proxy does not reply, left the cluster.');
  }

  private async adopt(hello: ProxyHello): Promise<void> {
    await this.leaveCluster();
    const { bounds, clock, log, loopback, transport } = this;
    const serverList = new ServerListMonitor(clock, transport, bounds, log, hello.id);
    const feedParts = { clock, loopback, addr: this.parts.proxy, bounds };
    const feed = new ProxyFeed(feedParts, hello.id, this.lastReport);
    const zen = this.createNode(hello, serverList);
    this.adopted = { id: hello.id, zen, serverList, feed };
    zen.start();
    void serverList.run(zen);
    log.info(`Adopted proxy ${hello.id}.`);
  }

  private createNode(hello: ProxyHello, serverList: ServerListMonitor): ZenNode {
    const { addr, zone, name } = this.parts;
    const me: Member = {
      id: hello.id,
      kind: 'front',
      addr,
      http: hello.http,
      zone,
      data: hello.addr,
      name,
    };
    return new ZenNode({
      me,
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

  /** Feeds the proxy; a front is no fresher than the newest reading of the list of servers. */
  private async feed(state: State | undefined): Promise<void> {
    const { zen, serverList, feed } = this.currentProxy();
    const releasesMore = await feed.feed(state, {
      leaseRenewedAt: Math.min(zen.leaseRenewedAt, serverList.leaseRenewedAt),
      barred: serverList.barredServers(state),
      master: zen.knownMaster?.id ?? '',
      term: zen.term,
    });
    this.lastReport = feed.report;
    if (releasesMore) zen.reportNow();
  }
}
