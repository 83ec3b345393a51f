/** When the last node of a kind arrived: allocation waits a little for further ones, to move fewer slots. */

/** Watches a set of ids for new ones. */
export class Arrivals {
  private known: ReadonlySet<string> = new Set();
  private lastAt = -Infinity;

  /** Takes over the ids that are there now and returns when the last new one was seen, in ms of the clock. */
  observe(ids: readonly string[], now: number): number {
    if (ids.some((id) => !this.known.has(id))) this.lastAt = now;
    this.known = new Set(ids);
    return this.lastAt;
  }
}
