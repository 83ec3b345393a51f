import { recordAcceptedChange } from './accepted-changes.js';
import {
  replicasAfterJoin,
  type ConfigRecord,
  type Member,
  type Server,
  type State,
} from './state.js';

export type StateAction =
  | { readonly kind: 'join'; readonly member: Member }
  | { readonly kind: 'leave'; readonly id: string }
  | { readonly kind: 'config'; readonly record: ConfigRecord }
  | { readonly kind: 'server'; readonly server: Server }
  | { readonly kind: 'server-gone'; readonly id: string }
  | {
      readonly kind: 'server-mark';
      readonly id: string;
      readonly draining?: boolean;
      readonly down?: boolean;
    }
  | { readonly kind: 'voters'; readonly out: string; readonly in: Member | undefined }
  | {
      readonly kind: 'filled';
      readonly store: string;
      readonly slot: number;
      readonly ownershipEpoch: number;
    }
  | { readonly kind: 'transferred'; readonly slot: number; readonly ownershipEpoch: number }
  | { readonly kind: 'retire'; readonly id: string; readonly on: boolean }
  | { readonly kind: 'weights'; readonly weights: ReadonlyMap<string, number> };

const withEntry = <V>(m: ReadonlyMap<string, V>, k: string, v: V): ReadonlyMap<string, V> =>
  new Map(m).set(k, v);
const without = <V>(m: ReadonlyMap<string, V>, k: string): ReadonlyMap<string, V> => {
  const out = new Map(m);
  out.delete(k);
  return out;
};

const isSameMember = (a: Member | undefined, b: Member): boolean =>
  JSON.stringify(a) === JSON.stringify(b);

/** The order to empty a store stands for its name until it is taken back, also when it comes back with another disk. */
const inheritsRetiring = (s: State, member: Member): boolean =>
  member.kind === 'store' && member.name !== '' && [...s.retiring.values()].includes(member.name);

/** What tells one change of the configuration from others: its sender's order key, or else its digest. */
export const changeIdOf = (c: {
  readonly changeId?: string | undefined;
  readonly digest: string;
}): string => c.changeId || c.digest;

const withoutRetiring = (retiring: State['retiring'], id: string): State['retiring'] => {
  const name = retiring.get(id) ?? '';
  return new Map(
    [...retiring].filter(([other, its]) => other !== id && (name === '' || its !== name)),
  );
};

export const reduceState = (s: State, a: StateAction): State => {
  switch (a.kind) {
    case 'join': {
      if (isSameMember(s.nodes.get(a.member.id), a.member)) return s;
      const kept = [...s.nodes].filter(([id, m]) => id === a.member.id || m.addr !== a.member.addr);
      return {
        ...s,
        retiring: inheritsRetiring(s, a.member)
          ? withEntry(s.retiring, a.member.id, a.member.name)
          : s.retiring,
        nodes: new Map(kept).set(a.member.id, a.member),
        votingMembers: s.votingMembers.has(a.member.id)
          ? withEntry(s.votingMembers, a.member.id, a.member)
          : s.votingMembers,
      };
    }
    case 'leave':
      if (!s.nodes.has(a.id)) return s;
      return {
        ...s,
        nodes: without(s.nodes, a.id),
        retiring: s.nodes.get(a.id)?.kind === 'front' ? without(s.retiring, a.id) : s.retiring,
      };
    case 'config':
      return {
        ...s,
        config: a.record,
        acceptedChanges: recordAcceptedChange(
          s.acceptedChanges,
          a.record.version,
          changeIdOf(a.record),
        ),
      };
    case 'server':
      return { ...s, servers: withEntry(s.servers, a.server.id, a.server) };
    case 'server-gone':
      return s.servers.has(a.id) ? { ...s, servers: without(s.servers, a.id) } : s;
    case 'server-mark': {
      const old = s.servers.get(a.id);
      if (!old) return s;
      const server = { ...old, draining: a.draining ?? old.draining, down: a.down ?? old.down };
      if (server.draining === old.draining && server.down === old.down) return s;
      return { ...s, servers: withEntry(s.servers, a.id, server) };
    }
    case 'voters': {
      if (s.voters.current.join() !== s.voters.next.join()) return s;
      const rest = s.voters.current.filter((id) => id !== a.out);
      const next = a.in && !rest.includes(a.in.id) ? [...rest, a.in.id].sort() : rest;
      if (next.length === 0) return s;
      return {
        ...s,
        voters: { current: s.voters.current, next },
        votingMembers: a.in ? withEntry(s.votingMembers, a.in.id, a.in) : s.votingMembers,
      };
    }
    case 'filled': {
      const old = s.slots[a.slot];
      if (!old || old.ownershipEpoch !== a.ownershipEpoch || !old.joiningReplicas.includes(a.store))
        return s;
      const slot = {
        ...old,
        replicas: replicasAfterJoin(old),
        joiningReplicas: [],
        replacedReplica: '',
        ownershipEpoch: old.ownershipEpoch + 1,
      };
      return { ...s, slots: s.slots.with(a.slot, slot) };
    }
    case 'transferred': {
      const old = s.slots[a.slot];
      if (!old || old.ownershipEpoch !== a.ownershipEpoch || !s.nodes.has(old.transferTarget))
        return s;
      const slot = {
        ...old,
        owner: old.transferTarget,
        ownershipEpoch: old.ownershipEpoch + 1,
        ownedSinceEpoch: old.ownershipEpoch + 1,
        transferTarget: '',
      };
      return { ...s, slots: s.slots.with(a.slot, slot) };
    }
    case 'retire': {
      if (s.retiring.has(a.id) === a.on) return s;
      return {
        ...s,
        retiring: a.on
          ? withEntry(s.retiring, a.id, s.nodes.get(a.id)?.name ?? '')
          : withoutRetiring(s.retiring, a.id),
      };
    }
    case 'weights':
      return { ...s, weights: a.weights };
  }
};

export const completeVotingChange = (s: State): State => {
  if (s.voters.current.join() === s.voters.next.join()) return s;
  const votingMembers = new Map([...s.votingMembers].filter(([id]) => s.voters.next.includes(id)));
  return { ...s, voters: { current: s.voters.next, next: s.voters.next }, votingMembers };
};
