import { z } from 'zod';
import { defaultReplication, Replication } from './replication.js';
import type { TakenChanges } from './taken.js';

export const Mate = z.object({
  id: z.string(),
  kind: z.enum(['control', 'store', 'front']),
  addr: z.string(),
  http: z.string(),
  zone: z.string(),
  data: z.string(),
  name: z.string().default(''),
}).readonly();
export type Mate = z.infer<typeof Mate>;

export const Slot = z.object({
  steward: z.string(),
  tenure: z.number(),
  since: z.number(),
  handTo: z.string(),
  copies: z.array(z.string()).readonly(),
  filling: z.array(z.string()).readonly(),
  instead: z.string(),
}).readonly();
export type Slot = z.infer<typeof Slot>;

export const Server = z.object({
  id: z.string(),
  pool: z.string(),
  url: z.string(),
  leaving: z.boolean(),
  down: z.boolean(),
  zone: z.string().default(''),
  places: z.number().default(0),
}).readonly();
export type Server = z.infer<typeof Server>;

export const ConfigRecord = z.object({
  version: z.number(),
  text: z.string(),
  digest: z.string(),
  compiled: z.string(),
  order: z.string().default(''),
}).readonly();
export type ConfigRecord = z.infer<typeof ConfigRecord>;

export const Voters = z.object({
  now: z.array(z.string()).readonly(),
  next: z.array(z.string()).readonly(),
}).readonly();
export type Voters = z.infer<typeof Voters>;

export const Mark = z.object({ term: z.number(), version: z.number() }).readonly();
export type Mark = z.infer<typeof Mark>;

export const Head = z.object({
  clusterId: z.string(),
  term: z.number(),
  version: z.number(),
  master: z.string(),
  voters: Voters,
  replication: Replication.default(defaultReplication),
}).readonly();
export type Head = z.infer<typeof Head>;

export interface State extends Head {
  readonly nodes: ReadonlyMap<string, Mate>;
  readonly voterMates: ReadonlyMap<string, Mate>;
  readonly retiring: ReadonlyMap<string, string>;
  readonly slots: readonly Slot[];
  readonly config: ConfigRecord | undefined;
  readonly taken: TakenChanges;
  readonly servers: ReadonlyMap<string, Server>;
  readonly weights: ReadonlyMap<string, number>;
}

export const emptySlots = (count: number): readonly Slot[] =>
  Array.from({ length: count }, () => ({ steward: '', tenure: 0, since: 0, handTo: '', copies: [], filling: [], instead: '' }));

export const foundingState = (clusterId: string, members: readonly Mate[], slots: number, replication: Replication = defaultReplication): State => ({
  clusterId,
  term: 0,
  version: 1,
  master: '',
  voters: { now: members.map((m) => m.id).sort(), next: members.map((m) => m.id).sort() },
  replication,
  nodes: new Map(),
  voterMates: new Map(members.map((m) => [m.id, m])),
  retiring: new Map(),
  slots: emptySlots(slots),
  config: undefined,
  taken: new Map(),
  servers: new Map(),
  weights: new Map(),
});

export const newer = (a: Mark, b: Mark): boolean => a.term > b.term || (a.term === b.term && a.version > b.version);
export const sameMark = (a: Mark, b: Mark): boolean => a.term === b.term && a.version === b.version;
export const markOf = (s: Mark | undefined): Mark =>
  s ? { term: s.term, version: s.version } : { term: -1, version: 0 };

export const isMajority = (group: readonly string[], yes: ReadonlySet<string>): boolean =>
  group.length > 0 && group.filter((id) => yes.has(id)).length * 2 > group.length;

export const quorum = (v: Voters, yes: ReadonlySet<string>): boolean => isMajority(v.now, yes) && isMajority(v.next, yes);

export const slotOf = (key: string, count: number): number => {
  let h = 0x811c9dc5;
  for (let i = 0; i < key.length; i++) h = Math.imul(h ^ key.charCodeAt(i), 0x01000193) >>> 0;
  h = Math.imul(h ^ (h >>> 15), 0x2c1b3c6d) >>> 0;
  return ((h ^ (h >>> 13)) >>> 0) % count;
};

export const keptOn = (slot: Slot): readonly string[] => [...slot.copies, ...slot.filling];

export const copiesAfter = (slot: Slot): readonly string[] =>
  slot.filling.length === 0 ? slot.copies : [...slot.copies.filter((id) => id !== slot.instead), ...slot.filling].sort();

export const weightKey = (pool: string, server: string): string => `${pool}|${server}`;
