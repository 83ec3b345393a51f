import './log-on.js';
import { ROARR, Roarr } from 'roarr';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';
export type Logger = Readonly<Record<LogLevel, (text: string) => void>>;

const rank: ReadonlyMap<LogLevel, number> = new Map([
  ['debug', 0],
  ['info', 1],
  ['warn', 2],
  ['error', 3],
]);

export const createLogger = (
  part: string,
  least: LogLevel,
  write: (line: string) => void,
): Logger => {
  ROARR.write = write;
  const out = Roarr.child({ part });
  const at = (level: LogLevel) => (text: string) => {
    if ((rank.get(level) ?? 0) >= (rank.get(least) ?? 0)) out[level](`${part}: ${text}`);
  };
  return { debug: at('debug'), info: at('info'), warn: at('warn'), error: at('error') };
};

const nothing = (): void => undefined;
export const silentLogger: Logger = {
  debug: nothing,
  info: nothing,
  warn: nothing,
  error: nothing,
};
