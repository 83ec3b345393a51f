/**
 * The record of the configuration changes that were accepted, so that one that is sent again is acknowledged again.
 *
 * It lies in blocks of the state table, one line of text a block, so that a publish carries the last block only. A
 * block holds `VERSION=KEY` pairs; the key is a short digest of the change's id (design.md, "Versions of the
 * configuration").
 */
import { createHash } from 'node:crypto';

/** The text of each block, by its number; blocks of the lowest numbers are forgotten first. */
export type AcceptedChanges = ReadonlyMap<number, string>;

/** What the record says of a change; `forgotten`: it is older than the record, which cannot tell. */
export type AcceptedChangeOutcome = 'accepted' | 'not-accepted' | 'forgotten';

/** The most changes in a block. */
const blockLength = 32;
const maxBlocks = 64;
const keyLength = 12;

/** How many of the latest changes are surely remembered; older ones may be forgotten. */
export const minimumRememberedChanges = blockLength * (maxBlocks - 1);

const keyOf = (changeId: string): string =>
  createHash('sha256').update(changeId).digest('base64url').slice(0, keyLength);

const entryOf = (version: number, changeId: string): string => `${version}=${keyOf(changeId)}`;

const entriesOf = (block: string): readonly string[] => (block === '' ? [] : block.split(' '));

const newestBlock = (changes: AcceptedChanges): number => Math.max(0, ...changes.keys());

/** Adds an accepted change; the oldest block is forgotten where there are too many. */
export const recordAcceptedChange = (
  changes: AcceptedChanges,
  version: number,
  changeId: string,
): AcceptedChanges => {
  const newest = newestBlock(changes);
  const entries = entriesOf(changes.get(newest) ?? '');
  const fits = entries.length < blockLength;
  const block = fits ? newest : newest + 1;
  const earlier = fits ? entries : [];
  const next = new Map(changes).set(block, [...earlier, entryOf(version, changeId)].join(' '));
  next.delete(block - maxBlocks);
  return next;
};

/** The lowest version that is still recorded, if earlier ones have been forgotten; else 0. */
const oldestRemembered = (changes: AcceptedChanges): number => {
  const firstBlock = Math.min(...changes.keys());
  if (firstBlock === 0 || changes.size === 0) return 0;
  return Number.parseInt(changes.get(firstBlock) ?? '0', 10);
};

/** Whether the change that made this version under this id was accepted; one older than the record is in doubt. */
export const acceptedChangeOutcome = (
  changes: AcceptedChanges,
  version: number,
  changeId: string,
): AcceptedChangeOutcome => {
  const entry = entryOf(version, changeId);
  if ([...changes.values()].some((block) => entriesOf(block).includes(entry))) return 'accepted';
  return version < oldestRemembered(changes) ? 'forgotten' : 'not-accepted';
};
