/**
 * Log of a node's votes and accepted states: its records, and the replay that verifies that none is missing
 * (docs/design.md, "Disk"). Invariant: each record is consistent with the records before it, so that neither a vote nor
 * an accepted state can have been lost from the middle.
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

/** Election state that must survive a restart. */
export interface PersistentState {
  /** Id of this node; a node that lost its disk gets a new one. */
  readonly id: string;
  /** Term of the newest vote. */
  readonly term: number;
  /** Id of the node that this node voted for in `term`; empty if unknown. */
  readonly votedFor: string;
  /** Members that this node voted to bootstrap a cluster with; empty before such a vote. */
  readonly bootstrapVote: readonly Member[];
  /** Newest state that this node has accepted, committed or not. */
  readonly accepted: State | undefined;
}

/** Initial state of a node with an empty disk: a new node, or one that lost its disk. */
export const blankState: PersistentState = {
  id: '',
  term: 0,
  votedFor: '',
  bootstrapVote: [],
  accepted: undefined,
};

/** Schema of a log record; its field names and shapes are part of the stored format. */
const ElectionRecord = z.discriminatedUnion('t', [
  z.object({ t: z.literal('id'), id: z.string() }),
  z.object({ t: z.literal('vote'), term: z.number(), to: z.string() }),
  z.object({ t: z.literal('bootstrap-vote'), members: z.array(Member) }),
  z.object({ t: z.literal('full'), state: TableEntries }),
  z.object({ t: z.literal('diff'), diff: StateDiff }),
]);
/** One record of the election log. */
export type ElectionRecord = z.infer<typeof ElectionRecord>;

/** A log record contradicts the records before it: records may be missing, so the log must not be used. */
class IncompleteLogError extends Error {
  override readonly name = 'IncompleteLogError';
}

const applyDiffOrThrow = (base: State | undefined, diff: StateDiff): State => {
  const next = base && applyDiff(base, diff);
  if (!next)
    throw new IncompleteLogError(
      `a diff from version ${diff.base.version} follows version ${base?.version ?? 'none'}`,
    );
  return next;
};

/** Applies one record; throws `IncompleteLogError` if it is a diff that does not start from the accepted state. */
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
      return { ...before, accepted: applyDiffOrThrow(before.accepted, record.diff) };
  }
};

/** The shortest sequence of records that yields this state; a rewritten log starts with it. */
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
    throw new IncompleteLogError(
      `two votes in term ${after.term}, for ${before.votedFor} and ${after.votedFor}`,
    );
};

const requireStateFollows = (before: PersistentState, after: PersistentState): void => {
  if (after.accepted && after.accepted.term > after.term)
    throw new IncompleteLogError(
      `a state of term ${after.accepted.term} was accepted in term ${after.term}`,
    );
  const isReplaced = before.accepted !== undefined && after.accepted !== before.accepted;
  if (isReplaced && !isNewerVersion(versionOf(after.accepted), versionOf(before.accepted)))
    throw new IncompleteLogError(
      `version ${after.accepted?.version ?? 'none'} of term ${after.accepted?.term ?? 'none'} follows ` +
        `version ${before.accepted.version} of term ${before.accepted.term}`,
    );
};

/** Replays a log record by record; `restore` throws `IncompleteLogError` for a record that contradicts earlier ones. */
export class ElectionLogReplay implements JournalOwner {
  persisted: PersistentState = blankState;

  constructor(readonly journal: Journal) {}

  /** Parses and applies the next record, as it was read from disk. */
  restore(raw: unknown): void {
    const record = ElectionRecord.parse(raw);
    if (this.persisted.id === '' && record.t !== 'id')
      throw new IncompleteLogError(`the first record is '${record.t}', not 'id'`);
    const after = applyRecord(this.persisted, record);
    requireVoteFollows(this.persisted, after);
    requireStateFollows(this.persisted, after);
    this.persisted = after;
  }
}

/** File name of the election log on a node's disk. */
export const electionLogName = 'zen.log';

const replay = (disk: Disk, timings: JournalTimings): Promise<ElectionLogReplay> =>
  Journal.open(disk, electionLogName, timings, (journal) => new ElectionLogReplay(journal));

/**
 * Opens the log of a node. A damaged log is renamed, and the node starts like one that lost its disk, with a new id and
 * no state: under the old id it could vote twice in a term, or count as a holder of a state that it no longer has.
 */
export const openElectionLog = async (
  disk: Disk,
  timings: JournalTimings,
): Promise<ElectionLogReplay> => {
  try {
    return await replay(disk, timings);
  } catch (e) {
    // The journal retries transient disk errors itself, so none is expected here. If one arrives nevertheless, an
    // intact log must not be renamed because of it.
    if (isTransientDiskError(e)) throw e;
    const reason = e instanceof Error ? e.message : String(e);
    timings.log?.warn(
      `${electionLogName} is incomplete (${reason}): renamed to ${electionLogName}.damaged, starting as a new member.`,
    );
    await retryTransientDiskErrors(timings, electionLogName, () => disk.setAside(electionLogName));
    return replay(disk, timings);
  }
};
