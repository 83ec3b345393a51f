/** The election store of controls and stores: a journal on disk, with what it holds in memory. */
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

/** Invariant: the log on disk is never ahead of `persisted`, and nothing is acknowledged that is not on disk. */
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
   * Opens the store on a disk; resolves once the node's id is on it. A log longer than `rewriteAtBytes`, and twice as
   * long as when it was last written anew, is written anew.
   */
  static async open(
    disk: Disk,
    freshId: () => string,
    rewriteAtBytes: number,
    pace: JournalTimings = defaultTimings,
  ): Promise<DiskElectionStore> {
    const { journal, persisted } = await openElectionLog(disk, pace);
    const electionStore = new DiskElectionStore(journal, persisted, rewriteAtBytes);
    if (!persisted.id) await electionStore.recordId(freshId(), pace);
    return electionStore;
  }

  private async recordId(id: string, pace: JournalTimings): Promise<void> {
    await this.record({ t: 'id', id }).catch(() => undefined);
    while (!this.writable) await delay(pace.clock, pace.retryIntervalMs);
  }

  /** Whether the disk takes records; after a failed write not before the log has been written anew. */
  get writable(): boolean {
    return this.journal.writable;
  }

  /** Gives up this identity for good; its log stays under another name. */
  async retireIdentity(disk: Disk): Promise<void> {
    await this.journal.close();
    await disk.setAside(electionLogName);
  }

  /**
   * Memory changes before the disk does. When the append fails the record may or may not be on disk, so it stays in
   * memory: a vote that may be on disk is not given again, a state that may be on disk is taken for accepted. Neither is
   * acknowledged to anyone, and the journal takes no more before the disk holds just what memory holds.
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

  /** Resolves once all that has been recorded is on disk; rejects while the disk takes no records. */
  async synced(): Promise<void> {
    await this.lastAppend.catch(() => undefined);
    this.journal.requireWritable();
  }

  /** Records the vote of a term. */
  recordVote(term: number, candidateId: string): Promise<void> {
    return this.record({ t: 'vote', term, to: candidateId });
  }

  /** Records the members that this node votes to bootstrap a cluster with. */
  recordBootstrapVote(members: readonly Member[]): Promise<void> {
    return this.record({ t: 'bootstrap-vote', members: [...members] });
  }

  /** Records an accepted state: as a difference from the one before, unless that is of another cluster or missing. */
  accept(state: State): Promise<void> {
    const { accepted } = this.persisted;
    const next = { ...this.persisted, accepted: state };
    if (!accepted || accepted.clusterId !== state.clusterId)
      return this.record({ t: 'full', state: [...encodeState(state)] }, next);
    return this.record({ t: 'diff', diff: diffStates(accepted, state) }, next);
  }
}
