/**
 * Merging of the items that a quorum of replicas stored when they were fenced, with those that the owner has in memory
 * (docs/design.md, "Slots, owners, ownership epochs"). Only items that the owner lacks are fetched, each once.
 */
import pLimit from 'p-limit';
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

/** Requests for items of one slot that are under way at the same time. */
const maxConcurrentFetches = 2;

type ItemsByKey = ReadonlyMap<string, Item>;

/** What the fenced replicas of a slot listed, by replica. */
export type FencedReplicas = ReadonlyMap<string, ReplicaListing>;

/** Fetches items of the slot from a replica; those that the replica dropped meanwhile are left out. */
export type FetchItems = (fetch: ItemFetch) => Promise<readonly Item[]>;

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

/**
 * Resolves with the newest item of each key, by ownership epoch and sequence number, among the listed ones and those in
 * memory, which `known` returns whenever it is called.
 *
 * @throws UnavailableError if a replica dropped a listed item; what `fetchItems` rejects with
 */
export const mergeItems = async (
  fenced: FencedReplicas,
  known: () => Iterable<readonly [string, Item]>,
  fetchItems: FetchItems,
): Promise<Map<string, Item>> => {
  const newest = newestVersions(fenced.values());
  const fetched = new Map<string, Item>();
  for (const { items } of fenced.values()) keepNewest(fetched, items);
  const held = new Map([...known(), ...fetched]);
  const limit = pLimit(maxConcurrentFetches);
  const fetches = planFetches(versionsLackingIn(held, newest), fenced);
  const pages = await Promise.all(fetches.map((fetch) => limit(() => fetchItems(fetch))));
  for (const items of pages) keepNewest(fetched, items);
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
