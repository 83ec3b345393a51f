/**
 * Keeps the read lease of a front from expiring while its master does not respond (docs/design.md, "Freshness and the
 * read lease"): a ping round in which a majority of the controls have accepted nothing newer renews it just as the
 * master's reply does.
 */
import { delay, type Clock } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { PingRoundResult } from './ping-round.js';

/** Number of checks of the lease per heartbeat interval. */
const checksPerHeartbeat = 4;

/** The dependencies of `renewReadLease`. */
export interface ReadLeaseRenewalOptions {
  readonly clock: Clock;
  readonly bounds: ZenBounds;
  readonly isFollowing: () => boolean;
  /** Clock time, in ms, as of which the lease was last renewed. */
  readonly renewedAt: () => number;
  readonly pingRound: () => Promise<PingRoundResult>;
  readonly onRound: (round: PingRoundResult) => void;
  readonly stopping: AbortSignal;
}

/** While following a master, pings the controls once half of the lease has elapsed; resolves when the node stops. */
export const renewReadLease = async (options: ReadLeaseRenewalOptions): Promise<void> => {
  const { clock, bounds, stopping } = options;
  while (!stopping.aborted) {
    await delay(clock, bounds.heartbeatInterval / checksPerHeartbeat, stopping);
    const isHalfOver = clock.now() - options.renewedAt() > bounds.readLease / 2;
    if (options.isFollowing() && isHalfOver) options.onRound(await options.pingRound());
  }
};
