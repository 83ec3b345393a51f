/**
 * A store's replicas and hints, in memory and on disk (`store.log`).
 *
 * State: the replica of each slot, the turn index, the hints, and the journal that stores them. Invariants: a request
 * with an ownership epoch below the slot's fence is rejected; an acknowledged write is on disk (docs/design.md, "Slots,
 * owners, ownership epochs" and "Disk").
 */
import {
  defaultTimings,
  Journal,
  type Disk,
  type JournalOwner,
  type JournalTimings,
} from '@tillerstair/journal';
import {
  itemBytes,
  type Item,
  type ItemPage,
  type ItemVersion,
  type PageRequest,
} from '@tillerstair/state';
import { ByteBudget, ReplicaError, type Clock } from '@tillerstair/wire';
import { HintTable } from './hint-table.js';
import type { PackedItem } from './packed-item.js';
import { ReplicaRecord, replicaStoreLog, snapshotRecords, type Hint } from './replica-records.js';
import { SlotReplica } from './slot-replica.js';
import { findConversation } from './conversation.js';
import { TurnIndex } from './turn-index.js';

/** Size and retention limits of a store. */
export interface ReplicaStoreLimits {
  /** Size below which the replica log is not rewritten, in bytes. */
  readonly rewriteMinBytes: number;
  /** Time after which items that are neither written nor fenced expire, in ms. */
  readonly retentionMs: number;
  /** Maximum number of pending hints for all other stores together. */
  readonly maxHints: number;
  /** Maximum memory of items and hints, in bytes; no limit by default. */
  readonly maxItemBytes?: number;
  /**
   * Time for which items must be kept, in ms since the last write to their group; `retentionMs` by default. Once much of
   * the memory is in use, items expire after this time.
   */
  readonly minRetentionMs?: number;
}

/**
 * Share of the memory for items up to which new items are accepted. The rest is for the outcomes of what was accepted,
 * and for items that other replicas have.
 */
const newItemShare = 0.85;
/** Share of the memory for items above which they expire after `minRetentionMs`. */
const earlyExpiryShare = 0.4;

/** Counts and sizes of a store's items, hints and slots, and the size of its replica log in bytes; served as `/v1/counts`. */
export interface ReplicaStoreCounts {
  readonly items: number;
  readonly hints: number;
  readonly bytes: number;
  readonly slots: number;
  /** Estimated memory of items and hints, in bytes. */
  readonly itemBytes: number;
  /** The part of `itemBytes` that the hints take. */
  readonly hintBytes: number;
  /** Groups of items that were dropped at the start because the log held more than the memory. */
  readonly droppedAtStart: number;
  /** Requests that were refused since the start because the memory for items is in use: writes, and hints. */
  readonly refusedWrites: number;
  readonly refusedHints: number;
}

/**
 * The replicas and hints of one store. Writes reject with `JournalUnavailableError` while the journal is not writable.
 */
export class ReplicaStore implements JournalOwner {
  private readonly slots = new Map<number, SlotReplica>();
  private readonly turns = new TurnIndex();
  private readonly memory: ByteBudget;
  private readonly hints: HintTable;
  private droppedAtStart = 0;
  private refusedWrites = 0;
  private refusedHints = 0;

  private constructor(
    private readonly journal: Journal,
    private readonly clock: Clock,
    private readonly limits: ReplicaStoreLimits,
  ) {
    this.memory = new ByteBudget(limits.maxItemBytes);
    this.hints = new HintTable(this.memory);
    journal.recoverFrom(() => this.snapshot());
  }

  /**
   * Opens the replica log and restores its records.
   *
   * @throws JournalDamagedError; ZodError for a record that matches no schema.
   */
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

  /**
   * Applies a record that was read from the log. If the log holds more than the memory, which a log written under the
   * same limits does not, the groups written first are dropped. @throws ZodError for a record that matches no schema.
   */
  restore(record: unknown): void {
    this.apply(ReplicaRecord.parse(record));
    while (!this.memory.hasRoom(0) && this.dropOldest());
  }

  private dropOldest(): boolean {
    let dropped = 0;
    for (const replica of this.slots.values()) {
      const groups = new Set(replica.oldestGroups());
      for (const key of replica.drop(groups)) this.turns.remove(key);
      dropped += groups.size;
    }
    this.droppedAtStart += dropped;
    return dropped > 0;
  }

  /**
   * Whether the journal accepts writes. While it does not, writes are rejected immediately, and owners use other
   * replicas.
   */
  get writable(): boolean {
    return this.journal.writable;
  }

  private replicaOf(slot: number): SlotReplica {
    const existing = this.slots.get(slot);
    if (existing) return existing;
    const created = new SlotReplica(slot, this.memory);
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
   * Applies a record in memory, then appends it to the log. A record whose append failed may still be on disk, so it
   * stays in memory. That is safe: an item may be stored without being acknowledged, and an unacknowledged fence
   * rejects the same requests as an acknowledged one.
   */
  private async append(record: ReplicaRecord): Promise<void> {
    this.journal.requireWritable();
    this.apply(record);
    await this.journal.append(record);
    if (this.journal.needsRewrite(this.limits.rewriteMinBytes))
      void this.journal.rewrite(() => this.snapshot()).catch(() => undefined);
  }

  /**
   * A snapshot of all slots and hints: item references are copied immediately, records are created during iteration.
   */
  private snapshot(): Iterable<ReplicaRecord> {
    const slots = [...this.slots.values()].map((replica) => replica.snapshot());
    const hints = this.hints.all();
    return { [Symbol.iterator]: () => snapshotRecords(slots, hints) };
  }

  /** The replica of a slot. @throws ReplicaError (`stale-epoch`) for an ownership epoch below the fence. */
  private replicaAtEpoch(slot: number, ownershipEpoch: number): SlotReplica {
    const replica = this.replicaOf(slot);
    replica.requireCurrentEpoch(ownershipEpoch);
    return replica;
  }

  /**
   * Writes an owner's items; resolves when they are on disk. `isRepair` says that other replicas have them already.
   *
   * @throws ReplicaError (`stale-epoch`) for an ownership epoch below the fence, or (`store-full`) if the memory for items
   *   is in use; JournalUnavailableError.
   */
  async write(
    slot: number,
    ownershipEpoch: number,
    items: readonly Item[],
    isRepair = false,
  ): Promise<void> {
    const replica = this.replicaAtEpoch(slot, ownershipEpoch);
    const isNew = !isRepair && items.some(({ key }) => !replica.has(key));
    this.requireMemory(replica, items, isNew ? newItemShare : 1);
    await this.append({ t: 'put', slot, ownershipEpoch, items: [...items] });
  }

  /** @throws ReplicaError (`store-full`) if the items would take more than `share` of the memory for items. */
  private requireMemory(replica: SlotReplica, items: readonly Item[], share: number): void {
    const growth = items.reduce((bytes, item) => bytes + replica.growthOf(item), 0);
    if (growth <= 0 || this.memory.hasRoom(growth, share)) return;
    this.refusedWrites++;
    throw new ReplicaError(
      'store-full',
      `the memory for items is in use: ${this.memory.used} of ${this.memory.limitBytes} bytes`,
    );
  }

  /**
   * Fences a slot and returns a page of its items. Once it resolves, requests with lower ownership epochs are rejected.
   * The first page is requested with an empty `after`; only that request writes the fence, the following ones read
   * pages.
   *
   * @throws ReplicaError (`stale-epoch`, `page-gone`); JournalUnavailableError.
   */
  async fence(slot: number, ownershipEpoch: number, request: PageRequest): Promise<ItemPage> {
    const replica = this.replicaAtEpoch(slot, ownershipEpoch);
    if (request.after === '' && !request.keys) {
      if (replica.fenceEpoch < ownershipEpoch)
        await this.append({ t: 'fence', slot, ownershipEpoch });
      else await this.waitForSync();
    }
    return replica.page(request);
  }

  /** Resolves once all records applied so far are on disk. Appends a fence of epoch 0, which changes nothing. */
  waitForSync(): Promise<void> {
    return this.journal.append({ t: 'fence', slot: 0, ownershipEpoch: 0 });
  }

  /** Reads one item; null if it is missing. @throws ReplicaError (`stale-epoch`) for an epoch below the fence. */
  read(slot: number, ownershipEpoch: number, key: string): PackedItem | null {
    return this.replicaAtEpoch(slot, ownershipEpoch).getPacked(key) ?? null;
  }

  /** The turn of that name followed by the turns before it, newest first, as far as this store holds them. */
  findTurns(turn: string): readonly PackedItem[] {
    return findConversation(this.turns, turn, ({ slot, key }) =>
      this.slots.get(slot)?.getPacked(key),
    );
  }

  /**
   * A page of a slot's items for a replica that is being filled. The slot must be fenced first; otherwise a write of an
   * earlier owner could be acknowledged after the page was read.
   *
   * @throws ReplicaError (`not-fenced`, `page-gone`).
   */
  pull(slot: number, ownershipEpoch: number, request: PageRequest): ItemPage {
    const replica = this.replicaOf(slot);
    replica.requireFencedAt(ownershipEpoch);
    return replica.page(request);
  }

  /** Those versions of a slot's items that are newer than what this store holds. */
  missingVersions(slot: number, versions: Iterable<ItemVersion>): readonly ItemVersion[] {
    const replica = this.replicaOf(slot);
    return [...versions].filter((version) => replica.isNew(version));
  }

  /** Stores items of a hint or another replica, whatever the fence; resolves when they, or newer ones, are on disk. */
  async acceptHandoff(slot: number, items: readonly Item[]): Promise<void> {
    const replica = this.replicaOf(slot);
    const newItems = items.filter((item) => replica.isNew(item));
    this.requireMemory(replica, newItems, 1);
    if (newItems.length > 0)
      await this.append({ t: 'put', slot, ownershipEpoch: 0, items: newItems });
    else await this.waitForSync();
  }

  /** Keeps items for an unreachable store. @throws ReplicaError (`hints-full`) if `maxHints` is reached. */
  async addHint(storeId: string, slot: number, items: readonly Item[]): Promise<void> {
    const bytes = items.reduce((sum, item) => sum + itemBytes(item), 0);
    if (this.hints.size >= this.limits.maxHints || !this.memory.hasRoom(bytes, newItemShare)) {
      this.refusedHints++;
      throw new ReplicaError(
        'hints-full',
        `${this.hints.size} hints are stored, and ${this.memory.used} bytes of items and hints`,
      );
    }
    const hintNumber = this.hints.nextNumber();
    await this.append({ t: 'hint', n: hintNumber, to: storeId, slot, items: [...items] });
  }

  /** The hints for one store, oldest first. */
  hintsFor(storeId: string): readonly Hint[] {
    return this.hints.forStore(storeId);
  }

  /** The ids of the stores that pending hints are for. */
  hintTargets(): ReadonlySet<string> {
    return this.hints.targets();
  }

  /** Drops a hint that was handed off or is no longer needed. */
  async removeHint(hintNumber: number): Promise<void> {
    await this.append({ t: 'transferred', n: hintNumber });
  }

  /**
   * Drops the groups of items that were neither written nor fenced for the retention time, or for `minRetentionMs` if
   * that is longer. While much of the memory is in use, they only have to reach the required time: that of the limits, or
   * `requiredRetentionMs` if that is longer. Returns the number of groups dropped.
   */
  async dropExpired(minRetentionMs = 0, requiredRetentionMs = minRetentionMs): Promise<number> {
    const now = this.clock.now();
    const { memory, limits } = this;
    const ordinaryMs = Math.max(limits.retentionMs, minRetentionMs);
    const requiredMs = Math.max(limits.minRetentionMs ?? limits.retentionMs, requiredRetentionMs);
    const retentionMs = memory.hasRoom(0, earlyExpiryShare)
      ? ordinaryMs
      : Math.min(ordinaryMs, requiredMs);
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
   * Drops the items of slots that the state assigns to other stores. `reassignedAt` returns the slot's ownership epoch
   * in that state, or -1 to keep the slot. A slot with a later fence is kept: a newer state needs it.
   */
  async dropReassignedSlots(reassignedAt: (slot: number) => number): Promise<void> {
    for (const [slot, replica] of this.slots)
      if (replica.itemCount > 0 && reassignedAt(slot) >= replica.fenceEpoch)
        await this.append({ t: 'drop', slot, groups: [...replica.allGroups()] });
  }

  /** The current counts and size of this store. */
  counts(): ReplicaStoreCounts {
    let items = 0;
    for (const replica of this.slots.values()) items += replica.itemCount;
    return {
      items,
      hints: this.hints.size,
      bytes: this.journal.sizeBytes,
      slots: this.slots.size,
      itemBytes: this.memory.used,
      hintBytes: this.hints.bytes,
      droppedAtStart: this.droppedAtStart,
      refusedWrites: this.refusedWrites,
      refusedHints: this.refusedHints,
    };
  }
}
