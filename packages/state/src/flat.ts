import { z } from 'zod';
import {
  ConfigRecord,
  Head,
  StateVersion,
  Member,
  versionOf,
  isSameVersion,
  Server,
  Slot,
  type State,
} from './state.js';

export type Flat = ReadonlyMap<string, string>;

export const Entries = z.array(z.tuple([z.string(), z.string()]));
export const Diff = z.object({
  base: StateVersion,
  to: StateVersion,
  set: Entries,
  drop: z.array(z.string()),
});
export type Diff = z.infer<typeof Diff>;

export class BadState extends Error {}

const configs = new WeakMap<ConfigRecord, string>();

const configText = (record: ConfigRecord): string => {
  const old = configs.get(record);
  if (old !== undefined) return old;
  const text = JSON.stringify(record);
  configs.set(record, text);
  return text;
};

export const flatten = (s: State): Flat => {
  const out = new Map<string, string>();
  const head: Head = {
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
  for (const [block, text] of s.taken) out.set(`taken/${block}`, JSON.stringify(text));
  for (const [id, v] of s.servers) out.set(`server/${id}`, JSON.stringify(v));
  for (const [k, w] of s.weights) out.set(`weight/${k}`, JSON.stringify(w));
  return out;
};

export const unflatten = (flat: Flat): State => {
  const text = flat.get('head');
  if (text === undefined) throw new BadState('no head');
  const head = Head.parse(JSON.parse(text));
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
    else if (section !== 'head') throw new BadState(`unknown section ${section}`);
  }
  return { ...head, nodes, votingMembers, retiring, slots, config, taken, servers, weights };
};

export const diffOf = (a: State, b: State): Diff => {
  const from = flatten(a);
  const to = flatten(b);
  const set = [...to].filter(([k, v]) => from.get(k) !== v);
  const drop = [...from.keys()].filter((k) => !to.has(k));
  return { base: versionOf(a), to: versionOf(b), set, drop };
};

export const patch = (a: State, d: Diff): State | undefined => {
  if (!isSameVersion(a, d.base)) return undefined;
  const flat = new Map(flatten(a));
  const same = !d.drop.includes('config') && !d.set.some(([k]) => k === 'config');
  if (same) flat.delete('config');
  for (const k of d.drop) flat.delete(k);
  for (const [k, v] of d.set) flat.set(k, v);
  const next = unflatten(flat);
  return same ? { ...next, config: a.config } : next;
};
