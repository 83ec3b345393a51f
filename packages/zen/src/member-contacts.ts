/**
 * Records when each member last replied and which state it has applied. It owns one contact per member. Invariants: a
 * reply counts from the time its request was sent, so that no age is ever underestimated; the applied version of a
 * member never goes back.
 */
import {
  isNewerVersion,
  versionOf,
  type StateVersion,
  type VotingConfiguration,
} from '@tillerstair/state';
import type { Clock } from '@tillerstair/wire';

/** A member is responsive if it answered a request sent within this many heartbeats. */
const responsiveHeartbeats = 2;

interface Contact {
  /** Clock time, in ms, at which the newest request that the member answered was sent. */
  readonly repliedAt: number;
  readonly applied: StateVersion;
}

const noContact: Contact = { repliedAt: -Infinity, applied: versionOf(undefined) };

/** The contacts of a master with its members since its election. */
export class MemberContacts {
  private readonly contacts = new Map<string, Contact>();
  private readonly appliedListeners: (() => void)[] = [];
  private readonly electedAt: number;

  constructor(
    private readonly selfId: string,
    private readonly clock: Clock,
  ) {
    this.electedAt = clock.now();
  }

  /** Calls `listener` whenever a member reports the version that it has applied. */
  onApplied(listener: () => void): void {
    this.appliedListeners.push(listener);
  }

  /** Replaces the contact of a member that joins, which answered a request sent at `askedAt`. */
  reset(memberId: string, askedAt: number): void {
    this.contacts.set(memberId, { ...noContact, repliedAt: askedAt });
  }

  /** Records that the member answered a request sent at `askedAt`, a clock time in ms. */
  noteReply(memberId: string, askedAt: number): void {
    this.contacts.set(memberId, { ...this.contactWith(memberId), repliedAt: askedAt });
  }

  /** Records the version that the member reports as applied; an older version than the known one is ignored. */
  noteApplied(memberId: string, applied: StateVersion): void {
    const contact = this.contactWith(memberId);
    if (isNewerVersion(applied, contact.applied))
      this.contacts.set(memberId, { ...contact, applied });
    for (const listener of this.appliedListeners) listener();
  }

  /** The newest version that the member is known to have applied. */
  appliedBy(memberId: string): StateVersion {
    return this.contactWith(memberId).applied;
  }

  /** Clock time, in ms, at which the newest answered request to the member was sent; -Infinity before the first. */
  lastReplyAt(memberId: string): number {
    return this.contactWith(memberId).repliedAt;
  }

  /** Time, in ms, since the newest request that the member answered was sent; at most the time since the election. */
  unresponsiveFor(memberId: string): number {
    return this.clock.now() - Math.max(this.electedAt, this.lastReplyAt(memberId));
  }

  /** Whether the member answered a request sent within the last two heartbeats; always true for this control itself. */
  isResponsive(memberId: string, heartbeatInterval: number): boolean {
    if (memberId === this.selfId) return true;
    const age = this.clock.now() - this.lastReplyAt(memberId);
    return age <= heartbeatInterval * responsiveHeartbeats;
  }

  /** Time, in ms, since this control last had contact with a majority of each group of the voters. */
  majorityAge(voters: VotingConfiguration): number {
    return Math.max(this.medianAge(voters.current), this.medianAge(voters.next));
  }

  /** The smallest age, in ms, within which a majority of the group has replied; this control's own age is 0. */
  private medianAge(group: readonly string[]): number {
    const now = this.clock.now();
    const ages = group.map((id) => (id === this.selfId ? 0 : now - this.lastReplyAt(id)));
    return ages.sort((a, b) => a - b)[Math.floor(group.length / 2)] ?? Infinity;
  }

  private contactWith(memberId: string): Contact {
    return this.contacts.get(memberId) ?? noContact;
  }
}
