/** The hints that a store keeps for others, by number. */
import type { Hint } from './replica-records.js';

/** Hints in memory; numbers are never used twice. */
export class HintTable {
  private readonly hints = new Map<number, Hint>();
  private lastNumber = 0;

  get size(): number {
    return this.hints.size;
  }

  /** The number of a hint that is about to be added. */
  nextNumber(): number {
    return ++this.lastNumber;
  }

  add(hint: Hint): void {
    this.hints.set(hint.n, hint);
    this.lastNumber = Math.max(this.lastNumber, hint.n);
  }

  remove(n: number): void {
    this.hints.delete(n);
  }

  /** The hints for one store, oldest first. */
  forStore(storeId: string): readonly Hint[] {
    return [...this.hints.values()]
      .filter((hint) => hint.to === storeId)
      .sort((left, right) => left.n - right.n);
  }

  /** The ids of the stores that there are hints for. */
  targets(): ReadonlySet<string> {
    return new Set([...this.hints.values()].map((hint) => hint.to));
  }

  all(): readonly Hint[] {
    return [...this.hints.values()];
  }
}
