/**
 * The running credit of each pool of a route, by which requests are distributed according to the route's shares
 * (docs/design.md, "Placement").
 */
import type { Route } from '@tillerstair/state';

/** Limit of a pool's credit or debt, in requests, that it accumulates while it or the other pools cannot be used. */
const maxCredit = 8;

/** A pool of a route, with its relative share of the route's requests. */
export type PoolShare = Route['shares'][number];

/** The pools of a route whose share is above 0. */
export const activeShares = (route: Route): readonly PoolShare[] =>
  route.shares.filter(({ share }) => share > 0);

const totalOf = (shares: readonly PoolShare[]): number =>
  shares.reduce((total, { share }) => total + share, 0);

/** Credits by route and pool, in requests: the number due to the pool by its share, less the number it received. */
export class PoolCredit {
  private readonly credits = new Map<string, number>();

  /** The route's active pools in the order to try them: the sticky pool first, then by descending credit. */
  order(route: Route, stickyPool: string): readonly string[] {
    const shares = activeShares(route);
    const total = totalOf(shares);
    return shares
      .map(({ pool, share }) => ({
        pool,
        due: pool === stickyPool ? Infinity : this.creditOf(route, pool) + share / total,
      }))
      .sort((a, b) => b.due - a.due || (a.pool < b.pool ? -1 : 1))
      .map(({ pool }) => pool);
  }

  /** Records that a request goes to a pool: credits each pool with its share and debits the chosen pool by one. */
  charge(route: Route, chosenPool: string): void {
    const shares = activeShares(route);
    const total = totalOf(shares);
    for (const { pool, share } of shares) {
      const next = this.creditOf(route, pool) + share / total - (pool === chosenPool ? 1 : 0);
      this.credits.set(this.keyOf(route, pool), Math.max(-maxCredit, Math.min(maxCredit, next)));
    }
  }

  private creditOf(route: Route, pool: string): number {
    return this.credits.get(this.keyOf(route, pool)) ?? 0;
  }

  private keyOf(route: Route, pool: string): string {
    return `${route.name}|${pool}`;
  }
}
