import './log-on.js';
import { ROARR, Roarr } from 'roarr';

export type Level = 'debug' | 'info' | 'warn' | 'error';
export type Log = Readonly<Record<Level, (text: string) => void>>;

const rank: ReadonlyMap<Level, number> = new Map([
  ['debug', 0],
  ['info', 1],
  ['warn', 2],
  ['error', 3],
]);

export const logTo = (part: string, least: Level, write: (line: string) => void): Log => {
  ROARR.write = write;
  const out = Roarr.child({ part });
  const at = (level: Level) => (text: string) => {
    if ((rank.get(level) ?? 0) >= (rank.get(least) ?? 0)) out[level](`${part}: ${text}`);
  };
  return { debug: at('debug'), info: at('info'), warn: at('warn'), error: at('error') };
};

const nothing = (): void => undefined;
export const noLog: Log = { debug: nothing, info: nothing, warn: nothing, error: nothing };
