/** Counts the bytes that the parts of a program hold in memory against fixed limits. */

/**
 * A number of bytes in use and their limit; it may be a part of a total budget, which then counts the same bytes. Does not
 * enforce the limit: its user asks before it adds.
 */
export class ByteBudget {
  private usedBytes = 0;
  /** The uses that may be given up for others. */
  private readonly evictable = new Set<BudgetUse>();

  /**
   * @param limitBytes - `Infinity` for no limit
   * @param total - the budget that this one is a part of
   */
  constructor(
    readonly limitBytes = Infinity,
    readonly total?: ByteBudget,
  ) {}

  /** Bytes in use. */
  get used(): number {
    return this.usedBytes;
  }

  /** Whether `bytes` more would stay within `share` of the limit. */
  hasRoom(bytes: number, share = 1): boolean {
    return this.usedBytes + bytes <= this.limitBytes * share;
  }

  /** Adds bytes to those in use; a negative number removes them. */
  add(bytes: number): void {
    this.usedBytes += bytes;
    this.total?.add(bytes);
  }

  /** Lets a use be evicted, or no longer. */
  setEvictable(use: BudgetUse, isEvictable: boolean): void {
    if (isEvictable) this.evictable.add(use);
    else this.evictable.delete(use);
  }

  /** The largest use that can be evicted; undefined if there is none. */
  largestEvictable(): BudgetUse | undefined {
    let largest: BudgetUse | undefined;
    for (const use of this.evictable)
      if (use.taken > (largest?.taken ?? 0) && use.isEvictable) largest = use;
    return largest;
  }
}

/** A user that takes more than this share of a budget is large. */
const largeShare = 0.01;
/** Share of a budget that large users may take, so that room is left for small ones. */
const shareForLarge = 0.85;
/** Share of the total budget up to which a user that is alone may exceed the limit of its own budget. */
const totalShareForAlone = 0.85;

/** How a use can be given up for a smaller one. */
export interface Eviction {
  /** Whether the use can be given up at present. */
  readonly isAllowed: () => boolean;
  /** Called once the use was given up; it takes nothing more. */
  readonly onEvicted: () => void;
}

/**
 * What one request takes of a budget that many share. Large users are refused first, and those that can be evicted make room
 * for smaller ones.
 */
export class BudgetUse {
  private bytes = 0;
  private eviction: Eviction | undefined;
  private evicted = false;

  constructor(private readonly budget: ByteBudget) {}

  /** Bytes taken. */
  get taken(): number {
    return this.bytes;
  }

  /** The most bytes that one user can ever take. */
  get mostBytes(): number {
    const { limitBytes, total } = this.budget;
    const alone = (total?.limitBytes ?? Infinity) * totalShareForAlone;
    return Math.max(limitBytes * shareForLarge, alone);
  }

  /**
   * Takes `bytes` more and returns true, or returns false if there is no room. A user that is alone may exceed the limit as
   * long as the total budget has room.
   */
  take(bytes: number): boolean {
    if (this.evicted || !this.makeRoom(bytes)) return false;
    this.add(bytes);
    return true;
  }

  /** Whether this use was given up for a smaller one. */
  get wasEvicted(): boolean {
    return this.evicted;
  }

  /** Whether this use can be given up for a smaller one. */
  get isEvictable(): boolean {
    return this.eviction?.isAllowed() ?? false;
  }

  /** Lets this use be given up for a smaller one until it is released. */
  allowEviction(eviction: Eviction): void {
    this.eviction = eviction;
    this.budget.setEvictable(this, true);
  }

  /** Takes or gives back the difference to `bytes`; returns false, with nothing changed, if there is no room. */
  resize(bytes: number): boolean {
    if (bytes > this.bytes) return this.take(bytes - this.bytes);
    this.shrinkTo(bytes);
    return true;
  }

  /** Gives back what exceeds `bytes`. */
  shrinkTo(bytes: number): void {
    if (bytes < this.bytes) this.add(bytes - this.bytes);
  }

  /** Gives everything back; may be called more than once. */
  release(): void {
    this.eviction = undefined;
    this.budget.setEvictable(this, false);
    this.add(-this.bytes);
  }

  private evict(): void {
    const { eviction } = this;
    this.evicted = true;
    this.release();
    eviction?.onEvicted();
  }

  /** Evicts larger uses, the largest first, until `bytes` more fit; false if they do not. */
  private makeRoom(bytes: number): boolean {
    while (!this.fits(bytes)) {
      const victim = this.budget.largestEvictable();
      if (!victim || victim === this || victim.taken <= this.bytes + bytes) return false;
      victim.evict();
    }
    return true;
  }

  private fits(bytes: number): boolean {
    const { budget } = this;
    const isAlone = budget.used === this.bytes;
    const isLarge = this.bytes + bytes > budget.limitBytes * largeShare;
    const share = isLarge ? shareForLarge : 1;
    return budget.hasRoom(bytes, share) || (isAlone && this.fitsTotal(bytes));
  }

  private fitsTotal(bytes: number): boolean {
    return this.budget.total?.hasRoom(bytes, totalShareForAlone) ?? true;
  }

  private add(bytes: number): void {
    this.budget.add(bytes);
    this.bytes += bytes;
  }
}
