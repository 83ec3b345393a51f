/**
 * Master fault detection (docs/zen.md, "Kept, on the ordinary path"): a node pings the master that it follows once a
 * heartbeat, and leaves it after the failure timeout without a response or a second refused connection, or as soon as
 * the master answers that it leads no more, in a lower term, or twice without listing this node.
 */
import { isNewerVersion, versionOf, type Member, type State } from '@tillerstair/state';
import { ConnectionRefusedError, type Clock, type Transport } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { InterruptibleSleep } from './interruptible-sleep.js';
import type { LocalNode } from './local-node.js';
import { MasterPingResponse, type MasterPing } from './messages.js';
import type { ReadLease } from './read-lease.js';

/** So many refused connections in a row end a master. */
const maxRefusals = 2;
/** So many responses in a row that do not list this node end its membership. */
const maxUnlistedResponses = 2;
/** After a first refused connection the next ping is sent after this part of a heartbeat. */
const retriesPerHeartbeat = 10;

/** What master fault detection needs of its node. */
export interface MasterFaultDetectionOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: ZenBounds;
  readonly localNode: LocalNode;
  readonly readLease: ReadLease;
  /** The master followed now: a publish by another that this node voted for changes it. */
  readonly followed: () => Member | undefined;
  /** The committed state that this node has applied. */
  readonly applied: () => State | undefined;
  /** What each ping tells the master of this node. */
  readonly report: () => unknown;
  /** Hears what a master that lists this node reports, and the clock time at which it was asked. */
  readonly onListReport: (reported: unknown, requestedAt: number) => void;
  /** Ended early when the connection to the master is lost. */
  readonly sleep: InterruptibleSleep;
  readonly stopping: AbortSignal;
}

/** Watches one master; made anew after each join. */
export class MasterFaultDetection {
  private readonly clock: Clock;
  private readonly transport: Transport;
  private readonly bounds: ZenBounds;
  private readonly localNode: LocalNode;
  private readonly readLease: ReadLease;
  private readonly followed: () => Member | undefined;
  private readonly applied: () => State | undefined;
  private readonly report: () => unknown;
  private readonly onListReport: (reported: unknown, requestedAt: number) => void;
  private readonly sleep: InterruptibleSleep;
  private readonly stopping: AbortSignal;
  private lastResponseAt: number;
  private refusals = 0;
  private unlistedResponses = 0;

  constructor(options: MasterFaultDetectionOptions) {
    this.clock = options.clock;
    this.transport = options.transport;
    this.bounds = options.bounds;
    this.localNode = options.localNode;
    this.readLease = options.readLease;
    this.followed = options.followed;
    this.applied = options.applied;
    this.report = options.report;
    this.onListReport = options.onListReport;
    this.sleep = options.sleep;
    this.stopping = options.stopping;
    this.lastResponseAt = options.clock.now();
  }

  /** Resolves when the master has failed or gives up this node, or the node stops. */
  async run(): Promise<void> {
    while (!this.stopping.aborted) {
      const master = this.followed();
      if (!master) return;
      const isFollowable = await this.ping(master);
      if (!isFollowable || this.hasFailed()) return;
      const { heartbeatInterval } = this.bounds;
      const wait = this.refusals > 0 ? heartbeatInterval / retriesPerHeartbeat : heartbeatInterval;
      await this.sleep.sleep(wait);
    }
  }

  /** Resolves with false if the master answers that it is none, or not this node's. */
  private async ping(master: Member): Promise<boolean> {
    const sentAt = this.clock.now();
    try {
      const response = await this.request(master);
      this.unlistedResponses = response.listed ? 0 : this.unlistedResponses + 1;
      if (!response.leading || response.term < this.localNode.term) return false;
      if (this.unlistedResponses >= maxUnlistedResponses) return false;
      this.lastResponseAt = this.clock.now();
      this.refusals = 0;
      this.renewLease(response, sentAt);
    } catch (e) {
      if (e instanceof ConnectionRefusedError) this.refusals++;
    }
    return true;
  }

  private async request(master: Member): Promise<MasterPingResponse> {
    const ping: MasterPing = {
      from: this.localNode.member,
      term: this.localNode.term,
      applied: versionOf(this.applied()),
      report: this.report(),
    };
    const timeoutMs = this.bounds.failureTimeout;
    return MasterPingResponse.parse(
      await this.transport.call(master.addr, 'zen/master-ping', ping, { timeoutMs }),
    );
  }

  /** The lease is dated back to the master's last contact with a majority (docs/design.md, "Freshness"). */
  private renewLease(response: MasterPingResponse, sentAt: number): void {
    if (!response.listed || isNewerVersion(response.committed, versionOf(this.applied()))) return;
    this.readLease.renew(sentAt - response.age);
    this.onListReport(response.reported, sentAt);
  }

  private hasFailed(): boolean {
    if (this.refusals >= maxRefusals) return true;
    return this.clock.now() - this.lastResponseAt > this.bounds.failureTimeout;
  }
}
