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

export interface OuterBounds {
  readonly serveWithin: number;
  readonly leavingWithin: number;
  readonly beat: number;
  readonly silent: number;
}

export const zenBounds = (o: OuterBounds): ZenBounds => ({
  beat: o.beat,
  silent: o.silent,
  pingWait: o.serveWithin / 24,
  joinWait: o.serveWithin / 8,
  joinTries: 3,
  publishWait: o.silent / 2,
  syncWithin: o.silent / 2,
  diskRetryEvery: o.beat / 4,
  foundingStill: o.serveWithin / 6,
  replaceAfter: o.silent * 2,
  grace: (o.leavingWithin * 5) / 6,
  markWithin: o.leavingWithin / 6,
  listEvery: o.leavingWithin / 6,
  pingsFromAnotherMaster: 1,
});
