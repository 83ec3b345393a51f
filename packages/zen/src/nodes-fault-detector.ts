/**
 * Nodes fault detection: the master pings every member, removes failed members from the list of nodes, and sends the
 * committed state to those that are behind (docs/zen.md, "Kept, on the ordinary path": pings both ways). It owns one
 * watch per member.
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

/** A member that refuses this many pings in a row has failed: its process is gone or another node has its address. */
const maxRefusals = 2;
/** After a first refusal the next ping is sent this many times sooner than a heartbeat later. */
const retriesPerHeartbeat = 10;

/** The dependencies of a `NodesFaultDetector`. */
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
  /** Removes a failed member from the list of nodes. */
  readonly removeMember: (memberId: string) => void;
  /** Receives the report that a member sends with each reply. */
  readonly onReport: (memberId: string, report: unknown) => void;
}

/** The replies and refusals of one member that is being watched. */
interface Watch {
  /** Clock time, in ms, of the newest reply to a ping of this watch, or of the start of the watch. */
  repliedAt: number;
  /** Number of pings refused since the newest reply. */
  refusals: number;
}

/** Pings all members for as long as the mastership lasts. */
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
  /** Aborts the delay before the next ping to the member at the address. */
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

  /** Starts to watch the members of the newest state that are not watched yet. */
  watchMembers(): void {
    for (const { id } of peersOf(this.published.base, this.localMember.id)) {
      if (this.watchedIds.has(id)) continue;
      this.watchedIds.add(id);
      void this.watch(id);
    }
  }

  /** Pings the member at this address without delay because a connection to it was lost. */
  onConnectionLost(address: string): void {
    this.pingDelays.get(address)?.abort();
  }

  /** Pings a member until it is neither a voter nor on the list of nodes, or the mastership ends. */
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

  /** Pings once; resolves with false, which ends the watch, if the member is in a later term. */
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
    // A voter is watched even when it is not listed; without this check each ping would report it as failed again.
    if (!this.published.base.nodes.has(member.id)) return;
    const repliedAt = Math.max(watch.repliedAt, this.contacts.lastReplyAt(member.id));
    const isTimedOut = this.clock.now() - repliedAt > this.bounds.failureTimeout;
    if (watch.refusals < maxRefusals && !isTimedOut) return;
    watch.refusals = 0;
    this.log.info(
      `Member ${member.kind} ${member.addr} failed; removing it from the list of nodes.`,
    );
    this.removeMember(member.id);
  }

  private async delayNextPing(member: Member, { refusals }: Watch): Promise<void> {
    const { heartbeatInterval } = this.bounds;
    const delayMs = refusals === 1 ? heartbeatInterval / retriesPerHeartbeat : heartbeatInterval;
    const pingDelay = new AbortController();
    const endDelay = (): void => pingDelay.abort();
    this.pingDelays.set(member.addr, pingDelay);
    this.mastership.lost.addEventListener('abort', endDelay, { once: true });
    try {
      await delay(this.clock, delayMs, pingDelay.signal);
    } finally {
      this.mastership.lost.removeEventListener('abort', endDelay);
      this.pingDelays.delete(member.addr);
    }
  }
}
