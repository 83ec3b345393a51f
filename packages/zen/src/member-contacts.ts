/**
 * When the members were last heard of and what they have applied. It owns one contact a member. Invariants: a reply is
 * dated at the moment of asking, so that no age is ever too small; what a member has applied never goes back.
 */
import {
  isNewerVersion,
  versionOf,
  type StateVersion,
  type VotingConfiguration,
} from '@tillerstair/state';
import type { Clock } from '@tillerstair/wire';

/** A member that replied within this many heartbeats is responsive. */
const responsiveHeartbeats = 2;

interface Contact {
  /** Clock time, in ms, at which the newest question that it answered was asked. */
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

  /** Calls `listener` whenever a member reports what it has applied. */
  onApplied(listener: () => void): void {
    this.appliedListeners.push(listener);
  }

  /** Begins anew with a member that joins; it answered a question asked at `askedAt`. */
  reset(memberId: string, askedAt: number): void {
    this.contacts.set(memberId, { ...noContact, repliedAt: askedAt });
  }

  /** Notes that the member answered a question asked at `askedAt`. */
  noteReply(memberId: string, askedAt: number): void {
    this.contacts.set(memberId, { ...this.contactWith(memberId), repliedAt: askedAt });
  }

  /** Notes what the member says it has applied. */
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

  /** Clock time, in ms, of the newest question that the member answered; -Infinity before the first. */
  lastReplyAt(memberId: string): number {
    return this.contactWith(memberId).repliedAt;
  }

  /** For how long, in ms, the member has not answered; at most the time since the election. */
  unresponsiveFor(memberId: string): number {
    return this.clock.now() - Math.max(this.electedAt, this.lastReplyAt(memberId));
  }

  /** Whether the member replied lately; this control itself always did. */
  isResponsive(memberId: string, heartbeatInterval: number): boolean {
    if (memberId === this.selfId) return true;
    const age = this.clock.now() - this.lastReplyAt(memberId);
    return age <= heartbeatInterval * responsiveHeartbeats;
  }

  /** For how long, in ms, this control has not heard of a majority of each group of the voters. */
  majorityAge(voters: VotingConfiguration): number {
    return Math.max(this.medianAge(voters.current), this.medianAge(voters.next));
  }

  /** The age below which a majority of the group lies, this control's own being 0. */
  private medianAge(group: readonly string[]): number {
    const now = this.clock.now();
    const ages = group.map((id) => (id === this.selfId ? 0 : now - this.lastReplyAt(id)));
    return ages.sort((a, b) => a - b)[Math.floor(group.length / 2)] ?? Infinity;
  }

  private contactWith(memberId: string): Contact {
    return this.contacts.get(memberId) ?? noContact;
  }
}
