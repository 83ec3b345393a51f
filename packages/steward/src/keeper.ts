import {
  copiesAfter, groupOf, Item, keptOn, newerItem, pagesFrom, pagesOf, ReadBack, rootOf, sameItem, turnsKeptMs, type Slot,
} from '@tillerstair/state';
import { Mishap, mishapOf, pause, type Circuits, type Clock, type Log } from '@tillerstair/wire';
import type { Table } from './table.js';
import { Cost } from './verdict.js';

export interface KeeperParts {
  readonly clock: Clock;
  readonly circuits: Circuits;
  readonly log: Log;
  readonly table: () => Table | undefined;
  readonly putWithin: number;
  readonly beat: number;
  readonly keepMs: number;
}

export class SlotKeeper {
  private slot: Slot | undefined;
  private seq = 0;
  private openTenure = -1;
  private inside = 0;
  private released = false;
  private held = new Map<string, Item>();
  private spentBy = new Map<string, number>();
  private turnsBy = new Map<string, string[]>();
  private touched = new Map<string, number>();

  constructor(
    readonly n: number,
    readonly since: number,
    private readonly p: KeeperParts,
  ) {}

  /** Replicas that must hold a write, or reply to a read; out of reach while no state is known. */
  private get quorum(): number {
    return this.p.table()?.state.replication.quorum ?? Infinity;
  }

  get open(): boolean {
    return this.slot !== undefined && this.openTenure === this.slot.tenure;
  }

  get taking(): boolean {
    return this.open && !this.released;
  }

  enter(): () => void {
    this.inside++;
    return () => {
      this.inside--;
    };
  }

  tryRelease(): readonly [number, number] | undefined {
    if (!this.slot || this.slot.handTo === '' || !this.open) return undefined;
    if (this.inside === 0) this.released = true;
    return this.released ? [this.n, this.slot.tenure] : undefined;
  }

  get(key: string): unknown {
    return this.held.get(key)?.value;
  }

  spent(root: string): number {
    return this.spentBy.get(root) ?? 0;
  }

  turnsOf(pid: string): readonly string[] {
    return this.turnsBy.get(pid) ?? [];
  }

  take(slot: Slot): void {
    const old = this.slot;
    this.slot = slot;
    if (old?.tenure !== slot.tenure || slot.handTo === '') this.released = false;
    if (old?.tenure === slot.tenure) return;
    this.seq = 0;
    void this.unseal(slot.tenure);
  }

  release(): void {
    this.slot = undefined;
    this.openTenure = -1;
    this.forget();
  }

  private forget(): void {
    this.held = new Map();
    this.spentBy = new Map();
    this.turnsBy = new Map();
    this.touched = new Map();
  }

  private async unseal(tenure: number): Promise<void> {
    const { clock, log, beat } = this.p;
    while (this.slot?.tenure === tenure) {
      try {
        if (await this.sealOnce(tenure)) return;
      } catch (e) {
        log.debug(`Slot ${this.n} is not open yet: ${mishapOf(e).message}.`);
      }
      await pause(clock, beat / 10);
    }
  }

  private async sealOnce(tenure: number): Promise<boolean> {
    const slot = this.slot;
    if (!slot) return true;
    const seen = new Map<string, Map<string, Item>>();
    await new Promise<void>((done) => {
      let left = slot.copies.length;
      const one = () => {
        left--;
        if (left <= 0 || seen.size >= this.quorum) done();
      };
      if (left === 0) done();
      for (const id of slot.copies)
        void this.sealed(id, tenure)
          .then((items) => {
            seen.set(id, items);
          })
          .catch(() => undefined)
          .finally(one);
    });
    if (seen.size < this.quorum) throw new Mishap('unavailable', `${seen.size} of ${slot.copies.length} copies sealed`);
    const views = [...seen.values()];
    const merged = new Map<string, Item>(this.openTenure >= 0 ? this.held : []);
    for (const view of views)
      for (const item of view.values()) {
        const old = merged.get(item.key);
        if (!old || newerItem(item, old)) merged.set(item.key, item);
      }
    const uneven = [...merged.values()].filter((item) => {
      const same = views.filter((v) => {
        const theirs = v.get(item.key);
        return theirs && sameItem(theirs, item);
      });
      return same.length < this.quorum;
    });
    if (this.slot?.tenure !== tenure) return true;
    const again = uneven.map((item) => ({ key: item.key, tenure, seq: ++this.seq, value: item.value }));
    for (const page of pagesOf(again)) await this.spread(tenure, page);
    if (this.slot?.tenure !== tenure) return true;
    for (const item of again) merged.set(item.key, item);
    this.forget();
    for (const item of merged.values()) this.hold(item);
    this.openTenure = tenure;
    this.p.log.debug(`Slot ${this.n} is open at tenure ${tenure} with ${merged.size} items.`);
    return true;
  }

  private async sealed(id: string, tenure: number): Promise<Map<string, Item>> {
    const items = new Map<string, Item>();
    for await (const page of pagesFrom((after) => this.ask(id, 'store/seal', { slot: this.n, tenure, after })))
      for (const item of page) items.set(item.key, item);
    return items;
  }

  private hold(item: Item): void {
    const [kind, pid = '', t] = item.key.split('/');
    if (kind === 'p' && t === 't') {
      const cost = (v: unknown): number => {
        const turn = Cost.safeParse(v);
        return turn.success ? turn.data.cost : 0;
      };
      const root = rootOf(pid);
      const before = this.held.get(item.key);
      if (!before) this.turnsBy.set(pid, [...(this.turnsBy.get(pid) ?? []), item.key]);
      this.spentBy.set(root, this.spent(root) - (before ? cost(before.value) : 0) + cost(item.value));
    }
    this.held.set(item.key, item);
    this.touched.set(groupOf(item.key), this.p.clock.now());
  }

  private ask(id: string, kind: string, body: unknown): Promise<unknown> {
    const mate = this.p.table()?.state.nodes.get(id);
    if (!mate) return Promise.reject(new Mishap('away', `copy ${id} is away`));
    return this.p.circuits.call(mate.addr, kind, body, { within: this.p.putWithin });
  }

  private spread(tenure: number, items: readonly Item[]): Promise<void> {
    const slot = this.slot;
    if (slot?.tenure !== tenure) return Promise.reject(new Mishap('not-steward', 'the slot has moved on'));
    const targets = keptOn(slot);
    const groups = [slot.copies, copiesAfter(slot)];
    const missed: string[] = [];
    const good: string[] = [];
    const acks = (): number => Math.min(...groups.map((g) => g.filter((id) => good.includes(id)).length));
    let left = targets.length;
    return new Promise((done, fail) => {
      const settle = () => {
        if (acks() >= this.quorum) done();
        if (left > 0) return;
        if (acks() < this.quorum) fail(new Mishap('unavailable', `${good.length} of ${targets.length} copies synced`));
        if (good.length > 0) for (const id of missed) void this.hint(good, id, items);
      };
      for (const id of targets)
        this.ask(id, 'store/put', { slot: this.n, tenure, items })
          .then(
            () => {
              good.push(id);
            },
            (e: unknown) => {
              if (mishapOf(e).code !== 'lower-tenure') missed.push(id);
              else if (this.slot?.tenure === tenure) this.openTenure = -1;
            },
          )
          .finally(() => {
            left--;
            settle();
          });
    });
  }

  private async hint(good: readonly string[], to: string, items: readonly Item[]): Promise<void> {
    for (const id of good) {
      try {
        await this.ask(id, 'store/hint', { to, slot: this.n, items });
        return;
      } catch (e) {
        this.p.log.debug(`Hint for ${to} was not kept by ${id}: ${mishapOf(e).message}.`);
      }
    }
  }

  async put(key: string, value: unknown): Promise<void> {
    const slot = this.slot;
    if (!slot || !this.open) throw new Mishap('unavailable', `slot ${this.n} is being taken over`);
    const item: Item = { key, tenure: slot.tenure, seq: ++this.seq, value };
    await this.spread(slot.tenure, [item]);
    if (this.openTenure === item.tenure) this.hold(item);
  }

  async putSoon(key: string, value: unknown, tries: number): Promise<void> {
    for (let n = 1; ; n++) {
      try {
        return await this.put(key, value);
      } catch (e) {
        if (n >= tries || !this.slot) throw e;
        await pause(this.p.clock, this.p.beat / 10);
      }
    }
  }

  async confirmMissing(key: string): Promise<boolean> {
    const slot = this.slot;
    if (!slot || !this.open) throw new Mishap('unavailable', `slot ${this.n} is being taken over`);
    const reads = await Promise.allSettled(
      slot.copies.map(async (id) => ReadBack.parse(await this.ask(id, 'store/read', { slot: this.n, tenure: slot.tenure, key }))),
    );
    const good = reads.flatMap((r) => (r.status === 'fulfilled' ? [r.value.item] : []));
    if (good.length < this.quorum) throw new Mishap('unavailable', 'too few copies confirm');
    if (this.slot?.tenure !== slot.tenure) throw new Mishap('unavailable', 'the slot has moved on');
    return good.every((item) => item === null);
  }

  expire(): number {
    const now = this.p.clock.now();
    const keepMs = Math.max(this.p.keepMs * 0.9, turnsKeptMs(this.p.table()?.config));
    const old = new Set([...this.touched].filter(([, at]) => now - at > keepMs).map(([g]) => g));
    if (old.size === 0) return 0;
    const kept = [...this.held.values()].filter((i) => !old.has(groupOf(i.key)));
    const touched = [...this.touched].filter(([g]) => !old.has(g));
    this.forget();
    for (const item of kept) this.hold(item);
    this.touched = new Map(touched);
    return old.size;
  }

  get size(): number {
    return this.held.size;
  }
}
