/**
 * Messages between nodes about slots and about the list of servers. They are defined here because owners, stores, agents
 * and controls all use them; each is parsed where it arrives. The keys are those of the inner wire.
 */
import { z } from 'zod';
import { Item } from './item.js';

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

/** How long ago the list was asked for, and how long ago the newest answer was, in ms; null for never. */
export const ServerListReport = z.object({
  age: z.number().nullable(),
  readAge: z.number().nullable(),
});
/** The ages of a node's reading of the list. */
export type ServerListReport = z.infer<typeof ServerListReport>;

/** A control's own reading, for fronts that ask while no master is known. */
export const ServerListReply = z.object({
  reported: ServerListReport.optional(),
  open: z.array(z.string()).readonly(),
  draining: z.array(z.string()).readonly(),
});
/** A control's own reading: its ages, and the ids of the servers that are open or draining. */
export type ServerListReply = z.infer<typeof ServerListReply>;
