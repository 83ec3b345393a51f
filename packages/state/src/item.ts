/** Items: the records that the replicas of a slot hold. The keys are those of the inner wire and of the disk. */
import { z } from 'zod';

/** A record that replicas of a slot hold; of two with the same key the newer by (ownership epoch, sequence) counts. */
export const Item = z
  .object({
    key: z.string(),
    ownershipEpoch: z.number(),
    seq: z.number(),
    value: z.unknown(),
  })
  .readonly();
/** A record that replicas of a slot hold. */
export type Item = z.infer<typeof Item>;

/** Whether an item is newer than another of the same key. */
export const isNewerItem = (item: Item, other: Item): boolean =>
  item.ownershipEpoch > other.ownershipEpoch ||
  (item.ownershipEpoch === other.ownershipEpoch && item.seq > other.seq);

/** Whether two items of the same key are one write. */
export const isSameItem = (item: Item, other: Item): boolean =>
  item.ownershipEpoch === other.ownershipEpoch && item.seq === other.seq;

/** The program at the root of a sub-agent's id. */
export const rootProgramId = (programId: string): string => programId.split('~')[0] ?? programId;

/** The key by which a record is hashed to its slot: a sub-agent's records lie with those of its root. */
export const recordGroup = (key: string): string => {
  const [kind = '', id = ''] = key.split('/');
  return kind === 'p' ? `p/${rootProgramId(id)}` : key;
};
