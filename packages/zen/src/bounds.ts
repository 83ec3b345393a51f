/**
 * Times that membership, election and publishing work with, all derived as ratios of the outer
 * bounds that a deployment states. Every derived time is a whole, positive number of milliseconds,
 * since platform timers refuse fractions.
 */

import { toTimerMs } from '@tillerstair/wire';

/** Times used inside a cluster, in whole milliseconds (`joinTries` and `pingsFromAnotherMaster` are counts). */
export interface ZenBounds {
  readonly heartbeatInterval: number;
  readonly failureTimeout: number;
  readonly pingWait: number;
  readonly joinWait: number;
  readonly joinTries: number;
  readonly publishWait: number;
  /** How long a control's own sync may last before it stands down until its disk takes bytes again. */
  readonly syncWithin: number;
  /** How long to wait between attempts to write to a disk that failed. */
  readonly diskRetryEvery: number;
  readonly bootstrapStillFor: number;
  readonly replaceAfter: number;
  readonly readLease: number;
  readonly drainingCommitWithin: number;
  readonly listEvery: number;
  readonly pingsFromAnotherMaster: number;
}

/** What a deployment states, in milliseconds. */
export interface OuterBounds {
  readonly serveWithin: number;
  readonly drainingWithin: number;
  readonly heartbeatInterval: number;
  readonly failureTimeout: number;
}

/** Derives the inner times from the outer bounds. */
export const zenBounds = (o: OuterBounds): ZenBounds => ({
  heartbeatInterval: toTimerMs(o.heartbeatInterval),
  failureTimeout: toTimerMs(o.failureTimeout),
  pingWait: toTimerMs(o.serveWithin / 24),
  joinWait: toTimerMs(o.serveWithin / 8),
  joinTries: 3,
  publishWait: toTimerMs(o.failureTimeout / 2),
  syncWithin: toTimerMs(o.failureTimeout / 2),
  diskRetryEvery: toTimerMs(o.heartbeatInterval / 4),
  bootstrapStillFor: toTimerMs(o.serveWithin / 6),
  replaceAfter: toTimerMs(o.failureTimeout * 2),
  readLease: toTimerMs((o.drainingWithin * 5) / 6),
  drainingCommitWithin: toTimerMs(o.drainingWithin / 6),
  listEvery: toTimerMs(o.drainingWithin / 6),
  pingsFromAnotherMaster: 1,
});

/** Bounds that can be replaced while the process runs. */
export interface ReloadableBounds {
  /** Always shows the values in force now. */
  readonly bounds: ZenBounds;
  replace(outer: OuterBounds): void;
}

/** Derives bounds whose values follow a later `replace`, for settings that are read again. */
export const reloadableBounds = (outer: OuterBounds): ReloadableBounds => {
  let current = zenBounds(outer);
  return {
    bounds: {
      get heartbeatInterval() {
        return current.heartbeatInterval;
      },
      get failureTimeout() {
        return current.failureTimeout;
      },
      get pingWait() {
        return current.pingWait;
      },
      get joinWait() {
        return current.joinWait;
      },
      get joinTries() {
        return current.joinTries;
      },
      get publishWait() {
        return current.publishWait;
      },
      get syncWithin() {
        return current.syncWithin;
      },
      get diskRetryEvery() {
        return current.diskRetryEvery;
      },
      get bootstrapStillFor() {
        return current.bootstrapStillFor;
      },
      get replaceAfter() {
        return current.replaceAfter;
      },
      get readLease() {
        return current.readLease;
      },
      get drainingCommitWithin() {
        return current.drainingCommitWithin;
      },
      get listEvery() {
        return current.listEvery;
      },
      get pingsFromAnotherMaster() {
        return current.pingsFromAnotherMaster;
      },
    },
    replace: (next) => {
      current = zenBounds(next);
    },
  };
};
