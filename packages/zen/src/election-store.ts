/**
 * Durable election state of a node: after a restart it neither votes twice in a term nor lacks a state that it accepted
 * (docs/zen.md, "Fence").
 */
import { versionOf, type Member, type State, type StateVersion } from '@tillerstair/state';
import type { PersistentState } from './election-log.js';

export type { PersistentState } from './election-log.js';

/** Stores votes and the newest accepted state; each method that records resolves once its record is on disk. */
export interface ElectionStore {
  /** State after every record so far, including records that are not synced yet. */
  readonly persisted: PersistentState;
  /** Whether the disk accepts writes; while false, this node must not vote, accept a state or acknowledge one. */
  readonly writable: boolean;
  /** Records a vote; the caller has checked that this node may vote for the candidate in the term. */
  recordVote(term: number, candidateId: string): Promise<void>;
  /** Records a vote to bootstrap a cluster with these members. */
  recordBootstrapVote(members: readonly Member[]): Promise<void>;
  /** Records an accepted state; the caller has checked that it is newer than the accepted one. */
  accept(state: State): Promise<void>;
  /** Resolves once every record so far is on disk; rejects while the disk accepts no writes. */
  synced(): Promise<void>;
}

/** Version of the newest accepted state; that of `versionOf(undefined)` if none was accepted. */
export const acceptedVersion = (electionStore: ElectionStore): StateVersion =>
  versionOf(electionStore.persisted.accepted);
