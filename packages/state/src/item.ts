import { z } from 'zod';

export const Item = z
  .object({
    key: z.string(),
    ownershipEpoch: z.number(),
    seq: z.number(),
    value: z.unknown(),
  })
  .readonly();
export type Item = z.infer<typeof Item>;

export const isNewerItem = (a: Item, b: Item): boolean =>
  a.ownershipEpoch > b.ownershipEpoch || (a.ownershipEpoch === b.ownershipEpoch && a.seq > b.seq);
export const isSameItem = (a: Item, b: Item): boolean =>
  a.ownershipEpoch === b.ownershipEpoch && a.seq === b.seq;

export const PutRequest = z.object({
  slot: z.number(),
  ownershipEpoch: z.number(),
  items: z.array(Item),
});
export const FenceRequest = z.object({
  slot: z.number(),
  ownershipEpoch: z.number(),
  after: z.string().default(''),
});
export const ItemPage = z.object({ items: z.array(Item), next: z.string() });
export type ItemPage = z.infer<typeof ItemPage>;

export async function* fetchPages(
  ask: (after: string) => Promise<unknown>,
): AsyncGenerator<readonly Item[]> {
  for (let after = ''; ;) {
    const page = ItemPage.parse(await ask(after));
    yield page.items;
    if (page.next === '') return;
    after = page.next;
  }
}

export const maxPageBytes = 1 << 18;

export const splitIntoPages = (items: readonly Item[]): readonly (readonly Item[])[] => {
  const out: Item[][] = [];
  let room = 0;
  for (const item of items) {
    const size = JSON.stringify(item).length;
    if (room < size) {
      out.push([]);
      room = maxPageBytes;
    }
    out.at(-1)?.push(item);
    room -= size;
  }
  return out;
};

export const ReadRequest = z.object({
  slot: z.number(),
  ownershipEpoch: z.number(),
  key: z.string(),
});
export const ReadResponse = z.object({ item: Item.nullable() });
/** `slots` are those for which who asks counts the store as a replica. */
export const FindTurnRequest = z.object({
  turn: z.string(),
  slots: z.array(z.number()).default([]),
});
export const FindTurnResponse = z.object({ items: z.array(Item) });
export const HintRequest = z.object({ to: z.string(), slot: z.number(), items: z.array(Item) });
export const HandoffRequest = z.object({ slot: z.number(), items: z.array(Item) });

export const rootProgramId = (pid: string): string => pid.split('~')[0] ?? pid;

export const recordGroup = (key: string): string => {
  const [kind = '', id = ''] = key.split('/');
  return kind === 'p' ? `p/${rootProgramId(id)}` : key;
};
