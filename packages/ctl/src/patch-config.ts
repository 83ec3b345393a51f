/** Merges a change into a configuration file, so that it becomes a complete file again. */
import { parse, stringify } from 'yaml';

type Fields = ReadonlyMap<string, unknown>;

const fieldsOf = (value: unknown): Fields | undefined =>
  value !== null && typeof value === 'object' && !Array.isArray(value)
    ? new Map(Object.entries(value))
    : undefined;

/** The rows of a list by their `name`; undefined for anything else than a list in which all have one. */
const rowsByName = (value: unknown): Map<string, unknown> | undefined => {
  if (!Array.isArray(value)) return undefined;
  const rows = new Map<string, unknown>();
  for (const row of value) {
    const name = fieldsOf(row)?.get('name');
    if (typeof name !== 'string') return undefined;
    rows.set(name, row);
  }
  return rows;
};

const mergeFields = (before: Fields, change: Fields): object => {
  const merged = new Map(before);
  for (const [key, value] of change) {
    if (value === null) merged.delete(key);
    else merged.set(key, merge(merged.get(key), value));
  }
  return Object.fromEntries(merged);
};

const mergeRows = (before: ReadonlyMap<string, unknown>, change: Fields): readonly unknown[] => {
  const rows = new Map(before);
  for (const [name, value] of change) {
    if (value === null) {
      rows.delete(name);
      continue;
    }
    const fields = fieldsOf(merge(rows.get(name), value));
    const others = [...(fields ?? [])].filter(([key]) => key !== 'name');
    rows.set(name, fields ? Object.fromEntries([['name', name], ...others]) : value);
  }
  return [...rows.values()];
};

const merge = (before: unknown, change: unknown): unknown => {
  const fields = fieldsOf(change);
  if (!fields) return change;
  const rows = rowsByName(before);
  if (rows && !fields.has('name')) return mergeRows(rows, fields);
  return mergeFields(fieldsOf(before) ?? new Map(), fields);
};

/**
 * The configuration `text` with `patch` merged into it, as YAML on version `base`. Lists of named rows are patched by
 * name; `null` removes. Throws the parser's error where one of them is no YAML.
 */
export const patchConfig = (text: string, patch: string, base: number): string => {
  const current: unknown = parse(text);
  const change: unknown = parse(patch);
  const merged = fieldsOf(merge(current, change)) ?? new Map<string, unknown>();
  const others = [...merged].filter(([key]) => key !== 'base');
  return stringify(Object.fromEntries([['base', base], ...others]));
};
