/** The result of a checker rule, and the time limits that the rules apply. */

/** The result of checking one rule against the records of a run. */
export interface RuleResult {
  readonly rule: string;
  /** Number of records that could have breached the rule; a run with 0 gives no evidence for the rule. */
  readonly checked: number;
  /** One sentence per breach. */
  readonly breaches: readonly string[];
}

/** Limits of `docs/never-list.md` in ms, with an allowance for clock differences and network delay in tests. */
export interface Tolerances {
  /** Time after which a draining server must get no new work. */
  readonly drainingMs: number;
  /** Time after its acknowledgment at which a configuration must be in force. */
  readonly inForceMs: number;
  /** Maximum time from the restart of all machines until requests are served again. */
  readonly serveMs: number;
  /** Minimum time for which finished turns and programs must be found in history. */
  readonly historyMs: number;
  /** Period within which at most one attempt with the same operation key may run. */
  readonly keyMs: number;
}

/** The limits stated in the user documentation, some with an allowance for what a test cannot measure exactly. */
export const defaultTolerances: Tolerances = {
  drainingMs: 3300,
  inForceMs: 2200,
  serveMs: 12500,
  historyMs: 60000,
  keyMs: 60000,
};

/** Groups rows by key; each group keeps the order of its rows. */
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
