/** Schemas of the feed from the local agent and of the responses of other fronts (inner wire). */
import { z } from 'zod';
import { TableEntries } from '@tillerstair/state';

/** Schema of a feed from the agent: a newer state if there is one, the read lease, and the known master. */
export const Feed = z.object({
  state: TableEntries.optional(),
  /** Digest of the configuration that belongs to `state`, if the configuration itself is left out of it. */
  config: z.string().optional(),
  /** Time of the lease renewal in ms, on the clock that both programs of the machine share; -1 if never renewed. */
  leaseRenewedAt: z.number(),
  /** Ids of servers that must get no new requests although the state allows it. */
  barred: z.array(z.string()).optional(),
  master: z.string(),
  term: z.number(),
});
/** A feed from the agent. */
export type Feed = z.infer<typeof Feed>;

/** Schema of the response to a feed: the applied state version, the report on servers, and the released slots. */
export const FeedResponse = z.object({
  id: z.string(),
  applied: z.object({ term: z.number(), version: z.number() }),
  seen: z.unknown(),
  released: z.unknown(),
  stopping: z.boolean(),
  /** Whether the front has released its read lease and serves no more requests. */
  leaseReleased: z.boolean().optional(),
});
/** A front's response to a feed. */
export type FeedResponse = z.infer<typeof FeedResponse>;

/** Schema of the body of a stream's outcome, which states the number of chunks. */
export const StreamEnd = z.object({ end: z.object({ chunks: z.number() }) });

/** Schema of a stream chunk; `n` counts from 0. */
export const StreamChunk = z.object({ n: z.number(), text: z.string() });

/** Kinds of requests that a front forwards to the owner of their slot. */
export type ForwardedKind =
  'front/program' | 'front/turn' | 'front/history' | 'front/call' | 'front/keyed' | 'front/stream';
