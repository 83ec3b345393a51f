/** The requests that owners and other stores make to a store; each is parsed here and nowhere else. */
import {
  FenceRequest,
  FindTurnRequest,
  HandoffRequest,
  HintRequest,
  PutRequest,
  ReadRequest,
} from '@tillerstair/state';
import { ProtocolError, ReplicaError, type RpcRequest } from '@tillerstair/wire';
import type { ReplicaStore } from './replica-store.js';

/** What requests need beside the replicas. */
export interface StoreRequestOptions {
  readonly replicaStore: ReplicaStore;
  /** Whether this store is still a replica of the slot, as far as it knows; items of other slots may have been dropped. */
  readonly isReplicaOf: (slot: number) => boolean;
}

const findTurns = async (body: unknown, options: StoreRequestOptions): Promise<unknown> => {
  const { turn, slots } = FindTurnRequest.parse(body);
  if (slots.some((slot) => !options.isReplicaOf(slot)))
    throw new ReplicaError('moved', 'another store is the replica of one of these slots now');
  await options.replicaStore.waitForSync();
  return { items: options.replicaStore.findTurns(turn) };
};

/**
 * Answers one request. A write is answered only when it is on disk.
 *
 * @throws ReplicaError, JournalUnavailableError, ProtocolError (`unknown-kind`), or ZodError for a body of another form.
 */
export const handleStoreRequest = async (
  { kind, body }: RpcRequest,
  options: StoreRequestOptions,
): Promise<unknown> => {
  const { replicaStore } = options;
  switch (kind) {
    case 'store/put': {
      const { slot, ownershipEpoch, items } = PutRequest.parse(body);
      await replicaStore.write(slot, ownershipEpoch, items);
      return {};
    }
    case 'store/fence': {
      const { slot, ownershipEpoch, after } = FenceRequest.parse(body);
      return replicaStore.fence(slot, ownershipEpoch, after);
    }
    case 'store/read': {
      const { slot, ownershipEpoch, key } = ReadRequest.parse(body);
      return { item: replicaStore.read(slot, ownershipEpoch, key) };
    }
    case 'store/pull': {
      const { slot, ownershipEpoch, after } = FenceRequest.parse(body);
      return replicaStore.pull(slot, ownershipEpoch, after);
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
