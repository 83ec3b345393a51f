/** The cluster state and its parts. The keys of the schemas are those of the inner wire and of the disk. */
import { z } from 'zod';
import { defaultReplication, Replication } from './replication.js';
import type { AcceptedChanges } from './accepted-changes.js';

/** A node as the cluster state knows it; `data` is the address of a front's proxy, '' for other nodes. */
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
/** A node as the cluster state knows it: id (from its disk), kind, addresses, zone and the name for operators. */
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

/** A server that does callers' work, and its marks: draining gets nothing new, down is reached by few fronts. */
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
/** A server that does callers' work, and its marks. */
export type Server = z.infer<typeof Server>;

/** The configuration in place: the text that was handed in, its digest, and the JSON of its compiled form. */
export const ConfigRecord = z
  .object({
    version: z.number(),
    text: z.string(),
    digest: z.string(),
    compiled: z.string(),
    changeId: z.string().default(''),
  })
  .readonly();
/** The configuration in place. */
export type ConfigRecord = z.infer<typeof ConfigRecord>;

/** The ids of the voting controls, and of the next ones; the same unless a change is under way (joint consensus). */
export const VotingConfiguration = z
  .object({
    current: z.array(z.string()).readonly(),
    next: z.array(z.string()).readonly(),
  })
  .readonly();
/** The ids of the voting controls, and of the next ones. */
export type VotingConfiguration = z.infer<typeof VotingConfiguration>;

/** What a state is known by: the term of the master that published it, and its version. It never goes back. */
export const StateVersion = z.object({ term: z.number(), version: z.number() }).readonly();
/** What a state is known by: the term of the master that published it, and its version. */
export type StateVersion = z.infer<typeof StateVersion>;

/** What a state says of itself, and who may decide on it. */
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
/** What a state says of itself, and who may decide on it. */
export type StateHeader = z.infer<typeof StateHeader>;

/**
 * The cluster state (design.md, "Cluster state"): one value, changed by reducers on the master only, and held by readers
 * as an immutable snapshot.
 */
export interface State extends StateHeader {
  /** The members that are alive, by id. */
  readonly nodes: ReadonlyMap<string, Member>;
  /** The voting controls as they were last known, by id, whether they live or not. */
  readonly votingMembers: ReadonlyMap<string, Member>;
  /** Stores to be emptied and fronts to be drained: the id, and the name that the order was given for. */
  readonly retiring: ReadonlyMap<string, string>;
  readonly slots: readonly Slot[];
  readonly config: ConfigRecord | undefined;
  readonly acceptedChanges: AcceptedChanges;
  readonly servers: ReadonlyMap<string, Server>;
  /** The tuned weights, by `weightKey`; 1 where there is none. */
  readonly weights: ReadonlyMap<string, number>;
}

/** The key of a server's tuned weight in a pool. */
export const weightKey = (pool: string, server: string): string => `${pool}|${server}`;
