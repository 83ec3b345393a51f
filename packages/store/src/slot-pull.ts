/**
 * One pull of a slot's items from a quorum of its replicas (docs/design.md, "Changing a replica").
 *
 * The replicas list the versions of their items. Only the items that this store lacks are fetched, each from one of the
 * replicas that hold its newest version. There is no pause between the requests, so a pull takes as long as the copying of
 * the missing bytes; the requests under way are limited over all pulls of the store. A pull that failed is continued by
 * the next one, since what was fetched is kept.
 */
import {
  fetchListing,
  ItemPage,
  newestVersions,
  planFetches,
  type ItemFetch,
  type PageRequest,
  type ReplicaListing,
} from '@tillerstair/state';
import { requestQuorum, toTimerMs, UnavailableError, type Clock } from '@tillerstair/wire';
import type { ReplicaStore } from './replica-store.js';

/** Share of a request's timeout after which a listing without a quorum is requested from one more replica. */
const hedgeAfterShareOfTimeout = 1 / 3;

/** Settings of a pull, and the components that it uses. */
export interface SlotPullOptions {
  readonly slot: number;
  /** Number of replicas that must list their items; read again at each run. */
  readonly quorum: () => number;
  readonly replicaStore: ReplicaStore;
  readonly clock: Clock;
  /** Timeout of each request, in ms. */
  readonly requestTimeoutMs: number;
  /** Requests a page from a replica that is fenced at the ownership epoch of the pull. */
  readonly requestPage: (source: string, request: PageRequest) => Promise<unknown>;
  /** Whether the slot is still to be filled at the ownership epoch of the pull. */
  readonly isCurrent: () => boolean;
  /** Runs a task once fewer than the allowed number of requests for items are under way. */
  readonly limitRequests: <Result>(task: () => Promise<Result>) => Promise<Result>;
}

/** Pulls one slot; `run` is called until it succeeds. */
export class SlotPull {
  /** Replicas that failed to return items; others are preferred. */
  private readonly failedSources = new Set<string>();

  constructor(private readonly options: SlotPullOptions) {}

  /**
   * Resolves with the number of items that were fetched, once this store has synced the newest version of each item that a
   * quorum of the sources held when it listed them.
   *
   * @throws UnavailableError if fewer than a quorum responded, or an item could not be fetched; any error of the store
   */
  async run(sources: readonly string[]): Promise<number> {
    const { slot, replicaStore } = this.options;
    const listings = await this.listFromQuorum(sources);
    for (const { items } of listings.values())
      if (items.length > 0) await replicaStore.acceptHandoff(slot, items);
    const wanted = this.missing(listings);
    const fetches = planFetches(wanted, listings);
    const results = await Promise.allSettled(fetches.map((fetch) => this.fetchItems(fetch)));
    const failed = results.find((result) => result.status === 'rejected');
    if (failed) throw failed.reason;
    const lacking = this.missing(listings).at(0);
    if (lacking)
      throw new UnavailableError(
        'unavailable',
        `item ${lacking.key} of slot ${slot} was dropped while it was fetched`,
      );
    await replicaStore.waitForSync();
    return wanted.length;
  }

  private missing(listings: ReadonlyMap<string, ReplicaListing>) {
    const { slot, replicaStore } = this.options;
    return replicaStore.missingVersions(slot, newestVersions(listings.values()).values());
  }

  private async listFromQuorum(
    sources: readonly string[],
  ): Promise<ReadonlyMap<string, ReplicaListing>> {
    const { slot, clock, requestTimeoutMs, requestPage } = this.options;
    const quorum = this.options.quorum();
    const listings = await requestQuorum({
      clock,
      replicas: this.soundSourcesFirst(sources),
      quorum,
      hedgeAfterMs: toTimerMs(requestTimeoutMs * hedgeAfterShareOfTimeout),
      send: (source) => fetchListing((after) => requestPage(source, { after, list: true })),
    });
    if (listings.size < quorum)
      throw new UnavailableError(
        'unavailable',
        `slot ${slot} was listed by ${listings.size} replicas of a quorum of ${quorum}`,
      );
    return listings;
  }

  private soundSourcesFirst(sources: readonly string[]): readonly string[] {
    const hasFailed = (id: string): boolean => this.failedSources.has(id);
    return [...sources.filter((id) => !hasFailed(id)), ...sources.filter(hasFailed)];
  }

  private fetchItems({ source, keys }: ItemFetch): Promise<void> {
    const { slot, replicaStore, limitRequests } = this.options;
    return limitRequests(async () => {
      this.requireCurrent();
      const { items } = await this.requestItems(source, keys);
      await replicaStore.acceptHandoff(slot, items);
    });
  }

  /** A pull that is not needed any more leaves the requests to the one that followed it. */
  private requireCurrent(): void {
    if (!this.options.isCurrent())
      throw new UnavailableError(
        'unavailable',
        `slot ${this.options.slot} is filled at another ownership epoch`,
      );
  }

  private async requestItems(source: string, keys: readonly string[]): Promise<ItemPage> {
    try {
      const request = { after: '', keys: [...keys] };
      return ItemPage.parse(await this.options.requestPage(source, request));
    } catch (error) {
      this.failedSources.add(source);
      throw error;
    }
  }
}
