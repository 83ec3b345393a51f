/** Tracks when a node of a kind last joined: allocation waits briefly for further nodes, so that fewer slots move. */

/** Detects new ids in a changing set of ids. */
export class Arrivals {
  private known: ReadonlySet<string> = new Set();
  private lastArrivalAt = -Infinity;

  /** Records the current ids and returns when a new one last appeared, in ms of the clock; -Infinity for never. */
  observe(ids: readonly string[], now: number): number {
    if (ids.some((id) => !this.known.has(id))) this.lastArrivalAt = now;
    this.known = new Set(ids);
    return this.lastArrivalAt;
  }
}
