import { z } from 'zod';
import {
  ConfigRecord,
  StateHeader,
  StateVersion,
  Member,
  versionOf,
  isSameVersion,
  Server,
  Slot,
  type State,
} from './state.js';

export type StateTable = ReadonlyMap<string, string>;

export const TableEntries = z.array(z.tuple([z.string(), z.string()]));
export const StateDiff = z.object({
  base: StateVersion,
  to: StateVersion,
  set: TableEntries,
  drop: z.array(z.string()),
});
export type StateDiff = z.infer<typeof StateDiff>;

export class InvalidStateError extends Error {}

const configs = new WeakMap<ConfigRecord, string>();

const configText = (record: ConfigRecord): string => {
  const old = configs.get(record);
  if (old !== undefined) return old;
  const text = JSON.stringify(record);
  configs.set(record, text);
  return text;
};

export const encodeState = (s: State): StateTable => {
  const out = new Map<string, string>();
  const head: StateHeader = {
    clusterId: s.clusterId,
    term: s.term,
    version: s.version,
    master: s.master,
    voters: s.voters,
    replication: s.replication,
  };
  out.set('head', JSON.stringify(head));
  for (const [id, m] of s.nodes) out.set(`node/${id}`, JSON.stringify(m));
  for (const [id, m] of s.votingMembers) out.set(`voter/${id}`, JSON.stringify(m));
  for (const [id, name] of s.retiring) out.set(`retiring/${id}`, JSON.stringify(name));
  s.slots.forEach((slot, i) => out.set(`slot/${i}`, JSON.stringify(slot)));
  if (s.config) out.set('config', configText(s.config));
  for (const [block, text] of s.acceptedChanges) out.set(`taken/${block}`, JSON.stringify(text));
  for (const [id, v] of s.servers) out.set(`server/${id}`, JSON.stringify(v));
  for (const [k, w] of s.weights) out.set(`weight/${k}`, JSON.stringify(w));
  return out;
};

export const decodeState = (flat: StateTable): State => {
  const text = flat.get('head');
  if (text === undefined) throw new InvalidStateError('no head');
  const head = StateHeader.parse(JSON.parse(text));
  const nodes = new Map<string, Member>();
  const votingMembers = new Map<string, Member>();
  const servers = new Map<string, Server>();
  const weights = new Map<string, number>();
  const retiring = new Map<string, string>();
  const slots: Slot[] = [];
  const taken = new Map<number, string>();
  let config: ConfigRecord | undefined;
  for (const [key, json] of flat) {
    const at = key.indexOf('/');
    const section = at < 0 ? key : key.slice(0, at);
    const id = at < 0 ? '' : key.slice(at + 1);
    const v: unknown = JSON.parse(json);
    if (section === 'node') nodes.set(id, Member.parse(v));
    else if (section === 'voter') votingMembers.set(id, Member.parse(v));
    else if (section === 'slot') slots[Number(id)] = Slot.parse(v);
    else if (section === 'server') servers.set(id, Server.parse(v));
    else if (section === 'weight') weights.set(id, z.number().parse(v));
    else if (section === 'retiring') retiring.set(id, z.string().catch('').parse(v));
    else if (section === 'taken') taken.set(Number(id), z.string().parse(v));
    else if (section === 'config') config = ConfigRecord.parse(v);
    else if (section !== 'head') throw new InvalidStateError(`unknown section ${section}`);
  }
  return {
    ...head,
    nodes,
    votingMembers,
    retiring,
    slots,
    config,
    acceptedChanges: taken,
    servers,
    weights,
  };
};

export const diffStates = (a: State, b: State): StateDiff => {
  const from = encodeState(a);
  const to = encodeState(b);
  const set = [...to].filter(([k, v]) => from.get(k) !== v);
  const drop = [...from.keys()].filter((k) => !to.has(k));
  return { base: versionOf(a), to: versionOf(b), set, drop };
};

export const applyDiff = (a: State, d: StateDiff): State | undefined => {
  if (!isSameVersion(a, d.base)) return undefined;
  const flat = new Map(encodeState(a));
  const same = !d.drop.includes('config') && !d.set.some(([k]) => k === 'config');
  if (same) flat.delete('config');
  for (const k of d.drop) flat.delete(k);
  for (const [k, v] of d.set) flat.set(k, v);
  const next = decodeState(flat);
  return same ? { ...next, config: a.config } : next;
};
