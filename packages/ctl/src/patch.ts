import { parse, stringify } from 'yaml';

type Table = ReadonlyMap<string, unknown>;

const tableOf = (v: unknown): Table | undefined =>
  v !== null && typeof v === 'object' && !Array.isArray(v) ? new Map(Object.entries(v)) : undefined;

const namedOf = (v: unknown): Map<string, unknown> | undefined => {
  if (!Array.isArray(v)) return undefined;
  const out = new Map<string, unknown>();
  for (const row of v) {
    const name = tableOf(row)?.get('name');
    if (typeof name !== 'string') return undefined;
    out.set(name, row);
  }
  return out;
};

const merge = (old: unknown, by: unknown): unknown => {
  const table = tableOf(by);
  if (!table) return by;
  const rows = namedOf(old);
  if (rows && !table.has('name')) {
    for (const [k, v] of table) {
      if (v === null) rows.delete(k);
      else {
        const merged = tableOf(merge(rows.get(k), v));
        rows.set(
          k,
          merged
            ? Object.fromEntries([['name', k], ...[...merged].filter(([f]) => f !== 'name')])
            : v,
        );
      }
    }
    return [...rows.values()];
  }
  const out = new Map(tableOf(old) ?? []);
  for (const [k, v] of table) {
    if (v === null) out.delete(k);
    else out.set(k, merge(out.get(k), v));
  }
  return Object.fromEntries(out);
};

export const patchConfig = (text: string, patch: string, base: number): string => {
  const was: unknown = parse(text);
  const by: unknown = parse(patch);
  const merged = tableOf(merge(was, by)) ?? new Map<string, unknown>();
  return stringify(
    Object.fromEntries([['base', base], ...[...merged].filter(([k]) => k !== 'base')]),
  );
};
