/** What a node must remember across restarts to vote once a term and to lose no accepted state (docs/zen.md, "Fence"). */
import { versionOf, type Member, type State, type StateVersion } from '@tillerstair/state';
import type { PersistentState } from './election-log.js';

export type { PersistentState } from './election-log.js';

/** Keeps votes and the newest accepted state; each method resolves once its record is on disk. */
export interface ElectionStore {
  /** What has been recorded so far, synced or not. */
  readonly persisted: PersistentState;
  /** Whether the disk takes records; without it nothing may be voted, accepted or acknowledged. */
  readonly writable: boolean;
  /** Records the vote of a term, which the caller has checked to be free. */
  recordVote(term: number, candidateId: string): Promise<void>;
  /** Records the members that this node votes to bootstrap a cluster with. */
  recordBootstrapVote(members: readonly Member[]): Promise<void>;
  /** Records a state, which the caller has checked to be newer than the accepted one. */
  accept(state: State): Promise<void>;
  /** Resolves once all that has been recorded is on disk; rejects while the disk takes no records. */
  synced(): Promise<void>;
}

/** The version of the newest state that has been accepted. */
export const acceptedVersion = (electionStore: ElectionStore): StateVersion =>
  versionOf(electionStore.persisted.accepted);
