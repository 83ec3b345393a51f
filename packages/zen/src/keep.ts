import { z } from 'zod';
import { Diff, diffOf, Entries, flatten, markOf, Mate, newer, patch, unflatten, type Mark, type State } from '@tillerstair/state';
import { hostPace, isDiskTrouble, Journal, untilDiskTakes, type Disk, type JournalOwner, type JournalPace } from '@tillerstair/journal';
import { pause } from '@tillerstair/wire';

const Rec = z.discriminatedUnion('t', [
  z.object({ t: z.literal('id'), id: z.string() }),
  z.object({ t: z.literal('promise'), term: z.number(), to: z.string() }),
  z.object({ t: z.literal('vote'), members: z.array(Mate) }),
  z.object({ t: z.literal('full'), state: Entries }),
  z.object({ t: z.literal('diff'), diff: Diff }),
]);
type Rec = z.infer<typeof Rec>;

export interface Kept {
  readonly id: string;
  readonly term: number;
  readonly promisedTo: string;
  readonly vote: readonly Mate[];
  readonly accepted: State | undefined;
}

const blank: Kept = { id: '', term: 0, promisedTo: '', vote: [], accepted: undefined };

/** The log does not prove that it is whole: what it says last must not be counted on. */
export class LogNotWhole extends Error {}

const logName = 'zen.log';

const take = (k: Kept, r: Rec): Kept => {
  switch (r.t) {
    case 'id':
      return { ...k, id: r.id };
    case 'promise':
      return { ...k, term: r.term, promisedTo: r.to };
    case 'vote':
      return { ...k, vote: r.members };
    case 'full':
      return { ...k, accepted: unflatten(new Map(r.state)) };
    case 'diff':
      return { ...k, accepted: patched(k.accepted, r.diff) };
  }
};

const patched = (base: State | undefined, diff: Diff): State => {
  const next = base && patch(base, diff);
  if (!next) throw new LogNotWhole(`a change of version ${diff.base.version} follows version ${base?.version ?? 'none'}`);
  return next;
};

const mustFollow = (before: Kept, after: Kept): void => {
  if (after.term < before.term) throw new LogNotWhole(`term ${after.term} follows term ${before.term}`);
  if (after.term === before.term && before.promisedTo !== '' && after.promisedTo !== before.promisedTo)
    throw new LogNotWhole(`term ${after.term} is promised to two`);
  if (after.accepted && after.accepted.term > after.term) throw new LogNotWhole(`a state of term ${after.accepted.term} was accepted in term ${after.term}`);
  const went = before.accepted && after.accepted !== before.accepted;
  if (went && !newer(markOf(after.accepted), markOf(before.accepted))) throw new LogNotWhole('an older state follows a newer one');
};

/** What a log says, if each of its records follows from those before it. */
class Replay implements JournalOwner {
  kept: Kept = blank;

  constructor(readonly journal: Journal) {}

  restore(raw: unknown): void {
    const record = Rec.parse(raw);
    if (this.kept.id === '' && record.t !== 'id') throw new LogNotWhole('its beginning is missing');
    const after = take(this.kept, record);
    mustFollow(this.kept, after);
    this.kept = after;
  }
}

const openWhole = (disk: Disk, pace: JournalPace): Promise<Replay> => Journal.openFor(disk, logName, pace, (journal) => new Replay(journal));

/**
 * A damaged log is kept under another name, and the member starts as one that lost its disk: with a fresh id and no state.
 * To go on under the old id could vote twice in a term, or count a state that the member no longer holds.
 */
const openOrStartAnew = async (disk: Disk, pace: JournalPace): Promise<Replay> => {
  try {
    return await openWhole(disk, pace);
  } catch (e) {
    if (isDiskTrouble(e)) throw e;
    pace.log?.warn(`${logName} is not whole (${e instanceof Error ? e.message : String(e)}): kept as ${logName}.damaged, starting as a new member.`);
    await untilDiskTakes(pace, logName, () => disk.setAside(logName));
    return openWhole(disk, pace);
  }
};

export interface Keep {
  readonly kept: Kept;
  /** Whether the disk takes what is to be kept; without it nothing may be promised, voted or accepted. */
  readonly writable: boolean;
  promise(term: number, to: string): Promise<void>;
  vote(members: readonly Mate[]): Promise<void>;
  accept(state: State): Promise<void>;
  synced(): Promise<void>;
}

export class DiskKeep implements Keep {
  private last: Promise<void> = Promise.resolve();

  private constructor(
    private readonly journal: Journal,
    public kept: Kept,
    private readonly longAt: number,
  ) {
    journal.recoverFrom(() => this.whole());
  }

  static async open(disk: Disk, freshId: () => string, longAt: number, pace: JournalPace = hostPace): Promise<DiskKeep> {
    const { journal, kept } = await openOrStartAnew(disk, pace);
    const keep = new DiskKeep(journal, kept, longAt);
    if (!kept.id) await keep.start(freshId(), pace);
    return keep;
  }

  private async start(id: string, pace: JournalPace): Promise<void> {
    await this.put({ t: 'id', id }).catch(() => undefined);
    while (!this.writable) await pause(pace.clock, pace.retryEvery);
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
  private async put(r: Rec, next = take(this.kept, r)): Promise<void> {
    this.journal.mustBeWritable();
    this.kept = next;
    this.last = this.journal.append(r);
    await this.last;
    if (this.journal.long(this.longAt)) void this.journal.rewrite(() => this.whole()).catch(() => undefined);
  }

  private whole(): readonly Rec[] {
    const { id, term, promisedTo, vote, accepted } = this.kept;
    return [
      { t: 'id', id },
      { t: 'promise', term, to: promisedTo },
      ...(vote.length > 0 ? [{ t: 'vote' as const, members: [...vote] }] : []),
      ...(accepted ? [{ t: 'full' as const, state: [...flatten(accepted)] }] : []),
    ];
  }

  async synced(): Promise<void> {
    await this.last.catch(() => undefined);
    this.journal.mustBeWritable();
  }

  promise(term: number, to: string): Promise<void> {
    return this.put({ t: 'promise', term, to });
  }

  vote(members: readonly Mate[]): Promise<void> {
    return this.put({ t: 'vote', members: [...members] });
  }

  accept(state: State): Promise<void> {
    const old = this.kept.accepted;
    const next = { ...this.kept, accepted: state };
    if (!old || old.clusterId !== state.clusterId) return this.put({ t: 'full', state: [...flatten(state)] }, next);
    return this.put({ t: 'diff', diff: diffOf(old, state) }, next);
  }
}

export class MemoryKeep implements Keep {
  kept: Kept;
  readonly writable = true;

  constructor(id: string) {
    this.kept = { ...blank, id };
  }

  async promise(term: number, to: string): Promise<void> {
    this.kept = { ...this.kept, term, promisedTo: to };
  }

  async vote(members: readonly Mate[]): Promise<void> {
    this.kept = { ...this.kept, vote: members };
  }

  async accept(state: State): Promise<void> {
    this.kept = { ...this.kept, accepted: state };
  }

  async synced(): Promise<void> {
    return;
  }
}

export const acceptedMark = (k: Keep): Mark => markOf(k.kept.accepted);
