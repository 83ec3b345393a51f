import { z } from 'zod';
import { Mishap, type Inquiry } from '@tillerstair/wire';
import { Diff, Entries, Mark, Mate, Voters } from '@tillerstair/state';

export const Ping = z.object({ from: Mate, known: z.array(Mate), clusterId: z.string() });
export type Ping = z.infer<typeof Ping>;

export const Pong = z.object({
  from: Mate,
  eligible: z.boolean(),
  canWin: z.boolean(),
  master: Mate.optional(),
  term: z.number(),
  clusterId: z.string(),
  joinedBefore: z.boolean(),
  accepted: Mark,
  voters: Voters.optional(),
  known: z.array(Mate),
});
export type Pong = z.infer<typeof Pong>;

export const Join = z.object({ from: Mate, term: z.number(), accepted: Mark, clusterId: z.string() });
export type Join = z.infer<typeof Join>;

const Addressed = z.object({ from: Mate, to: z.string() });
const addressed: ReadonlySet<string> = new Set(['zen/validate', 'zen/publish', 'zen/commit', 'zen/node-ping']);

export const mustBeFor = (me: Mate, inq: Inquiry, learn: (from: Mate) => void): void => {
  if (!addressed.has(inq.kind)) return;
  const { from, to } = Addressed.parse(inq.body);
  learn(from);
  if (to !== me.id) throw new Mishap('other-node', `${to} is another node, this is ${me.id}`);
};

export const Validate = z.object({ from: Mate, term: z.number(), clusterId: z.string(), have: Mark });
export const Promised = z.object({ accepted: Mark, state: Entries.optional() });
export type Promised = z.infer<typeof Promised>;

export const Publish = z.object({
  from: Mate,
  term: z.number(),
  clusterId: z.string(),
  packed: z.string(),
});
export const Payload = z.union([z.object({ diff: Diff }), z.object({ full: Entries })]);
export type Payload = z.infer<typeof Payload>;
export const Accepted = z.object({ verdict: z.enum(['accepted', 'need-full']) });
export const Commit = z.object({ from: Mate, mark: Mark });

export const NodePing = z.object({ from: Mate, term: z.number(), clusterId: z.string() });
export const NodePong = z.object({ term: z.number(), applied: Mark, report: z.unknown() });

export const MasterPing = z.object({ from: Mate, term: z.number(), applied: Mark, report: z.unknown() });
export const MasterPong = z.object({ leading: z.boolean(), listed: z.boolean(), term: z.number(), committed: Mark, age: z.number(), told: z.unknown().optional() });

export const FoundVote = z.object({ from: Mate, members: z.array(Mate) });
export const Voted = z.object({ yes: z.boolean() });
export type MasterPing = z.infer<typeof MasterPing>;
export type NodePing = z.infer<typeof NodePing>;
