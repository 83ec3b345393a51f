/** The read lease of a member: until when it may serve from the state that it has applied. */
import { versionOf, isNewerVersion, hasQuorum, type State } from '@tillerstair/state';
import type { PingRoundResult } from './ping-round.js';

/**
 * Remembers the last moment at which no newer state was committed than the one applied here. It learns so
 * from the master's replies, or from a ping round in which a majority of the voters hold nothing newer.
 */
export class ReadLease {
  private at = -Infinity;

  /** Clock time, in ms, at which the state applied here was surely the newest. */
  get leaseRenewedAt(): number {
    return this.at;
  }

  /** Notes that nothing newer was committed at `at`. */
  renew(at: number): void {
    this.at = Math.max(this.at, at);
  }

  /** Renews the lease if a majority of the voters answered in this round and none of those holds a newer state. */
  renewFromRound(round: PingRoundResult, applied: State | undefined, ownId: string): void {
    if (!applied || !applied.nodes.has(ownId)) return;
    const notNewer = new Set(
      round.pingResponses
        .filter((g) => !isNewerVersion(g.accepted, versionOf(applied)))
        .map((g) => g.from.id),
    );
    if (hasQuorum(applied.voters, notNewer)) this.renew(round.startedAt);
  }
}
