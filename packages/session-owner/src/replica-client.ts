/** Requests from a slot's owner to the slot's replicas, which are on stores. It keeps no state. */
import {
  fetchListing,
  ItemPage,
  ReadResponse,
  type Item,
  type ItemFetch,
  type ReplicaListing,
} from '@tillerstair/state';
import { ReplicaError, type Transport } from '@tillerstair/wire';
import type { CompiledState } from './compiled-state.js';

/** Dependencies and time limits of a `ReplicaClient`. */
export interface ReplicaClientOptions {
  readonly transport: Transport;
  /** The newest state that this front applied, which has the stores' addresses; undefined before the first. */
  readonly compiledState: () => CompiledState | undefined;
  /** Timeout of each request, in ms. */
  readonly timeoutMs: number;
}

/**
 * Sends requests about one slot to its replicas. Each rejects with an `RpcError`: `away` for a replica whose store is
 * not in the cluster state, `stale-epoch` from a replica that is fenced at a higher ownership epoch.
 */
export class ReplicaClient {
  private readonly transport: Transport;
  private readonly compiledState: () => CompiledState | undefined;
  private readonly timeoutMs: number;

  constructor(
    private readonly slotNumber: number,
    options: ReplicaClientOptions,
  ) {
    this.transport = options.transport;
    this.compiledState = options.compiledState;
    this.timeoutMs = options.timeoutMs;
  }

  /** Fences the replica at the ownership epoch and lists the items that it stores. */
  fence(replica: string, ownershipEpoch: number): Promise<ReplicaListing> {
    return fetchListing((after) => this.fencePage(replica, ownershipEpoch, after));
  }

  /** Fences the replica at the ownership epoch and lists the page of its items that follows the key `after`. */
  fencePage(replica: string, ownershipEpoch: number, after: string): Promise<unknown> {
    const body = { slot: this.slotNumber, ownershipEpoch, after, list: true };
    return this.request(replica, 'store/fence', body);
  }

  /** Fetches items from a replica that is fenced at the ownership epoch; those that it dropped are left out. */
  async fetchItems({ source, keys }: ItemFetch, ownershipEpoch: number): Promise<readonly Item[]> {
    const body = { slot: this.slotNumber, ownershipEpoch, keys };
    return ItemPage.parse(await this.request(source, 'store/fence', body)).items;
  }

  /** Resolves when the replica has synced the items; `repair` as in `PutRequest`. */
  put(
    replica: string,
    ownershipEpoch: number,
    items: readonly Item[],
    repair: boolean,
  ): Promise<unknown> {
    const body = { slot: this.slotNumber, ownershipEpoch, items, ...(repair ? { repair } : {}) };
    return this.request(replica, 'store/put', body);
  }

  /** Resolves when the replica has stored the items as a hint for `missedBy`, the replica that missed their write. */
  storeHint(replica: string, missedBy: string, items: readonly Item[]): Promise<unknown> {
    return this.request(replica, 'store/hint', { to: missedBy, slot: this.slotNumber, items });
  }

  /** Reads the item that the replica stores under a key; null if it has none. */
  async read(replica: string, ownershipEpoch: number, key: string): Promise<Item | null> {
    const body = { slot: this.slotNumber, ownershipEpoch, key };
    return ReadResponse.parse(await this.request(replica, 'store/read', body)).item;
  }

  private request(replica: string, kind: string, body: object): Promise<unknown> {
    const member = this.compiledState()?.state.nodes.get(replica);
    if (!member)
      return Promise.reject(
        new ReplicaError('away', `replica ${replica} is not in the cluster state`),
      );
    const request = { store: replica, ...body };
    return this.transport.call(member.addr, kind, request, { timeoutMs: this.timeoutMs });
  }
}
