import { withTaken } from './taken.js';
import { copiesAfter, type ConfigRecord, type Mate, type Server, type State } from './state.js';

export type Action =
  | { readonly kind: 'join'; readonly mate: Mate }
  | { readonly kind: 'leave'; readonly id: string }
  | { readonly kind: 'config'; readonly record: ConfigRecord }
  | { readonly kind: 'server'; readonly server: Server }
  | { readonly kind: 'server-gone'; readonly id: string }
  | { readonly kind: 'server-mark'; readonly id: string; readonly leaving?: boolean; readonly down?: boolean }
  | { readonly kind: 'voters'; readonly out: string; readonly in: Mate | undefined }
  | { readonly kind: 'filled'; readonly store: string; readonly slot: number; readonly tenure: number }
  | { readonly kind: 'handed'; readonly slot: number; readonly tenure: number }
  | { readonly kind: 'retire'; readonly id: string; readonly on: boolean }
  | { readonly kind: 'weights'; readonly weights: ReadonlyMap<string, number> };

const withEntry = <V>(m: ReadonlyMap<string, V>, k: string, v: V): ReadonlyMap<string, V> => new Map(m).set(k, v);
const without = <V>(m: ReadonlyMap<string, V>, k: string): ReadonlyMap<string, V> => {
  const out = new Map(m);
  out.delete(k);
  return out;
};

const sameMate = (a: Mate | undefined, b: Mate): boolean => JSON.stringify(a) === JSON.stringify(b);

/** The order to empty a store stands for its name until it is taken back, also when it comes back with another disk. */
const inheritsRetiring = (s: State, mate: Mate): boolean =>
  mate.kind === 'store' &&
  mate.name !== '' &&
  [...s.retiring.values()].includes(mate.name);

/** What tells one change of the configuration from others: its sender's order key, or else its digest. */
export const orderOf = (c: { readonly order?: string | undefined; readonly digest: string }): string => c.order || c.digest;

const withoutRetiring = (retiring: State['retiring'], id: string): State['retiring'] => {
  const name = retiring.get(id) ?? '';
  return new Map([...retiring].filter(([other, its]) => other !== id && (name === '' || its !== name)));
};

export const reduce = (s: State, a: Action): State => {
  switch (a.kind) {
    case 'join': {
      if (sameMate(s.nodes.get(a.mate.id), a.mate)) return s;
      const kept = [...s.nodes].filter(([id, m]) => id === a.mate.id || m.addr !== a.mate.addr);
      return {
        ...s,
        retiring: inheritsRetiring(s, a.mate) ? withEntry(s.retiring, a.mate.id, a.mate.name) : s.retiring,
        nodes: new Map(kept).set(a.mate.id, a.mate),
        voterMates: s.voterMates.has(a.mate.id) ? withEntry(s.voterMates, a.mate.id, a.mate) : s.voterMates,
      };
    }
    case 'leave':
      if (!s.nodes.has(a.id)) return s;
      return { ...s, nodes: without(s.nodes, a.id), retiring: s.nodes.get(a.id)?.kind === 'front' ? without(s.retiring, a.id) : s.retiring };
    case 'config':
      return { ...s, config: a.record, taken: withTaken(s.taken, a.record.version, orderOf(a.record)) };
    case 'server':
      return { ...s, servers: withEntry(s.servers, a.server.id, a.server) };
    case 'server-gone':
      return s.servers.has(a.id) ? { ...s, servers: without(s.servers, a.id) } : s;
    case 'server-mark': {
      const old = s.servers.get(a.id);
      if (!old) return s;
      const server = { ...old, leaving: a.leaving ?? old.leaving, down: a.down ?? old.down };
      if (server.leaving === old.leaving && server.down === old.down) return s;
      return { ...s, servers: withEntry(s.servers, a.id, server) };
    }
    case 'voters': {
      if (s.voters.now.join() !== s.voters.next.join()) return s;
      const rest = s.voters.now.filter((id) => id !== a.out);
      const next = a.in && !rest.includes(a.in.id) ? [...rest, a.in.id].sort() : rest;
      if (next.length === 0) return s;
      return {
        ...s,
        voters: { now: s.voters.now, next },
        voterMates: a.in ? withEntry(s.voterMates, a.in.id, a.in) : s.voterMates,
      };
    }
    case 'filled': {
      const old = s.slots[a.slot];
      if (!old || old.tenure !== a.tenure || !old.filling.includes(a.store)) return s;
      const slot = { ...old, copies: copiesAfter(old), filling: [], instead: '', tenure: old.tenure + 1 };
      return { ...s, slots: s.slots.with(a.slot, slot) };
    }
    case 'handed': {
      const old = s.slots[a.slot];
      if (!old || old.tenure !== a.tenure || !s.nodes.has(old.handTo)) return s;
      const slot = { ...old, steward: old.handTo, tenure: old.tenure + 1, since: old.tenure + 1, handTo: '' };
      return { ...s, slots: s.slots.with(a.slot, slot) };
    }
    case 'retire': {
      if (s.retiring.has(a.id) === a.on) return s;
      return { ...s, retiring: a.on ? withEntry(s.retiring, a.id, s.nodes.get(a.id)?.name ?? '') : withoutRetiring(s.retiring, a.id) };
    }
    case 'weights':
      return { ...s, weights: a.weights };
  }
};

export const settleVoters = (s: State): State => {
  if (s.voters.now.join() === s.voters.next.join()) return s;
  const voterMates = new Map([...s.voterMates].filter(([id]) => s.voters.next.includes(id)));
  return { ...s, voters: { now: s.voters.next, next: s.voters.next }, voterMates };
};
