/** The life of a program as a process: its start, SIGHUP, SIGTERM and SIGINT, and its exit codes. */
import { FolderInUseError, JournalDamagedError } from '@tillerstair/journal';
import { createLogger, type Logger } from '@tillerstair/wire';
import { InvalidSettingsError } from './errors.js';

/** Exit codes of a program; they are stated on the operators' pages. */
const exitCodes = { stopped: 0, failed: 1, invalidSettings: 2, unusableFolder: 3 } as const;

/** A started program. `T` is the type of its settings. */
export interface RunningProgram<T = never> {
  /** Ends what is under way and releases everything that the program opened. */
  stop(): Promise<void>;
  /** Takes over settings that were read again, as far as they may change while the program runs. */
  reload?(settings: T): void;
}

/** Writes log lines of a part of a program to the standard error stream. */
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

/** Reads the settings again and applies them; invalid ones are reported in one line and the old ones stay in force. */
const reloadSettings = <T>(name: string, read: () => T, running: RunningProgram<T>): void => {
  try {
    running.reload?.(read());
    process.stderr.write(`${name}: Settings were read again.\n`);
  } catch (error) {
    process.stderr.write(`${name}: The settings in force stay: ${findingsText(error)}\n`);
  }
};

/** A rejection that nobody handled is a fault of the program; it is reported, and does not end what others rely on. */
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
  const isFolderFault = error instanceof FolderInUseError || error instanceof JournalDamagedError;
  process.exit(isFolderFault ? exitCodes.unusableFolder : exitCodes.failed);
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
 * Starts a program and keeps it until SIGTERM or SIGINT. SIGHUP reads its settings again; one that comes
 * during the start is met once the program runs. Ends with 2 for invalid settings, 3 for a data folder that
 * cannot be used, 1 otherwise.
 */
export const runProgram = async <T>(
  name: string,
  read: () => T,
  start: (settings: T) => Promise<RunningProgram<T>>,
): Promise<void> => {
  process.on('unhandledRejection', (error) => reportUnhandled(name, error));
  const started: { running?: RunningProgram<T>; reloadWanted: boolean } = { reloadWanted: false };
  process.on('SIGHUP', () => {
    if (started.running) reloadSettings(name, read, started.running);
    else started.reloadWanted = true;
  });
  try {
    started.running = await start(read());
  } catch (error) {
    return exitAfterFailedStart(name, error);
  }
  if (started.reloadWanted) reloadSettings(name, read, started.running);
  stopOnSignals(started.running);
};
