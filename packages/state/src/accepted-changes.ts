/**
 * The record of accepted configuration changes, so that a resent change is acknowledged again.
 *
 * It is stored in blocks of the state table, one line of text per block, so that a publish carries only the last block.
 * A block contains `VERSION=KEY` pairs; the key is a short digest of the change id
 * (design.md, "Versions of the configuration").
 */
import { createHash } from 'node:crypto';

/** Text of each block by block number; the blocks with the lowest numbers are dropped first. */
export type AcceptedChanges = ReadonlyMap<number, string>;

/** Whether a change was accepted; `forgotten` if it is older than the record, so that its outcome is unknown. */
export type AcceptedChangeOutcome = 'accepted' | 'not-accepted' | 'forgotten';

/** Maximum number of changes in a block. */
const blockLength = 32;
const maxBlocks = 64;
const keyLength = 12;

/** Number of latest changes that are always in the record; older ones may have been dropped. */
export const minimumRememberedChanges = blockLength * (maxBlocks - 1);

const keyOf = (changeId: string): string =>
  createHash('sha256').update(changeId).digest('base64url').slice(0, keyLength);

const entryOf = (version: number, changeId: string): string => `${version}=${keyOf(changeId)}`;

const entriesOf = (block: string): readonly string[] => (block === '' ? [] : block.split(' '));

const newestBlock = (changes: AcceptedChanges): number => Math.max(0, ...changes.keys());

/** Adds an accepted change, and drops the oldest block if there are more than `maxBlocks`. */
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

/** The lowest recorded version if earlier ones were dropped, else 0. */
const oldestRemembered = (changes: AcceptedChanges): number => {
  const firstBlock = Math.min(...changes.keys());
  if (firstBlock === 0 || changes.size === 0) return 0;
  return Number.parseInt(changes.get(firstBlock) ?? '0', 10);
};

/** Whether the change that created this version under this id was accepted; unknown if it is older than the record. */
export const acceptedChangeOutcome = (
  changes: AcceptedChanges,
  version: number,
  changeId: string,
): AcceptedChangeOutcome => {
  const entry = entryOf(version, changeId);
  if ([...changes.values()].some((block) => entriesOf(block).includes(entry))) return 'accepted';
  return version < oldestRemembered(changes) ? 'forgotten' : 'not-accepted';
};
