/**
 * The running credit of each pool of a route, which keeps work split by the route's shares
 * (docs/design.md, "Placement").
 */
import type { Route } from '@tillerstair/state';

/** A pool that could not be used for long catches up on, or pays back, no more than so many requests. */
const maxCredit = 8;

/** A pool of a route with its part of the route's work, above 0. */
export type PoolShare = Route['shares'][number];

/** The pools of a route that get work. */
export const activeShares = (route: Route): readonly PoolShare[] =>
  route.shares.filter(({ share }) => share > 0);

const totalOf = (shares: readonly PoolShare[]): number =>
  shares.reduce((total, { share }) => total + share, 0);

/** Credits by route and pool: what a pool was due by its share, less what it got. */
export class PoolCredit {
  private readonly credits = new Map<string, number>();

  /** The route's pools in the order in which they are to be tried: the sticky one first, then by credit. */
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

  /** One request goes to a pool: each gets its share of credit, and that one pays. */
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
