/** The election store of agents, which never vote: they need nothing after a restart. */
import type { Member, State } from '@tillerstair/state';
import { blankState, type PersistentState } from './election-log.js';
import type { ElectionStore } from './election-store.js';

/** Keeps everything in memory; every method resolves at once. */
export class MemoryElectionStore implements ElectionStore {
  persisted: PersistentState;
  readonly writable: boolean = true;

  constructor(id: string) {
    this.persisted = { ...blankState, id };
  }

  /** Records the vote of a term. */
  recordVote(term: number, candidateId: string): Promise<void> {
    return this.record({ term, votedFor: candidateId });
  }

  /** Records the members that this node votes to bootstrap a cluster with. */
  recordBootstrapVote(members: readonly Member[]): Promise<void> {
    return this.record({ bootstrapVote: members });
  }

  /** Records an accepted state. */
  accept(state: State): Promise<void> {
    return this.record({ accepted: state });
  }

  /** Resolves at once: there is no disk to wait for. */
  synced(): Promise<void> {
    return Promise.resolve();
  }

  private record(changes: Partial<PersistentState>): Promise<void> {
    this.persisted = { ...this.persisted, ...changes };
    return Promise.resolve();
  }
}
