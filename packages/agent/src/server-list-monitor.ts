/**
 * Tracks the age of the readings of the platform's server list for the local front. Readings come with the master's
 * replies to pings; when they are late, or there is no master, the agent asks another control, which reads the list
 * itself (`docs/platform.md`, "Servers").
 *
 * Owns the times of the newest readings and the servers that they show as draining or no longer listed. The age of a
 * reading counts from the time of the request, so that a reading never appears newer than it is.
 */
import {
  ServerListReply,
  ServerListReport,
  slotForKey,
  type Member,
  type State,
} from '@tillerstair/state';
import {
  createAbortController,
  delay,
  toRpcError,
  type Clock,
  type Logger,
  type Transport,
} from '@tillerstair/wire';
import type { ZenBounds, ZenNode } from '@tillerstair/zen';

/** Age of the last reading at which another control is asked, in list intervals; with a master plus a heartbeat. */
const maxAgeWithMaster = 1.5;
const maxAgeWithoutMaster = 2;
/** Timeout of a request to one control, as a share of the list interval. */
const replyShare = 1 / 2;
/** Interval at which the age of the readings is checked, as a share of the list interval. */
const checkShare = 1 / 10;
/** Range of the hash by which each agent chooses its first control, so that agents are spread over the controls. */
const startIndexRange = 1 << 16;

/**
 * `new`: the control read the list for this request; `old`: it could not and sent its last reading; `none`: no reply.
 */
type ReadResult = 'new' | 'old' | 'none';

/** Tracks the readings of the server list. */
export class ServerListMonitor {
  /** Whether the cluster uses a server list. */
  private hasList: 'unknown' | 'yes' | 'no' = 'unknown';
  /** Time of the last attempt of a control to read the list, successful or not, in ms. */
  private attemptedAt = -Infinity;
  /** Time of the reading on which the master's state is based, in ms. */
  private masterReadAt = -Infinity;
  /** Time of the newest reading that another control sent to this agent, in ms. */
  private directReadAt = -Infinity;
  private listed: ReadonlySet<string> = new Set();
  private draining: ReadonlySet<string> = new Set();
  private nextControl: number;
  private readonly stopping = createAbortController();

  /** The hash of `key` selects the control that is asked first, which spreads agents over the controls. */
  constructor(
    private readonly clock: Clock,
    private readonly transport: Transport,
    private readonly bounds: ZenBounds,
    private readonly log: Logger,
    key: string,
  ) {
    this.nextControl = slotForKey(key, startIndexRange);
  }

  /** Applies the report in the master's reply to a ping sent at `askedAt`; null means that the cluster uses no list. */
  applyReport(body: unknown, askedAt: number): void {
    if (body === undefined || body === null) {
      this.hasList = 'no';
      return;
    }
    const report = ServerListReport.parse(body);
    this.hasList = 'yes';
    this.applyAttempt(report, askedAt);
    if (report.readAge !== null)
      this.masterReadAt = Math.max(this.masterReadAt, askedAt - report.readAge);
  }

  /**
   * Time of the last attempt to read the list, in ms: Infinity if there is no list, -Infinity while that is unknown.
   */
  get leaseRenewedAt(): number {
    return this.hasList === 'no' ? Infinity : this.attemptedAt;
  }

  /**
   * Ids of servers that must get no new requests although the state allows it: those that are draining by the agent's
   * own readings and, while these are newer than the master's, those that they do not list. Undefined before the first
   * reading.
   */
  barredServers(state: State | undefined): readonly string[] | undefined {
    const readAt = Math.max(this.masterReadAt, this.directReadAt);
    if (this.hasList !== 'yes' || !state || readAt === -Infinity) return undefined;
    const isAhead = this.directReadAt > this.masterReadAt;
    if (!isAhead)
      this.draining = new Set(
        [...this.draining].filter((id) => state.servers.get(id)?.draining === false),
      );
    const unlisted = isAhead ? [...state.servers.keys()].filter((id) => !this.listed.has(id)) : [];
    return [...new Set([...this.draining, ...unlisted])];
  }

  /** Stops the loop of `run`. */
  stop(): void {
    this.stopping.abort();
  }

  /** Reads the list from controls whenever the last reading is late, at most once per list interval, until `stop`. */
  async run(zen: ZenNode): Promise<void> {
    const { listReadInterval } = this.bounds;
    while (!this.stopping.signal.aborted) {
      const now = this.clock.now();
      const isLate = this.isLate(zen, now);
      if (isLate) await this.readList(zen, now + listReadInterval);
      const pauseMs = isLate
        ? Math.max(listReadInterval * checkShare, now + listReadInterval - this.clock.now())
        : listReadInterval * checkShare;
      await delay(this.clock, pauseMs, this.stopping.signal);
    }
  }

  private isLate(zen: ZenNode, now: number): boolean {
    const { listReadInterval, heartbeatInterval } = this.bounds;
    if (this.hasList === 'unknown')
      return zen.knownMaster === undefined && zen.leaseRenewedAt > -Infinity;
    const maxAge = zen.knownMaster
      ? heartbeatInterval + listReadInterval * maxAgeWithMaster
      : listReadInterval * maxAgeWithoutMaster;
    const readAt = Math.max(this.masterReadAt, this.directReadAt);
    return this.hasList === 'yes' && now - readAt > maxAge;
  }

  /**
   * Asks one control after the other until one replies or `deadline` passes; not the master, whose readings are late.
   */
  private async readList(zen: ZenNode, deadline: number): Promise<void> {
    const voters = [...(zen.applied?.votingMembers.values() ?? [])].sort((a, b) =>
      a.id < b.id ? -1 : 1,
    );
    const others = voters.filter(({ id }) => id !== zen.knownMaster?.id);
    const controls = others.length > 0 ? others : voters;
    for (let i = 0; i < controls.length && !this.stopping.signal.aborted; i++) {
      const remainingMs = deadline - this.clock.now();
      const control = controls[this.nextControl % controls.length];
      if (remainingMs <= 0) return;
      const timeoutMs = Math.min(remainingMs, this.bounds.listReadInterval * replyShare);
      const reading = await this.readFrom(control, timeoutMs);
      if (reading !== 'new') this.nextControl++;
      if (reading !== 'none') return;
    }
  }

  private async readFrom(control: Member, timeoutMs: number): Promise<ReadResult> {
    const askedAt = this.clock.now();
    try {
      const reply = ServerListReply.parse(
        await this.transport.call(control.addr, 'control/list', {}, { timeoutMs }),
      );
      if (!reply.reported) {
        if (this.hasList === 'unknown') this.hasList = 'no';
        return 'new';
      }
      this.applyReply(reply, reply.reported, askedAt);
      return reply.reported.age === reply.reported.readAge ? 'new' : 'old';
    } catch (error) {
      this.log.debug(`Control ${control.addr} sent no server list: ${toRpcError(error).message}.`);
      return 'none';
    }
  }

  private applyReply(reply: ServerListReply, report: ServerListReport, askedAt: number): void {
    this.hasList = 'yes';
    this.draining = new Set([...this.draining, ...reply.draining]);
    if (report.readAge !== null && askedAt - report.readAge > this.directReadAt) {
      this.directReadAt = askedAt - report.readAge;
      this.listed = new Set([...reply.open, ...reply.draining]);
    }
    this.applyAttempt(report, askedAt);
  }

  private applyAttempt(report: ServerListReport, askedAt: number): void {
    if (report.age !== null) this.attemptedAt = Math.max(this.attemptedAt, askedAt - report.age);
  }
}
