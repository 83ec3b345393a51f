/** Limits of one allocation, and the stores whose replicas it replaces. */

/** Limits of one allocation. */
export interface AllocationLimits {
  /** Live stores that are needed before a slot gets its first replicas. */
  readonly minStores: number;
  /** Slots that may be marked to move to another front at the same time. */
  readonly maxMoves: number;
  /** Slots that may have a joining replica at the same time. */
  readonly maxFills: number;
  /** Stores whose replicas are replaced while they are not members, since they are not expected back soon. */
  readonly unresponsiveStores: ReadonlySet<string>;
}
