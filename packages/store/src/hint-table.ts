/** Pending hints for hinted handoff: the items that a store keeps on behalf of unreachable stores, by hint number. */
import type { Hint } from './replica-records.js';

/** The pending hints, in memory. Hint numbers are never reused. */
export class HintTable {
  private readonly hints = new Map<number, Hint>();
  private lastNumber = 0;

  get size(): number {
    return this.hints.size;
  }

  /** Allocates the number of a hint that is about to be added. */
  nextNumber(): number {
    return ++this.lastNumber;
  }

  add(hint: Hint): void {
    this.hints.set(hint.n, hint);
    this.lastNumber = Math.max(this.lastNumber, hint.n);
  }

  remove(hintNumber: number): void {
    this.hints.delete(hintNumber);
  }

  /** The hints for one store, oldest first. */
  forStore(storeId: string): readonly Hint[] {
    return [...this.hints.values()]
      .filter((hint) => hint.to === storeId)
      .sort((left, right) => left.n - right.n);
  }

  /** The ids of the stores that pending hints are for. */
  targets(): ReadonlySet<string> {
    return new Set([...this.hints.values()].map((hint) => hint.to));
  }

  all(): readonly Hint[] {
    return [...this.hints.values()];
  }
}
