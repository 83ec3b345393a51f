/** What allocation may do at once, and which stores it no longer waits for. */

/** The bounds of one allocation. */
export interface AllocationLimits {
  /** Live stores from which a slot gets its first replicas. */
  readonly minStores: number;
  /** Slots that may be marked to move to another front at the same time. */
  readonly maxMoves: number;
  /** Slots to which a replica may be joining at the same time. */
  readonly maxFills: number;
  /** Stores whose replicas are replaced if they are no members, as they will not come back soon. */
  readonly unresponsiveStores: ReadonlySet<string>;
}
