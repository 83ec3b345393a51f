/** Checks a configuration file: its syntax, its schema and its consistency. */
import { createHash } from 'node:crypto';
import { LineCounter, parseDocument } from 'yaml';
import { consistencyFindings } from './consistency.js';
import { yamlFindings, yupFindings, type Finding } from './findings.js';
import { ConfigFile, type Config } from './schema.js';

/** The configuration of a file, or the problems in it; there are findings if and only if `config` is undefined. */
export interface ConfigCheck {
  readonly config: Config | undefined;
  readonly findings: readonly Finding[];
}

/** Length of a configuration digest, in hexadecimal digits of SHA-256. */
const digestLength = 32;

/** Digest of the text of a configuration. */
export const configDigest = (text: string): string =>
  createHash('sha256').update(text).digest('hex').slice(0, digestLength);

/** Keys of earlier files that were renamed, with their new names; each is reported as an unknown key. */
const renamedKeys: ReadonlyMap<string, string> = new Map([['lanes', 'routes']]);

const renamedKeyFindings = (value: unknown): readonly Finding[] => {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) return [];
  return Object.keys(value).flatMap((key) => {
    const name = renamedKeys.get(key);
    return name === undefined ? [] : [{ place: key, text: `unknown key; renamed to ${name}` }];
  });
};

/**
 * Parses JSON exactly as `JSON.stringify` writes it, which avoids the slower YAML parser; undefined for any other text.
 */
const canonicalJson = (text: string): unknown => {
  try {
    const value: unknown = JSON.parse(text);
    return JSON.stringify(value) === text ? value : undefined;
  } catch {
    return undefined;
  }
};

const checkValue = (value: unknown): ConfigCheck => {
  const renamed = renamedKeyFindings(value);
  if (renamed.length > 0) return { config: undefined, findings: renamed };
  try {
    const config = ConfigFile.cast(
      ConfigFile.validateSync(value, { abortEarly: false, strict: true }),
    );
    const findings = consistencyFindings(config);
    return { config: findings.length === 0 ? config : undefined, findings };
  } catch (error) {
    const findings = yupFindings(error).map(({ place, text }) => ({
      place: place || 'file',
      text,
    }));
    return { config: undefined, findings };
  }
};

/** Checks the text of a configuration file, in YAML or JSON. Defaults are filled in if there are no findings. */
export const checkConfig = (text: string): ConfigCheck => {
  const value = canonicalJson(text);
  if (value !== undefined) return checkValue(value);
  const counter = new LineCounter();
  const document = parseDocument(text, { lineCounter: counter, uniqueKeys: true });
  if (document.errors.length > 0)
    return { config: undefined, findings: yamlFindings(document.errors, counter) };
  return checkValue(document.toJS());
};
