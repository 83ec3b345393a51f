import { z } from 'zod';
import { Diff, diffOf, Entries, flatten, markOf, Mate, patch, unflatten, type Mark, type State } from '@tillerstair/state';
import { Journal, type Disk } from '@tillerstair/journal';

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
      return { ...k, accepted: (k.accepted && patch(k.accepted, r.diff)) ?? k.accepted };
  }
};

const blank: Kept = { id: '', term: 0, promisedTo: '', vote: [], accepted: undefined };

export interface Keep {
  readonly kept: Kept;
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
  ) {}

  static async open(disk: Disk, freshId: () => string, longAt: number): Promise<DiskKeep> {
    const { journal, records } = await Journal.open(disk, 'zen.log');
    const kept = records.map((r) => Rec.parse(r)).reduce(take, blank);
    const keep = new DiskKeep(journal, kept, longAt);
    if (!kept.id) await keep.put({ t: 'id', id: freshId() });
    return keep;
  }

  private async put(r: Rec): Promise<void> {
    this.kept = take(this.kept, r);
    this.last = this.journal.append(r);
    await this.last;
    if (this.journal.long(this.longAt)) await this.journal.rewrite(() => this.whole());
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

  synced(): Promise<void> {
    return this.last;
  }

  promise(term: number, to: string): Promise<void> {
    return this.put({ t: 'promise', term, to });
  }

  vote(members: readonly Mate[]): Promise<void> {
    return this.put({ t: 'vote', members: [...members] });
  }

  accept(state: State): Promise<void> {
    const old = this.kept.accepted;
    if (!old || old.clusterId !== state.clusterId) return this.put({ t: 'full', state: [...flatten(state)] });
    return this.put({ t: 'diff', diff: diffOf(old, state) });
  }
}

export class MemoryKeep implements Keep {
  kept: Kept;

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
