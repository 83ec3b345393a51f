/** Reads settings from a file and from flags; flags take precedence over the file. */
import { readFileSync } from 'node:fs';
import { parseDocument } from 'yaml';
import type { z } from 'zod';
import { InvalidSettingsError, type Finding } from './errors.js';

/** The only flag whose value is a comma-separated list. */
const listFlag = 'seeds';

const parseFlag = (path: string, value: unknown): unknown => {
  if (path === listFlag) return String(value).split(',');
  if (value === 'true' || value === 'false') return value === 'true';
  if (typeof value === 'string' && /^-?\d+$/.test(value)) return Number(value);
  return value;
};

const isTable = (value: unknown): value is object =>
  value !== null && typeof value === 'object' && !Array.isArray(value);

/** Sets a setting by its path, such as `bounds.serveWithin`; other values of its table are kept. */
const setFlag = (settings: Map<string, unknown>, path: string, value: unknown): void => {
  const [head = '', ...rest] = path.split('.');
  if (rest.length === 0) {
    settings.set(head, parseFlag(path, value));
    return;
  }
  const table = settings.get(head);
  const inner = new Map<string, unknown>(
    table !== null && typeof table === 'object' ? Object.entries(table) : [],
  );
  setFlag(inner, rest.join('.'), value);
  settings.set(head, Object.fromEntries(inner));
};

/** Reads the table of a settings file; errors of the file are added to `findings`. */
const readTable = (file: string, findings: Finding[]): ReadonlyMap<string, unknown> => {
  try {
    const document = parseDocument(readFileSync(file, 'utf8'));
    for (const { linePos, message } of document.errors) {
      const place = `${file}:${linePos?.[0].line ?? 0}`;
      findings.push({ place, text: message.split('\n')[0] ?? '' });
    }
    const content: unknown = document.toJS();
    if (isTable(content)) return new Map(Object.entries(content));
    findings.push({ place: file, text: 'must hold a table of settings' });
  } catch (error) {
    findings.push({ place: file, text: error instanceof Error ? error.message : String(error) });
  }
  return new Map();
};

/** The source of a setting for error messages: its flag, or the file and the path in it. */
const placeOf = (
  path: string,
  file: string | undefined,
  flags: ReadonlyMap<string, unknown>,
): string => {
  if (flags.has(path)) return `--${path}`;
  const source = file ?? 'flags';
  return path === '' ? source : `${source} ${path}`;
};

/**
 * Reads and validates the settings of a program.
 *
 * @param file - the path of a YAML or JSON file, if there is one
 * @param flags - values by the path of their setting
 * @throws InvalidSettingsError with all findings
 */
export const readSettings = <T>(
  schema: z.ZodType<T>,
  file: string | undefined,
  flags: ReadonlyMap<string, unknown>,
): T => {
  const findings: Finding[] = [];
  const settings = new Map(file === undefined ? [] : readTable(file, findings));
  for (const [path, value] of flags) setFlag(settings, path, value);
  const checked = schema.safeParse(Object.fromEntries(settings));
  for (const { path, message } of checked.error?.issues ?? [])
    findings.push({ place: placeOf(path.map(String).join('.'), file, flags), text: message });
  if (findings.length > 0 || !checked.success) throw new InvalidSettingsError(findings);
  return checked.data;
};
