/** Schemas of the replies of the operators' interface (`docs/operators.md`) that the command line parses. */
import { z } from 'zod';

/** Schema of the reply to `GET /v1/config`. */
export const CurrentConfig = z.object({
  version: z.number(),
  text: z.string(),
  digest: z.string(),
});
/** The current configuration: its version, its text and the digest of the text. */
export type CurrentConfig = z.infer<typeof CurrentConfig>;

/** Schema of the body of a rejection with findings, each with its place in the request. */
export const FindingsReply = z.object({
  findings: z.array(z.object({ place: z.string(), text: z.string() })),
});

/** Schema of the reply to `GET /v1/view`. */
export const NodeViewReply = z.object({
  id: z.string(),
  kind: z.string(),
  term: z.number(),
  master: z.string(),
  applied: z.object({ term: z.number(), version: z.number() }),
  facts: z.array(z.tuple([z.string(), z.string()])),
});
/** The cluster state as one node sees it: its term, master, applied version, and named facts. */
export type NodeViewReply = z.infer<typeof NodeViewReply>;
