/** Checks a configuration file: its form, its schema, and that nothing in it contradicts another thing. */
import { createHash } from 'node:crypto';
import { LineCounter, parseDocument } from 'yaml';
import { consistencyFindings } from './consistency.js';
import { yamlFindings, yupFindings, type Finding } from './findings.js';
import { ConfigFile, type Config } from './schema.js';

/** The configuration that a file holds, or what is wrong with it; it has findings if and only if there is no `config`. */
export interface ConfigCheck {
  readonly config: Config | undefined;
  readonly findings: readonly Finding[];
}

/** How many hexadecimal digits of SHA-256 tell configurations apart. */
const digestLength = 32;

/** The digest of a configuration's text. */
export const configDigest = (text: string): string =>
  createHash('sha256').update(text).digest('hex').slice(0, digestLength);

/** Keys of earlier files that have another name now; each is an unknown key with a finding of its own. */
const renamedKeys: ReadonlyMap<string, string> = new Map([['lanes', 'routes']]);

const renamedKeyFindings = (value: unknown): readonly Finding[] => {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) return [];
  return Object.keys(value).flatMap((key) => {
    const name = renamedKeys.get(key);
    return name === undefined
      ? []
      : [{ place: key, text: `unknown key; it is called ${name} now` }];
  });
};

/** The value of a text that is JSON as programs write it, undefined for any other; it needs no slower YAML parser. */
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

/** Checks the text of a configuration file, in YAML or JSON. Defaults are filled in where it is sound. */
export const checkConfig = (text: string): ConfigCheck => {
  const value = canonicalJson(text);
  if (value !== undefined) return checkValue(value);
  const counter = new LineCounter();
  const document = parseDocument(text, { lineCounter: counter, uniqueKeys: true });
  if (document.errors.length > 0)
    return { config: undefined, findings: yamlFindings(document.errors, counter) };
  return checkValue(document.toJS());
};
