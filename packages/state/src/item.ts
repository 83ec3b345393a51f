/**
 * Items: the records that the replicas of a slot store. Keys of the schema are those of the internal protocol and of
 * the disk.
 */
import { z } from 'zod';

/** A record stored by the replicas of a slot; of two with the same key, the higher (ownership epoch, sequence) wins. */
export const Item = z
  .object({
    key: z.string(),
    ownershipEpoch: z.number(),
    seq: z.number(),
    value: z.unknown(),
  })
  .readonly();
/** A record stored by the replicas of a slot. */
export type Item = z.infer<typeof Item>;

/** The key and the version of an item, without its value; `bytes` is the estimated memory of the item. */
export const ItemVersion = z
  .object({ key: z.string(), ownershipEpoch: z.number(), seq: z.number(), bytes: z.number() })
  .readonly();
/** The key and the version of an item. */
export type ItemVersion = z.infer<typeof ItemVersion>;

/** The version of an item among those of its key. */
type Version = Pick<Item, 'ownershipEpoch' | 'seq'>;

/** Whether an item is newer than another of the same key. */
export const isNewerItem = (item: Version, other: Version): boolean =>
  item.ownershipEpoch > other.ownershipEpoch ||
  (item.ownershipEpoch === other.ownershipEpoch && item.seq > other.seq);

/** Whether two items with the same key come from the same write. */
export const isSameItem = (item: Version, other: Version): boolean =>
  item.ownershipEpoch === other.ownershipEpoch && item.seq === other.seq;

/** Id of the root program of a program or sub-agent. */
export const rootProgramId = (programId: string): string => programId.split('~')[0] ?? programId;

/** The key that is hashed to find the slot of a record: records of a sub-agent share the slot of its root program. */
export const recordGroup = (key: string): string => {
  const [kind = '', id = ''] = key.split('/');
  return kind === 'p' ? `p/${rootProgramId(id)}` : key;
};
