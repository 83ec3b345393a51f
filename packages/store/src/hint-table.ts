/** Pending hints for hinted handoff: the items that a store keeps on behalf of unreachable stores, by hint number. */
import { itemBytes } from '@tillerstair/state';
import type { ByteBudget } from '@tillerstair/wire';
import type { Hint } from './replica-records.js';

const hintBytes = (hint: Hint): number =>
  hint.items.reduce((bytes, item) => bytes + itemBytes(item), 0);

/** The pending hints, in memory. Hint numbers are never reused. */
export class HintTable {
  private readonly hints = new Map<number, Hint>();
  private lastNumber = 0;
  private usedBytes = 0;

  /** @param memory - the memory of the store, to which the items of the hints are added */
  constructor(private readonly memory: ByteBudget) {}

  get size(): number {
    return this.hints.size;
  }

  /** The estimated memory of the hints, in bytes. */
  get bytes(): number {
    return this.usedBytes;
  }

  /** Allocates the number of a hint that is about to be added. */
  nextNumber(): number {
    return ++this.lastNumber;
  }

  add(hint: Hint): void {
    this.remove(hint.n);
    this.count(hintBytes(hint));
    this.hints.set(hint.n, hint);
    this.lastNumber = Math.max(this.lastNumber, hint.n);
  }

  remove(hintNumber: number): void {
    const hint = this.hints.get(hintNumber);
    if (hint) this.count(-hintBytes(hint));
    this.hints.delete(hintNumber);
  }

  private count(bytes: number): void {
    this.usedBytes += bytes;
    this.memory.add(bytes);
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
