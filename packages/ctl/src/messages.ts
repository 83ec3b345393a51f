/** Replies of the operators' interface (`docs/operators.md`), as far as the command line reads them. */
import { z } from 'zod';

/** The configuration in force, with its digest. */
export const CurrentConfig = z.object({
  version: z.number(),
  text: z.string(),
  digest: z.string(),
});
/** See the schema. */
export type CurrentConfig = z.infer<typeof CurrentConfig>;

/** The body of a rejection that names what is wrong and where. */
export const FindingsReply = z.object({
  findings: z.array(z.object({ place: z.string(), text: z.string() })),
});

/** What a node takes the cluster state for. */
export const NodeViewReply = z.object({
  id: z.string(),
  kind: z.string(),
  term: z.number(),
  master: z.string(),
  applied: z.object({ term: z.number(), version: z.number() }),
  facts: z.array(z.tuple([z.string(), z.string()])),
});
/** See the schema. */
export type NodeViewReply = z.infer<typeof NodeViewReply>;
