/**
 * Keeps the read lease of a front from running out while its master is silent (docs/design.md, "Freshness and the read
 * lease"): a ping round in which a majority of controls hold nothing newer renews it as well as the master does.
 */
import { delay, type Clock } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { PingRoundResult } from './ping-round.js';

/** How often the lease is looked at: times in a heartbeat. */
const checksPerHeartbeat = 4;

/** What renewing a read lease needs of its node. */
export interface ReadLeaseRenewalOptions {
  readonly clock: Clock;
  readonly bounds: ZenBounds;
  readonly isFollowing: () => boolean;
  /** Clock time in milliseconds at which the lease was renewed last. */
  readonly renewedAt: () => number;
  readonly pingRound: () => Promise<PingRoundResult>;
  readonly onRound: (round: PingRoundResult) => void;
  readonly stopping: AbortSignal;
}

/** Pings the controls whenever half of the lease has passed under a master; resolves when the node stops. */
export const renewReadLease = async (options: ReadLeaseRenewalOptions): Promise<void> => {
  const { clock, bounds, stopping } = options;
  while (!stopping.aborted) {
    await delay(clock, bounds.heartbeatInterval / checksPerHeartbeat, stopping);
    const isHalfOver = clock.now() - options.renewedAt() > bounds.readLease / 2;
    if (options.isFollowing() && isHalfOver) options.onRound(await options.pingRound());
  }
};
