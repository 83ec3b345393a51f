/**
 * Intervals and timeouts of membership, election and publishing, all derived as ratios of the bounds that a deployment
 * configures (docs/zen.md, "Free values"). Every derived time is a whole, positive number of milliseconds, since
 * platform timers reject fractions.
 */
import { toTimerMs } from '@tillerstair/wire';

/** Timings inside a cluster, in whole milliseconds; `joinAttempts` and `pingsFromAnotherMaster` are counts. */
export interface ZenBounds {
  /** Interval between pings from a master to a follower, and from a follower to its master. */
  readonly heartbeatInterval: number;
  /** Time without a response after which a node counts as failed. */
  readonly failureTimeout: number;
  /** Time that a ping round waits for responses. */
  readonly pingRoundTimeout: number;
  /** Time that a candidate waits for joins, and then for votes; also the timeout of one join request. */
  readonly joinTimeout: number;
  /** Attempts to join the elected master before the node searches for a master again. */
  readonly joinAttempts: number;
  /** Time within which a majority must accept a published state; otherwise the master steps down. */
  readonly publishTimeout: number;
  /** Timeout of a control's disk sync; after it, the control neither leads nor votes until its disk accepts writes. */
  readonly syncTimeout: number;
  /** Interval between attempts to write to a failed disk. */
  readonly diskRetryInterval: number;
  /** Time for which every ping round must yield the same blank controls before they bootstrap a cluster. */
  readonly bootstrapStablePeriod: number;
  /** Time without a response from a store after which its replicas are rebuilt on other stores. */
  readonly replicaReplacementDelay: number;
  /** Time that a front may serve after the last confirmation that no newer state was committed. */
  readonly readLease: number;
  /** Time after an operator's call within which the draining mark must be committed for the call to succeed. */
  readonly drainingCommitTimeout: number;
  /** Interval between reads of the server list. */
  readonly listReadInterval: number;
  /** Number of pings from another master with a later term after which a master steps down. */
  readonly pingsFromAnotherMaster: number;
}

/** Bounds that a deployment configures, in whole milliseconds. */
export interface ConfiguredBounds {
  /** Time within which a starting cluster must serve. */
  readonly serveWithin: number;
  /** Time within which a draining server must stop receiving new requests. */
  readonly drainingWithin: number;
  /** Interval between pings from a master to a follower, and from a follower to its master. */
  readonly heartbeatInterval: number;
  /** Time without a response after which a node counts as failed. */
  readonly failureTimeout: number;
}

/** Derives the intervals and timeouts inside a cluster from the configured bounds. */
export const zenBounds = (configured: ConfiguredBounds): ZenBounds => ({
  heartbeatInterval: toTimerMs(configured.heartbeatInterval),
  failureTimeout: toTimerMs(configured.failureTimeout),
  pingRoundTimeout: toTimerMs(configured.serveWithin / 24),
  joinTimeout: toTimerMs(configured.serveWithin / 8),
  joinAttempts: 3,
  publishTimeout: toTimerMs(configured.failureTimeout / 2),
  syncTimeout: toTimerMs(configured.failureTimeout / 2),
  diskRetryInterval: toTimerMs(configured.heartbeatInterval / 4),
  bootstrapStablePeriod: toTimerMs(configured.serveWithin / 6),
  replicaReplacementDelay: toTimerMs(configured.failureTimeout * 2),
  readLease: toTimerMs((configured.drainingWithin * 5) / 6),
  drainingCommitTimeout: toTimerMs(configured.drainingWithin / 6),
  listReadInterval: toTimerMs(configured.drainingWithin / 6),
  pingsFromAnotherMaster: 1,
});

/** Bounds that can be reloaded while the process runs. */
export interface ReloadableBounds {
  /** The current values, updated in place by `replace`; read them at each use, since a copied value is not updated. */
  readonly bounds: ZenBounds;
  /** Replaces the values of `bounds` in place, for all its users. */
  replace(configured: ConfiguredBounds): void;
}

/** Derives bounds that can be replaced later, for settings that are reloaded. */
export const reloadableBounds = (configured: ConfiguredBounds): ReloadableBounds => {
  const bounds = zenBounds(configured);
  return {
    bounds,
    replace: (next) => {
      Object.assign(bounds, zenBounds(next));
    },
  };
};
