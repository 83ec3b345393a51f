import {
  ServerListReply,
  ServerListReport,
  slotForKey,
  type Member,
  type State,
} from '@tillerstair/state';
import {
  createAbortController,
  toRpcError,
  delay,
  type Transport,
  type Clock,
  type Logger,
} from '@tillerstair/wire';
import type { ZenBounds, ZenNode } from '@tillerstair/zen';

export class ListWatch {
  private used: 'unknown' | 'yes' | 'no' = 'unknown';
  private triedAt = -Infinity;
  private masterRead = -Infinity;
  private ownRead = -Infinity;
  private listed: ReadonlySet<string> = new Set();
  private left: ReadonlySet<string> = new Set();
  private turn: number;
  private readonly gone = createAbortController();

  constructor(
    private readonly clock: Clock,
    private readonly transport: Transport,
    private readonly bounds: ZenBounds,
    private readonly log: Logger,
    key: string,
  ) {
    this.turn = slotForKey(key, 1 << 16);
  }

  onListReport(body: unknown, askedAt: number): void {
    if (body === undefined || body === null) {
      this.used = 'no';
      return;
    }
    const reported = ServerListReport.parse(body);
    this.used = 'yes';
    if (reported.age !== null) this.triedAt = Math.max(this.triedAt, askedAt - reported.age);
    if (reported.readAge !== null)
      this.masterRead = Math.max(this.masterRead, askedAt - reported.readAge);
  }

  get leaseRenewedAt(): number {
    return this.used === 'no' ? Infinity : this.triedAt;
  }

  barred(s: State | undefined): readonly string[] | undefined {
    if (this.used !== 'yes' || !s || Math.max(this.masterRead, this.ownRead) === -Infinity)
      return undefined;
    const ahead = this.ownRead > this.masterRead;
    if (!ahead)
      this.left = new Set([...this.left].filter((id) => s.servers.get(id)?.draining === false));
    const gone = ahead ? [...s.servers.keys()].filter((id) => !this.listed.has(id)) : [];
    return [...new Set([...this.left, ...gone])];
  }

  stop(): void {
    this.gone.abort();
  }

  async run(zen: ZenNode): Promise<void> {
    const { listReadInterval, heartbeatInterval } = this.bounds;
    while (!this.gone.signal.aborted) {
      const bearable = zen.masterSeen
        ? heartbeatInterval + listReadInterval * 1.5
        : listReadInterval * 2;
      const readAt = Math.max(this.masterRead, this.ownRead);
      const now = this.clock.now();
      const late =
        this.used === 'unknown'
          ? zen.masterSeen === undefined && zen.leaseRenewedAt > -Infinity
          : this.used === 'yes' && now - readAt > bearable;
      if (late) await this.ask(zen, now + listReadInterval);
      await delay(
        this.clock,
        late
          ? Math.max(listReadInterval / 10, now + listReadInterval - this.clock.now())
          : listReadInterval / 10,
        this.gone.signal,
      );
    }
  }

  private async ask(zen: ZenNode, end: number): Promise<void> {
    const voters = [...(zen.applied?.votingMembers.values() ?? [])].sort((a, b) =>
      a.id < b.id ? -1 : 1,
    );
    const others = voters.filter((m) => m.id !== zen.masterSeen?.id);
    const peers = others.length > 0 ? others : voters;
    for (let n = 0; n < peers.length && !this.gone.signal.aborted; n++) {
      const left = end - this.clock.now();
      const member = peers[this.turn % peers.length];
      if (!member || left <= 0) return;
      const got = await this.askOne(member, Math.min(left, this.bounds.listReadInterval / 2));
      if (got !== 'read') this.turn++;
      if (got !== 'silent') return;
    }
  }

  private async askOne(member: Member, within: number): Promise<'read' | 'unread' | 'silent'> {
    const askedAt = this.clock.now();
    try {
      const reply = ServerListReply.parse(
        await this.transport.call(member.addr, 'control/list', {}, { timeoutMs: within }),
      );
      if (!reply.reported) {
        if (this.used === 'unknown') this.used = 'no';
        return 'read';
      }
      this.take(reply, reply.reported, askedAt);
      return reply.reported.age === reply.reported.readAge ? 'read' : 'unread';
    } catch (e) {
      this.log.debug(`${member.addr} tells no server list: ${toRpcError(e).message}.`);
      return 'silent';
    }
  }

  private take(reply: ServerListReply, reported: ServerListReport, askedAt: number): void {
    this.used = 'yes';
    this.left = new Set([...this.left, ...reply.draining]);
    if (reported.readAge !== null && askedAt - reported.readAge > this.ownRead) {
      this.ownRead = askedAt - reported.readAge;
      this.listed = new Set([...reply.open, ...reply.draining]);
    }
    if (reported.age !== null) this.triedAt = Math.max(this.triedAt, askedAt - reported.age);
  }
}
