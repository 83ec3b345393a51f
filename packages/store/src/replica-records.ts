/**
 * The records of a store's replica log (`store.log`). Their keys are part of the format on disk and must not change:
 * logs of earlier versions are read with these schemas (tests/fixtures).
 */
import { z } from 'zod';
import { Item } from '@tillerstair/state';
import type { PackedItem } from './packed-item.js';

/** File name of a store's replica log. */
export const replicaStoreLog = 'store.log';

/** Schema of one change of a store's replicas or hints. `n` is the number of a hint. */
export const ReplicaRecord = z.discriminatedUnion('t', [
  z.object({
    t: z.literal('put'),
    slot: z.number(),
    ownershipEpoch: z.number(),
    items: z.array(Item),
  }),
  z.object({ t: z.literal('fence'), slot: z.number(), ownershipEpoch: z.number() }),
  z.object({ t: z.literal('drop'), slot: z.number(), groups: z.array(z.string()) }),
  z.object({
    t: z.literal('hint'),
    n: z.number(),
    to: z.string(),
    slot: z.number(),
    items: z.array(Item),
  }),
  z.object({ t: z.literal('transferred'), n: z.number() }),
]);
/** One change of a store's replicas or hints. */
export type ReplicaRecord = z.infer<typeof ReplicaRecord>;

/** Items kept on behalf of an unreachable store until they are handed off to it. */
export interface Hint {
  /** Number of the hint, unique within the store that keeps it. */
  readonly n: number;
  /** Id of the store that the hint is for. */
  readonly to: string;
  readonly slot: number;
  readonly items: readonly Item[];
}

/** A point-in-time copy of the replica of one slot. */
export interface SlotSnapshot {
  readonly slot: number;
  readonly fenceEpoch: number;
  readonly items: readonly PackedItem[];
}

/**
 * The records of a rewritten log. Items passed the fence when they were first written, so they are written with
 * ownership epoch 0, which leaves the fence unchanged.
 */
export function* snapshotRecords(
  slots: readonly SlotSnapshot[],
  hints: readonly Hint[],
): Generator<ReplicaRecord> {
  for (const { slot, fenceEpoch, items } of slots) {
    if (fenceEpoch > 0) yield { t: 'fence', slot, ownershipEpoch: fenceEpoch };
    for (const item of items) yield { t: 'put', slot, ownershipEpoch: 0, items: [item.unpack()] };
  }
  for (const hint of hints) yield { t: 'hint', ...hint, items: [...hint.items] };
}
