/**
 * Nodes fault detection: the master pings every member, takes those that failed off the list, and brings those that are
 * behind up to date (docs/zen.md, "Kept, on the ordinary path": pings both ways). It owns one watch a member.
 */
import { isNewerVersion, versionOf, type Member, type StateVersion } from '@tillerstair/state';
import {
  ConnectionRefusedError,
  delay,
  toRpcError,
  type Clock,
  type Logger,
  type Transport,
} from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { Mastership } from './mastership.js';
import type { MemberContacts } from './member-contacts.js';
import { NodePingResponse } from './messages.js';
import { peersOf, type PublishedState } from './published-state.js';
import type { StateSender } from './state-sender.js';

/** A member that refuses this many pings in a row has failed: its process is gone, or another node has its address. */
const maxRefusals = 2;
/** After a first refusal the next ping follows this many times sooner than a heartbeat. */
const retriesPerHeartbeat = 10;

/** What a detector works with. */
export interface NodesFaultDetectorOptions {
  readonly localMember: Member;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: ZenBounds;
  readonly log: Logger;
  readonly mastership: Mastership;
  readonly published: PublishedState;
  readonly contacts: MemberContacts;
  readonly sender: StateSender;
  /** Takes a failed member off the list of nodes. */
  readonly removeMember: (memberId: string) => void;
  /** Hears what a member reports of itself with each reply. */
  readonly onReport: (memberId: string, report: unknown) => void;
}

/** What is known of one member while it is watched. */
interface Watch {
  /** Clock time, in ms, of the newest reply to this watch, or of its beginning. */
  repliedAt: number;
  /** Pings refused since the newest reply. */
  refusals: number;
}

/** Watches all members for as long as the mastership lasts. */
export class NodesFaultDetector {
  private readonly localMember: Member;
  private readonly clock: Clock;
  private readonly transport: Transport;
  private readonly bounds: ZenBounds;
  private readonly log: Logger;
  private readonly mastership: Mastership;
  private readonly published: PublishedState;
  private readonly contacts: MemberContacts;
  private readonly sender: StateSender;
  private readonly removeMember: (memberId: string) => void;
  private readonly onReport: (memberId: string, report: unknown) => void;
  private readonly watchedIds = new Set<string>();
  /** Ends the wait before the next ping, by the address of the member. */
  private readonly pingDelays = new Map<string, AbortController>();

  constructor(options: NodesFaultDetectorOptions) {
    this.localMember = options.localMember;
    this.clock = options.clock;
    this.transport = options.transport;
    this.bounds = options.bounds;
    this.log = options.log;
    this.mastership = options.mastership;
    this.published = options.published;
    this.contacts = options.contacts;
    this.sender = options.sender;
    this.removeMember = options.removeMember;
    this.onReport = options.onReport;
  }

  /** Begins to watch the members of the newest state that are not watched yet. */
  watchMembers(): void {
    for (const { id } of peersOf(this.published.base, this.localMember.id)) {
      if (this.watchedIds.has(id)) continue;
      this.watchedIds.add(id);
      void this.watch(id);
    }
  }

  /** Pings the member at this address at once: a connection to it was lost. */
  onConnectionLost(address: string): void {
    this.pingDelays.get(address)?.abort();
  }

  /** Pings a member until it is no voter and off the list, or the mastership ends. */
  private async watch(id: string): Promise<void> {
    const watch: Watch = { repliedAt: this.clock.now(), refusals: 0 };
    while (!this.mastership.lost.aborted) {
      const { nodes, votingMembers } = this.published.base;
      const member = nodes.get(id) ?? votingMembers.get(id);
      if (!member) break;
      if (!(await this.ping(member, watch))) return;
      this.removeIfFailed(member, watch);
      await this.delayNextPing(member, watch);
    }
    this.watchedIds.delete(id);
  }

  /** Pings once; resolves with whether the watch goes on, which it does unless the member is in a later term. */
  private async ping(member: Member, watch: Watch): Promise<boolean> {
    const { term } = this.mastership;
    const { clusterId } = this.published.base;
    const askedAt = this.clock.now();
    try {
      const body = { from: this.localMember, to: member.id, term, clusterId };
      const response = NodePingResponse.parse(
        await this.transport.call(member.addr, 'zen/node-ping', body, {
          timeoutMs: this.bounds.failureTimeout,
        }),
      );
      if (response.term > term) {
        this.mastership.stepDown(`${member.addr} is in term ${response.term}`);
        return false;
      }
      watch.repliedAt = this.clock.now();
      watch.refusals = 0;
      this.contacts.noteReply(member.id, askedAt);
      this.contacts.noteApplied(member.id, response.applied);
      this.onReport(member.id, response.report);
      this.catchUpIfBehind(member, response.applied);
    } catch (e) {
      if (e instanceof ConnectionRefusedError || toRpcError(e).code === 'other-node')
        watch.refusals++;
    }
    return true;
  }

  private catchUpIfBehind(member: Member, applied: StateVersion): void {
    const { committed } = this.published;
    if (committed && isNewerVersion(versionOf(committed), applied))
      void this.sender.catchUp(member, committed);
  }

  private removeIfFailed(member: Member, watch: Watch): void {
    // A voter stays watched when it is off the list; without this each round would report it as failed again.
    if (!this.published.base.nodes.has(member.id)) return;
    const heardAt = Math.max(watch.repliedAt, this.contacts.lastReplyAt(member.id));
    const isSilent = this.clock.now() - heardAt > this.bounds.failureTimeout;
    if (watch.refusals < maxRefusals && !isSilent) return;
    watch.refusals = 0;
    this.log.info(`Member ${member.kind} ${member.addr} failed.`);
    this.removeMember(member.id);
  }

  private async delayNextPing(member: Member, { refusals }: Watch): Promise<void> {
    const { heartbeatInterval } = this.bounds;
    const ms = refusals === 1 ? heartbeatInterval / retriesPerHeartbeat : heartbeatInterval;
    const pause = new AbortController();
    const end = (): void => pause.abort();
    this.pingDelays.set(member.addr, pause);
    this.mastership.lost.addEventListener('abort', end, { once: true });
    try {
      await delay(this.clock, ms, pause.signal);
    } finally {
      this.mastership.lost.removeEventListener('abort', end);
      this.pingDelays.delete(member.addr);
    }
  }
}
