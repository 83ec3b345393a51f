/** The command line of a daemon: flags, `--settings`, `--help` and `--version`. */
import cac from 'cac';
import { z } from 'zod';
import { runProgram, type RunningProgram } from './program.js';
import { readSettings } from './settings.js';

/** The version that programs show. */
const version = '0.1.0';

const FlagTable = z.record(z.string(), z.unknown());

/** Flags of the command line itself, which are no settings. */
const commandFlags: ReadonlySet<string> = new Set(['--', 'help', 'version', 'h', 'v', 'settings']);

/** The given flags by the path of their setting, as in `bounds.serveWithin`. */
const collectFlags = (options: unknown, prefix = ''): ReadonlyMap<string, unknown> => {
  const flags = new Map<string, unknown>();
  for (const [name, value] of Object.entries(FlagTable.parse(options))) {
    if (commandFlags.has(name)) continue;
    if (value === null || typeof value !== 'object' || Array.isArray(value)) {
      flags.set(prefix + name, value);
      continue;
    }
    for (const [path, inner] of collectFlags(value, `${prefix}${name}.`)) flags.set(path, inner);
  }
  return flags;
};

/** One daemon: how it is called, its settings, and how it is started. */
export interface DaemonSpec<T> {
  readonly name: string;
  readonly description: string;
  readonly schema: z.ZodType<T>;
  /** Names and descriptions of its flags; each sets the setting of its name. */
  readonly flags: readonly (readonly [string, string])[];
  start(daemonSettings: T): Promise<RunningProgram<T>>;
}

/** Runs a daemon as the command line of this process says, until it is told to stop. */
export const runDaemon = async <T>(spec: DaemonSpec<T>): Promise<void> => {
  const cli = cac(spec.name);
  cli.option('--settings <file>', 'A YAML or JSON file of settings');
  for (const [flag, about] of spec.flags) cli.option(`--${flag} <value>`, about);
  cli.option('--bounds.<name> <ms>', 'Any of the bounds, as in --bounds.serveWithin 12000');
  cli.usage(`[flags]\n\n  ${spec.description}`);
  cli.help();
  cli.version(version);
  const { options } = cli.parse(process.argv, { run: false });
  if (options['help'] || options['version']) return;
  const file: unknown = options['settings'];
  const read = (): T =>
    readSettings(spec.schema, typeof file === 'string' ? file : undefined, collectFlags(options));
  await runProgram(spec.name, read, (settings) => spec.start(settings));
};
