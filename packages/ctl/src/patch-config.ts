/** Merges a partial configuration file into the current one, which gives a complete file again. */
import { parse, stringify } from 'yaml';

type Fields = ReadonlyMap<string, unknown>;

const fieldsOf = (value: unknown): Fields | undefined =>
  value !== null && typeof value === 'object' && !Array.isArray(value)
    ? new Map(Object.entries(value))
    : undefined;

/** The rows of a list by `name`; undefined unless the value is a list in which each row has a name. */
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
 * Merges `patch` into the configuration `text` and returns it as YAML with the given `base` version. Lists of named
 * rows are patched by name; `null` removes a field or row. Throws the parser's error if either text is not valid YAML.
 */
export const patchConfig = (text: string, patch: string, base: number): string => {
  const current: unknown = parse(text);
  const change: unknown = parse(patch);
  const merged = fieldsOf(merge(current, change)) ?? new Map<string, unknown>();
  const others = [...merged].filter(([key]) => key !== 'base');
  return stringify(Object.fromEntries([['base', base], ...others]));
};
