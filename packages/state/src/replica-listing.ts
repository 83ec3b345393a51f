/**
 * Copying of a slot from several replicas: each lists the versions of its items, and each item is then fetched once, from
 * one of the replicas that hold its newest version. So the amount that is copied is that of the missing items, whatever
 * the number of replicas.
 */
import { isNewerItem, isSameItem, type Item, type ItemVersion } from './item.js';
import { versionOfItem } from './item-size.js';
import { ItemPage } from './messages.js';
import { pageEndsAtBytes } from './pages.js';

/** What one replica holds of a slot. */
export interface ReplicaListing {
  /** The versions of its items, by key. */
  readonly versions: ReadonlyMap<string, ItemVersion>;
  /** The items that it returned in place of versions, as stores of earlier versions do. */
  readonly items: readonly Item[];
}

/** Items that are fetched from one replica by one request. */
export interface ItemFetch {
  readonly source: string;
  readonly keys: readonly string[];
}

/** Fetches the list of a replica, beginning with the first page. Throws what `request` rejects with. */
export const fetchListing = async (
  request: (after: string) => Promise<unknown>,
): Promise<ReplicaListing> => {
  const versions = new Map<string, ItemVersion>();
  const items: Item[] = [];
  for (let after = ''; ;) {
    const page = ItemPage.parse(await request(after));
    for (const version of page.versions ?? []) versions.set(version.key, version);
    for (const item of page.items) versions.set(item.key, versionOfItem(item));
    items.push(...page.items);
    if (page.next === '') return { versions, items };
    after = page.next;
  }
};

/** The newest version of each key in any of the lists. */
export const newestVersions = (
  listings: Iterable<ReplicaListing>,
): ReadonlyMap<string, ItemVersion> => {
  const newest = new Map<string, ItemVersion>();
  for (const { versions } of listings)
    for (const version of versions.values()) {
      const other = newest.get(version.key);
      if (!other || isNewerItem(version, other)) newest.set(version.key, version);
    }
  return newest;
};

/** The requests to one replica that fetch the items of a plan. */
class SourcePlan {
  readonly fetches: string[][] = [];
  totalBytes = 0;
  private lastFetchBytes = 0;

  constructor(readonly source: string) {}

  /** Adds an item to the last request, or to a new one if it would exceed the size of a page. */
  add({ key, bytes }: ItemVersion): void {
    const last = this.fetches.at(-1);
    if (last && this.lastFetchBytes + bytes <= pageEndsAtBytes) last.push(key);
    else {
      this.fetches.push([key]);
      this.lastFetchBytes = 0;
    }
    this.lastFetchBytes += bytes;
    this.totalBytes += bytes;
  }
}

/**
 * Plans the requests for the given versions: each item from a replica that lists that version, about as many bytes from
 * each replica, and the replicas by turns.
 */
export const planFetches = (
  wanted: Iterable<ItemVersion>,
  listings: ReadonlyMap<string, ReplicaListing>,
): readonly ItemFetch[] => {
  const plans = [...listings.keys()].map((source) => new SourcePlan(source));
  for (const version of wanted) {
    const holders = plans.filter(({ source }) => {
      const listed = listings.get(source)?.versions.get(version.key);
      return listed !== undefined && isSameItem(listed, version);
    });
    const first = holders.at(0);
    if (!first) continue;
    holders
      .reduce((least, plan) => (plan.totalBytes < least.totalBytes ? plan : least), first)
      .add(version);
  }
  const longest = Math.max(0, ...plans.map(({ fetches }) => fetches.length));
  return Array.from({ length: longest }, (_, turn) =>
    plans.flatMap(({ source, fetches }) => {
      const keys = fetches.at(turn);
      return keys ? [{ source, keys }] : [];
    }),
  ).flat();
};
