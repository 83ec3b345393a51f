/**
 * A store's replicas and hints, in memory and on disk (`store.log`).
 *
 * It owns the replica of each slot, the index of turns, the hints and the journal behind them. Invariants: a request
 * below a slot's fence is refused; whatever was acknowledged is on disk (docs/design.md, "Slots, owners, ownership
 * epochs" and "Disk").
 */
import { z } from 'zod';
import {
  defaultTimings,
  Journal,
  type Disk,
  type JournalOwner,
  type JournalTimings,
} from '@tillerstair/journal';
import type { Item, ItemPage } from '@tillerstair/state';
import { ReplicaError, type Clock } from '@tillerstair/wire';
import { HintTable } from './hint-table.js';
import { ReplicaRecord, replicaStoreLog, snapshotRecords, type Hint } from './replica-records.js';
import { SlotReplica } from './slot-replica.js';
import { TurnIndex, type ItemLocation } from './turn-index.js';

/** The part of a turn's value that names the turn it continues. */
const ContinuedTurn = z.object({ after: z.string() });

/** The limits of what a store stores. */
export interface ReplicaStoreLimits {
  /** The size in bytes below which the log is not rewritten. */
  readonly rewriteMinBytes: number;
  /** How long items stay that nobody writes or fences, in ms. */
  readonly retentionMs: number;
  readonly maxHints: number;
}

/** How much a store holds; served as `/v1/counts`. */
export interface ReplicaStoreCounts {
  readonly items: number;
  readonly hints: number;
  readonly bytes: number;
  readonly slots: number;
}

/** The replicas and hints of one store. Writes reject with `JournalUnavailableError` while the disk takes none. */
export class ReplicaStore implements JournalOwner {
  private readonly slots = new Map<number, SlotReplica>();
  private readonly turns = new TurnIndex();
  private readonly hints = new HintTable();

  private constructor(
    private readonly journal: Journal,
    private readonly clock: Clock,
    private readonly limits: ReplicaStoreLimits,
  ) {
    journal.recoverFrom(() => this.snapshot());
  }

  /** @throws JournalDamagedError, or ZodError for a record of an unknown form. */
  static async open(
    disk: Disk,
    clock: Clock,
    limits: ReplicaStoreLimits,
    timings: JournalTimings = { ...defaultTimings, clock },
  ): Promise<ReplicaStore> {
    return Journal.open(
      disk,
      replicaStoreLog,
      timings,
      (journal) => new ReplicaStore(journal, clock, limits),
    );
  }

  /** Applies a record that was read from the log. */
  restore(record: unknown): void {
    this.apply(ReplicaRecord.parse(record));
  }

  /** Whether the disk accepts writes; without it they are refused at once and the other replicas carry them. */
  get writable(): boolean {
    return this.journal.writable;
  }

  private replicaOf(slot: number): SlotReplica {
    const existing = this.slots.get(slot);
    if (existing) return existing;
    const created = new SlotReplica(slot);
    this.slots.set(slot, created);
    return created;
  }

  private apply(record: ReplicaRecord): void {
    switch (record.t) {
      case 'put': {
        const replica = this.replicaOf(record.slot);
        replica.raiseFence(record.ownershipEpoch);
        for (const item of record.items) {
          replica.put(item, this.clock.now());
          this.turns.add(record.slot, item.key);
        }
        return;
      }
      case 'fence': {
        const replica = this.replicaOf(record.slot);
        replica.raiseFence(record.ownershipEpoch);
        replica.touchAll(this.clock.now());
        return;
      }
      case 'drop': {
        const dropped = this.replicaOf(record.slot).drop(new Set(record.groups));
        for (const key of dropped) this.turns.remove(key);
        return;
      }
      case 'hint':
        this.hints.add(record);
        return;
      case 'transferred':
        this.hints.remove(record.n);
        return;
    }
  }

  /**
   * Memory changes before the disk does. A record whose append failed may be on disk, so it stays in memory: an item may
   * be stored without being acknowledged, and a fence too many refuses no more than an acknowledged one would.
   */
  private async append(record: ReplicaRecord): Promise<void> {
    this.journal.requireWritable();
    this.apply(record);
    await this.journal.append(record);
    if (this.journal.needsRewrite(this.limits.rewriteMinBytes))
      void this.journal.rewrite(() => this.snapshot()).catch(() => undefined);
  }

  /** All that is stored now: references are copied at once, the records are created as they are written. */
  private snapshot(): Iterable<ReplicaRecord> {
    const slots = [...this.slots.values()].map((replica) => replica.snapshot());
    const hints = this.hints.all();
    return { [Symbol.iterator]: () => snapshotRecords(slots, hints) };
  }

  private replicaAtEpoch(slot: number, ownershipEpoch: number): SlotReplica {
    const replica = this.replicaOf(slot);
    replica.requireCurrentEpoch(ownershipEpoch);
    return replica;
  }

  /**
   * Writes an owner's items; resolves when they are on disk.
   *
   * @throws ReplicaError (`stale-epoch`) below the fence.
   */
  async write(slot: number, ownershipEpoch: number, items: readonly Item[]): Promise<void> {
    this.replicaAtEpoch(slot, ownershipEpoch);
    await this.append({ t: 'put', slot, ownershipEpoch, items: [...items] });
  }

  /**
   * Fences a slot and returns a page of its items: lower ownership epochs are refused from the moment it resolves. All
   * pages of one fence belong together; only the first request, with `after` empty, writes.
   *
   * @throws ReplicaError (`stale-epoch`, `page-gone`).
   */
  async fence(slot: number, ownershipEpoch: number, after: string): Promise<ItemPage> {
    const replica = this.replicaAtEpoch(slot, ownershipEpoch);
    if (after === '') {
      if (replica.fenceEpoch < ownershipEpoch)
        await this.append({ t: 'fence', slot, ownershipEpoch });
      else await this.waitForSync();
    }
    return replica.page(after);
  }

  /** Resolves once all that is in memory now is on disk: a fence of epoch 0 changes nothing, but is synced. */
  waitForSync(): Promise<void> {
    return this.journal.append({ t: 'fence', slot: 0, ownershipEpoch: 0 });
  }

  /** @throws ReplicaError (`stale-epoch`) below the fence. */
  read(slot: number, ownershipEpoch: number, key: string): Item | null {
    return this.replicaAtEpoch(slot, ownershipEpoch).get(key) ?? null;
  }

  /** The turn of that name and, behind it, those that it continues, as far as they are stored here; the newest first. */
  findTurns(turn: string): readonly Item[] {
    const found: Item[] = [];
    let location = this.turns.find(turn);
    while (location) {
      const item = this.itemAt(location);
      if (!item || found.includes(item)) break;
      found.push(item);
      const continued = ContinuedTurn.safeParse(item.value);
      location = continued.success ? this.turns.findByName(continued.data.after) : undefined;
    }
    return found;
  }

  private itemAt({ slot, key }: ItemLocation): Item | undefined {
    return this.slots.get(slot)?.get(key);
  }

  /**
   * A page of a slot's items for a replica that is being filled. The slot has to be fenced first, or a write of an
   * earlier owner could count after it was pulled.
   *
   * @throws ReplicaError (`not-fenced`, `page-gone`).
   */
  pull(slot: number, ownershipEpoch: number, after: string): ItemPage {
    const replica = this.replicaOf(slot);
    replica.requireFencedAt(ownershipEpoch);
    return replica.page(after);
  }

  /** Stores items that counted earlier, from a hint or another replica; resolves when they, or newer ones, are on disk. */
  async acceptHandoff(slot: number, items: readonly Item[]): Promise<void> {
    const replica = this.replicaOf(slot);
    const newItems = items.filter((item) => replica.isNew(item));
    if (newItems.length > 0)
      await this.append({ t: 'put', slot, ownershipEpoch: 0, items: newItems });
    else await this.waitForSync();
  }

  /** Keeps items for a store that cannot be reached. Throws `ReplicaError` (`hints-full`) if there are too many. */
  async addHint(storeId: string, slot: number, items: readonly Item[]): Promise<void> {
    if (this.hints.size >= this.limits.maxHints)
      throw new ReplicaError('hints-full', `${this.hints.size} hints are stored already`);
    const n = this.hints.nextNumber();
    await this.append({ t: 'hint', n, to: storeId, slot, items: [...items] });
  }

  /** The hints for one store, oldest first. */
  hintsFor(storeId: string): readonly Hint[] {
    return this.hints.forStore(storeId);
  }

  /** The ids of the stores that there are hints for. */
  hintTargets(): ReadonlySet<string> {
    return this.hints.targets();
  }

  /** Drops a hint that was handed off, or that nobody needs any more. */
  async removeHint(n: number): Promise<void> {
    await this.append({ t: 'transferred', n });
  }

  /** Drops the groups of items that nobody touched for the retention, or for `minRetentionMs` if that is longer. */
  async dropExpired(minRetentionMs = 0): Promise<number> {
    const now = this.clock.now();
    const retentionMs = Math.max(this.limits.retentionMs, minRetentionMs);
    let dropped = 0;
    for (const [slot, replica] of this.slots) {
      const groups = replica.expiredGroups(now, retentionMs);
      if (groups.length === 0) continue;
      dropped += groups.length;
      await this.append({ t: 'drop', slot, groups: [...groups] });
    }
    return dropped;
  }

  /**
   * Drops slots that the state assigns to other stores. `reassignedAt` gives the ownership epoch of that state, or -1; a
   * slot that was fenced later is needed by a newer state than this one.
   */
  async dropReassignedSlots(reassignedAt: (slot: number) => number): Promise<void> {
    for (const [slot, replica] of this.slots)
      if (replica.itemCount > 0 && reassignedAt(slot) >= replica.fenceEpoch)
        await this.append({ t: 'drop', slot, groups: [...replica.allGroups()] });
  }

  counts(): ReplicaStoreCounts {
    let items = 0;
    for (const replica of this.slots.values()) items += replica.itemCount;
    return {
      items,
      hints: this.hints.size,
      bytes: this.journal.sizeBytes,
      slots: this.slots.size,
    };
  }
}
