/**
 * Messages between nodes about slots and about the server list. They are defined here because owners, stores, agents
 * and controls all use them; each is parsed where it arrives. Keys are those of the internal protocol.
 */
import { z } from 'zod';
import { Item, ItemVersion } from './item.js';

/**
 * The id of the store that a request is for. A store that lost its disk returns at the same address with a new id; what it
 * lacks must not count for the store that it was before. Requests of earlier versions name no store.
 */
export const StoreRequest = z.object({ store: z.string().optional() });

/** An owner writes items to a replica, under its ownership epoch. */
export const PutRequest = z.object({
  slot: z.number(),
  ownershipEpoch: z.number(),
  items: z.array(Item),
  /** Whether other replicas have the items already: the owner restores their quorum and stores nothing new. */
  repair: z.boolean().optional(),
});

/**
 * An owner fences a slot: from then on the store rejects lower ownership epochs. `after` is the last key of the
 * previous page. With `list`, the page has the versions of the items in place of the items; with `keys`, it has the
 * items of these keys. Stores of earlier versions ignore both and return a page of items.
 */
export const FenceRequest = z.object({
  slot: z.number(),
  ownershipEpoch: z.number(),
  after: z.string().default(''),
  list: z.boolean().optional(),
  keys: z.array(z.string()).optional(),
});
/** What a replica is asked for: a page of its items, a page of their versions, or the items of some keys. */
export type PageRequest = Pick<z.infer<typeof FenceRequest>, 'after' | 'list' | 'keys'>;

/**
 * A page of a slot's items, or of their versions, in the order in which their keys were first stored; `next` is the key
 * to continue after, '' on the last page.
 */
export const ItemPage = z.object({
  items: z.array(Item),
  versions: z.array(ItemVersion).optional(),
  next: z.string(),
});
/** A page of a slot's items, or of their versions. */
export type ItemPage = z.infer<typeof ItemPage>;

/** An owner reads the item of a key from a replica, under its ownership epoch. */
export const ReadRequest = z.object({
  slot: z.number(),
  ownershipEpoch: z.number(),
  key: z.string(),
});

/** The item of a key; null if there is none. */
export const ReadResponse = z.object({ item: Item.nullable() });

/** Asks a store for the items of a turn; `slots` are those that it replicates according to the requesting front. */
export const FindTurnRequest = z.object({
  turn: z.string(),
  slots: z.array(z.number()).default([]),
});

/** The items of a turn that the store has. */
export const FindTurnResponse = z.object({ items: z.array(Item) });

/** Items for the unreachable store `to`; the receiver keeps them as a hint and hands them off to `to` later. */
export const HintRequest = z.object({ to: z.string(), slot: z.number(), items: z.array(Item) });

/** Hands off the items of a hint to the store that they are for. */
export const HandoffRequest = z.object({ slot: z.number(), items: z.array(Item) });

/** Ages in ms of a node's last attempt to read the server list and of its last successful one; null for none. */
export const ServerListReport = z.object({
  age: z.number().nullable(),
  readAge: z.number().nullable(),
});
/** Ages in ms of a node's last attempt to read the server list and of its last successful one. */
export type ServerListReport = z.infer<typeof ServerListReport>;

/** A control's reading of the server list, for fronts that request it while no master is known. */
export const ServerListReply = z.object({
  reported: ServerListReport.optional(),
  open: z.array(z.string()).readonly(),
  draining: z.array(z.string()).readonly(),
});
/** A control's reading of the server list: its ages, and the ids of the servers that are open or draining. */
export type ServerListReply = z.infer<typeof ServerListReply>;
