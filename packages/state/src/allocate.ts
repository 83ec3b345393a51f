import type { Member, Slot, State } from './state.js';

export interface AllocationLimits {
  /** Live stores from which a slot gets its first replicas. */
  readonly leastStores: number;
  readonly moves: number;
  readonly fills: number;
  readonly unresponsiveStores: ReadonlySet<string>;
}

const byId = (a: Member, b: Member): number => (a.id < b.id ? -1 : 1);

const inZone = (stores: readonly Member[], zone: string): number =>
  stores.filter((m) => m.zone === zone).length;

/** Adds stores to `have` up to `want`, those of the zones used least first, then those that hold the fewest slots. */
const spread = (
  stores: readonly Member[],
  have: readonly Member[],
  want: number,
  held: ReadonlyMap<string, number>,
): readonly Member[] => {
  const out = [...have];
  while (out.length < want) {
    const free = stores.filter((m) => !out.some((o) => o.id === m.id));
    const best = free.sort(
      (a, b) =>
        inZone(out, a.zone) - inZone(out, b.zone) ||
        (held.get(a.id) ?? 0) - (held.get(b.id) ?? 0) ||
        byId(a, b),
    )[0];
    if (!best) break;
    out.push(best);
  }
  return out;
};

/** Stands for no replica where one more joins a slot that has too few. */
const nobody = '';

const allocateReplicas = (s: State, bounds: AllocationLimits): readonly Slot[] => {
  const { replicas, quorum } = s.replication;
  const live = [...s.nodes.values()].filter((m) => m.kind === 'store').sort(byId);
  const usable = live.filter((m) => !s.retiring.has(m.id));
  const held = new Map<string, number>();
  for (const slot of s.slots) for (const id of slot.replicas) held.set(id, (held.get(id) ?? 0) + 1);
  const gone = (id: string): boolean => bounds.unresponsiveStores.has(id) && !s.nodes.has(id);
  const replaced = (slot: Slot): string | undefined =>
    slot.replicas.find(gone) ??
    (slot.replicas.length < replicas ? nobody : slot.replicas.find((id) => s.retiring.has(id)));
  const spareFor = (slot: Slot, out: string): Member | undefined => {
    const answering = live.filter((m) => slot.replicas.includes(m.id));
    if (answering.length < quorum) return undefined;
    const stay = answering.filter((m) => m.id !== out);
    return spread(
      usable.filter((m) => !slot.replicas.includes(m.id)),
      stay,
      stay.length + 1,
      held,
    )[stay.length];
  };
  let moving = s.slots.filter((slot) => slot.joiningReplicas.length > 0).length;
  return s.slots.map((slot) => {
    if (slot.replicas.length === 0) {
      if (usable.length < bounds.leastStores) return slot;
      const slotReplicas = spread(usable, [], replicas, held).map((m) => m.id);
      for (const id of slotReplicas) held.set(id, (held.get(id) ?? 0) + 1);
      return { ...slot, replicas: slotReplicas, ownershipEpoch: slot.ownershipEpoch + 1 };
    }
    const fills = slot.joiningReplicas.length > 0;
    if (fills && slot.joiningReplicas.every((id) => s.nodes.has(id) && !s.retiring.has(id)))
      return slot;
    if (!fills && moving >= bounds.fills) return slot;
    const out = replaced(slot);
    const spare = out === undefined ? undefined : spareFor(slot, out);
    if (out === undefined || !spare)
      return fills
        ? {
            ...slot,
            joiningReplicas: [],
            replacedReplica: '',
            ownershipEpoch: slot.ownershipEpoch + 1,
          }
        : slot;
    if (!fills) moving++;
    held.set(spare.id, (held.get(spare.id) ?? 0) + 1);
    held.set(out, (held.get(out) ?? 0) - 1);
    return {
      ...slot,
      joiningReplicas: [spare.id],
      replacedReplica: out,
      ownershipEpoch: slot.ownershipEpoch + 1,
    };
  });
};

const allocateOwners = (s: State, slots: readonly Slot[], moves: number): readonly Slot[] => {
  const live = [...s.nodes.values()].filter((m) => m.kind === 'front').sort(byId);
  const stay = live.filter((m) => !s.retiring.has(m.id));
  const fronts = stay.length > 0 ? stay : live;
  if (fronts.length === 0) return slots;
  const alive = new Set(live.map((f) => f.id));
  const held = new Map<string, number>(fronts.map((f) => [f.id, 0]));
  const count = (id: string, by: number): void => {
    if (held.has(id)) held.set(id, (held.get(id) ?? 0) + by);
  };
  const toBe = (slot: Slot): string =>
    alive.has(slot.owner) && held.has(slot.transferTarget) ? slot.transferTarget : slot.owner;
  for (const slot of slots) count(toBe(slot), 1);
  const least = (): string =>
    [...held].sort((a, b) => a[1] - b[1] || (a[0] < b[0] ? -1 : 1))[0]?.[0] ?? '';
  const settled = slots.map((slot) => {
    if (slot.replicas.length === 0) return slot;
    if (alive.has(slot.owner))
      return slot.transferTarget === '' || held.has(slot.transferTarget)
        ? slot
        : { ...slot, transferTarget: '' };
    const to = held.has(slot.transferTarget) ? slot.transferTarget : least();
    count(to, 1);
    return {
      ...slot,
      owner: to,
      ownershipEpoch: slot.ownershipEpoch + 1,
      ownedSinceEpoch: slot.ownershipEpoch + 1,
      transferTarget: '',
    };
  });
  const fair = Math.ceil(slots.length / fronts.length);
  let left = moves - settled.filter((slot) => slot.transferTarget !== '').length;
  return settled.map((slot) => {
    if (
      left <= 0 ||
      slot.replicas.length === 0 ||
      slot.joiningReplicas.length > 0 ||
      slot.transferTarget !== ''
    )
      return slot;
    const mine = held.get(slot.owner);
    const to = least();
    if (mine !== undefined && (mine <= fair || (held.get(to) ?? 0) + 1 >= mine)) return slot;
    left--;
    count(slot.owner, -1);
    count(to, 1);
    return { ...slot, transferTarget: to };
  });
};

export const allocate = (s: State, bounds: AllocationLimits): State => {
  const slots = allocateOwners(s, allocateReplicas(s, bounds), bounds.moves);
  return slots.every((slot, i) => slot === s.slots[i]) ? s : { ...s, slots };
};
