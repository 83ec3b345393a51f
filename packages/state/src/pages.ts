/** Pages of items, so that the size of a message does not grow with a slot. */
import type { Item } from './item.js';

/** Maximum size of a page, in characters of JSON; a larger item gets a page of its own. */
const maxPageBytes = 1 << 18;

/** A page is closed once it exceeds this size, so that its last item rarely takes it over the maximum. */
export const pageEndsAtBytes = maxPageBytes / 2;

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
