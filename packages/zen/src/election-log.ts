/**
 * The log of what an election needs after a restart: its records, and the replay that must prove it complete
 * (docs/design.md, "Disk"). Invariant: each record follows from those before it, so that neither a vote nor an accepted
 * state can have been lost from the middle.
 */
import {
  isTransientDiskError,
  Journal,
  retryTransientDiskErrors,
  type Disk,
  type JournalOwner,
  type JournalTimings,
} from '@tillerstair/journal';
import {
  StateDiff,
  TableEntries,
  encodeState,
  Member,
  isNewerVersion,
  applyDiff,
  decodeState,
  versionOf,
  type State,
} from '@tillerstair/state';
import { z } from 'zod';

/** What an election needs after a restart. */
export interface PersistentState {
  /** Id of this node; a member that lost its disk gets another. */
  readonly id: string;
  /** The term of the newest vote. */
  readonly term: number;
  /** Id of the node that this one voted for in `term`; empty if it is not known. */
  readonly votedFor: string;
  /** The members that this node voted to bootstrap a cluster with. */
  readonly bootstrapVote: readonly Member[];
  /** The newest state that this node has accepted, committed or not. */
  readonly accepted: State | undefined;
}

/** What a node that has lost its disk, or never had one, starts with. */
export const blankState: PersistentState = {
  id: '',
  term: 0,
  votedFor: '',
  bootstrapVote: [],
  accepted: undefined,
};

/** A record as it stands on disk; its names and forms are those of stored data. */
const ElectionRecord = z.discriminatedUnion('t', [
  z.object({ t: z.literal('id'), id: z.string() }),
  z.object({ t: z.literal('vote'), term: z.number(), to: z.string() }),
  z.object({ t: z.literal('bootstrap-vote'), members: z.array(Member) }),
  z.object({ t: z.literal('full'), state: TableEntries }),
  z.object({ t: z.literal('diff'), diff: StateDiff }),
]);
/** A record of the log. */
export type ElectionRecord = z.infer<typeof ElectionRecord>;

/** The log does not prove that it is complete: its last records must not be relied on. */
class IncompleteLogError extends Error {
  override readonly name = 'IncompleteLogError';
}

const patched = (base: State | undefined, diff: StateDiff): State => {
  const next = base && applyDiff(base, diff);
  if (!next)
    throw new IncompleteLogError(
      `a change of version ${diff.base.version} follows version ${base?.version ?? 'none'}`,
    );
  return next;
};

/** The state after one more record; throws `IncompleteLogError` for a difference from another state. */
export const applyRecord = (before: PersistentState, record: ElectionRecord): PersistentState => {
  switch (record.t) {
    case 'id':
      return { ...before, id: record.id };
    case 'vote':
      return { ...before, term: record.term, votedFor: record.to };
    case 'bootstrap-vote':
      return { ...before, bootstrapVote: record.members };
    case 'full':
      return { ...before, accepted: decodeState(new Map(record.state)) };
    case 'diff':
      return { ...before, accepted: patched(before.accepted, record.diff) };
  }
};

/** The fewest records that say the same: what a log is written anew from. */
export const recordsOf = (persisted: PersistentState): readonly ElectionRecord[] => {
  const { id, term, votedFor, bootstrapVote, accepted } = persisted;
  const records: ElectionRecord[] = [
    { t: 'id', id },
    { t: 'vote', term, to: votedFor },
  ];
  if (bootstrapVote.length > 0) records.push({ t: 'bootstrap-vote', members: [...bootstrapVote] });
  if (accepted) records.push({ t: 'full', state: [...encodeState(accepted)] });
  return records;
};

const requireVoteFollows = (before: PersistentState, after: PersistentState): void => {
  if (after.term < before.term)
    throw new IncompleteLogError(`term ${after.term} follows term ${before.term}`);
  const isSecondVote = before.votedFor !== '' && after.votedFor !== before.votedFor;
  if (after.term === before.term && isSecondVote)
    throw new IncompleteLogError(`two votes were given in term ${after.term}`);
};

const requireStateFollows = (before: PersistentState, after: PersistentState): void => {
  if (after.accepted && after.accepted.term > after.term)
    throw new IncompleteLogError(
      `a state of term ${after.accepted.term} was accepted in term ${after.term}`,
    );
  const isReplaced = before.accepted !== undefined && after.accepted !== before.accepted;
  if (isReplaced && !isNewerVersion(versionOf(after.accepted), versionOf(before.accepted)))
    throw new IncompleteLogError('an older state follows a newer one');
};

/** Takes the records of a log one by one; throws `IncompleteLogError` at the first that does not follow. */
export class ElectionLogReplay implements JournalOwner {
  persisted: PersistentState = blankState;

  constructor(readonly journal: Journal) {}

  /** Takes the next record as it was read from disk. */
  restore(raw: unknown): void {
    const record = ElectionRecord.parse(raw);
    if (this.persisted.id === '' && record.t !== 'id')
      throw new IncompleteLogError('its beginning is missing');
    const after = applyRecord(this.persisted, record);
    requireVoteFollows(this.persisted, after);
    requireStateFollows(this.persisted, after);
    this.persisted = after;
  }
}

/** Name of the log on a node's disk. */
export const electionLogName = 'zen.log';

const replay = (disk: Disk, pace: JournalTimings): Promise<ElectionLogReplay> =>
  Journal.open(disk, electionLogName, pace, (journal) => new ElectionLogReplay(journal));

/**
 * Opens the log of a node. A damaged one stays under another name, and the member starts as one that lost its disk, with
 * a fresh id and no state: under the old id it could vote twice in a term, or count a state that it no longer has.
 */
export const openElectionLog = async (
  disk: Disk,
  pace: JournalTimings,
): Promise<ElectionLogReplay> => {
  try {
    return await replay(disk, pace);
  } catch (e) {
    // The journal itself waits for a disk that fails, so that no such error arrives here; were one to, a sound log must
    // not be set aside for it.
    if (isTransientDiskError(e)) throw e;
    const reason = e instanceof Error ? e.message : String(e);
    pace.log?.warn(
      `${electionLogName} is incomplete (${reason}): set aside as ${electionLogName}.damaged, starting as a new member.`,
    );
    await retryTransientDiskErrors(pace, electionLogName, () => disk.setAside(electionLogName));
    return replay(disk, pace);
  }
};
