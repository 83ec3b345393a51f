import { createHash } from 'node:crypto';
import { slotForKey, weightKey, type Route, type Server } from '@tillerstair/state';
import type { Clock } from '@tillerstair/wire';
import type { Backend, ServerLoad, Message } from './backend.js';
import type { Candidate, PlaceContext, Policy, Seen } from './policies.js';
import type { CompiledState } from './compiled-state.js';

interface Sight {
  readonly url: string;
  readonly inflight: number;
  readonly busy: number;
  readonly reported: ServerLoad | undefined;
  readonly reportedAt: number;
  readonly draining: boolean;
  readonly badSince: number;
  readonly failures: number;
  readonly pace: number | undefined;
  readonly polledAt: number;
}

const fresh = (url: string): Sight => ({
  url,
  inflight: 0,
  busy: 0,
  reported: undefined,
  reportedAt: -Infinity,
  draining: false,
  badSince: -Infinity,
  failures: 0,
  pace: undefined,
  polledAt: -Infinity,
});

/** A piece of a prompt that a server may hold already: its name with all before it, and its tokens. */
export interface Part {
  readonly name: string;
  readonly tokens: number;
}

export const partsOf = (parts: readonly (readonly [string, number])[]): readonly Part[] => {
  let name = '';
  return parts.map(([id, tokens]) => {
    name = createHash('sha1').update(name).update(id).digest('base64url').slice(0, 12);
    return { name, tokens };
  });
};

const blockLength = 256;
const blockTokens = blockLength / 4;

export const prefixesOf = (messages: readonly Message[]): readonly Part[] => {
  const out: Part[] = [];
  let h = '';
  for (const m of messages) {
    for (let i = 0; i < m.text.length; i += blockLength) {
      h = createHash('sha1')
        .update(h)
        .update(m.role)
        .update(m.text.slice(i, i + blockLength))
        .digest('base64url')
        .slice(0, 12);
      out.push({ name: h, tokens: blockTokens });
    }
  }
  return out;
};

export interface PlacementBounds {
  readonly poll: number;
  readonly pollWithin: number;
  readonly retryBad: number;
  readonly sightWithin: number;
  /** How long a server's own word of its load counts, in ms. */
  readonly reportValidFor: number;
}

export class Placement {
  private readonly sights = new Map<string, Sight>();
  private readonly warm = new Map<string, ReadonlySet<string>>();
  private readonly credit = new Map<string, number>();
  barred: ReadonlySet<string> = new Set();

  constructor(
    private readonly clock: Clock,
    private readonly backend: Backend,
    private readonly chain: readonly Policy[],
    private readonly bounds: PlacementBounds,
    private readonly table: () => CompiledState | undefined,
    private readonly perServer: () => number,
    private readonly self = '',
  ) {}

  private sight(s: Server): Sight {
    const old = this.sights.get(s.id);
    return old && old.url === s.url ? old : fresh(s.url);
  }

  private set(s: Server, change: Partial<Sight>): void {
    this.sights.set(s.id, { ...this.sight(s), ...change });
  }

  private seen(s: Server): Seen {
    const v = this.sight(s);
    const since = this.clock.now() - v.badSince;
    const health =
      v.failures === 0
        ? 'good'
        : since > this.bounds.retryBad
          ? 'doubtful'
          : v.failures >= 3
            ? 'bad'
            : 'doubtful';
    const stale = this.bounds.poll > 0 && this.clock.now() - v.polledAt > this.bounds.sightWithin;
    return {
      inflight: v.inflight,
      busy: Math.max(v.busy, this.reportedRunning(v)),
      draining: v.draining || stale || this.barred.has(s.id),
      health,
    };
  }

  private reportedRunning(v: Sight): number {
    return v.reported && this.clock.now() - v.reportedAt < this.bounds.reportValidFor
      ? v.reported.running + v.reported.waiting
      : 0;
  }

  reported(s: Server, reported: ServerLoad): void {
    this.set(s, { reported, reportedAt: this.clock.now() });
  }

  private limitOf(s: Server): number {
    const { config } = this.table() ?? {};
    const places = config?.pools.find((p) => p.name === s.pool)?.engine?.places ?? s.places;
    return places > 0 ? places : this.perServer();
  }

  private warmth(parts: readonly Part[]): (s: Server) => number {
    const total = parts.reduce((n, p) => n + p.tokens, 0);
    const held = new Map<string, number>();
    const live = new Set<string>();
    parts.forEach((p, i) => {
      const at = this.warm.get(p.name);
      if (i === 0) for (const id of at ?? []) live.add(id);
      for (const id of [...live]) {
        if (at?.has(id)) held.set(id, (held.get(id) ?? 0) + p.tokens);
        else live.delete(id);
      }
    });
    return (s) => (total === 0 ? 0 : (held.get(s.id) ?? 0) / total);
  }

  allowed(server: Server, route: Route): boolean {
    const now = this.table()?.state.servers.get(server.id);
    if (
      !now ||
      now.url !== server.url ||
      now.pool !== server.pool ||
      now.draining ||
      this.seen(now).draining
    )
      return false;
    return route.shares.some((s) => s.pool === now.pool && s.share > 0);
  }

  usable(route: Route, skip: ReadonlySet<string>): boolean {
    const state = this.table()?.state;
    if (!state) return false;
    const pools = new Set(route.shares.filter((s) => s.share > 0).map((s) => s.pool));
    return [...state.servers.values()].some(
      (s) =>
        pools.has(s.pool) &&
        !skip.has(s.id) &&
        !s.draining &&
        (this.unasked(s) || (!this.seen(s).draining && this.seen(s).health !== 'bad')),
    );
  }

  /** Listed a moment ago: its first word of itself is still to come. */
  private unasked(s: Server): boolean {
    const { polledAt, failures } = this.sight(s);
    return (
      this.bounds.poll > 0 && polledAt === -Infinity && failures === 0 && !this.barred.has(s.id)
    );
  }

  pick(
    route: Route,
    parts: readonly Part[],
    stickyPool: string,
    skip: ReadonlySet<string>,
  ): Server | undefined {
    const state = this.table()?.state;
    if (!state) return undefined;
    const shares = route.shares.filter((s) => s.share > 0);
    const pools = new Map(this.table()?.config?.pools.map((p) => [p.name, p]));
    const total = shares.reduce((n, s) => n + s.share, 0);
    const zone = state.nodes.get(this.self)?.zone ?? '';
    const tokens = parts.reduce((n, p) => n + p.tokens, 0);
    const tie = (id: string): number => slotForKey(`${this.self}|${id}`, 1 << 20);
    const ctx: PlaceContext = {
      route,
      seen: (s) => this.seen(s),
      tokens,
      warmth: this.warmth(parts),
      engine: (s) => pools.get(s.pool)?.engine,
      places: (s) => this.limitOf(s),
      near: (s) => zone === '' || s.zone === '' || s.zone.toLowerCase() === zone,
      weight: (s) => state.weights.get(weightKey(s.pool, s.id)) ?? 1,
    };
    const from = (pool: string): Server | undefined => {
      const start: readonly Candidate[] = [...state.servers.values()]
        .filter((s) => s.pool === pool && !skip.has(s.id))
        .map((server) => ({ server, score: 0 }));
      const ranked = this.chain
        .reduce((cands, p) => p.apply(cands, ctx), start)
        .filter((c) => this.sight(c.server).inflight < this.limitOf(c.server));
      return [...ranked].sort((a, b) => b.score - a.score || tie(a.server.id) - tie(b.server.id))[0]
        ?.server;
    };
    const credit = (pool: string): number => this.credit.get(`${route.name}|${pool}`) ?? 0;
    const order = shares
      .map((s) => ({
        pool: s.pool,
        at: s.pool === stickyPool ? Infinity : credit(s.pool) + s.share / total,
      }))
      .sort((a, b) => b.at - a.at || (a.pool < b.pool ? -1 : 1));
    for (const { pool } of order) {
      const server = from(pool);
      if (!server) continue;
      for (const s of shares) {
        const next = credit(s.pool) + s.share / total - (s.pool === pool ? 1 : 0);
        this.credit.set(`${route.name}|${s.pool}`, Math.max(-8, Math.min(8, next)));
      }
      return server;
    }
    return undefined;
  }

  begin(s: Server, parts: readonly Part[]): void {
    this.set(s, { inflight: this.sight(s).inflight + 1 });
    for (const { name } of parts) {
      const at = this.warm.get(name);
      this.warm.delete(name);
      this.warm.set(name, at?.has(s.id) ? at : new Set([...(at ?? []), s.id]));
    }
    while (this.warm.size > 20000) {
      const oldest = this.warm.keys().next().value;
      if (oldest === undefined) break;
      this.warm.delete(oldest);
    }
  }

  end(s: Server, ok: boolean, pace?: number): void {
    const v = this.sight(s);
    const inflight = Math.max(0, v.inflight - 1);
    if (ok) {
      const next =
        pace === undefined ? v.pace : v.pace === undefined ? pace : v.pace * 0.8 + pace * 0.2;
      this.set(s, { inflight, failures: 0, pace: next });
    } else this.set(s, { inflight, failures: v.failures + 1, badSince: this.clock.now() });
  }

  failuresOf(id: string): number {
    return this.sights.get(id)?.failures ?? 0;
  }

  report(): readonly { id: string; url: string; ok: boolean; pace?: number }[] {
    const state = this.table()?.state;
    return [...(state?.servers.values() ?? [])].map((s) => {
      const v = this.sight(s);
      return {
        id: s.id,
        url: s.url,
        ok: v.failures < 3,
        ...(v.pace === undefined ? {} : { pace: v.pace }),
      };
    });
  }

  async poll(onlyNew = false): Promise<void> {
    const state = this.table()?.state;
    if (!state) return;
    for (const id of [...this.sights.keys()]) if (!state.servers.has(id)) this.sights.delete(id);
    if (this.bounds.poll <= 0) return;
    await Promise.all(
      [...state.servers.values()].map(async (s) => {
        if (onlyNew && this.sight(s).polledAt > -Infinity) return;
        const polledAt = this.clock.now();
        try {
          const got = await this.backend.load(s, this.bounds.pollWithin);
          this.set(s, { busy: got.busy, draining: got.draining, failures: 0, polledAt });
        } catch {
          this.set(s, { failures: this.sight(s).failures + 1, badSince: this.clock.now() });
        }
      }),
    );
  }
}
