/** Parses the command line of a daemon (setting flags, `--settings`, `--help`, `--version`) and runs it. */
import cac from 'cac';
import { z } from 'zod';
import { runProgram, type RunningProgram } from './program.js';
import { readSettings } from './settings.js';

/** The version that `--version` prints. */
const version = '0.1.0';

const FlagTable = z.record(z.string(), z.unknown());

/** Flags that control the command line and are not settings. */
const commandFlags: ReadonlySet<string> = new Set(['--', 'help', 'version', 'h', 'v', 'settings']);

/** Maps the path of each setting that was given as a flag, such as `bounds.serveWithin`, to its value. */
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

/** Definition of a daemon: name, settings, flags and start function. `T` is the type of its settings. */
export interface DaemonSpec<T> {
  /** Name of the executable. */
  readonly name: string;
  /** One sentence for `--help`. */
  readonly description: string;
  readonly schema: z.ZodType<T>;
  /** Name and description of each flag; a flag sets the setting of the same name. */
  readonly flags: readonly (readonly [string, string])[];
  /** Starts the daemon; resolves once it serves requests. */
  start(daemonSettings: T): Promise<RunningProgram<T>>;
}

/**
 * Runs a daemon with the settings of the command line until SIGTERM or SIGINT; with `--help` or `--version` it only
 * prints. Exits with code 2 for invalid settings (see `runProgram`).
 */
export const runDaemon = async <T>(spec: DaemonSpec<T>): Promise<void> => {
  const cli = cac(spec.name);
  cli.option('--settings <file>', 'A YAML or JSON file of settings');
  for (const [flag, description] of spec.flags) cli.option(`--${flag} <value>`, description);
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
