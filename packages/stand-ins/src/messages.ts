/** Schemas of the replies of a front; the keys are those of the caller interface (`docs/callers.md`). */
import { z } from 'zod';

const StreamChunk = z.object({ n: z.number(), text: z.string() });
const StreamEnd = z.object({
  end: z.object({ turn: z.string(), chunks: z.number(), tokens: z.number(), digest: z.string() }),
});
const StreamPartial = z.object({ partial: z.literal(true), errorCode: z.string().optional() });

/** One line of a turn's stream: the end, a chunk, or the notice that the stream ends early. */
export const StreamLine = z.union([StreamEnd, StreamChunk, StreamPartial]);

/** Body of an error reply; `executed` says whether the request may have run. */
export const ErrorBody = z.object({
  executed: z.enum(['no', 'unknown']),
  errorCode: z.string().optional(),
});

/** Reply to the creation of a program. */
export const CreatedProgram = z.object({ program: z.string() });

/** Reply to a fetch of a turn from history. */
export const FetchedTurn = z.object({ turn: z.string(), text: z.string(), tokens: z.number() });

/** Result of a call, as `ServiceServer` returns it; `by` is the id of the server, `did` the path of the call. */
export const CallResult = z.object({
  did: z.string(),
  key: z.string().nullable(),
  by: z.string(),
});
