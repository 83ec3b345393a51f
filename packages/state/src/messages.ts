/**
 * Messages between nodes about slots and about the server list. They are defined here because owners, stores, agents
 * and controls all use them; each is parsed where it arrives. Keys are those of the internal protocol.
 */
import { z } from 'zod';
import { Item } from './item.js';

/** An owner writes items to a replica, under its ownership epoch. */
export const PutRequest = z.object({
  slot: z.number(),
  ownershipEpoch: z.number(),
  items: z.array(Item),
});

/**
 * An owner fences a slot: from then on the store rejects lower ownership epochs. `after` is the last key of the
 * previous page.
 */
export const FenceRequest = z.object({
  slot: z.number(),
  ownershipEpoch: z.number(),
  after: z.string().default(''),
});

/** A page of a slot's items in order of their keys; `next` is the key to continue after, '' on the last page. */
export const ItemPage = z.object({ items: z.array(Item), next: z.string() });
/** A page of a slot's items in order of their keys. */
export type ItemPage = z.infer<typeof ItemPage>;

/** An owner reads the item of a key from a replica, under its ownership epoch. */
export const ReadRequest = z.object({
  slot: z.number(),
  ownershipEpoch: z.number(),
  key: z.string(),
});

/** The item of a key; null if there is none. */
export const ReadResponse = z.object({ item: Item.nullable() });

/**
 * Asks a store for the items of a turn; `slots` are those of which the requesting front counts the store as a replica.
 */
export const FindTurnRequest = z.object({
  turn: z.string(),
  slots: z.array(z.number()).default([]),
});

/** The items of a turn that the store has. */
export const FindTurnResponse = z.object({ items: z.array(Item) });

/** Items for a store that is unreachable; the receiver hands them off to it later. */
export const HintRequest = z.object({ to: z.string(), slot: z.number(), items: z.array(Item) });

/** Items from hints, handed off to the store that they are for. */
export const HandoffRequest = z.object({ slot: z.number(), items: z.array(Item) });

/** Ages of a reading of the server list, in ms: of the last attempt, and of the last successful one; null for never. */
export const ServerListReport = z.object({
  age: z.number().nullable(),
  readAge: z.number().nullable(),
});
/** Ages of a node's reading of the server list. */
export type ServerListReport = z.infer<typeof ServerListReport>;

/** A control's reading of the server list, for fronts that request it while no master is known. */
export const ServerListReply = z.object({
  reported: ServerListReport.optional(),
  open: z.array(z.string()).readonly(),
  draining: z.array(z.string()).readonly(),
});
/** A control's reading of the server list: its ages, and the ids of the servers that are open or draining. */
export type ServerListReply = z.infer<typeof ServerListReply>;
