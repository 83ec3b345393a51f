/**
 * Messages between nodes: field names and shapes are part of the internal protocol. Each message is parsed only by its
 * receiver.
 */
import {
  StateDiff,
  TableEntries,
  Member,
  StateVersion,
  VotingConfiguration,
} from '@tillerstair/state';
import { z } from 'zod';

/** Schema of `zen/ping`: the sender, the controls that it knows of, and its cluster id (empty if it has none). */
export const Ping = z.object({ from: Member, known: z.array(Member), clusterId: z.string() });
/** Discovery request: asks a node for its election state, its master and the controls that it knows of. */
export type Ping = z.infer<typeof Ping>;

/** Schema of the response to `zen/ping`: the node's election state, its master and the controls that it knows of. */
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
/** Response to a ping; absent `master` and `voters` mean that the node has no master or no accepted state. */
export type PingResponse = z.infer<typeof PingResponse>;

/** Schema of `zen/join`: a node asks the master that it chose to add it to the cluster. */
export const Join = z.object({
  from: Member,
  term: z.number(),
  accepted: StateVersion,
  clusterId: z.string(),
});
/** Request to join a master, with the sender's term, accepted version and cluster id. */
export type Join = z.infer<typeof Join>;

/** Response to a join: the term of the master that validated it. */
export interface JoinResponse {
  readonly term: number;
}

/** Schema of the fields common to all requests that carry a receiver: the sender, and the receiver's id. */
export const AddressedRequest = z.object({ from: Member, to: z.string() });

/** Schema of `zen/validate`: a candidate or master, whose state has version `have`, requests a joining node's vote. */
export const Validate = z.object({
  from: Member,
  term: z.number(),
  clusterId: z.string(),
  have: StateVersion,
});

/** Request for a vote in a term, or for confirmation of a vote given earlier. */
export type Validate = z.infer<typeof Validate>;

/** Schema of the response to `zen/validate`, with the voter's accepted state if it is newer than the sender's. */
export const ValidateResponse = z.object({
  accepted: StateVersion,
  state: TableEntries.optional(),
});
/** A vote, or the confirmation of an earlier one; the vote is on disk before this is sent. */
export type ValidateResponse = z.infer<typeof ValidateResponse>;

/** Schema of `zen/publish`: a state from its master; `packed` is a `PublishPayload` as deflated JSON in base 64. */
export const Publish = z.object({
  from: Member,
  term: z.number(),
  clusterId: z.string(),
  packed: z.string(),
});
/** Request to accept a state. */
export type Publish = z.infer<typeof Publish>;

/** Schema of a published state: a diff from the previous state, or the full state. */
export const PublishPayload = z.union([
  z.object({ diff: StateDiff }),
  z.object({ full: TableEntries }),
]);
/** A published state, as a diff or in full. */
export type PublishPayload = z.infer<typeof PublishPayload>;

/** Schema of the response to `zen/publish`: the state is on disk, or the diff starts from a state that is not there. */
export const PublishResponse = z.object({ outcome: z.enum(['accepted', 'need-full']) });
/** Outcome of a publish at its receiver. */
export type PublishResponse = z.infer<typeof PublishResponse>;

/** Schema of `zen/commit`: a majority has accepted the state of this version. */
export const Commit = z.object({ from: Member, stateVersion: StateVersion });

/** Schema of `zen/node-ping`: nodes fault detection, sent by the master of a term. */
export const NodePing = z.object({ from: Member, term: z.number(), clusterId: z.string() });
/** Heartbeat from a master to a member. */
export type NodePing = z.infer<typeof NodePing>;

/** Schema of the response to `zen/node-ping`: the term of the node's newest vote, its applied version, its report. */
export const NodePingResponse = z.object({
  term: z.number(),
  applied: StateVersion,
  report: z.unknown(),
});
/** Response of a member to its master's heartbeat. */
export type NodePingResponse = z.infer<typeof NodePingResponse>;

/** Schema of `zen/master-ping`: master fault detection, sent by a node that follows the master. */
export const MasterPing = z.object({
  from: Member,
  term: z.number(),
  applied: StateVersion,
  report: z.unknown(),
});
/** Heartbeat from a follower to its master. */
export type MasterPing = z.infer<typeof MasterPing>;

/**
 * Schema of the response to `zen/master-ping`; `listed` is whether the master's state lists the sender, and `age`
 * the time in milliseconds since a majority last responded to the master.
 */
export const MasterPingResponse = z.object({
  leading: z.boolean(),
  listed: z.boolean(),
  term: z.number(),
  committed: StateVersion,
  age: z.number(),
  reported: z.unknown().optional(),
});
/** Response of a master to a follower's heartbeat, with the data that renews a read lease. */
export type MasterPingResponse = z.infer<typeof MasterPingResponse>;

/** Schema of `zen/bootstrap`: a blank control requests another's vote to bootstrap a cluster with these members. */
export const BootstrapVote = z.object({ from: Member, members: z.array(Member) });
/** Proposal to bootstrap a cluster with these members. */
export type BootstrapVote = z.infer<typeof BootstrapVote>;

/** Schema of the response to `zen/bootstrap`; `yes` is true only once the vote is on disk. */
export const BootstrapVoteResponse = z.object({ yes: z.boolean() });
/** Answer to a proposal to bootstrap a cluster. */
export type BootstrapVoteResponse = z.infer<typeof BootstrapVoteResponse>;

/** Schema of `zen/stepped-down`: the sender is no longer master. */
export const SteppedDown = z.object({ from: Member });
/** Notice from a master that has stepped down. */
export type SteppedDown = z.infer<typeof SteppedDown>;

/** Schema of `zen/leave`: the sender shuts down; with `leaseReleased`, it is a front that has stopped serving. */
export const Leave = z.object({ from: Member, leaseReleased: z.boolean().optional() });
/** Notice from a node that shuts down. */
export type Leave = z.infer<typeof Leave>;
