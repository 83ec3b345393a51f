/** Journals, election stores and replica stores on a simulated disk, and the records that tests write to them. */
import { defaultTimings, Journal, type Disk, type JournalTimings } from '@tillerstair/journal';
import { Incarnation, SimClock, SimDrive, seededRng } from '@tillerstair/sim';
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

/** A cluster state of a term and a version. */
export const stateAt = (term: number, version: number): State => ({
  ...bootstrapped,
  term,
  version,
});

/** Log size below which the stores of a fixture do not rewrite their logs, in bytes. */
export const rewriteMinBytes = 1 << 20;

/** A simulated disk with its clock; `said` collects the logged warnings. The stores are opened on that disk. */
export interface JournalFixture {
  readonly clock: SimClock;
  readonly drive: SimDrive;
  readonly said: string[];
  readonly pace: JournalTimings;
  electionStore(
    incarnation?: Incarnation,
    id?: string,
    minBytes?: number,
  ): Promise<DiskElectionStore>;
  replicaStore(incarnation?: Incarnation, minBytes?: number): Promise<ReplicaStore>;
}

/** Creates a fixture whose simulated disk is seeded with `seed`. */
export const createFixture = (seed: number): JournalFixture => {
  const clock = new SimClock();
  const drive = new SimDrive(seededRng(seed));
  const warnings: string[] = [];
  const timings = {
    clock,
    syncTimeoutMs: 1500,
    retryIntervalMs: 250,
    log: { ...silentLogger, warn: (text: string) => void warnings.push(text) },
  };
  return {
    clock,
    drive,
    said: warnings,
    pace: timings,
    electionStore: (incarnation = new Incarnation(), id = 'me', minBytes = rewriteMinBytes) =>
      clock.finish(
        'keep',
        DiskElectionStore.open(drive.disk(clock, incarnation), () => id, minBytes, timings),
        60000,
      ),
    replicaStore: (incarnation = new Incarnation(), minBytes = rewriteMinBytes) =>
      clock.finish(
        'opening the replica store',
        ReplicaStore.open(
          drive.disk(clock, incarnation),
          clock,
          { rewriteMinBytes: minBytes, retentionMs: 1e9, maxHints: 10 },
          timings,
        ),
        60000,
      ),
  };
};

/** The code of the error that `work` ends with; 'done' if it succeeds. */
const codeOf = (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'done',
    (error: unknown) =>
      error instanceof Error && 'code' in error ? String(error.code) : String(error),
  );

/** Runs the clock until `work` has settled, for at most 5 s: 'done' or the code of its error. */
export const outcomeOf = (fixture: JournalFixture, work: Promise<unknown>): Promise<string> =>
  fixture.clock.finish('work', codeOf(work), 5000);

/** The item of the turn numbered `index`. */
export const item = (index: number) => ({
  key: `o/t/${index}`,
  ownershipEpoch: 1,
  seq: index + 1,
  value: index,
});

/** The sorted keys of the items that a store holds in slot 1. */
export const keysOf = (store: ReplicaStore): readonly string[] =>
  store
    .pull(1, 0, { after: '' })
    .items.map((entry) => entry.key)
    .sort();

/** A journal and the records that its log contained when it was opened. */
export interface OpenedJournal {
  readonly journal: Journal;
  readonly records: readonly unknown[];
}

/** Opens a journal whose owner collects the restored records. */
export const openJournal = (
  disk: Disk,
  name: string,
  timings: JournalTimings = defaultTimings,
): Promise<OpenedJournal> =>
  Journal.open(disk, name, timings, (journal) => {
    const records: unknown[] = [];
    return { journal, records, restore: (record: unknown) => void records.push(record) };
  });
