/** The search for a turn and those before it in what a store holds. */
import { z } from 'zod';
import type { PackedItem } from './packed-item.js';
import type { ItemLocation, TurnIndex } from './turn-index.js';

/** The fields of a turn's value that name the preceding turn and say whether the turn is done. */
const TurnLink = z.object({ after: z.string(), status: z.string().optional() });

const linkOf = (item: PackedItem): z.infer<typeof TurnLink> | undefined =>
  TurnLink.safeParse(item.pick(['after', 'status'])).data;

/** Returns the item at a location; undefined if it is not stored. */
type ItemAt = (location: ItemLocation) => PackedItem | undefined;

const preferredItem = (
  locations: readonly ItemLocation[],
  itemAt: ItemAt,
): PackedItem | undefined => {
  let first: PackedItem | undefined;
  for (const location of locations) {
    const item = itemAt(location);
    if (item && linkOf(item)?.status === 'done') return item;
    first ??= item;
  }
  return first;
};

/**
 * The turn of an encoded name followed by the turns before it, newest first, as far as they are stored. Of a turn that
 * several programs hold, an item that is done is preferred.
 */
export const findConversation = (
  index: TurnIndex,
  turn: string,
  itemAt: ItemAt,
): readonly PackedItem[] => {
  const found: PackedItem[] = [];
  let locations = index.find(turn);
  for (;;) {
    const item = preferredItem(locations, itemAt);
    if (!item || found.includes(item)) return found;
    found.push(item);
    const link = linkOf(item);
    if (!link) return found;
    locations = index.findByName(link.after);
  }
};
