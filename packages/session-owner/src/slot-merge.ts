/**
 * Merging of the items that a quorum of replicas stored when they were fenced, with those that the owner has in memory
 * (docs/design.md, "Slots, owners, ownership epochs"). Only items that the owner lacks are fetched, each once.
 */
import type { LimitFunction } from 'p-limit';
import {
  isNewerItem,
  isSameItem,
  newestVersions,
  planFetches,
  type Item,
  type ItemFetch,
  type ItemVersion,
  type ReplicaListing,
} from '@tillerstair/state';
import { UnavailableError } from '@tillerstair/wire';

type ItemsByKey = ReadonlyMap<string, Item>;

/** What the fenced replicas of a slot listed, by replica. */
export type FencedReplicas = ReadonlyMap<string, ReplicaListing>;

/** Fetches items of the slot from a replica; those that the replica dropped meanwhile are left out. */
type FetchItems = (fetch: ItemFetch) => Promise<readonly Item[]>;

const keepNewest = (merged: Map<string, Item>, items: Iterable<Item>): void => {
  for (const item of items) {
    const other = merged.get(item.key);
    if (!other || isNewerItem(item, other)) merged.set(item.key, item);
  }
};

const versionsLackingIn = (
  known: ItemsByKey,
  newest: ReadonlyMap<string, ItemVersion>,
): readonly ItemVersion[] =>
  [...newest.values()].filter((version) => {
    const item = known.get(version.key);
    return !item || isNewerItem(version, item);
  });

/** Inputs of one merge. */
export interface SlotMergeOptions {
  readonly fenced: FencedReplicas;
  /** Returns the items in the owner's memory at present. */
  readonly known: () => Iterable<readonly [string, Item]>;
  /** The items that were fetched at this ownership epoch, to which the merge adds: the next attempt needs only the rest. */
  readonly fetched: Map<string, Item>;
  readonly fetchItems: FetchItems;
  /** Limits the requests for items that are under way. */
  readonly limitFetches: LimitFunction;
}

/**
 * Resolves with the newest item of each key, by ownership epoch and sequence number, among the listed ones and those in
 * memory.
 *
 * @throws UnavailableError if a replica dropped a listed item; what `fetchItems` rejects with
 */
export const mergeItems = async (options: SlotMergeOptions): Promise<Map<string, Item>> => {
  const { fenced, known, fetched, fetchItems, limitFetches } = options;
  const newest = newestVersions(fenced.values());
  for (const { items } of fenced.values()) keepNewest(fetched, items);
  const held = new Map(known());
  keepNewest(held, fetched.values());
  const fetchPage = async (fetch: ItemFetch): Promise<void> => {
    keepNewest(fetched, await fetchItems(fetch));
  };
  const fetches = planFetches(versionsLackingIn(held, newest), fenced);
  await Promise.all(fetches.map((fetch) => limitFetches(() => fetchPage(fetch))));
  const merged = new Map(known());
  keepNewest(merged, fetched.values());
  const lacking = versionsLackingIn(merged, newest).at(0);
  if (lacking)
    throw new UnavailableError('unavailable', `item ${lacking.key} was dropped by its replica`);
  return merged;
};

const listsItem = ({ versions }: ReplicaListing, item: Item): boolean => {
  const version = versions.get(item.key);
  return version !== undefined && isSameItem(version, item);
};

/**
 * The merged items that fewer than a quorum of the fenced replicas store: whether their writes took effect is unknown.
 */
export const itemsBelowQuorum = (
  merged: ItemsByKey,
  replicas: readonly ReplicaListing[],
  quorum: number,
): readonly Item[] =>
  [...merged.values()].filter(
    (item) => replicas.filter((listing) => listsItem(listing, item)).length < quorum,
  );
