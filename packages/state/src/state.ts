import { z } from 'zod';
import { defaultReplication, Replication } from './replication.js';
import type { AcceptedChanges } from './accepted-changes.js';

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
export type Member = z.infer<typeof Member>;

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
export type Slot = z.infer<typeof Slot>;

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
export type Server = z.infer<typeof Server>;

export const ConfigRecord = z
  .object({
    version: z.number(),
    text: z.string(),
    digest: z.string(),
    compiled: z.string(),
    changeId: z.string().default(''),
  })
  .readonly();
export type ConfigRecord = z.infer<typeof ConfigRecord>;

export const VotingConfiguration = z
  .object({
    current: z.array(z.string()).readonly(),
    next: z.array(z.string()).readonly(),
  })
  .readonly();
export type VotingConfiguration = z.infer<typeof VotingConfiguration>;

export const StateVersion = z.object({ term: z.number(), version: z.number() }).readonly();
export type StateVersion = z.infer<typeof StateVersion>;

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
export type StateHeader = z.infer<typeof StateHeader>;

export interface State extends StateHeader {
  readonly nodes: ReadonlyMap<string, Member>;
  readonly votingMembers: ReadonlyMap<string, Member>;
  readonly retiring: ReadonlyMap<string, string>;
  readonly slots: readonly Slot[];
  readonly config: ConfigRecord | undefined;
  readonly acceptedChanges: AcceptedChanges;
  readonly servers: ReadonlyMap<string, Server>;
  readonly weights: ReadonlyMap<string, number>;
}

export const emptySlots = (count: number): readonly Slot[] =>
  Array.from({ length: count }, () => ({
    owner: '',
    ownershipEpoch: 0,
    ownedSinceEpoch: 0,
    transferTarget: '',
    replicas: [],
    joiningReplicas: [],
    replacedReplica: '',
  }));

export const bootstrapState = (
  clusterId: string,
  members: readonly Member[],
  slots: number,
  replication: Replication = defaultReplication,
): State => ({
  clusterId,
  term: 0,
  version: 1,
  master: '',
  voters: { current: members.map((m) => m.id).sort(), next: members.map((m) => m.id).sort() },
  replication,
  nodes: new Map(),
  votingMembers: new Map(members.map((m) => [m.id, m])),
  retiring: new Map(),
  slots: emptySlots(slots),
  config: undefined,
  acceptedChanges: new Map(),
  servers: new Map(),
  weights: new Map(),
});

export const isNewerVersion = (a: StateVersion, b: StateVersion): boolean =>
  a.term > b.term || (a.term === b.term && a.version > b.version);
export const isSameVersion = (a: StateVersion, b: StateVersion): boolean =>
  a.term === b.term && a.version === b.version;
export const versionOf = (s: StateVersion | undefined): StateVersion =>
  s ? { term: s.term, version: s.version } : { term: -1, version: 0 };

export const isMajority = (group: readonly string[], yes: ReadonlySet<string>): boolean =>
  group.length > 0 && group.filter((id) => yes.has(id)).length * 2 > group.length;

export const hasQuorum = (v: VotingConfiguration, yes: ReadonlySet<string>): boolean =>
  isMajority(v.current, yes) && isMajority(v.next, yes);

export const slotForKey = (key: string, count: number): number => {
  let h = 0x811c9dc5;
  for (let i = 0; i < key.length; i++) h = Math.imul(h ^ key.charCodeAt(i), 0x01000193) >>> 0;
  h = Math.imul(h ^ (h >>> 15), 0x2c1b3c6d) >>> 0;
  return ((h ^ (h >>> 13)) >>> 0) % count;
};

export const replicasToWrite = (slot: Slot): readonly string[] => [
  ...slot.replicas,
  ...slot.joiningReplicas,
];

export const replicasAfterJoin = (slot: Slot): readonly string[] =>
  slot.joiningReplicas.length === 0
    ? slot.replicas
    : [
        ...slot.replicas.filter((id) => id !== slot.replacedReplica),
        ...slot.joiningReplicas,
      ].sort();

export const weightKey = (pool: string, server: string): string => `${pool}|${server}`;
