/** The life cycle of a program as a process: start, reload on SIGHUP, stop on SIGTERM and SIGINT, and exit codes. */
import { FolderInUseError, JournalDamagedError } from '@tillerstair/journal';
import { createLogger, type Logger } from '@tillerstair/wire';
import { InvalidSettingsError } from './errors.js';
import { writeLogLine } from './standard-error.js';

/** Exit codes of a program; they are documented for operators. */
const exitCodes = { stopped: 0, failed: 1, invalidSettings: 2, unusableFolder: 3 } as const;

/** A started program. `T` is the type of its settings. */
export interface RunningProgram<T = never> {
  /** Ends the work in progress and releases all resources of the program. */
  stop(): Promise<void>;
  /** Applies reloaded settings, as far as they can change while the program runs. */
  reload?(settings: T): void;
}

/** Creates a logger that writes to standard error; each line names the program. */
export const createStderrLogger = (
  programName: string,
  level: 'debug' | 'info' | 'warn' | 'error',
): Logger => createLogger(programName, level, writeLogLine);

const textOf = (error: unknown): string => (error instanceof Error ? error.message : String(error));

/** The findings of invalid settings in one line, or the message of any other error. */
const findingsText = (error: unknown): string =>
  error instanceof InvalidSettingsError
    ? error.findings.map(({ place, text }) => `${place}: ${text}`).join('; ')
    : textOf(error);

/** Reloads and applies the settings. Invalid ones are reported in one line, and the previous ones stay in effect. */
const reloadSettings = <T>(name: string, read: () => T, running: RunningProgram<T>): void => {
  try {
    running.reload?.(read());
    writeLogLine(`${name}: Settings were read again.`);
  } catch (error) {
    writeLogLine(`${name}: The settings in force stay: ${findingsText(error)}`);
  }
};

/** Logs an unhandled rejection. It is a bug, but the process keeps running, since other nodes depend on it. */
const reportUnhandled = (name: string, error: unknown): void => {
  const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
  writeLogLine(`${name}: A failure was not handled: ${text}`);
};

const exitAfterFailedStart = (name: string, error: unknown): never => {
  if (error instanceof InvalidSettingsError) {
    for (const { place, text } of error.findings) writeLogLine(`${name}: ${place}: ${text}`);
    process.exit(exitCodes.invalidSettings);
  }
  writeLogLine(`${name}: cannot start: ${textOf(error)}`);
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
  const lifecycle: { running?: RunningProgram<T>; reloadRequested: boolean } = {
    reloadRequested: false,
  };
  process.on('SIGHUP', () => {
    if (lifecycle.running) reloadSettings(name, read, lifecycle.running);
    else lifecycle.reloadRequested = true;
  });
  try {
    lifecycle.running = await start(read());
  } catch (error) {
    return exitAfterFailedStart(name, error);
  }
  if (lifecycle.reloadRequested) reloadSettings(name, read, lifecycle.running);
  stopOnSignals(lifecycle.running);
};
