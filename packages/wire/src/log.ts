/** Logging of the programs through `roarr`: one line of JSON for each message. */
import './enable-logging.js';
import { ROARR, Roarr } from 'roarr';

/** Log levels, from the least to the most severe. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Logs messages; has one method for each level. */
export type Logger = Readonly<Record<LogLevel, (text: string) => void>>;

const rankOfLevel: Readonly<Record<LogLevel, number>> = { debug: 0, info: 1, warn: 2, error: 3 };

/**
 * Creates the logger of a program. `roarr` has one output for each process, so a later logger's `write` replaces it.
 *
 * @param part - the name of the program, which is part of each line
 * @param minLevel - messages below this level are dropped
 * @param write - called with each line, without the line break
 */
export const createLogger = (
  part: string,
  minLevel: LogLevel,
  write: (line: string) => void,
): Logger => {
  ROARR.write = write;
  const roarr = Roarr.child({ part });
  const logAt = (level: LogLevel) => (text: string) => {
    if (rankOfLevel[level] >= rankOfLevel[minLevel]) roarr[level](`${part}: ${text}`);
  };
  return { debug: logAt('debug'), info: logAt('info'), warn: logAt('warn'), error: logAt('error') };
};

/** Drops a message. */
const ignore = (): void => undefined;

/** A logger that drops all messages. */
export const silentLogger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };
