/** Requests of a slot's owner to the replicas of that slot, which are on stores. It keeps no state. */
import { fetchPages, type Item, ReadResponse } from '@tillerstair/state';
import { ReplicaError, type Transport } from '@tillerstair/wire';
import type { CompiledState } from './compiled-state.js';

/** What a `ReplicaClient` needs. */
export interface ReplicaClientOptions {
  readonly transport: Transport;
  /** The committed state as this front applied it, which says at what address a store is. */
  readonly compiledState: () => CompiledState | undefined;
  /** Each request is given up after so many ms. */
  readonly timeoutMs: number;
}

/**
 * Sends the requests about one slot. Each rejects with an `RpcError`: `away` for a replica whose store is not in the
 * cluster state, `stale-epoch` from a replica that was fenced at a higher ownership epoch.
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

  /** Fences the replica at the ownership epoch and fetches all items that it stores, by key. */
  async fence(replica: string, ownershipEpoch: number): Promise<ReadonlyMap<string, Item>> {
    const items = new Map<string, Item>();
    for await (const page of fetchPages((after) => this.fencePage(replica, ownershipEpoch, after)))
      for (const item of page) items.set(item.key, item);
    return items;
  }

  /** Fences the replica at the ownership epoch and fetches the page of its items that follows a key. */
  fencePage(replica: string, ownershipEpoch: number, after: string): Promise<unknown> {
    return this.request(replica, 'store/fence', { slot: this.slotNumber, ownershipEpoch, after });
  }

  /** Resolves when the replica has synced the items. */
  put(replica: string, ownershipEpoch: number, items: readonly Item[]): Promise<unknown> {
    return this.request(replica, 'store/put', { slot: this.slotNumber, ownershipEpoch, items });
  }

  /** Resolves when the replica has stored the items on behalf of another one, `missedBy`, which did not get them. */
  storeHint(replica: string, missedBy: string, items: readonly Item[]): Promise<unknown> {
    return this.request(replica, 'store/hint', { to: missedBy, slot: this.slotNumber, items });
  }

  /** The item that the replica stores at a key, or null. */
  async read(replica: string, ownershipEpoch: number, key: string): Promise<Item | null> {
    const body = { slot: this.slotNumber, ownershipEpoch, key };
    return ReadResponse.parse(await this.request(replica, 'store/read', body)).item;
  }

  private request(replica: string, kind: string, body: unknown): Promise<unknown> {
    const member = this.compiledState()?.state.nodes.get(replica);
    if (!member)
      return Promise.reject(new ReplicaError('away', `replica ${replica} is unavailable`));
    return this.transport.call(member.addr, kind, body, { timeoutMs: this.timeoutMs });
  }
}
