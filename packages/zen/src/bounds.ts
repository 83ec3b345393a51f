/**
 * Times that membership, election and publishing work with, all derived as ratios of the outer
 * bounds that a deployment states. Every derived time is a whole, positive number of milliseconds,
 * since platform timers refuse fractions.
 */

import { wholeMs } from '@tillerstair/wire';

/** Times used inside a cluster, in whole milliseconds (`joinTries` and `pingsFromAnotherMaster` are counts). */
export interface ZenBounds {
  readonly beat: number;
  readonly silent: number;
  readonly pingWait: number;
  readonly joinWait: number;
  readonly joinTries: number;
  readonly publishWait: number;
  /** How long a control's own sync may last before it stands down until its disk takes bytes again. */
  readonly syncWithin: number;
  /** How long to wait between attempts to write to a disk that failed. */
  readonly diskRetryEvery: number;
  readonly foundingStill: number;
  readonly replaceAfter: number;
  readonly grace: number;
  readonly markWithin: number;
  readonly listEvery: number;
  readonly pingsFromAnotherMaster: number;
}

/** What a deployment states, in milliseconds. */
export interface OuterBounds {
  readonly serveWithin: number;
  readonly leavingWithin: number;
  readonly beat: number;
  readonly silent: number;
}

/** Derives the inner times from the outer bounds. */
export const zenBounds = (o: OuterBounds): ZenBounds => ({
  beat: wholeMs(o.beat),
  silent: wholeMs(o.silent),
  pingWait: wholeMs(o.serveWithin / 24),
  joinWait: wholeMs(o.serveWithin / 8),
  joinTries: 3,
  publishWait: wholeMs(o.silent / 2),
  syncWithin: wholeMs(o.silent / 2),
  diskRetryEvery: wholeMs(o.beat / 4),
  foundingStill: wholeMs(o.serveWithin / 6),
  replaceAfter: wholeMs(o.silent * 2),
  grace: wholeMs((o.leavingWithin * 5) / 6),
  markWithin: wholeMs(o.leavingWithin / 6),
  listEvery: wholeMs(o.leavingWithin / 6),
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
      get beat() {
        return current.beat;
      },
      get silent() {
        return current.silent;
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
      get foundingStill() {
        return current.foundingStill;
      },
      get replaceAfter() {
        return current.replaceAfter;
      },
      get grace() {
        return current.grace;
      },
      get markWithin() {
        return current.markWithin;
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
