/** Tracking of asynchronous work that nobody awaits yet. */

/** A set of promises that have not settled; rejections are ignored. */
export class PendingWork {
  private readonly pending = new Set<Promise<unknown>>();

  get size(): number {
    return this.pending.size;
  }

  add(work: Promise<unknown>): void {
    this.pending.add(work);
    const remove = (): void => {
      this.pending.delete(work);
    };
    void work.then(remove, remove);
  }
}
