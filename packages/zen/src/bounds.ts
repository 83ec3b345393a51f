/**
 * Times that membership, election and publishing work with, all derived as ratios of the outer
 * bounds that a deployment states (docs/zen.md, "Free values"). Every derived time is a whole, positive number of
 * milliseconds, since platform timers refuse fractions.
 */
import { toTimerMs } from '@tillerstair/wire';

/** Times used inside a cluster, in whole milliseconds (`joinAttempts` and `pingsFromAnotherMaster` are counts). */
export interface ZenBounds {
  /** Between two pings of a master and a follower. */
  readonly heartbeatInterval: number;
  /** How long a node may be silent before it is taken for failed. */
  readonly failureTimeout: number;
  /** How long a ping round waits for nodes that do not answer. */
  readonly pingRoundTimeout: number;
  /** How long a candidate waits for joins and votes, and a joining node for its master. */
  readonly joinTimeout: number;
  /** Attempts to join an elected master before another is looked for. */
  readonly joinAttempts: number;
  /** How long a publish may take to reach a majority before the master steps down. */
  readonly publishTimeout: number;
  /** How long a sync of a control may last before it neither leads nor votes until its disk accepts writes again. */
  readonly syncTimeout: number;
  /** How long to wait between attempts to write to a disk that failed. */
  readonly diskRetryInterval: number;
  /** For how long every ping round must show the same blank controls before they bootstrap a cluster. */
  readonly bootstrapStablePeriod: number;
  /** How long a store may be silent before its replicas are filled elsewhere. */
  readonly replicaReplacementDelay: number;
  /** How long a front may serve without hearing that no newer state is committed. */
  readonly readLease: number;
  /** How long after an operator's call a draining mark may be committed for the call to be reported successful. */
  readonly drainingCommitTimeout: number;
  /** Between two readings of the list of servers. */
  readonly listReadInterval: number;
  /** Pings of another master with a later term that make a master step down. */
  readonly pingsFromAnotherMaster: number;
}

/** What a deployment states, in whole milliseconds. */
export interface ConfiguredBounds {
  /** Within which time a cluster that starts must serve. */
  readonly serveWithin: number;
  /** Within which time a server that drains must get nothing new. */
  readonly drainingWithin: number;
  /** Between two pings of a master and a follower. */
  readonly heartbeatInterval: number;
  /** How long a node may be silent before it is taken for failed. */
  readonly failureTimeout: number;
}

/** Derives the inner times from the outer bounds. */
export const zenBounds = (outer: ConfiguredBounds): ZenBounds => ({
  heartbeatInterval: toTimerMs(outer.heartbeatInterval),
  failureTimeout: toTimerMs(outer.failureTimeout),
  pingRoundTimeout: toTimerMs(outer.serveWithin / 24),
  joinTimeout: toTimerMs(outer.serveWithin / 8),
  joinAttempts: 3,
  publishTimeout: toTimerMs(outer.failureTimeout / 2),
  syncTimeout: toTimerMs(outer.failureTimeout / 2),
  diskRetryInterval: toTimerMs(outer.heartbeatInterval / 4),
  bootstrapStablePeriod: toTimerMs(outer.serveWithin / 6),
  replicaReplacementDelay: toTimerMs(outer.failureTimeout * 2),
  readLease: toTimerMs((outer.drainingWithin * 5) / 6),
  drainingCommitTimeout: toTimerMs(outer.drainingWithin / 6),
  listReadInterval: toTimerMs(outer.drainingWithin / 6),
  pingsFromAnotherMaster: 1,
});

/** Bounds that can be replaced while the process runs. */
export interface ReloadableBounds {
  /** Always shows the values in force now; whoever keeps a copy of a value does not follow. */
  readonly bounds: ZenBounds;
  /** Puts other values in force, at once and for everybody who holds `bounds`. */
  replace(outer: ConfiguredBounds): void;
}

/** Derives bounds whose values follow a later `replace`, for settings that are read again. */
export const reloadableBounds = (outer: ConfiguredBounds): ReloadableBounds => {
  const bounds = zenBounds(outer);
  return {
    bounds,
    replace: (next) => {
      Object.assign(bounds, zenBounds(next));
    },
  };
};
