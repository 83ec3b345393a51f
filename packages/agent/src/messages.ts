/** Schemas of the proxy's responses to its agent over loopback. */
import { z } from 'zod';

/** Schema of a proxy's identity: its id, its address for other fronts, and its HTTP address for callers. */
export const ProxyHello = z.object({ id: z.string(), addr: z.string(), http: z.string() });
/** Identity of a proxy. */
export type ProxyHello = z.infer<typeof ProxyHello>;

/** Schema of the response to a feed: the applied state version, the report on servers, and the released slots. */
export const FeedResponse = z.object({
  id: z.string(),
  applied: z.object({ term: z.number(), version: z.number() }),
  seen: z.unknown(),
  released: z.array(z.unknown()),
  stopping: z.boolean().default(false),
  /** Whether the proxy has released its read lease and serves no more requests. */
  leaseReleased: z.boolean().optional(),
});
/** A proxy's response to a feed. */
export type FeedResponse = z.infer<typeof FeedResponse>;
