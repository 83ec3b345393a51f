/** `tillerctl config`: reads, checks, changes and translates configuration files. */
import { readFileSync } from 'node:fs';
import { checkConfig, type Finding } from '@tillerstair/state';
import { requestAny } from './control-client.js';
import { InvalidInputError, messageOf, NotReachableError } from './errors.js';
import { fromManifests } from './manifests.js';
import { CurrentConfig } from './messages.js';
import { controlAddresses, defaultTimeoutMs, type CommandOptions } from './options.js';
import { patchConfig } from './patch-config.js';
import { ExitCode, print, printError, report } from './report.js';

const standardInput = '-';

const readText = (file: string): string => {
  try {
    return readFileSync(file === standardInput ? 0 : file, 'utf8');
  } catch (error) {
    throw new InvalidInputError(`${file}: ${messageOf(error)}`);
  }
};

const findingLines = (findings: readonly Finding[], prefix = ''): string =>
  findings.map(({ place, text }) => `${prefix}${place}: ${text}`).join('\n');

const requireValid = (file: string, text: string): void => {
  const { findings } = checkConfig(text);
  if (findings.length > 0) throw new InvalidInputError(findingLines(findings, `${file}: `));
};

/** Fetches the current configuration; its version is 0 if there is none. Throws `NotReachableError`. */
const currentConfig = async (options: CommandOptions): Promise<CurrentConfig> => {
  const reply = await requestAny(
    controlAddresses(options),
    { method: 'GET', path: '/v1/config' },
    options.timeoutMs ?? defaultTimeoutMs,
  );
  if (reply.status === 404) return { version: 0, text: '', digest: '' };
  const config = CurrentConfig.safeParse(reply.body);
  if (!config.success)
    throw new NotReachableError(
      `unexpected reply to GET /v1/config: ${JSON.stringify(reply.body)}`,
    );
  return config.data;
};

const putConfig = async (
  options: CommandOptions,
  file: string,
  text: string,
): Promise<ExitCode> => {
  requireValid(file, text);
  const reply = await requestAny(
    controlAddresses(options),
    { method: 'PUT', path: '/v1/config', body: text },
    options.timeoutMs ?? defaultTimeoutMs,
  );
  return report(options, reply);
};

const get = async (options: CommandOptions): Promise<ExitCode> => {
  const config = await currentConfig(options);
  if (config.version === 0) {
    printError('no configuration has been submitted');
    return ExitCode.failed;
  }
  process.stdout.write(options.json ? `${JSON.stringify(config)}\n` : config.text);
  return ExitCode.done;
};

const check = (options: CommandOptions, file: string): ExitCode => {
  requireValid(file, readText(file));
  print(options, { findings: [] }, () => 'no findings');
  return ExitCode.done;
};

const put = async (options: CommandOptions, file: string): Promise<ExitCode> => {
  const text = readText(file);
  if (options.all.get('rebase') !== true) return putConfig(options, file, text);
  const { version } = await currentConfig(options);
  const baseKey = /^(\s*"?base"?\s*:\s*)\d+/m;
  return putConfig(options, file, text.replace(baseKey, `$1${version}`));
};

const patch = async (options: CommandOptions, file: string): Promise<ExitCode> => {
  const change = readText(file);
  const { text, version } = await currentConfig(options);
  return putConfig(options, file, patchConfig(text, change, version));
};

const translateManifests = (options: CommandOptions, files: readonly string[]): ExitCode => {
  if (files.length === 0)
    throw new InvalidInputError('config from-manifests: at least one file is required');
  const base = Number(options.all.get('base') ?? 0);
  if (!Number.isInteger(base) || base < 0)
    throw new InvalidInputError('--base: must be a version number, 0 or above');
  const manifests = files.map((file) => ({ file, text: readText(file) }));
  const { text, findings } = fromManifests(manifests, base);
  if (text === undefined) throw new InvalidInputError(findingLines(findings));
  process.stdout.write(text);
  return ExitCode.done;
};

type FileVerb = (options: CommandOptions, file: string) => ExitCode | Promise<ExitCode>;

/** The verbs that take exactly one file. */
const fileVerbs: ReadonlyMap<string, FileVerb> = new Map<string, FileVerb>([
  ['check', check],
  ['put', put],
  ['patch', patch],
]);

/** Runs `tillerctl config VERB FILE...`; throws `InvalidInputError` for an unknown verb or a wrong number of files. */
export const configCommand = async (
  options: CommandOptions,
  verb: string,
  files: readonly string[],
): Promise<ExitCode> => {
  if (verb === 'from-manifests') return translateManifests(options, files);
  if (verb === 'get') return get(options);
  const run = fileVerbs.get(verb);
  if (!run)
    throw new InvalidInputError(
      `config ${verb}: unknown verb; must be get, check, put, patch or from-manifests`,
    );
  const file = files.at(0);
  if (file === undefined || files.length > 1)
    throw new InvalidInputError(`config ${verb}: exactly one file is required`);
  return run(options, file);
};
