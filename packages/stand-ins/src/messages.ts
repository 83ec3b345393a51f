/** What callers read from a front's replies; keys are those of the caller interface (`docs/callers.md`). */
import { z } from 'zod';

const StreamChunk = z.object({ n: z.number(), text: z.string() });
const StreamEnd = z.object({
  end: z.object({ turn: z.string(), chunks: z.number(), tokens: z.number(), digest: z.string() }),
});
const StreamPartial = z.object({ partial: z.literal(true), errorCode: z.string().optional() });

/** One line of a turn's stream: its end, a chunk, or the word that it ends early. */
export const StreamLine = z.union([StreamEnd, StreamChunk, StreamPartial]);

/** The body of an error. */
export const ErrorBody = z.object({
  executed: z.enum(['no', 'unknown']),
  errorCode: z.string().optional(),
});

/** A program that was created. */
export const CreatedProgram = z.object({ program: z.string() });

/** A turn read back from history. */
export const FetchedTurn = z.object({ turn: z.string(), text: z.string(), tokens: z.number() });

/** The result of a call, as `ServiceServer` gives it. */
export const CallResult = z.object({
  did: z.string(),
  key: z.string().nullable(),
  by: z.string(),
});
