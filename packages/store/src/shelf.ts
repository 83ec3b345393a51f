import { z } from 'zod';
import { groupOf, Item, newerItem, pageBytes, type Item as ItemT, type Paged } from '@tillerstair/state';
import { hostPace, Journal, type Disk, type JournalOwner, type JournalPace } from '@tillerstair/journal';
import { Mishap, type Clock } from '@tillerstair/wire';

const Rec = z.discriminatedUnion('t', [
  z.object({ t: z.literal('put'), slot: z.number(), tenure: z.number(), items: z.array(Item) }),
  z.object({ t: z.literal('seal'), slot: z.number(), tenure: z.number() }),
  z.object({ t: z.literal('drop'), slot: z.number(), groups: z.array(z.string()) }),
  z.object({ t: z.literal('hint'), n: z.number(), to: z.string(), slot: z.number(), items: z.array(Item) }),
  z.object({ t: z.literal('handed'), n: z.number() }),
]);
type Rec = z.infer<typeof Rec>;

const Followed = z.object({ after: z.string() });

const turnOf = (key: string): string => {
  const [kind, , section, turn = ''] = key.split('/');
  return kind === 'p' && section === 't' ? turn : '';
};

export const shelfLog = 'store.log';

export interface HintRecord {
  readonly n: number;
  readonly to: string;
  readonly slot: number;
  readonly items: readonly ItemT[];
}

interface SlotShelf {
  sealed: number;
  readonly items: Map<string, ItemT>;
  readonly touched: Map<string, number>;
}

interface SlotSnapshot {
  readonly slot: number;
  readonly sealed: number;
  readonly items: readonly ItemT[];
}

function* recordsOf(slots: readonly SlotSnapshot[], hints: readonly HintRecord[]): Generator<Rec> {
  for (const { slot, sealed, items } of slots) {
    if (sealed > 0) yield { t: 'seal', slot, tenure: sealed };
    for (const item of items) yield { t: 'put', slot, tenure: 0, items: [item] };
  }
  for (const hint of hints) yield { t: 'hint', ...hint, items: [...hint.items] };
}

export interface ShelfBounds {
  readonly journalLongAt: number;
  readonly keepMs: number;
  readonly hintsMost: number;
}

export class Shelf implements JournalOwner {
  private readonly slots = new Map<number, SlotShelf>();
  private readonly byTurn = new Map<string, { readonly slot: number; readonly key: string }>();
  private readonly hints = new Map<number, HintRecord>();
  private hintSeq = 0;

  private constructor(
    private readonly journal: Journal,
    private readonly clock: Clock,
    private readonly bounds: ShelfBounds,
  ) {
    journal.recoverFrom(() => this.whole());
  }

  static async open(disk: Disk, clock: Clock, bounds: ShelfBounds, pace: JournalPace = { ...hostPace, clock }): Promise<Shelf> {
    return Journal.openFor(disk, shelfLog, pace, (journal) => new Shelf(journal, clock, bounds));
  }

  /** Takes a record that was read from the log. */
  restore(record: unknown): void {
    this.take(Rec.parse(record));
  }

  /** Whether the disk takes writes; without it they are refused at once and the other replicas carry them. */
  get writable(): boolean {
    return this.journal.writable;
  }

  private slot(n: number): SlotShelf {
    const old = this.slots.get(n);
    if (old) return old;
    const made: SlotShelf = { sealed: 0, items: new Map(), touched: new Map() };
    this.slots.set(n, made);
    return made;
  }

  private take(r: Rec): void {
    switch (r.t) {
      case 'put': {
        const s = this.slot(r.slot);
        s.sealed = Math.max(s.sealed, r.tenure);
        for (const item of r.items) {
          const old = s.items.get(item.key);
          if (!old || newerItem(item, old)) s.items.set(item.key, item);
          s.touched.set(groupOf(item.key), this.clock.now());
          const turn = turnOf(item.key);
          if (turn !== '') this.byTurn.set(turn, { slot: r.slot, key: item.key });
        }
        return;
      }
      case 'seal': {
        const s = this.slot(r.slot);
        s.sealed = Math.max(s.sealed, r.tenure);
        for (const g of s.touched.keys()) s.touched.set(g, this.clock.now());
        return;
      }
      case 'drop': {
        const s = this.slot(r.slot);
        const groups = new Set(r.groups);
        for (const key of [...s.items.keys()]) {
          if (!groups.has(groupOf(key))) continue;
          s.items.delete(key);
          const turn = turnOf(key);
          if (this.byTurn.get(turn)?.key === key) this.byTurn.delete(turn);
        }
        for (const g of groups) s.touched.delete(g);
        return;
      }
      case 'hint':
        this.hints.set(r.n, r);
        this.hintSeq = Math.max(this.hintSeq, r.n);
        return;
      case 'handed':
        this.hints.delete(r.n);
        return;
    }
  }

  /**
   * Memory changes before the disk does. A record whose append failed may be on disk, so it stays in memory: an item may be
   * held without being acknowledged, a seal too many refuses no more than one that was acknowledged would.
   */
  private async put(r: Rec): Promise<void> {
    this.journal.mustBeWritable();
    this.take(r);
    await this.journal.append(r);
    if (this.journal.long(this.bounds.journalLongAt)) void this.journal.rewrite(() => this.whole()).catch(() => undefined);
  }

  /** All that is held now: references are taken at once, the records are made as they are written. */
  private whole(): Iterable<Rec> {
    const slots = [...this.slots].map(([slot, s]): SlotSnapshot => ({ slot, sealed: s.sealed, items: [...s.items.values()] }));
    const hints = [...this.hints.values()];
    return { [Symbol.iterator]: () => recordsOf(slots, hints) };
  }

  private fence(slot: number, tenure: number): SlotShelf {
    const s = this.slot(slot);
    if (tenure < s.sealed) throw new Mishap('lower-tenure', `slot ${slot} is sealed at tenure ${s.sealed}`);
    return s;
  }

  async write(slot: number, tenure: number, items: readonly ItemT[]): Promise<void> {
    this.fence(slot, tenure);
    await this.put({ t: 'put', slot, tenure, items: [...items] });
  }

  async seal(slot: number, tenure: number, after: string): Promise<Paged> {
    const s = this.fence(slot, tenure);
    if (after === '') {
      if (s.sealed < tenure) await this.put({ t: 'seal', slot, tenure });
      else await this.synced();
    }
    return this.page(s, after);
  }

  private page(s: SlotShelf, after: string): Paged {
    if (after !== '' && !s.items.has(after)) throw new Mishap('page-gone', 'the page asked for has aged away; begin anew');
    const items: ItemT[] = [];
    let bytes = 0;
    let found = after === '';
    for (const item of s.items.values()) {
      if (!found) {
        found = item.key === after;
        continue;
      }
      if (items.length > 0 && bytes > pageBytes / 2) return { items, next: items.at(-1)?.key ?? '' };
      items.push(item);
      bytes += JSON.stringify(item).length;
    }
    return { items, next: '' };
  }

  /** Resolves once everything held now is on disk. */
  synced(): Promise<void> {
    return this.journal.append({ t: 'seal', slot: 0, tenure: 0 });
  }

  async read(slot: number, tenure: number, key: string): Promise<ItemT | null> {
    return this.fence(slot, tenure).items.get(key) ?? null;
  }

  /** The turn so named and, after it, those that it goes on from, as far as they are held here; the newest first. */
  find(turn: string): readonly ItemT[] {
    const out: ItemT[] = [];
    for (let at = this.byTurn.get(turn); at; ) {
      const item = this.slots.get(at.slot)?.items.get(at.key);
      const after = item && Followed.safeParse(item.value);
      if (!item || out.includes(item)) break;
      out.push(item);
      at = after?.success ? this.byTurn.get(encodeURIComponent(after.data.after).replaceAll('~', '%7E')) : undefined;
    }
    return out;
  }

  pull(slot: number, tenure: number, after: string): Paged {
    const s = this.slot(slot);
    if (s.sealed < tenure) throw new Mishap('not-sealed', `slot ${slot} is not sealed at tenure ${tenure} yet`);
    return this.page(s, after);
  }

  async hand(slot: number, items: readonly ItemT[]): Promise<void> {
    const s = this.slot(slot);
    const fresh = items.filter((i) => {
      const old = s.items.get(i.key);
      return !old || newerItem(i, old);
    });
    if (fresh.length > 0) await this.put({ t: 'put', slot, tenure: 0, items: fresh });
    else await this.synced();
  }

  async hint(to: string, slot: number, items: readonly ItemT[]): Promise<void> {
    if (this.hints.size >= this.bounds.hintsMost) throw new Mishap('hints-full', `${this.hints.size} hints are held already`);
    await this.put({ t: 'hint', n: ++this.hintSeq, to, slot, items: [...items] });
  }

  hintsFor(to: string): readonly HintRecord[] {
    return [...this.hints.values()].filter((h) => h.to === to).sort((a, b) => a.n - b.n);
  }

  hintTargets(): ReadonlySet<string> {
    return new Set([...this.hints.values()].map((h) => h.to));
  }

  async handed(n: number): Promise<void> {
    await this.put({ t: 'handed', n });
  }

  /** Drops what nobody touched for as long as things are kept, and for `leastMs`. */
  async dropOld(leastMs = 0): Promise<number> {
    const now = this.clock.now();
    const keepMs = Math.max(this.bounds.keepMs, leastMs);
    let dropped = 0;
    for (const [slot, s] of this.slots) {
      const groups = [...s.touched].filter(([, at]) => now - at > keepMs).map(([g]) => g);
      if (groups.length === 0) continue;
      dropped += groups.length;
      await this.put({ t: 'drop', slot, groups });
    }
    return dropped;
  }

  async forgetSlots(outAt: (slot: number) => number): Promise<void> {
    for (const [slot, s] of this.slots)
      if (s.items.size > 0 && outAt(slot) >= s.sealed)
        await this.put({ t: 'drop', slot, groups: [...new Set([...s.items.keys()].map(groupOf))] });
  }

  counts(): { items: number; hints: number; bytes: number; slots: number } {
    let items = 0;
    for (const s of this.slots.values()) items += s.items.size;
    return { items, hints: this.hints.size, bytes: this.journal.size, slots: this.slots.size };
  }
}
