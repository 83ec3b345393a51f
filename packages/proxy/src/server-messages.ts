/**
 * Schemas of server responses (`docs/backends.md`): chunks and end of a turn, results of calls, load, and not-executed
 * errors.
 */
import { z } from 'zod';
import type { ReportedLoad } from '@tillerstair/session-owner';

const TurnChunk = z.object({ id: z.string(), n: z.number(), text: z.string() });
const TurnEnd = z.object({ id: z.string(), end: z.literal(true), chunks: z.number() });

/** Schema of a line of a model server's response: a chunk, or the end with the number of chunks. */
export const TurnLine = z.union([TurnEnd, TurnChunk]);

/** Schema of the response to `GET /load`. */
export const LoadResponse = z.object({ busy: z.number(), draining: z.boolean() });

/** Schema of an error body by which a server guarantees that it has not run the request. */
export const NotExecuted = z.object({ executed: z.literal('no') });

/** Schema of the response to a tool call. */
export const ActResponse = z.object({ id: z.string(), result: z.unknown() });

const loadFieldCount = 3;

/**
 * Parses the load header: running requests, waiting requests and capacity, separated by commas; undefined if invalid.
 */
export const parseLoad = (text: string): ReportedLoad | undefined => {
  const fields = text.split(',').map(Number);
  if (text === '' || fields.length < loadFieldCount) return undefined;
  const [running, waiting, places] = fields;
  return running >= 0 && waiting >= 0 ? { running, waiting, places } : undefined;
};
