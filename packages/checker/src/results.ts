export interface RuleResult {
  readonly rule: string;
  readonly checked: number;
  readonly breaches: readonly string[];
}

export interface Slack {
  readonly drainingMs: number;
  readonly inForceMs: number;
  readonly serveMs: number;
  readonly historyMs: number;
  readonly keyMs: number;
}

export const slack: Slack = {
  drainingMs: 3300,
  inForceMs: 2200,
  serveMs: 12500,
  historyMs: 60000,
  keyMs: 60000,
};

export const group = <T>(
  rows: readonly T[],
  key: (t: T) => string,
): ReadonlyMap<string, readonly T[]> => {
  const out = new Map<string, T[]>();
  for (const r of rows) {
    const k = key(r);
    const list = out.get(k);
    if (list) list.push(r);
    else out.set(k, [r]);
  }
  return out;
};
