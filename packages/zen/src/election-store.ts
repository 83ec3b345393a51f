import { z } from 'zod';
import {
  StateDiff,
  diffStates,
  TableEntries,
  encodeState,
  versionOf,
  Member,
  isNewerVersion,
  applyDiff,
  decodeState,
  type StateVersion,
  type State,
} from '@tillerstair/state';
import {
  hostPace,
  isDiskTrouble,
  Journal,
  untilDiskTakes,
  type Disk,
  type JournalOwner,
  type JournalPace,
} from '@tillerstair/journal';
import { delay } from '@tillerstair/wire';

const Rec = z.discriminatedUnion('t', [
  z.object({ t: z.literal('id'), id: z.string() }),
  z.object({ t: z.literal('vote'), term: z.number(), to: z.string() }),
  z.object({ t: z.literal('bootstrap-vote'), members: z.array(Member) }),
  z.object({ t: z.literal('full'), state: TableEntries }),
  z.object({ t: z.literal('diff'), diff: StateDiff }),
]);
type Rec = z.infer<typeof Rec>;

export interface PersistentState {
  readonly id: string;
  readonly term: number;
  readonly votedFor: string;
  readonly bootstrapVote: readonly Member[];
  readonly accepted: State | undefined;
}

const blank: PersistentState = {
  id: '',
  term: 0,
  votedFor: '',
  bootstrapVote: [],
  accepted: undefined,
};

/** The log does not prove that it is whole: what it says last must not be counted on. */
export class LogNotWhole extends Error {}

const logName = 'zen.log';

const take = (k: PersistentState, r: Rec): PersistentState => {
  switch (r.t) {
    case 'id':
      return { ...k, id: r.id };
    case 'vote':
      return { ...k, term: r.term, votedFor: r.to };
    case 'bootstrap-vote':
      return { ...k, bootstrapVote: r.members };
    case 'full':
      return { ...k, accepted: decodeState(new Map(r.state)) };
    case 'diff':
      return { ...k, accepted: patched(k.accepted, r.diff) };
  }
};

const patched = (base: State | undefined, diff: StateDiff): State => {
  const next = base && applyDiff(base, diff);
  if (!next)
    throw new LogNotWhole(
      `a change of version ${diff.base.version} follows version ${base?.version ?? 'none'}`,
    );
  return next;
};

const mustFollow = (before: PersistentState, after: PersistentState): void => {
  if (after.term < before.term)
    throw new LogNotWhole(`term ${after.term} follows term ${before.term}`);
  if (after.term === before.term && before.votedFor !== '' && after.votedFor !== before.votedFor)
    throw new LogNotWhole(`term ${after.term} is promised to two`);
  if (after.accepted && after.accepted.term > after.term)
    throw new LogNotWhole(
      `a state of term ${after.accepted.term} was accepted in term ${after.term}`,
    );
  const went = before.accepted && after.accepted !== before.accepted;
  if (went && !isNewerVersion(versionOf(after.accepted), versionOf(before.accepted)))
    throw new LogNotWhole('an older state follows a newer one');
};

/** What a log says, if each of its records follows from those before it. */
class Replay implements JournalOwner {
  persisted: PersistentState = blank;

  constructor(readonly journal: Journal) {}

  restore(raw: unknown): void {
    const record = Rec.parse(raw);
    if (this.persisted.id === '' && record.t !== 'id')
      throw new LogNotWhole('its beginning is missing');
    const after = take(this.persisted, record);
    mustFollow(this.persisted, after);
    this.persisted = after;
  }
}

const openWhole = (disk: Disk, pace: JournalPace): Promise<Replay> =>
  Journal.openFor(disk, logName, pace, (journal) => new Replay(journal));

/**
 * A damaged log is kept under another name, and the member starts as one that lost its disk: with a fresh id and no state.
 * To go on under the old id could vote twice in a term, or count a state that the member no longer holds.
 */
const openOrStartAnew = async (disk: Disk, pace: JournalPace): Promise<Replay> => {
  try {
    return await openWhole(disk, pace);
  } catch (e) {
    if (isDiskTrouble(e)) throw e;
    pace.log?.warn(
      `${logName} is not whole (${e instanceof Error ? e.message : String(e)}): kept as ${logName}.damaged, starting as a new member.`,
    );
    await untilDiskTakes(pace, logName, () => disk.setAside(logName));
    return openWhole(disk, pace);
  }
};

export interface ElectionStore {
  readonly persisted: PersistentState;
  /** Whether the disk takes what is to be kept; without it nothing may be promised, voted or accepted. */
  readonly writable: boolean;
  recordVote(term: number, to: string): Promise<void>;
  bootstrapVote(members: readonly Member[]): Promise<void>;
  accept(state: State): Promise<void>;
  synced(): Promise<void>;
}

export class DiskElectionStore implements ElectionStore {
  private last: Promise<void> = Promise.resolve();

  private constructor(
    private readonly journal: Journal,
    public persisted: PersistentState,
    private readonly longAt: number,
  ) {
    journal.recoverFrom(() => this.whole());
  }

  static async open(
    disk: Disk,
    freshId: () => string,
    longAt: number,
    pace: JournalPace = hostPace,
  ): Promise<DiskElectionStore> {
    const { journal, persisted } = await openOrStartAnew(disk, pace);
    const electionStore = new DiskElectionStore(journal, persisted, longAt);
    if (!persisted.id) await electionStore.start(freshId(), pace);
    return electionStore;
  }

  private async start(id: string, pace: JournalPace): Promise<void> {
    await this.put({ t: 'id', id }).catch(() => undefined);
    while (!this.writable) await delay(pace.clock, pace.retryEvery);
  }

  get writable(): boolean {
    return this.journal.writable;
  }

  /** Gives up this identity for good; what was kept stays under another name. */
  async forget(disk: Disk): Promise<void> {
    await this.journal.close();
    await disk.setAside(logName);
  }

  /**
   * Memory changes before the disk does. When the append fails the record may or may not be on disk, so it stays in memory:
   * a promise that may be on disk is not given again, a state that may be on disk is held as if it were. Nobody is told of
   * either, and the journal takes no more before the disk holds just what memory holds.
   */
  private async put(r: Rec, next = take(this.persisted, r)): Promise<void> {
    this.journal.mustBeWritable();
    this.persisted = next;
    this.last = this.journal.append(r);
    await this.last;
    if (this.journal.long(this.longAt))
      void this.journal.rewrite(() => this.whole()).catch(() => undefined);
  }

  private whole(): readonly Rec[] {
    const { id, term, votedFor, bootstrapVote, accepted } = this.persisted;
    return [
      { t: 'id', id },
      { t: 'vote', term, to: votedFor },
      ...(bootstrapVote.length > 0
        ? [{ t: 'bootstrap-vote' as const, members: [...bootstrapVote] }]
        : []),
      ...(accepted ? [{ t: 'full' as const, state: [...encodeState(accepted)] }] : []),
    ];
  }

  async synced(): Promise<void> {
    await this.last.catch(() => undefined);
    this.journal.mustBeWritable();
  }

  recordVote(term: number, to: string): Promise<void> {
    return this.put({ t: 'vote', term, to });
  }

  bootstrapVote(members: readonly Member[]): Promise<void> {
    return this.put({ t: 'bootstrap-vote', members: [...members] });
  }

  accept(state: State): Promise<void> {
    const old = this.persisted.accepted;
    const next = { ...this.persisted, accepted: state };
    if (!old || old.clusterId !== state.clusterId)
      return this.put({ t: 'full', state: [...encodeState(state)] }, next);
    return this.put({ t: 'diff', diff: diffStates(old, state) }, next);
  }
}

export class MemoryElectionStore implements ElectionStore {
  persisted: PersistentState;
  readonly writable = true;

  constructor(id: string) {
    this.persisted = { ...blank, id };
  }

  async recordVote(term: number, to: string): Promise<void> {
    this.persisted = { ...this.persisted, term, votedFor: to };
  }

  async bootstrapVote(members: readonly Member[]): Promise<void> {
    this.persisted = { ...this.persisted, bootstrapVote: members };
  }

  async accept(state: State): Promise<void> {
    this.persisted = { ...this.persisted, accepted: state };
  }

  async synced(): Promise<void> {
    return;
  }
}

export const acceptedVersion = (k: ElectionStore): StateVersion => versionOf(k.persisted.accepted);
