/** A simulated disk with its clock, and the states that are written to it. */
import { defaultTimings, Journal, type Disk, type JournalTimings } from '@tillerstair/journal';
import { Incarnation, SimClock, SimPlatter, seededRng } from '@tillerstair/sim';
import { bootstrapState, type Member, type State } from '@tillerstair/state';
import { ReplicaStore } from '@tillerstair/store';
import { silentLogger } from '@tillerstair/wire';
import { DiskElectionStore } from '@tillerstair/zen';

const peers: readonly Member[] = ['a', 'b', 'c'].map((id) => ({
  id,
  kind: 'control',
  addr: `${id}:1`,
  http: '',
  zone: 'z',
  data: '',
  name: '',
}));

const bootstrapped = bootstrapState('x', peers, 8);

export const stateAt = (term: number, version: number): State => ({
  ...bootstrapped,
  term,
  version,
});

export const rewriteMinBytes = 1 << 20;

export interface JournalFixture {
  readonly clock: SimClock;
  readonly platter: SimPlatter;
  readonly warnings: string[];
  readonly timings: JournalTimings;
  electionStore(
    incarnation?: Incarnation,
    id?: string,
    minBytes?: number,
  ): Promise<DiskElectionStore>;
  replicaStore(incarnation?: Incarnation, minBytes?: number): Promise<ReplicaStore>;
}

export const createFixture = (seed: number): JournalFixture => {
  const clock = new SimClock();
  const platter = new SimPlatter(seededRng(seed));
  const warnings: string[] = [];
  const timings = {
    clock,
    syncTimeoutMs: 1500,
    retryIntervalMs: 250,
    log: { ...silentLogger, warn: (text: string) => void warnings.push(text) },
  };
  return {
    clock,
    platter,
    warnings,
    timings,
    electionStore: (incarnation = new Incarnation(), id = 'me', minBytes = rewriteMinBytes) =>
      clock.finish(
        'keep',
        DiskElectionStore.open(platter.disk(clock, incarnation), () => id, minBytes, timings),
        60000,
      ),
    replicaStore: (incarnation = new Incarnation(), minBytes = rewriteMinBytes) =>
      clock.finish(
        'replica store',
        ReplicaStore.open(
          platter.disk(clock, incarnation),
          clock,
          { rewriteMinBytes: minBytes, retentionMs: 1e9, maxHints: 10 },
          timings,
        ),
        60000,
      ),
  };
};

const codeOf = (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'done',
    (error: unknown) =>
      error instanceof Error && 'code' in error ? String(error.code) : String(error),
  );

export const outcomeOf = (fixture: JournalFixture, work: Promise<unknown>): Promise<string> =>
  fixture.clock.finish('work', codeOf(work), 5000);

export const item = (index: number) => ({
  key: `o/t/${index}`,
  ownershipEpoch: 1,
  seq: index + 1,
  value: index,
});

export const keysOf = (store: ReplicaStore): readonly string[] =>
  store
    .pull(1, 0, '')
    .items.map((entry) => entry.key)
    .sort();

/** A journal and all records that it held when it was opened. */
export interface OpenedJournal {
  readonly journal: Journal;
  readonly records: readonly unknown[];
}

/** Opens a journal as the product does, for an owner that only lists the records. */
export const openJournal = (
  disk: Disk,
  name: string,
  timings: JournalTimings = defaultTimings,
): Promise<OpenedJournal> =>
  Journal.open(disk, name, timings, (journal) => {
    const records: unknown[] = [];
    return { journal, records, restore: (record: unknown) => void records.push(record) };
  });
