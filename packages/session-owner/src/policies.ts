import type { Route, Server } from '@tillerstair/state';

export interface Seen {
  readonly inflight: number;
  readonly busy: number;
  readonly draining: boolean;
  readonly health: 'good' | 'doubtful' | 'bad';
}

export interface Engine {
  readonly places: number;
  readonly memoryTokens: number;
  readonly blockTokens: number;
}

export interface PlaceContext {
  readonly route: Route;
  seen(server: Server): Seen;
  /** Tokens of the whole prompt; 0 where it is not known. */
  readonly tokens: number;
  engine(server: Server): Engine | undefined;
  places(server: Server): number;
  /** Whether the server stands in this front's own zone. */
  near(server: Server): boolean;
  /** The share of the prompt's tokens, 0 to 1, that the server should hold already. */
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

export const draining: Policy = {
  name: 'draining',
  apply: (cands, ctx) => cands.filter((c) => !c.server.draining && !ctx.seen(c.server).draining),
};

export const health: Policy = {
  name: 'health',
  apply: (cands, ctx) => {
    const good = cands.filter((c) => ctx.seen(c.server).health === 'good' && !c.server.down);
    if (good.length > 0) return good;
    return cands.filter((c) => ctx.seen(c.server).health !== 'bad');
  },
};

const tokensPerPlace = 1 / 25;
const fullCost = 8;
const farCost = 1;
const farTie = 0.25;

/** For servers that run batches: what is to be read anew, against what more there is in the batch, both in tokens. */
export const batch: Policy = {
  name: 'batch',
  apply: (cands, ctx) =>
    cands.map((c) => {
      const engine = ctx.engine(c.server);
      if (!engine || ctx.tokens === 0) return c;
      const seen = ctx.seen(c.server);
      const running = Math.max(seen.inflight, seen.busy);
      const step = (engine.memoryTokens / engine.places) * tokensPerPlace;
      const over = Math.max(0, running + 1 - engine.places);
      const cold = ctx.tokens * (1 - ctx.warmth(c.server));
      const far = ctx.near(c.server) ? 0 : farCost;
      return {
        ...c,
        score: c.score - (cold + running * step + over * fullCost * step) / step - far,
      };
    }),
};

export const affinity = (gain: number): Policy => ({
  name: 'affinity',
  apply: (cands, ctx) =>
    cands.map((c) =>
      ctx.engine(c.server) ? c : { ...c, score: c.score + gain * ctx.warmth(c.server) },
    ),
});

export const load = (cost: number): Policy => ({
  name: 'load',
  apply: (cands, ctx) =>
    cands.map((c) => {
      if (ctx.engine(c.server) && ctx.tokens > 0) return c;
      const seen = ctx.seen(c.server);
      const far = ctx.near(c.server) ? 0 : farTie;
      return {
        ...c,
        score:
          c.score -
          far -
          (cost * (Math.max(seen.inflight, seen.busy) + seen.inflight * 0.1)) /
            Math.max(0.05, ctx.weight(c.server)),
      };
    }),
});

export const weight: Policy = {
  name: 'weight',
  apply: (cands, ctx) =>
    cands.map((c) => ({ ...c, score: c.score + Math.min(1, ctx.weight(c.server)) * 0.5 })),
};

export const chainOf = (withAffinity: boolean): readonly Policy[] => [
  draining,
  health,
  ...(withAffinity ? [batch, affinity(4)] : []),
  load(1),
  weight,
];
