/** A simulated disk with its clock, and the states that are written to it. */
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

export const at = (term: number, version: number): State => ({ ...bootstrapped, term, version });

export const longAt = 1 << 20;

export interface Rig {
  readonly clock: SimClock;
  readonly platter: SimDrive;
  readonly said: string[];
  readonly pace: JournalTimings;
  electionStore(life?: Incarnation, id?: string, rewriteAt?: number): Promise<DiskElectionStore>;
  replicaStore(life?: Incarnation, rewriteAt?: number): Promise<ReplicaStore>;
}

export const rig = (seed: number): Rig => {
  const clock = new SimClock();
  const platter = new SimDrive(seededRng(seed));
  const said: string[] = [];
  const pace = {
    clock,
    syncTimeoutMs: 1500,
    retryIntervalMs: 250,
    log: { ...silentLogger, warn: (text: string) => void said.push(text) },
  };
  return {
    clock,
    platter,
    said,
    pace,
    electionStore: (life = new Incarnation(), id = 'me', rewriteAt = longAt) =>
      clock.finish(
        'keep',
        DiskElectionStore.open(platter.disk(clock, life), () => id, rewriteAt, pace),
        60000,
      ),
    replicaStore: (life = new Incarnation(), rewriteAt = longAt) =>
      clock.finish(
        'replica store',
        ReplicaStore.open(
          platter.disk(clock, life),
          clock,
          { rewriteMinBytes: rewriteAt, retentionMs: 1e9, maxHints: 10 },
          pace,
        ),
        60000,
      ),
  };
};

const outcome = (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'done',
    (e: unknown) => (e instanceof Error && 'code' in e ? String(e.code) : String(e)),
  );

export const finish = (r: Rig, work: Promise<unknown>): Promise<string> =>
  r.clock.finish('work', outcome(work), 5000);

export const item = (n: number) => ({ key: `o/t/${n}`, ownershipEpoch: 1, seq: n + 1, value: n });

export const keysOf = (s: ReplicaStore): readonly string[] =>
  s
    .pull(1, 0, '')
    .items.map((i) => i.key)
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
