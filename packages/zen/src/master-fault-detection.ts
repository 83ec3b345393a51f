/**
 * Master fault detection (docs/zen.md, "Kept, on the ordinary path"): a node pings the master that it follows once a
 * heartbeat. It stops following the master after the failure timeout without a response, after a second refused
 * connection in a row, or when the master responds that it no longer leads, that its term is lower than the node's, or
 * twice in a row that this node is not on its list.
 */
import { isNewerVersion, versionOf, type Member, type State } from '@tillerstair/state';
import { ConnectionRefusedError, type Clock, type Transport } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { InterruptibleSleep } from './interruptible-sleep.js';
import type { LocalNode } from './local-node.js';
import { MasterPingResponse, type MasterPing } from './messages.js';
import type { ReadLease } from './read-lease.js';

/** The master has failed after this many refused connections in a row. */
const maxRefusals = 2;
/** The node leaves the master after this many responses in a row that do not list it. */
const maxUnlistedResponses = 2;
/** After a refused connection the next ping is sent this many times sooner than a heartbeat later. */
const retriesPerHeartbeat = 10;

/** The dependencies of a `MasterFaultDetection`. */
export interface MasterFaultDetectionOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: ZenBounds;
  readonly localNode: LocalNode;
  readonly readLease: ReadLease;
  /** The master that this node follows; it changes with a publish by another master that this node voted for. */
  readonly followed: () => Member | undefined;
  /** The committed state that this node has applied. */
  readonly applied: () => State | undefined;
  /** This node's report to the master, sent with each ping. */
  readonly report: () => unknown;
  /** Receives the report of a master that lists this node, and the clock time, in ms, at which the ping was sent. */
  readonly onListReport: (reported: unknown, requestedAt: number) => void;
  /** The wait between pings; interrupted when the connection to the master is lost. */
  readonly sleep: InterruptibleSleep;
  readonly stopping: AbortSignal;
}

/** Monitors one master; a new instance is created after each join. */
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

  /** Pings until the master fails, stops leading or no longer lists this node, or until the node stops. */
  async run(): Promise<void> {
    while (!this.stopping.aborted) {
      const master = this.followed();
      if (!master) return;
      const isFollowable = await this.ping(master);
      if (!isFollowable || this.hasFailed()) return;
      const { heartbeatInterval } = this.bounds;
      const waitMs =
        this.refusals > 0 ? heartbeatInterval / retriesPerHeartbeat : heartbeatInterval;
      await this.sleep.sleep(waitMs);
    }
  }

  /** Pings once; resolves with false if the response shows that this node must not follow the master any more. */
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

  /** Renews the read lease as of the master's last contact with a majority (docs/design.md, "Freshness"). */
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
