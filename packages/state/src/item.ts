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

export const newerItem = (a: Item, b: Item): boolean =>
  a.ownershipEpoch > b.ownershipEpoch || (a.ownershipEpoch === b.ownershipEpoch && a.seq > b.seq);
export const sameItem = (a: Item, b: Item): boolean =>
  a.ownershipEpoch === b.ownershipEpoch && a.seq === b.seq;

export const Put = z.object({ slot: z.number(), ownershipEpoch: z.number(), items: z.array(Item) });
export const Fence = z.object({
  slot: z.number(),
  ownershipEpoch: z.number(),
  after: z.string().default(''),
});
export const Paged = z.object({ items: z.array(Item), next: z.string() });
export type Paged = z.infer<typeof Paged>;

export async function* pagesFrom(
  ask: (after: string) => Promise<unknown>,
): AsyncGenerator<readonly Item[]> {
  for (let after = ''; ;) {
    const page = Paged.parse(await ask(after));
    yield page.items;
    if (page.next === '') return;
    after = page.next;
  }
}

export const pageBytes = 1 << 18;

export const pagesOf = (items: readonly Item[]): readonly (readonly Item[])[] => {
  const out: Item[][] = [];
  let room = 0;
  for (const item of items) {
    const size = JSON.stringify(item).length;
    if (room < size) {
      out.push([]);
      room = pageBytes;
    }
    out.at(-1)?.push(item);
    room -= size;
  }
  return out;
};

export const Read = z.object({ slot: z.number(), ownershipEpoch: z.number(), key: z.string() });
export const ReadBack = z.object({ item: Item.nullable() });
/** `slots` are those for which who asks counts the store as a replica. */
export const FindTurn = z.object({ turn: z.string(), slots: z.array(z.number()).default([]) });
export const FoundTurns = z.object({ items: z.array(Item) });
export const Hint = z.object({ to: z.string(), slot: z.number(), items: z.array(Item) });
export const Hand = z.object({ slot: z.number(), items: z.array(Item) });

export const rootOf = (pid: string): string => pid.split('~')[0] ?? pid;

export const groupOf = (key: string): string => {
  const [kind = '', id = ''] = key.split('/');
  return kind === 'p' ? `p/${rootOf(id)}` : key;
};
