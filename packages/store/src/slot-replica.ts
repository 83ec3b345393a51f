/**
 * A store's replica of one slot: the items, and the ownership epoch at which the slot is fenced (docs/design.md,
 * "Slots, owners, ownership epochs").
 *
 * Invariants: the fence is never lowered; an item is only replaced by a newer one.
 */
import {
  isNewerItem,
  pageEndsAtBytes,
  recordGroup,
  type Item,
  type ItemPage,
  type ItemVersion,
  type PageRequest,
} from '@tillerstair/state';
import { ReplicaError, type ByteBudget } from '@tillerstair/wire';
import { packItem, type PackedItem } from './packed-item.js';
import type { SlotSnapshot } from './replica-records.js';

const maxVersionsPerPage = 1000;

/** Share of the groups of a slot that are dropped at once if the store's log does not fit into its memory. */
const oldestShare = 0.1;

/** The items of one slot in memory, in the order in which their keys were first stored. */
export class SlotReplica {
  private epoch = 0;
  private readonly items = new Map<string, PackedItem>();
  /** Time of the last write or fence of each group of items, in ms of this process's clock. */
  private readonly touchedAt = new Map<string, number>();

  /** @param memory - the memory of the store, to which the items of this replica are added */
  constructor(
    readonly slot: number,
    private readonly memory: ByteBudget,
  ) {}

  /** The ownership epoch below which requests are rejected. */
  get fenceEpoch(): number {
    return this.epoch;
  }

  get itemCount(): number {
    return this.items.size;
  }

  /** Raises the fence; a lower ownership epoch has no effect. */
  raiseFence(ownershipEpoch: number): void {
    this.epoch = Math.max(this.epoch, ownershipEpoch);
  }

  /** Restarts the retention time of all items, since a new owner must be able to read them. */
  touchAll(now: number): void {
    for (const group of this.touchedAt.keys()) this.touchedAt.set(group, now);
  }

  /** Stores an item unless the stored one is as new, and restarts the retention time of its group. */
  put(item: Item, now: number): void {
    if (this.isNew(item)) {
      const packed = packItem(item);
      this.memory.add(packed.bytes - this.bytesOf(item.key));
      this.items.set(item.key, packed);
    }
    this.touchedAt.set(recordGroup(item.key), now);
  }

  get(key: string): Item | undefined {
    return this.getPacked(key)?.unpack();
  }

  getPacked(key: string): PackedItem | undefined {
    return this.items.get(key);
  }

  /** Whether an item is newer than the stored one of the same key; true if none is stored. */
  isNew(item: Pick<Item, 'key' | 'ownershipEpoch' | 'seq'>): boolean {
    const stored = this.items.get(item.key);
    return !stored || isNewerItem(item, stored);
  }

  has(key: string): boolean {
    return this.items.has(key);
  }

  /** Bytes by which the memory in use grows if the item replaces the stored one of its key. */
  growthOf(item: Item): number {
    return packItem(item).bytes - this.bytesOf(item.key);
  }

  private bytesOf(key: string): number {
    return this.items.get(key)?.bytes ?? 0;
  }

  /** Removes all items of the given groups and returns their keys. */
  drop(groups: ReadonlySet<string>): readonly string[] {
    const dropped = [...this.items.keys()].filter((key) => groups.has(recordGroup(key)));
    for (const key of dropped) this.remove(key);
    for (const group of groups) this.touchedAt.delete(group);
    return dropped;
  }

  private remove(key: string): void {
    this.memory.add(-this.bytesOf(key));
    this.items.delete(key);
  }

  /** The groups that were written first, a tenth of all and at least one. */
  oldestGroups(): readonly string[] {
    const groups = [...this.touchedAt.keys()];
    return groups.slice(0, Math.ceil(groups.length * oldestShare));
  }

  /** The groups that were neither written nor fenced for longer than `retentionMs`. */
  expiredGroups(now: number, retentionMs: number): readonly string[] {
    return [...this.touchedAt].filter(([, at]) => now - at > retentionMs).map(([group]) => group);
  }

  allGroups(): readonly string[] {
    return [...new Set([...this.items.keys()].map(recordGroup))];
  }

  /** @throws ReplicaError (`stale-epoch`) for an ownership epoch below the fence. */
  requireCurrentEpoch(ownershipEpoch: number): void {
    if (ownershipEpoch < this.epoch)
      throw new ReplicaError(
        'stale-epoch',
        `slot ${this.slot} is fenced at ownership epoch ${this.epoch}`,
      );
  }

  /** @throws ReplicaError (`not-fenced`) if the slot's fence is below the ownership epoch. */
  requireFencedAt(ownershipEpoch: number): void {
    if (this.epoch < ownershipEpoch)
      throw new ReplicaError(
        'not-fenced',
        `slot ${this.slot} is not fenced at ownership epoch ${ownershipEpoch} yet`,
      );
  }

  /**
   * The page that is asked for: of items or of versions that follow the key `after`, from the first one if it is empty,
   * or of the items of some keys.
   *
   * @throws ReplicaError (`page-gone`) if the item of the key `after` was dropped in the meantime.
   */
  page({ after, list, keys }: PageRequest): ItemPage {
    if (keys) return this.pageOf(keys);
    return list === true ? this.versionPage(after) : this.itemPage(after);
  }

  private itemPage(after: string): ItemPage {
    const items: Item[] = [];
    let bytes = 0;
    for (const packed of this.itemsAfter(after)) {
      if (items.length > 0 && bytes > pageEndsAtBytes)
        return { items, next: items.at(-1)?.key ?? '' };
      const item = packed.unpack();
      items.push(item);
      bytes += JSON.stringify(item).length;
    }
    return { items, next: '' };
  }

  private versionPage(after: string): ItemPage {
    const versions: ItemVersion[] = [];
    for (const item of this.itemsAfter(after)) {
      if (versions.length === maxVersionsPerPage)
        return { items: [], versions, next: versions.at(-1)?.key ?? '' };
      versions.push(item.version());
    }
    return { items: [], versions, next: '' };
  }

  private pageOf(keys: readonly string[]): ItemPage {
    const items = keys.flatMap((key) => this.get(key) ?? []);
    return { items, next: '' };
  }

  private *itemsAfter(after: string): Generator<PackedItem> {
    if (after !== '' && !this.items.has(after))
      throw new ReplicaError(
        'page-gone',
        `slot ${this.slot} no longer has the item before the page; restart from the first page`,
      );
    let found = after === '';
    for (const item of this.items.values())
      if (found) yield item;
      else found = item.key === after;
  }

  /** A copy of the replica that later changes do not affect. */
  snapshot(): SlotSnapshot {
    return { slot: this.slot, fenceEpoch: this.epoch, items: [...this.items.values()] };
  }
}
