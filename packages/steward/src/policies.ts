import type { Lane, Server } from '@tillerstair/state';

export interface Seen {
  readonly inflight: number;
  readonly busy: number;
  readonly leaving: boolean;
  readonly standing: 'good' | 'doubtful' | 'bad';
}

export interface PlaceContext {
  readonly lane: Lane;
  seen(server: Server): Seen;
  warmth(server: Server): number;
  weight(server: Server): number;
}

export interface Candidate {
  readonly server: Server;
  readonly score: number;
}

export interface Policy {
  readonly name: string;
  apply(cands: readonly Candidate[], ctx: PlaceContext): readonly Candidate[];
}

export const leaving: Policy = {
  name: 'leaving',
  apply: (cands, ctx) => cands.filter((c) => !c.server.leaving && !ctx.seen(c.server).leaving),
};

export const standing: Policy = {
  name: 'standing',
  apply: (cands, ctx) => {
    const good = cands.filter((c) => ctx.seen(c.server).standing === 'good' && !c.server.down);
    if (good.length > 0) return good;
    return cands.filter((c) => ctx.seen(c.server).standing !== 'bad');
  },
};

export const affinity = (gain: number): Policy => ({
  name: 'affinity',
  apply: (cands, ctx) => cands.map((c) => ({ ...c, score: c.score + gain * ctx.warmth(c.server) })),
});

export const busyness = (cost: number): Policy => ({
  name: 'busyness',
  apply: (cands, ctx) =>
    cands.map((c) => {
      const seen = ctx.seen(c.server);
      return { ...c, score: c.score - (cost * (Math.max(seen.inflight, seen.busy) + seen.inflight * 0.1)) / Math.max(0.05, ctx.weight(c.server)) };
    }),
});

export const weight: Policy = {
  name: 'weight',
  apply: (cands, ctx) => cands.map((c) => ({ ...c, score: c.score + Math.min(1, ctx.weight(c.server)) * 0.5 })),
};

export const chainOf = (withAffinity: boolean): readonly Policy[] => [
  leaving,
  standing,
  ...(withAffinity ? [affinity(4)] : []),
  busyness(1),
  weight,
];
