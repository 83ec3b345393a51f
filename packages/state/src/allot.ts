import type { Mate, Slot, State } from './state.js';

export interface AllotBounds {
  /** Live stores from which a slot gets its first replicas. */
  readonly leastStores: number;
  readonly moves: number;
  readonly fills: number;
  readonly silentStores: ReadonlySet<string>;
}

const byId = (a: Mate, b: Mate): number => (a.id < b.id ? -1 : 1);

const inZone = (stores: readonly Mate[], zone: string): number => stores.filter((m) => m.zone === zone).length;

/** Adds stores to `have` up to `want`, those of the zones used least first, then those that hold the fewest slots. */
const spread = (stores: readonly Mate[], have: readonly Mate[], want: number, held: ReadonlyMap<string, number>): readonly Mate[] => {
  const out = [...have];
  while (out.length < want) {
    const free = stores.filter((m) => !out.some((o) => o.id === m.id));
    const best = free.sort(
      (a, b) => inZone(out, a.zone) - inZone(out, b.zone) || (held.get(a.id) ?? 0) - (held.get(b.id) ?? 0) || byId(a, b),
    )[0];
    if (!best) break;
    out.push(best);
  }
  return out;
};

/** Stands for no replica where one more joins a slot that has too few. */
const nobody = '';

const allotCopies = (s: State, bounds: AllotBounds): readonly Slot[] => {
  const { replicas, quorum } = s.replication;
  const live = [...s.nodes.values()].filter((m) => m.kind === 'store').sort(byId);
  const usable = live.filter((m) => !s.retiring.has(m.id));
  const held = new Map<string, number>();
  for (const slot of s.slots) for (const id of slot.copies) held.set(id, (held.get(id) ?? 0) + 1);
  const gone = (id: string): boolean => bounds.silentStores.has(id) && !s.nodes.has(id);
  const replaced = (slot: Slot): string | undefined =>
    slot.copies.find(gone) ?? (slot.copies.length < replicas ? nobody : slot.copies.find((id) => s.retiring.has(id)));
  const spareFor = (slot: Slot, out: string): Mate | undefined => {
    const answering = live.filter((m) => slot.copies.includes(m.id));
    if (answering.length < quorum) return undefined;
    const stay = answering.filter((m) => m.id !== out);
    return spread(usable.filter((m) => !slot.copies.includes(m.id)), stay, stay.length + 1, held)[stay.length];
  };
  let moving = s.slots.filter((slot) => slot.filling.length > 0).length;
  return s.slots.map((slot) => {
    if (slot.copies.length === 0) {
      if (usable.length < bounds.leastStores) return slot;
      const copies = spread(usable, [], replicas, held).map((m) => m.id);
      for (const id of copies) held.set(id, (held.get(id) ?? 0) + 1);
      return { ...slot, copies, tenure: slot.tenure + 1 };
    }
    const fills = slot.filling.length > 0;
    if (fills && slot.filling.every((id) => s.nodes.has(id) && !s.retiring.has(id))) return slot;
    if (!fills && moving >= bounds.fills) return slot;
    const out = replaced(slot);
    const spare = out === undefined ? undefined : spareFor(slot, out);
    if (out === undefined || !spare) return fills ? { ...slot, filling: [], instead: '', tenure: slot.tenure + 1 } : slot;
    if (!fills) moving++;
    held.set(spare.id, (held.get(spare.id) ?? 0) + 1);
    held.set(out, (held.get(out) ?? 0) - 1);
    return { ...slot, filling: [spare.id], instead: out, tenure: slot.tenure + 1 };
  });
};

const allotStewards = (s: State, slots: readonly Slot[], moves: number): readonly Slot[] => {
  const live = [...s.nodes.values()].filter((m) => m.kind === 'front').sort(byId);
  const stay = live.filter((m) => !s.retiring.has(m.id));
  const fronts = stay.length > 0 ? stay : live;
  if (fronts.length === 0) return slots;
  const alive = new Set(live.map((f) => f.id));
  const held = new Map<string, number>(fronts.map((f) => [f.id, 0]));
  const count = (id: string, by: number): void => {
    if (held.has(id)) held.set(id, (held.get(id) ?? 0) + by);
  };
  const toBe = (slot: Slot): string => (alive.has(slot.steward) && held.has(slot.handTo) ? slot.handTo : slot.steward);
  for (const slot of slots) count(toBe(slot), 1);
  const least = (): string => [...held].sort((a, b) => a[1] - b[1] || (a[0] < b[0] ? -1 : 1))[0]?.[0] ?? '';
  const settled = slots.map((slot) => {
    if (slot.copies.length === 0) return slot;
    if (alive.has(slot.steward)) return slot.handTo === '' || held.has(slot.handTo) ? slot : { ...slot, handTo: '' };
    const to = held.has(slot.handTo) ? slot.handTo : least();
    count(to, 1);
    return { ...slot, steward: to, tenure: slot.tenure + 1, since: slot.tenure + 1, handTo: '' };
  });
  const fair = Math.ceil(slots.length / fronts.length);
  let left = moves - settled.filter((slot) => slot.handTo !== '').length;
  return settled.map((slot) => {
    if (left <= 0 || slot.copies.length === 0 || slot.filling.length > 0 || slot.handTo !== '') return slot;
    const mine = held.get(slot.steward);
    const to = least();
    if (mine !== undefined && (mine <= fair || (held.get(to) ?? 0) + 1 >= mine)) return slot;
    left--;
    count(slot.steward, -1);
    count(to, 1);
    return { ...slot, handTo: to };
  });
};

export const allot = (s: State, bounds: AllotBounds): State => {
  const slots = allotStewards(s, allotCopies(s, bounds), bounds.moves);
  return slots.every((slot, i) => slot === s.slots[i]) ? s : { ...s, slots };
};
