/** Estimates the memory that an item takes, so that owners and stores can bound what they hold by bytes. */
import type { Item, ItemVersion } from './item.js';

/** Memory of an item beside its strings: its objects, and its entries in the tables of a slot. */
const bytesPerItem = 400;
const bytesPerField = 16;
const charactersOfOneByte = /^[\u0000-\u00ff]*$/;

/** V8 stores a string with one byte per character if all of them are below U+0100, otherwise with two. */
const stringBytes = (text: string): number =>
  charactersOfOneByte.test(text) ? text.length : 2 * text.length;

/** The estimated memory of a value that was parsed from JSON, in bytes. */
export const valueBytes = (value: unknown): number => {
  if (typeof value === 'string') return stringBytes(value);
  if (value === null || typeof value !== 'object') return 0;
  let bytes = 0;
  for (const [name, field] of Object.entries(value))
    bytes += bytesPerField + name.length + valueBytes(field);
  return bytes;
};

/** The estimated memory of an item, in bytes. */
export const itemBytes = (item: Item): number =>
  bytesPerItem + 2 * item.key.length + valueBytes(item.value);

/** The version of an item, with its size. */
export const versionOfItem = (item: Item): ItemVersion => ({
  key: item.key,
  ownershipEpoch: item.ownershipEpoch,
  seq: item.seq,
  bytes: itemBytes(item),
});
