/**
 * The read lease of a member: until when it may serve from the state that it has applied (docs/design.md, "Freshness
 * and the read lease"). It owns the moment of the last renewal. Invariant: that moment is one of asking, never of
 * answering, so that a lease is never longer than a later master allows for.
 */
import { versionOf, isNewerVersion, hasQuorum, type State } from '@tillerstair/state';
import type { PingRoundResult } from './ping-round.js';

/**
 * Remembers the last moment at which no newer state was committed than the one applied here. It learns so
 * from the master's replies, or from a ping round in which a majority of the voters hold nothing newer.
 */
export class ReadLease {
  private renewedAt = -Infinity;

  /** Clock time, in ms, at which the state applied here was surely the newest. */
  get leaseRenewedAt(): number {
    return this.renewedAt;
  }

  /** Notes that nothing newer was committed at `at`; an earlier moment takes nothing back. */
  renew(at: number): void {
    this.renewedAt = Math.max(this.renewedAt, at);
  }

  /** Renews the lease if a majority of the voters answered in this round and none of those holds a newer state. */
  renewFromRound(round: PingRoundResult, applied: State | undefined, selfId: string): void {
    // A node that is off the list serves nothing: the master no longer waits for it to apply what it commits.
    if (!applied?.nodes.has(selfId)) return;
    const holdNothingNewer = new Set(
      round.pingResponses
        .filter((response) => !isNewerVersion(response.accepted, versionOf(applied)))
        .map((response) => response.from.id),
    );
    if (hasQuorum(applied.voters, holdNothingNewer)) this.renew(round.startedAt);
  }
}
