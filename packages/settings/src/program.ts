/** The life cycle of a program as a process: start, reload on SIGHUP, stop on SIGTERM and SIGINT, and exit codes. */
import { FolderInUseError, JournalDamagedError } from '@tillerstair/journal';
import { createLogger, type Logger } from '@tillerstair/wire';
import { InvalidSettingsError } from './errors.js';

/** Exit codes of a program; they are documented for operators. */
const exitCodes = { stopped: 0, failed: 1, invalidSettings: 2, unusableFolder: 3 } as const;

/** A started program. `T` is the type of its settings. */
export interface RunningProgram<T = never> {
  /** Ends the work in progress and releases all resources of the program. */
  stop(): Promise<void>;
  /** Applies reloaded settings, as far as they can change while the program runs. */
  reload?(settings: T): void;
}

/** Creates a logger that writes to standard error; `part` is the name of the program in each line. */
export const createStderrLogger = (
  part: string,
  level: 'debug' | 'info' | 'warn' | 'error',
): Logger =>
  createLogger(part, level, (line) => {
    process.stderr.write(`${line}\n`);
  });

const textOf = (error: unknown): string => (error instanceof Error ? error.message : String(error));

const findingsText = (error: unknown): string =>
  error instanceof InvalidSettingsError
    ? error.findings.map(({ place, text }) => `${place}: ${text}`).join('; ')
    : textOf(error);

/** Reloads and applies the settings. Invalid ones are reported in one line, and the previous ones stay in effect. */
const reloadSettings = <T>(name: string, read: () => T, running: RunningProgram<T>): void => {
  try {
    running.reload?.(read());
    process.stderr.write(`${name}: Settings were read again.\n`);
  } catch (error) {
    process.stderr.write(`${name}: The settings in force stay: ${findingsText(error)}\n`);
  }
};

/** Logs an unhandled rejection. It is a bug, but the process keeps running, since other nodes depend on it. */
const reportUnhandled = (name: string, error: unknown): void => {
  const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
  process.stderr.write(`${name}: A failure was not handled: ${text}\n`);
};

const exitAfterFailedStart = (name: string, error: unknown): never => {
  if (error instanceof InvalidSettingsError) {
    for (const { place, text } of error.findings)
      process.stderr.write(`${name}: ${place}: ${text}\n`);
    process.exit(exitCodes.invalidSettings);
  }
  process.stderr.write(`${name}: cannot start: ${textOf(error)}\n`);
  const isFolderUnusable =
    error instanceof FolderInUseError || error instanceof JournalDamagedError;
  process.exit(isFolderUnusable ? exitCodes.unusableFolder : exitCodes.failed);
};

const stopOnSignals = <T>(running: RunningProgram<T>): void => {
  let stopping = false;
  const stop = (): void => {
    if (stopping) return;
    stopping = true;
    running.stop().then(
      () => process.exit(exitCodes.stopped),
      () => process.exit(exitCodes.failed),
    );
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
};

/**
 * Runs a program until SIGTERM or SIGINT. SIGHUP reloads its settings; one that arrives during the start takes effect
 * once the program runs. A failed start exits with code 2 for invalid settings, 3 for a data folder that is in use or
 * damaged, and 1 otherwise.
 *
 * @param name - the name of the program in messages
 * @param read - reads the settings; throws `InvalidSettingsError`
 * @param start - starts the program with its settings
 */
export const runProgram = async <T>(
  name: string,
  read: () => T,
  start: (settings: T) => Promise<RunningProgram<T>>,
): Promise<void> => {
  process.on('unhandledRejection', (error) => reportUnhandled(name, error));
  const program: { running?: RunningProgram<T>; reloadRequested: boolean } = {
    reloadRequested: false,
  };
  process.on('SIGHUP', () => {
    if (program.running) reloadSettings(name, read, program.running);
    else program.reloadRequested = true;
  });
  try {
    program.running = await start(read());
  } catch (error) {
    return exitAfterFailedStart(name, error);
  }
  if (program.reloadRequested) reloadSettings(name, read, program.running);
  stopOnSignals(program.running);
};
