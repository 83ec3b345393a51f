/** Election store of agents, which never vote and so need no state after a restart. */
import type { Member, State } from '@tillerstair/state';
import { blankState, type PersistentState } from './election-log.js';
import type { ElectionStore } from './election-store.js';

/** Election store in memory, always writable; every method resolves without waiting. */
export class MemoryElectionStore implements ElectionStore {
  persisted: PersistentState;
  readonly writable: boolean = true;

  constructor(id: string) {
    this.persisted = { ...blankState, id };
  }

  /** Records a vote for a candidate in a term. */
  recordVote(term: number, candidateId: string): Promise<void> {
    return this.record({ term, votedFor: candidateId });
  }

  /** Records a vote to bootstrap a cluster with these members. */
  recordBootstrapVote(members: readonly Member[]): Promise<void> {
    return this.record({ bootstrapVote: members });
  }

  /** Records an accepted state in full. */
  accept(state: State): Promise<void> {
    return this.record({ accepted: state });
  }

  /** Resolves without waiting: there is no disk. */
  synced(): Promise<void> {
    return Promise.resolve();
  }

  private record(changes: Partial<PersistentState>): Promise<void> {
    this.persisted = { ...this.persisted, ...changes };
    return Promise.resolve();
  }
}
