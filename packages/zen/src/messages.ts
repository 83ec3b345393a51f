import { z } from 'zod';
import { ElectionError, type RpcRequest } from '@tillerstair/wire';
import {
  StateDiff,
  TableEntries,
  StateVersion,
  Member,
  VotingConfiguration,
} from '@tillerstair/state';

export const Ping = z.object({ from: Member, known: z.array(Member), clusterId: z.string() });
export type Ping = z.infer<typeof Ping>;

export const PingResponse = z.object({
  from: Member,
  eligible: z.boolean(),
  canWin: z.boolean(),
  master: Member.optional(),
  term: z.number(),
  clusterId: z.string(),
  joinedBefore: z.boolean(),
  accepted: StateVersion,
  voters: VotingConfiguration.optional(),
  known: z.array(Member),
});
export type PingResponse = z.infer<typeof PingResponse>;

export const Join = z.object({
  from: Member,
  term: z.number(),
  accepted: StateVersion,
  clusterId: z.string(),
});
export type Join = z.infer<typeof Join>;

const Addressed = z.object({ from: Member, to: z.string() });
const addressed: ReadonlySet<string> = new Set([
  'zen/validate',
  'zen/publish',
  'zen/commit',
  'zen/node-ping',
]);

export const mustBeFor = (me: Member, rpc: RpcRequest, learn: (from: Member) => void): void => {
  if (!addressed.has(rpc.kind)) return;
  const { from, to } = Addressed.parse(rpc.body);
  learn(from);
  if (to !== me.id)
    throw new ElectionError('other-node', `${to} is another node, this is ${me.id}`);
};

export const Validate = z.object({
  from: Member,
  term: z.number(),
  clusterId: z.string(),
  have: StateVersion,
});
export const ValidateResponse = z.object({
  accepted: StateVersion,
  state: TableEntries.optional(),
});
export type ValidateResponse = z.infer<typeof ValidateResponse>;

export const Publish = z.object({
  from: Member,
  term: z.number(),
  clusterId: z.string(),
  packed: z.string(),
});
export const Payload = z.union([z.object({ diff: StateDiff }), z.object({ full: TableEntries })]);
export type Payload = z.infer<typeof Payload>;
export const Accepted = z.object({ outcome: z.enum(['accepted', 'need-full']) });
export const Commit = z.object({ from: Member, stateVersion: StateVersion });

export const NodePing = z.object({ from: Member, term: z.number(), clusterId: z.string() });
export const NodePingResponse = z.object({
  term: z.number(),
  applied: StateVersion,
  report: z.unknown(),
});

export const MasterPing = z.object({
  from: Member,
  term: z.number(),
  applied: StateVersion,
  report: z.unknown(),
});
export const MasterPingResponse = z.object({
  leading: z.boolean(),
  listed: z.boolean(),
  term: z.number(),
  committed: StateVersion,
  age: z.number(),
  reported: z.unknown().optional(),
});

export const BootstrapVote = z.object({ from: Member, members: z.array(Member) });
export const Voted = z.object({ yes: z.boolean() });
export type MasterPing = z.infer<typeof MasterPing>;
export type NodePing = z.infer<typeof NodePing>;
