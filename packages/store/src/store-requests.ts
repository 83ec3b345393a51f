/** Parses and handles the requests of slot owners and other stores to a store; no other module parses them. */
import {
  FenceRequest,
  FindTurnRequest,
  HandoffRequest,
  HintRequest,
  PutRequest,
  ReadRequest,
  StoreRequest,
} from '@tillerstair/state';
import { ProtocolError, ReplicaError, SizedReply, type RpcRequest } from '@tillerstair/wire';
import type { PackedItem } from './packed-item.js';
import type { ReplicaStore } from './replica-store.js';

/** The replicas that requests work on, and their assignment to this store. */
export interface StoreRequestOptions {
  readonly storeId: string;
  readonly replicaStore: ReplicaStore;
  /** Whether this store is a replica of a slot in its latest state; items of other slots may have been dropped. */
  readonly isReplicaOf: (slot: number) => boolean;
}

/** @throws ReplicaError (`away`) if the request names another store. */
const requireAddressee = (body: unknown, storeId: string): void => {
  const { store } = StoreRequest.parse(body);
  if (store !== undefined && store !== storeId)
    throw new ReplicaError('away', `store ${store} is not at this address, but ${storeId}`);
};

function* itemsJson(items: readonly PackedItem[]): Generator<string> {
  let separator = '{"items":[';
  for (const item of items) {
    yield separator;
    yield* item.jsonParts();
    separator = ',';
  }
  yield items.length === 0 ? `${separator}]}` : ']}';
}

/** A reply with packed items, which are unpacked one at a time while it is encoded. */
const itemsReply = (items: readonly PackedItem[]): SizedReply => {
  const bytes = items.reduce((sum, { packedBytes }) => sum + packedBytes, 0);
  return new SizedReply({ items }, bytes, () => itemsJson(items));
};

function* itemJson(item: PackedItem): Generator<string> {
  yield '{"item":';
  yield* item.jsonParts();
  yield '}';
}

const itemReply = (item: PackedItem): SizedReply =>
  new SizedReply({ item }, item.packedBytes, () => itemJson(item));

/** Finds a turn and those before it. @throws ReplicaError (`moved`) if this store is no replica of one of the slots. */
const findTurns = async (body: unknown, options: StoreRequestOptions): Promise<unknown> => {
  const { turn, slots } = FindTurnRequest.parse(body);
  if (slots.some((slot) => !options.isReplicaOf(slot)))
    throw new ReplicaError(
      'moved',
      'this store is no longer a replica of one of the requested slots',
    );
  await options.replicaStore.waitForSync();
  return itemsReply(options.replicaStore.findTurns(turn));
};

/**
 * Handles one request. A write is acknowledged only when it is on disk.
 *
 * @throws ReplicaError, JournalUnavailableError, ProtocolError (`unknown-kind`), or ZodError for an invalid body.
 */
export const handleStoreRequest = async (
  { kind, body }: RpcRequest,
  options: StoreRequestOptions,
): Promise<unknown> => {
  const { replicaStore, storeId } = options;
  requireAddressee(body, storeId);
  switch (kind) {
    case 'store/put': {
      const { slot, ownershipEpoch, items, repair } = PutRequest.parse(body);
      await replicaStore.write(slot, ownershipEpoch, items, repair === true);
      return {};
    }
    case 'store/fence': {
      const { slot, ownershipEpoch, ...page } = FenceRequest.parse(body);
      return replicaStore.fence(slot, ownershipEpoch, page);
    }
    case 'store/read': {
      const { slot, ownershipEpoch, key } = ReadRequest.parse(body);
      const item = replicaStore.read(slot, ownershipEpoch, key);
      return item ? itemReply(item) : { item };
    }
    case 'store/pull': {
      const { slot, ownershipEpoch, ...page } = FenceRequest.parse(body);
      return replicaStore.pull(slot, ownershipEpoch, page);
    }
    case 'store/find':
      return findTurns(body, options);
    case 'store/hint': {
      const { to, slot, items } = HintRequest.parse(body);
      await replicaStore.addHint(to, slot, items);
      return {};
    }
    case 'store/hand': {
      const { slot, items } = HandoffRequest.parse(body);
      await replicaStore.acceptHandoff(slot, items);
      return {};
    }
    default:
      throw new ProtocolError('unknown-kind', `no such request: ${kind}`);
  }
};
