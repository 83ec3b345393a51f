import { z } from 'zod';
import { recordGroup, Item, isNewerItem, maxPageBytes, type ItemPage } from '@tillerstair/state';
import {
  hostPace,
  Journal,
  type Disk,
  type JournalOwner,
  type JournalPace,
} from '@tillerstair/journal';
import { type Clock, ReplicaError } from '@tillerstair/wire';

const Rec = z.discriminatedUnion('t', [
  z.object({
    t: z.literal('put'),
    slot: z.number(),
    ownershipEpoch: z.number(),
    items: z.array(Item),
  }),
  z.object({ t: z.literal('fence'), slot: z.number(), ownershipEpoch: z.number() }),
  z.object({ t: z.literal('drop'), slot: z.number(), groups: z.array(z.string()) }),
  z.object({
    t: z.literal('hint'),
    n: z.number(),
    to: z.string(),
    slot: z.number(),
    items: z.array(Item),
  }),
  z.object({ t: z.literal('transferred'), n: z.number() }),
]);
type Rec = z.infer<typeof Rec>;

const Followed = z.object({ after: z.string() });

const turnOf = (key: string): string => {
  const [kind, , section, turn = ''] = key.split('/');
  return kind === 'p' && section === 't' ? turn : '';
};

export const replicaStoreLog = 'store.log';

export interface HintRecord {
  readonly n: number;
  readonly to: string;
  readonly slot: number;
  readonly items: readonly Item[];
}

interface SlotReplica {
  fenced: number;
  readonly items: Map<string, Item>;
  readonly touched: Map<string, number>;
}

interface SlotSnapshot {
  readonly slot: number;
  readonly fenced: number;
  readonly items: readonly Item[];
}

function* recordsOf(slots: readonly SlotSnapshot[], hints: readonly HintRecord[]): Generator<Rec> {
  for (const { slot, fenced, items } of slots) {
    if (fenced > 0) yield { t: 'fence', slot, ownershipEpoch: fenced };
    for (const item of items) yield { t: 'put', slot, ownershipEpoch: 0, items: [item] };
  }
  for (const hint of hints) yield { t: 'hint', ...hint, items: [...hint.items] };
}

export interface ReplicaStoreBounds {
  readonly journalLongAt: number;
  readonly retentionMs: number;
  readonly hintsMost: number;
}

export class ReplicaStore implements JournalOwner {
  private readonly slots = new Map<number, SlotReplica>();
  private readonly byTurn = new Map<string, { readonly slot: number; readonly key: string }>();
  private readonly hints = new Map<number, HintRecord>();
  private hintSeq = 0;

  private constructor(
    private readonly journal: Journal,
    private readonly clock: Clock,
    private readonly bounds: ReplicaStoreBounds,
  ) {
    journal.recoverFrom(() => this.whole());
  }

  static async open(
    disk: Disk,
    clock: Clock,
    bounds: ReplicaStoreBounds,
    pace: JournalPace = { ...hostPace, clock },
  ): Promise<ReplicaStore> {
    return Journal.openFor(
      disk,
      replicaStoreLog,
      pace,
      (journal) => new ReplicaStore(journal, clock, bounds),
    );
  }

  /** Takes a record that was read from the log. */
  restore(record: unknown): void {
    this.take(Rec.parse(record));
  }

  /** Whether the disk takes writes; without it they are refused at once and the other replicas carry them. */
  get writable(): boolean {
    return this.journal.writable;
  }

  private slot(n: number): SlotReplica {
    const old = this.slots.get(n);
    if (old) return old;
    const made: SlotReplica = { fenced: 0, items: new Map(), touched: new Map() };
    this.slots.set(n, made);
    return made;
  }

  private take(r: Rec): void {
    switch (r.t) {
      case 'put': {
        const s = this.slot(r.slot);
        s.fenced = Math.max(s.fenced, r.ownershipEpoch);
        for (const item of r.items) {
          const old = s.items.get(item.key);
          if (!old || isNewerItem(item, old)) s.items.set(item.key, item);
          s.touched.set(recordGroup(item.key), this.clock.now());
          const turn = turnOf(item.key);
          if (turn !== '') this.byTurn.set(turn, { slot: r.slot, key: item.key });
        }
        return;
      }
      case 'fence': {
        const s = this.slot(r.slot);
        s.fenced = Math.max(s.fenced, r.ownershipEpoch);
        for (const g of s.touched.keys()) s.touched.set(g, this.clock.now());
        return;
      }
      case 'drop': {
        const s = this.slot(r.slot);
        const groups = new Set(r.groups);
        for (const key of [...s.items.keys()]) {
          if (!groups.has(recordGroup(key))) continue;
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
      case 'transferred':
        this.hints.delete(r.n);
        return;
    }
  }

  /**
   * Memory changes before the disk does. A record whose append failed may be on disk, so it stays in memory: an item may be
   * held without being acknowledged, a fence too many refuses no more than one that was acknowledged would.
   */
  private async put(r: Rec): Promise<void> {
    this.journal.mustBeWritable();
    this.take(r);
    await this.journal.append(r);
    if (this.journal.long(this.bounds.journalLongAt))
      void this.journal.rewrite(() => this.whole()).catch(() => undefined);
  }

  /** All that is held now: references are taken at once, the records are made as they are written. */
  private whole(): Iterable<Rec> {
    const slots = [...this.slots].map(([slot, s]): SlotSnapshot => ({
      slot,
      fenced: s.fenced,
      items: [...s.items.values()],
    }));
    const hints = [...this.hints.values()];
    return { [Symbol.iterator]: () => recordsOf(slots, hints) };
  }

  private slotAtEpoch(slot: number, ownershipEpoch: number): SlotReplica {
    const s = this.slot(slot);
    if (ownershipEpoch < s.fenced)
      throw new ReplicaError(
        'stale-epoch',
        `slot ${slot} is fenced at ownership epoch ${s.fenced}`,
      );
    return s;
  }

  async write(slot: number, ownershipEpoch: number, items: readonly Item[]): Promise<void> {
    this.slotAtEpoch(slot, ownershipEpoch);
    await this.put({ t: 'put', slot, ownershipEpoch, items: [...items] });
  }

  async fence(slot: number, ownershipEpoch: number, after: string): Promise<ItemPage> {
    const s = this.slotAtEpoch(slot, ownershipEpoch);
    if (after === '') {
      if (s.fenced < ownershipEpoch) await this.put({ t: 'fence', slot, ownershipEpoch });
      else await this.synced();
    }
    return this.page(s, after);
  }

  private page(s: SlotReplica, after: string): ItemPage {
    if (after !== '' && !s.items.has(after))
      throw new ReplicaError('page-gone', 'the page asked for has aged away; begin anew');
    const items: Item[] = [];
    let bytes = 0;
    let found = after === '';
    for (const item of s.items.values()) {
      if (!found) {
        found = item.key === after;
        continue;
      }
      if (items.length > 0 && bytes > maxPageBytes / 2)
        return { items, next: items.at(-1)?.key ?? '' };
      items.push(item);
      bytes += JSON.stringify(item).length;
    }
    return { items, next: '' };
  }

  /** Resolves once everything held now is on disk. */
  synced(): Promise<void> {
    return this.journal.append({ t: 'fence', slot: 0, ownershipEpoch: 0 });
  }

  async read(slot: number, ownershipEpoch: number, key: string): Promise<Item | null> {
    return this.slotAtEpoch(slot, ownershipEpoch).items.get(key) ?? null;
  }

  /** The turn so named and, after it, those that it goes on from, as far as they are held here; the newest first. */
  find(turn: string): readonly Item[] {
    const out: Item[] = [];
    for (let at = this.byTurn.get(turn); at;) {
      const item = this.slots.get(at.slot)?.items.get(at.key);
      const after = item && Followed.safeParse(item.value);
      if (!item || out.includes(item)) break;
      out.push(item);
      at = after?.success
        ? this.byTurn.get(encodeURIComponent(after.data.after).replaceAll('~', '%7E'))
        : undefined;
    }
    return out;
  }

  pull(slot: number, ownershipEpoch: number, after: string): ItemPage {
    const s = this.slot(slot);
    if (s.fenced < ownershipEpoch)
      throw new ReplicaError(
        'not-fenced',
        `slot ${slot} is not fenced at ownership epoch ${ownershipEpoch} yet`,
      );
    return this.page(s, after);
  }

  async hand(slot: number, items: readonly Item[]): Promise<void> {
    const s = this.slot(slot);
    const fresh = items.filter((i) => {
      const old = s.items.get(i.key);
      return !old || isNewerItem(i, old);
    });
    if (fresh.length > 0) await this.put({ t: 'put', slot, ownershipEpoch: 0, items: fresh });
    else await this.synced();
  }

  async hint(to: string, slot: number, items: readonly Item[]): Promise<void> {
    if (this.hints.size >= this.bounds.hintsMost)
      throw new ReplicaError('hints-full', `${this.hints.size} hints are held already`);
    await this.put({ t: 'hint', n: ++this.hintSeq, to, slot, items: [...items] });
  }

  hintsFor(to: string): readonly HintRecord[] {
    return [...this.hints.values()].filter((h) => h.to === to).sort((a, b) => a.n - b.n);
  }

  hintTargets(): ReadonlySet<string> {
    return new Set([...this.hints.values()].map((h) => h.to));
  }

  async handed(n: number): Promise<void> {
    await this.put({ t: 'transferred', n });
  }

  /** Drops what nobody touched for as long as things are kept, and for `leastMs`. */
  async dropOld(leastMs = 0): Promise<number> {
    const now = this.clock.now();
    const retentionMs = Math.max(this.bounds.retentionMs, leastMs);
    let dropped = 0;
    for (const [slot, s] of this.slots) {
      const groups = [...s.touched].filter(([, at]) => now - at > retentionMs).map(([g]) => g);
      if (groups.length === 0) continue;
      dropped += groups.length;
      await this.put({ t: 'drop', slot, groups });
    }
    return dropped;
  }

  async forgetSlots(outAt: (slot: number) => number): Promise<void> {
    for (const [slot, s] of this.slots)
      if (s.items.size > 0 && outAt(slot) >= s.fenced)
        await this.put({
          t: 'drop',
          slot,
          groups: [...new Set([...s.items.keys()].map(recordGroup))],
        });
  }

  counts(): { items: number; hints: number; bytes: number; slots: number } {
    let items = 0;
    for (const s of this.slots.values()) items += s.items.size;
    return { items, hints: this.hints.size, bytes: this.journal.size, slots: this.slots.size };
  }
}
