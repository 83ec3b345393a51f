/**
 * This store's replica of one slot: its items, and the ownership epoch that it is fenced at (docs/design.md, "Slots,
 * owners, ownership epochs").
 *
 * Invariants: the fence never goes back; an item is replaced by a newer one only.
 */
import {
  isNewerItem,
  maxPageBytes,
  recordGroup,
  type Item,
  type ItemPage,
} from '@tillerstair/state';
import { ReplicaError } from '@tillerstair/wire';
import type { SlotSnapshot } from './replica-records.js';

/** A page ends once it is over half of the largest one, so that one more item rarely exceeds that. */
const pageEndsAtBytes = maxPageBytes / 2;

/** One slot's items in the order in which they first came, in memory. */
export class SlotReplica {
  private epoch = 0;
  private readonly items = new Map<string, Item>();
  /** When each group of items was last written or fenced, in ms of this process's clock. */
  private readonly touchedAt = new Map<string, number>();

  constructor(readonly slot: number) {}

  /** The ownership epoch below which requests are refused. */
  get fenceEpoch(): number {
    return this.epoch;
  }

  get itemCount(): number {
    return this.items.size;
  }

  /** Raises the fence; a lower ownership epoch changes nothing. */
  raiseFence(ownershipEpoch: number): void {
    this.epoch = Math.max(this.epoch, ownershipEpoch);
  }

  /** Starts the retention of everything anew, as a new owner has to be able to read it. */
  touchAll(now: number): void {
    for (const group of this.touchedAt.keys()) this.touchedAt.set(group, now);
  }

  /** Stores an item unless one as new is there. */
  put(item: Item, now: number): void {
    if (this.isNew(item)) this.items.set(item.key, item);
    this.touchedAt.set(recordGroup(item.key), now);
  }

  get(key: string): Item | undefined {
    return this.items.get(key);
  }

  /** Whether an item is newer than the one of its key, or there is none. */
  isNew(item: Item): boolean {
    const stored = this.items.get(item.key);
    return !stored || isNewerItem(item, stored);
  }

  /** Removes all items of some groups and returns their keys. */
  drop(groups: ReadonlySet<string>): readonly string[] {
    const dropped = [...this.items.keys()].filter((key) => groups.has(recordGroup(key)));
    for (const key of dropped) this.items.delete(key);
    for (const group of groups) this.touchedAt.delete(group);
    return dropped;
  }

  /** The groups that nobody wrote or fenced for longer than `retentionMs`. */
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

  /** @throws ReplicaError (`not-fenced`) while the slot is fenced at a lower ownership epoch. */
  requireFencedAt(ownershipEpoch: number): void {
    if (this.epoch < ownershipEpoch)
      throw new ReplicaError(
        'not-fenced',
        `slot ${this.slot} is not fenced at ownership epoch ${ownershipEpoch} yet`,
      );
  }

  /**
   * The items behind the key `after`, or from the first one if it is empty.
   *
   * @throws ReplicaError (`page-gone`) if that item was dropped meanwhile.
   */
  page(after: string): ItemPage {
    if (after !== '' && !this.items.has(after))
      throw new ReplicaError('page-gone', 'the page requested has expired; begin anew');
    const items: Item[] = [];
    let bytes = 0;
    let found = after === '';
    for (const item of this.items.values()) {
      if (!found) {
        found = item.key === after;
        continue;
      }
      if (items.length > 0 && bytes > pageEndsAtBytes)
        return { items, next: items.at(-1)?.key ?? '' };
      items.push(item);
      bytes += JSON.stringify(item).length;
    }
    return { items, next: '' };
  }

  /** The replica as it is now; later changes do not alter it. */
  snapshot(): SlotSnapshot {
    return { slot: this.slot, fenceEpoch: this.epoch, items: [...this.items.values()] };
  }
}
