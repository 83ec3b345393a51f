/**
 * The records of a store's log of replicas (`store.log`). Their keys are those on disk and are kept as they are; logs of
 * earlier versions are read by them (tests/fixtures).
 */
import { z } from 'zod';
import { Item } from '@tillerstair/state';

/** The file that holds a store's replicas. */
export const replicaStoreLog = 'store.log';

/** One change of a store's replicas or hints. `n` numbers the hints. */
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

/** Items that are kept for a store that could not be reached, until they have been handed off to it. */
export interface Hint {
  /** Its number, unique within this store. */
  readonly n: number;
  /** The id of the store that it is for. */
  readonly to: string;
  readonly slot: number;
  readonly items: readonly Item[];
}

/** The replica of one slot at one moment. */
export interface SlotSnapshot {
  readonly slot: number;
  readonly fenceEpoch: number;
  readonly items: readonly Item[];
}

/** The records that a log is rewritten with. Items were checked when they were put, so they need no ownership epoch. */
export function* snapshotRecords(
  slots: readonly SlotSnapshot[],
  hints: readonly Hint[],
): Generator<ReplicaRecord> {
  for (const { slot, fenceEpoch, items } of slots) {
    if (fenceEpoch > 0) yield { t: 'fence', slot, ownershipEpoch: fenceEpoch };
    for (const item of items) yield { t: 'put', slot, ownershipEpoch: 0, items: [item] };
  }
  for (const hint of hints) yield { t: 'hint', ...hint, items: [...hint.items] };
}
