import type { Mate, Slot, State } from './state.js';

export interface AllotBounds {
  readonly copies: number;
  readonly moves: number;
  readonly fills: number;
  readonly silentStores: ReadonlySet<string>;
}

const byId = (a: Mate, b: Mate): number => (a.id < b.id ? -1 : 1);

const spread = (stores: readonly Mate[], have: readonly Mate[], want: number, held: ReadonlyMap<string, number>): readonly Mate[] => {
  const out = [...have];
  while (out.length < want) {
    const zones = new Set(out.map((m) => m.zone));
    const free = stores.filter((m) => !out.some((o) => o.id === m.id));
    const best = free.sort(
      (a, b) =>
        Number(zones.has(a.zone)) - Number(zones.has(b.zone)) || (held.get(a.id) ?? 0) - (held.get(b.id) ?? 0) || byId(a, b),
    )[0];
    if (!best) break;
    out.push(best);
  }
  return out;
};

const allotCopies = (s: State, bounds: AllotBounds): readonly Slot[] => {
  const live = [...s.nodes.values()].filter((m) => m.kind === 'store').sort(byId);
  const usable = live.filter((m) => !s.retiring.has(m.id));
  const held = new Map<string, number>();
  for (const slot of s.slots) for (const id of slot.copies) held.set(id, (held.get(id) ?? 0) + 1);
  const gone = (id: string): boolean => bounds.silentStores.has(id) && !s.nodes.has(id);
  let moving = s.slots.filter((slot) => slot.filling.length > 0).length;
  return s.slots.map((slot) => {
    if (slot.copies.length === 0) {
      if (usable.length < bounds.copies) return slot;
      const copies = spread(usable, [], bounds.copies, held).map((m) => m.id);
      for (const id of copies) held.set(id, (held.get(id) ?? 0) + 1);
      return { ...slot, copies, tenure: slot.tenure + 1 };
    }
    const lost = slot.filling.find((id) => gone(id) || s.retiring.has(id));
    if (slot.filling.length > 0 && lost === undefined) return slot;
    if (slot.filling.length === 0 && moving >= bounds.fills) return slot;
    const out = slot.filling.length > 0 ? slot.instead : (slot.copies.find(gone) ?? slot.copies.find((id) => s.retiring.has(id)));
    if (out === undefined) return slot;
    const stay = live.filter((m) => slot.copies.includes(m.id) && m.id !== out);
    const spare =
      stay.length < bounds.copies - 1
        ? undefined
        : spread(usable.filter((m) => !slot.copies.includes(m.id) && !gone(m.id)), stay, stay.length + 1, held)[stay.length];
    if (!spare) return lost === undefined ? slot : { ...slot, filling: [], instead: '', tenure: slot.tenure + 1 };
    if (lost === undefined) moving++;
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
