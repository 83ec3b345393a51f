/**
 * Merging of the items that replicas stored when they were fenced (docs/design.md, "Slots, owners, ownership epochs").
 */
import { isNewerItem, isSameItem, type Item } from '@tillerstair/state';

type ItemsByKey = ReadonlyMap<string, Item>;

/** The newest item of each key, by ownership epoch and sequence number, among `known` and the items of the replicas. */
export const mergeItems = (
  known: Iterable<readonly [string, Item]>,
  replicas: Iterable<ItemsByKey>,
): Map<string, Item> => {
  const merged = new Map<string, Item>(known);
  for (const items of replicas)
    for (const item of items.values()) {
      const other = merged.get(item.key);
      if (!other || isNewerItem(item, other)) merged.set(item.key, item);
    }
  return merged;
};

const storesItem = (items: ItemsByKey, item: Item): boolean => {
  const stored = items.get(item.key);
  return stored !== undefined && isSameItem(stored, item);
};

/**
 * The merged items that fewer than a quorum of the fenced replicas store: whether their writes took effect is unknown.
 */
export const itemsBelowQuorum = (
  merged: ItemsByKey,
  replicas: readonly ItemsByKey[],
  quorum: number,
): readonly Item[] =>
  [...merged.values()].filter(
    (item) => replicas.filter((items) => storesItem(items, item)).length < quorum,
  );
