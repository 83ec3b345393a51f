/** What a rule of the checker returns, and how much the rules tolerate. */

/** What came of checking one rule against the records of a run. */
export interface RuleResult {
  readonly rule: string;
  /** How many records could have broken the rule; a rule that checked none is unproven by the run. */
  readonly checked: number;
  /** One sentence for each breach. */
  readonly breaches: readonly string[];
}

/** Bounds of the never-list, in ms, with what the clocks and the network of a test may add. */
export interface Tolerances {
  /** A draining server gets nothing new after this time. */
  readonly drainingMs: number;
  /** An acknowledged configuration is in force after this time. */
  readonly inForceMs: number;
  /** After a full stop, serving is back within this time. */
  readonly serveMs: number;
  /** Finished history is found for at least this time. */
  readonly historyMs: number;
  /** Two attempts with one operation key do not both run within this time. */
  readonly keyMs: number;
}

/** The bounds that the users' pages give, with a little added for what a test cannot measure exactly. */
export const defaultTolerances: Tolerances = {
  drainingMs: 3300,
  inForceMs: 2200,
  serveMs: 12500,
  historyMs: 60000,
  keyMs: 60000,
};

/** The rows of each key, in the order in which they came. */
export const groupBy = <Row>(
  rows: readonly Row[],
  keyOf: (row: Row) => string,
): ReadonlyMap<string, readonly Row[]> => {
  const groups = new Map<string, Row[]>();
  for (const row of rows) {
    const key = keyOf(row);
    const group = groups.get(key);
    if (group) group.push(row);
    else groups.set(key, [row]);
  }
  return groups;
};
