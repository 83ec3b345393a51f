/** The cluster state and its parts. Keys of the schemas are those of the internal protocol and of the disk. */
import { z } from 'zod';
import { defaultReplication, Replication } from './replication.js';
import type { AcceptedChanges } from './accepted-changes.js';

/** A node in the cluster state; `data` is the address of a front's proxy, '' for other nodes. */
export const Member = z
  .object({
    id: z.string(),
    kind: z.enum(['control', 'store', 'front']),
    addr: z.string(),
    http: z.string(),
    zone: z.string(),
    data: z.string(),
    name: z.string().default(''),
  })
  .readonly();
/** A node in the cluster state: id (from its disk), kind, addresses, zone and the name for operators. */
export type Member = z.infer<typeof Member>;

/** A slot: its owner and replicas, and the ownership epoch (a fencing token) that every change of them raises. */
export const Slot = z
  .object({
    owner: z.string(),
    ownershipEpoch: z.number(),
    ownedSinceEpoch: z.number(),
    transferTarget: z.string(),
    replicas: z.array(z.string()).readonly(),
    joiningReplicas: z.array(z.string()).readonly(),
    replacedReplica: z.string(),
  })
  .readonly();
/** A slot: its owner and replicas, and the ownership epoch that every change of them raises. */
export type Slot = z.infer<typeof Slot>;

/**
 * A server that processes callers' requests, and its marks: `draining` gets no new requests, `down` is unreachable for
 * most fronts.
 */
export const Server = z
  .object({
    id: z.string(),
    pool: z.string(),
    url: z.string(),
    draining: z.boolean(),
    down: z.boolean(),
    zone: z.string().default(''),
    places: z.number().default(0),
  })
  .readonly();
/** A server that processes callers' requests, and its marks. */
export type Server = z.infer<typeof Server>;

/** The current configuration: its text as submitted, the digest of the text, and the JSON of its compiled form. */
export const ConfigRecord = z
  .object({
    version: z.number(),
    text: z.string(),
    digest: z.string(),
    compiled: z.string(),
    changeId: z.string().default(''),
  })
  .readonly();
/** The current configuration. */
export type ConfigRecord = z.infer<typeof ConfigRecord>;

/**
 * Ids of the current and of the next voting controls; both are the same unless a change is in progress (joint
 * consensus).
 */
export const VotingConfiguration = z
  .object({
    current: z.array(z.string()).readonly(),
    next: z.array(z.string()).readonly(),
  })
  .readonly();
/** Ids of the current and of the next voting controls. */
export type VotingConfiguration = z.infer<typeof VotingConfiguration>;

/** Identifies a state: the term of the master that published it, and its version. It never decreases. */
export const StateVersion = z.object({ term: z.number(), version: z.number() }).readonly();
/** Identifies a state: the term of the master that published it, and its version. It never decreases. */
export type StateVersion = z.infer<typeof StateVersion>;

/** Header of a state: its cluster, its version, the master that published it, its voters and its replication. */
export const StateHeader = z
  .object({
    clusterId: z.string(),
    term: z.number(),
    version: z.number(),
    master: z.string(),
    voters: VotingConfiguration,
    replication: Replication.default(defaultReplication),
  })
  .readonly();
/** Header of a state: its cluster, its version, the master that published it, its voters and its replication. */
export type StateHeader = z.infer<typeof StateHeader>;

/**
 * The cluster state (design.md, "Cluster state"): one immutable value, changed by reducers on the master only and read
 * as a snapshot.
 */
export interface State extends StateHeader {
  /** The live members, by id. */
  readonly nodes: ReadonlyMap<string, Member>;
  /** Last known member data of the voting controls, by id, whether they are live or not. */
  readonly votingMembers: ReadonlyMap<string, Member>;
  /** Stores to be emptied and fronts to be drained: the id, and the node name that the order applies to. */
  readonly retiring: ReadonlyMap<string, string>;
  readonly slots: readonly Slot[];
  readonly config: ConfigRecord | undefined;
  readonly acceptedChanges: AcceptedChanges;
  readonly servers: ReadonlyMap<string, Server>;
  /** The tuned weights, by `weightKey`; a server without an entry has the weight 1. */
  readonly weights: ReadonlyMap<string, number>;
}

/** The key of a server's tuned weight in a pool. */
export const weightKey = (pool: string, server: string): string => `${pool}|${server}`;
