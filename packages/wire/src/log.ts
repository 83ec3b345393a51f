/** Logs of the programs: one JSON line for each message, written by `roarr`. */
import './enable-logging.js';
import { ROARR, Roarr } from 'roarr';

/** The levels, from the least to the most important. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Writes a message at a level. */
export type Logger = Readonly<Record<LogLevel, (text: string) => void>>;

const rankOfLevel: Readonly<Record<LogLevel, number>> = { debug: 0, info: 1, warn: 2, error: 3 };

/**
 * Makes the logger of a program.
 *
 * @param part - the name of the program, told in each line
 * @param leastLevel - messages of lower levels are not written
 * @param write - takes each line, without its end
 */
export const createLogger = (
  part: string,
  leastLevel: LogLevel,
  write: (line: string) => void,
): Logger => {
  ROARR.write = write;
  const roarr = Roarr.child({ part });
  const logAt = (level: LogLevel) => (text: string) => {
    if (rankOfLevel[level] >= rankOfLevel[leastLevel]) roarr[level](`${part}: ${text}`);
  };
  return { debug: logAt('debug'), info: logAt('info'), warn: logAt('warn'), error: logAt('error') };
};

/** Takes a message and writes nothing. */
const ignore = (): void => undefined;

/** Writes nothing. */
export const silentLogger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };
