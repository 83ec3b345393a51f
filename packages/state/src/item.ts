/**
 * Items: the records that a slot's replicas hold, and the messages between owners and stores that carry them. The keys
 * are those of the inner wire and of the disk.
 */
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

/** An owner writes items to a replica, under its ownership epoch. */
export const PutRequest = z.object({
  slot: z.number(),
  ownershipEpoch: z.number(),
  items: z.array(Item),
});

/** An owner fences a slot: from then on the store refuses lower ownership epochs. `after` is the last key of a page. */
export const FenceRequest = z.object({
  slot: z.number(),
  ownershipEpoch: z.number(),
  after: z.string().default(''),
});

/** A part of a slot's items by key; `next` is '' on the last one. */
export const ItemPage = z.object({ items: z.array(Item), next: z.string() });
/** A part of a slot's items by key. */
export type ItemPage = z.infer<typeof ItemPage>;

/** Fetches page after page, beginning with the first. Throws what `request` rejects with. */
export async function* fetchPages(
  request: (after: string) => Promise<unknown>,
): AsyncGenerator<readonly Item[]> {
  for (let after = ''; ;) {
    const page = ItemPage.parse(await request(after));
    yield page.items;
    if (page.next === '') return;
    after = page.next;
  }
}

/** The size that a page has at most, in characters of JSON; an item that is larger makes a page of its own. */
export const maxPageBytes = 1 << 18;

/** Splits items into pages for sending. */
export const splitIntoPages = (items: readonly Item[]): readonly (readonly Item[])[] => {
  const pages: Item[][] = [];
  let remaining = 0;
  for (const item of items) {
    const size = JSON.stringify(item).length;
    if (remaining < size) {
      pages.push([]);
      remaining = maxPageBytes;
    }
    pages.at(-1)?.push(item);
    remaining -= size;
  }
  return pages;
};

/** An owner reads the item of a key from a replica, under its ownership epoch. */
export const ReadRequest = z.object({
  slot: z.number(),
  ownershipEpoch: z.number(),
  key: z.string(),
});

/** The item of a key, or null. */
export const ReadResponse = z.object({ item: Item.nullable() });

/** Asks a store for a turn; `slots` are those for which the asking front counts the store as a replica. */
export const FindTurnRequest = z.object({
  turn: z.string(),
  slots: z.array(z.number()).default([]),
});

/** The items of a turn that the store holds. */
export const FindTurnResponse = z.object({ items: z.array(Item) });

/** Items for a store that cannot be reached now; whoever gets them passes them on later. */
export const HintRequest = z.object({ to: z.string(), slot: z.number(), items: z.array(Item) });

/** Items that were hinted, passed on to the store that they are for. */
export const HandoffRequest = z.object({ slot: z.number(), items: z.array(Item) });

/** The program at the root of a sub-agent's id. */
export const rootProgramId = (programId: string): string => programId.split('~')[0] ?? programId;

/** The key by which a record is hashed to its slot: a sub-agent's records lie with those of its root. */
export const recordGroup = (key: string): string => {
  const [kind = '', id = ''] = key.split('/');
  return kind === 'p' ? `p/${rootProgramId(id)}` : key;
};
