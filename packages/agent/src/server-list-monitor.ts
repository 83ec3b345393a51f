/**
 * Follows how fresh the readings of the platform's list of servers are, for the front beside this agent. Readings come
 * with the master's replies to pings; when they are late, or there is no master, the agent asks another control, which
 * reads the list itself (`docs/platform.md`, "Servers").
 *
 * Owns the ages of the newest readings and the servers that they show as draining or no longer listed. Whatever is
 * learned counts from the moment of asking, so it is never taken for fresher than it is.
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

/** How late a reading may be before another control is asked, in intervals of the list. */
const maxAgeWithMaster = 1.5;
const maxAgeWithoutMaster = 2;
/** A control has this share of the interval of the list to respond. */
const replyShare = 1 / 2;
/** How often the ages are looked at, as a share of the interval of the list. */
const checkShare = 1 / 10;
/** Agents begin with different controls, by a hash of their id. */
const startIndexRange = 1 << 16;

/** `new`: the control read the list for this request; `old`: it could not and told what it had; `none`: no reply. */
type ReadResult = 'new' | 'old' | 'none';

/** Follows the readings of the list of servers. */
export class ServerListMonitor {
  /** Whether the cluster goes by a list at all. */
  private hasList: 'unknown' | 'yes' | 'no' = 'unknown';
  /** When a control last tried to read the list, successfully or not. */
  private attemptedAt = -Infinity;
  /** When the list was read that the state of the master rests on. */
  private masterReadAt = -Infinity;
  /** When the list was read that another control told this agent. */
  private directReadAt = -Infinity;
  private listed: ReadonlySet<string> = new Set();
  private draining: ReadonlySet<string> = new Set();
  private nextControl: number;
  private readonly stopping = createAbortController();

  /** `key` spreads agents over the controls: each begins with another one. */
  constructor(
    private readonly clock: Clock,
    private readonly transport: Transport,
    private readonly bounds: ZenBounds,
    private readonly log: Logger,
    key: string,
  ) {
    this.nextControl = slotForKey(key, startIndexRange);
  }

  /** Takes what the master told with its reply to a ping that was sent at `askedAt`; null if it goes by no list. */
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

  /** The newest attempt to read the list, in ms: Infinity if there is no list, -Infinity while that is not known. */
  get leaseRenewedAt(): number {
    return this.hasList === 'no' ? Infinity : this.attemptedAt;
  }

  /**
   * The servers that may get nothing new beyond what the state says: draining by the agent's own readings, and, while
   * these are newer than the master's, those that they do not list. Undefined while nothing was read.
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

  /** Ends `run`. */
  stop(): void {
    this.stopping.abort();
  }

  /** Asks controls whenever the newest reading is late, at most once in an interval of the list, until `stop`. */
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

  /** Asks one control after the other until one replies or `end` has come; not the master, whose readings are late. */
  private async readList(zen: ZenNode, end: number): Promise<void> {
    const voters = [...(zen.applied?.votingMembers.values() ?? [])].sort((a, b) =>
      a.id < b.id ? -1 : 1,
    );
    const others = voters.filter(({ id }) => id !== zen.knownMaster?.id);
    const controls = others.length > 0 ? others : voters;
    for (let n = 0; n < controls.length && !this.stopping.signal.aborted; n++) {
      const remainingMs = end - this.clock.now();
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
      this.log.debug(`${control.addr} sends no server list: ${toRpcError(error).message}.`);
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
