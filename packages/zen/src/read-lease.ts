/**
 * The read lease of a member: how long it may serve from the state that it has applied (docs/design.md, "Freshness and
 * the read lease"). It owns the time of the last renewal. Invariant: a renewal counts from the time at which a request
 * was sent, never from its reply, so that a lease never lasts longer than a later master waits for.
 */
import { versionOf, isNewerVersion, hasQuorum, type State } from '@tillerstair/state';
import type { PingRoundResult } from './ping-round.js';

/**
 * Records the latest time at which no state newer than the applied one was committed, as shown by a reply of the master
 * or by a ping round in which a majority of the voters have accepted nothing newer.
 */
export class ReadLease {
  private renewedAt = -Infinity;

  /** Latest clock time, in ms, at which the applied state is known to be the newest; -Infinity before a renewal. */
  get leaseRenewedAt(): number {
    return this.renewedAt;
  }

  /** Records that nothing newer was committed at `at`, a clock time in ms; an earlier one never shortens the lease. */
  renew(at: number): void {
    this.renewedAt = Math.max(this.renewedAt, at);
  }

  /** Renews the lease if a majority of the voters replied in this round without having accepted a newer state. */
  renewFromRound(round: PingRoundResult, applied: State | undefined, selfId: string): void {
    // A node that is not listed must not serve: the master no longer waits for it to apply a committed state.
    if (!applied?.nodes.has(selfId)) return;
    const upToDateIds = new Set(
      round.pingResponses
        .filter((response) => !isNewerVersion(response.accepted, versionOf(applied)))
        .map((response) => response.from.id),
    );
    if (hasQuorum(applied.voters, upToDateIds)) this.renew(round.startedAt);
  }
}
