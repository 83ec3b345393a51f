/** What servers answer (`docs/backends.md`), as schemas: chunks and end of a turn, results of calls, loads and promises. */
import { z } from 'zod';
import type { ReportedLoad } from '@tillerstair/session-owner';

const TurnChunk = z.object({ id: z.string(), n: z.number(), text: z.string() });
const TurnEnd = z.object({ id: z.string(), end: z.literal(true), chunks: z.number() });

/** A line of a model server's answer: one chunk, or the end that counts them. */
export const TurnLine = z.union([TurnEnd, TurnChunk]);

/** The answer to `GET /load`. */
export const LoadResponse = z.object({ busy: z.number(), draining: z.boolean() });

/** The promise of a server that it has not run a request. */
export const NotExecuted = z.object({ executed: z.literal('no') });

/** The result of a tool call. */
export const ActResponse = z.object({ id: z.string(), result: z.unknown() });

const loadFieldCount = 3;

/** Requests that run and wait, and how many can run, from a header with commas between; undefined if it cannot be. */
export const parseLoad = (text: string): ReportedLoad | undefined => {
  const figures = text.split(',').map(Number);
  if (text === '' || figures.length < loadFieldCount) return undefined;
  const [running, waiting, places] = figures;
  return running >= 0 && waiting >= 0 ? { running, waiting, places } : undefined;
};
