/** Election store of controls and stores: a journal on disk, with its current state in memory. */
import { defaultTimings, type Disk, type Journal, type JournalTimings } from '@tillerstair/journal';
import { diffStates, encodeState, type Member, type State } from '@tillerstair/state';
import { delay } from '@tillerstair/wire';
import {
  applyRecord,
  electionLogName,
  openElectionLog,
  recordsOf,
  type ElectionRecord,
  type PersistentState,
} from './election-log.js';
import type { ElectionStore } from './election-store.js';

/**
 * Election store backed by a journal. Invariant: the log on disk is never ahead of `persisted`, and nothing is
 * acknowledged that is not on disk.
 */
export class DiskElectionStore implements ElectionStore {
  private lastAppend: Promise<void> = Promise.resolve();

  private constructor(
    private readonly journal: Journal,
    public persisted: PersistentState,
    private readonly rewriteAtBytes: number,
  ) {
    journal.recoverFrom(() => recordsOf(this.persisted));
  }

  /**
   * Opens the store; resolves once the node's id is on disk, taken from `createId` if the log has none. The log is
   * rewritten when it is longer than `rewriteAtBytes` and twice as long as after its last rewrite.
   */
  static async open(
    disk: Disk,
    createId: () => string,
    rewriteAtBytes: number,
    timings: JournalTimings = defaultTimings,
  ): Promise<DiskElectionStore> {
    const { journal, persisted } = await openElectionLog(disk, timings);
    const electionStore = new DiskElectionStore(journal, persisted, rewriteAtBytes);
    if (!persisted.id) await electionStore.recordId(createId(), timings);
    return electionStore;
  }

  private async recordId(id: string, timings: JournalTimings): Promise<void> {
    await this.record({ t: 'id', id }).catch(() => undefined);
    while (!this.writable) await delay(timings.clock, timings.retryIntervalMs);
  }

  /** Whether the disk accepts writes; false from a failed write until the log has been rewritten. */
  get writable(): boolean {
    return this.journal.writable;
  }

  /** Closes the journal and renames its log, so that this node's id is never used again. */
  async retireIdentity(disk: Disk): Promise<void> {
    await this.journal.close();
    await disk.setAside(electionLogName);
  }

  /**
   * Updates memory before the disk. If the append fails the record may or may not be on disk, so it stays in memory: a
   * vote that may be on disk is not given to another candidate, and a state that may be on disk counts as accepted.
   * Neither is acknowledged to anyone, and the journal rejects appends until the disk matches memory.
   */
  private async record(
    record: ElectionRecord,
    next = applyRecord(this.persisted, record),
  ): Promise<void> {
    this.journal.requireWritable();
    this.persisted = next;
    this.lastAppend = this.journal.append(record);
    await this.lastAppend;
    if (this.journal.needsRewrite(this.rewriteAtBytes))
      void this.journal.rewrite(() => recordsOf(this.persisted)).catch(() => undefined);
  }

  /** Resolves once every record so far is on disk; rejects while the disk accepts no writes. */
  async synced(): Promise<void> {
    await this.lastAppend.catch(() => undefined);
    this.journal.requireWritable();
  }

  /** Records a vote for a candidate in a term. */
  recordVote(term: number, candidateId: string): Promise<void> {
    return this.record({ t: 'vote', term, to: candidateId });
  }

  /** Records a vote to bootstrap a cluster with these members. */
  recordBootstrapVote(members: readonly Member[]): Promise<void> {
    return this.record({ t: 'bootstrap-vote', members: [...members] });
  }

  /** Records an accepted state: as a diff from the previous one, or in full without one of the same cluster. */
  accept(state: State): Promise<void> {
    const { accepted } = this.persisted;
    const next = { ...this.persisted, accepted: state };
    if (!accepted || accepted.clusterId !== state.clusterId)
      return this.record({ t: 'full', state: [...encodeState(state)] }, next);
    return this.record({ t: 'diff', diff: diffStates(accepted, state) }, next);
  }
}
