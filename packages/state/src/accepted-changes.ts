import { createHash } from 'node:crypto';

/**
 * The record of the changes of the configuration that were taken, so that one that is sent again is acknowledged again.
 *
 * It lies in blocks of the flat table, one line of text a block, so that a publish carries the last block only. A block
 * holds `VERSION=KEY` pairs; the key is a short digest of the change's order key.
 */
export type AcceptedChanges = ReadonlyMap<number, string>;

export type AcceptedChangeOutcome = 'taken' | 'not-taken' | 'forgotten';

const blockLength = 32;
const blocksMost = 64;
const keyLength = 12;

/** How many of the latest changes are surely remembered; older ones may be forgotten. */
export const minimumRememberedChanges = blockLength * (blocksMost - 1);

const keyOf = (changeId: string): string =>
  createHash('sha256').update(changeId).digest('base64url').slice(0, keyLength);

const entryOf = (version: number, changeId: string): string => `${version}=${keyOf(changeId)}`;

const entriesOf = (block: string): readonly string[] => (block === '' ? [] : block.split(' '));

const newestBlock = (taken: AcceptedChanges): number => Math.max(0, ...taken.keys());

/** Adds a taken change; the oldest block is forgotten where there are too many. */
export const recordAcceptedChange = (
  taken: AcceptedChanges,
  version: number,
  changeId: string,
): AcceptedChanges => {
  const last = newestBlock(taken);
  const entries = entriesOf(taken.get(last) ?? '');
  const fits = entries.length < blockLength;
  const block = fits ? last : last + 1;
  const next = new Map(taken).set(
    block,
    [...(fits ? entries : []), entryOf(version, changeId)].join(' '),
  );
  next.delete(block - blocksMost);
  return next;
};

/** The lowest version that is still recorded, if earlier ones have been forgotten. */
const coveredFrom = (taken: AcceptedChanges): number => {
  const first = Math.min(...taken.keys());
  return first === 0 || taken.size === 0 ? 0 : Number.parseInt(taken.get(first) ?? '0', 10);
};

/** Whether the change that made this version under this order key was taken; a version older than the record is in doubt. */
export const acceptedChangeOutcome = (
  taken: AcceptedChanges,
  version: number,
  changeId: string,
): AcceptedChangeOutcome => {
  const entry = entryOf(version, changeId);
  if ([...taken.values()].some((block) => entriesOf(block).includes(entry))) return 'taken';
  return version < coveredFrom(taken) ? 'forgotten' : 'not-taken';
};
