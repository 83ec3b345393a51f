/**
 * Times that membership, election and publishing work with, all derived as ratios of the outer
 * bounds that a deployment states (docs/zen.md, "Free values"). Every derived time is a whole, positive number of
 * milliseconds, since platform timers refuse fractions.
 */
import { toTimerMs } from '@tillerstair/wire';

/** Times used inside a cluster, in whole milliseconds (`joinTries` and `pingsFromAnotherMaster` are counts). */
export interface ZenBounds {
  /** Between two pings of a master and a follower. */
  readonly heartbeatInterval: number;
  /** How long a node may be silent before it is taken for failed. */
  readonly failureTimeout: number;
  /** How long a ping round waits for nodes that do not answer. */
  readonly pingWait: number;
  /** How long a candidate waits for joins and votes, and a joining node for its master. */
  readonly joinWait: number;
  /** Attempts to join an elected master before another is looked for. */
  readonly joinTries: number;
  /** How long a publish may take to reach a majority before the master steps down. */
  readonly publishWait: number;
  /** How long a control's own sync may last before it stands down until its disk takes bytes again. */
  readonly syncWithin: number;
  /** How long to wait between attempts to write to a disk that failed. */
  readonly diskRetryEvery: number;
  /** For how long every ping round must show the same blank controls before they bootstrap a cluster. */
  readonly bootstrapStillFor: number;
  /** How long a store may be silent before its replicas are filled elsewhere. */
  readonly replaceAfter: number;
  /** How long a front may serve without hearing that no newer state is committed. */
  readonly readLease: number;
  /** How long after an operator's call a draining mark may be committed for the call to be reported successful. */
  readonly drainingCommitWithin: number;
  /** Between two readings of the list of servers. */
  readonly listEvery: number;
  /** Pings of another master with a later term that make a master step down. */
  readonly pingsFromAnotherMaster: number;
}

/** What a deployment states, in milliseconds. */
export interface OuterBounds {
  /** Within which time a cluster that starts must serve. */
  readonly serveWithin: number;
  /** Within which time a server that drains must get nothing new. */
  readonly drainingWithin: number;
  readonly heartbeatInterval: number;
  readonly failureTimeout: number;
}

/** Derives the inner times from the outer bounds. */
export const zenBounds = (outer: OuterBounds): ZenBounds => ({
  heartbeatInterval: toTimerMs(outer.heartbeatInterval),
  failureTimeout: toTimerMs(outer.failureTimeout),
  pingWait: toTimerMs(outer.serveWithin / 24),
  joinWait: toTimerMs(outer.serveWithin / 8),
  joinTries: 3,
  publishWait: toTimerMs(outer.failureTimeout / 2),
  syncWithin: toTimerMs(outer.failureTimeout / 2),
  diskRetryEvery: toTimerMs(outer.heartbeatInterval / 4),
  bootstrapStillFor: toTimerMs(outer.serveWithin / 6),
  replaceAfter: toTimerMs(outer.failureTimeout * 2),
  readLease: toTimerMs((outer.drainingWithin * 5) / 6),
  drainingCommitWithin: toTimerMs(outer.drainingWithin / 6),
  listEvery: toTimerMs(outer.drainingWithin / 6),
  pingsFromAnotherMaster: 1,
});

/** Bounds that can be replaced while the process runs. */
export interface ReloadableBounds {
  /** Always shows the values in force now; whoever keeps a copy of a value does not follow. */
  readonly bounds: ZenBounds;
  /** Puts other values in force, at once and for everybody who holds `bounds`. */
  replace(outer: OuterBounds): void;
}

/** Derives bounds whose values follow a later `replace`, for settings that are read again. */
export const reloadableBounds = (outer: OuterBounds): ReloadableBounds => {
  const bounds = zenBounds(outer);
  return {
    bounds,
    replace: (next) => {
      Object.assign(bounds, zenBounds(next));
    },
  };
};
