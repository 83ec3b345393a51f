/**
 * The newest states of a master. It owns the base of the next publish and the newest committed state; from the first
 * commit on, both are the same state (docs/zen.md, "State that survives").
 */
import {
  isNewerVersion,
  versionOf,
  type Member,
  type State,
  type StateVersion,
} from '@tillerstair/state';

/** Called at each commit with the previous state and the committed one. */
export type CommitListener = (previous: State, committed: State) => void;

/** The base state and the newest committed state of one mastership. */
export class PublishedState {
  private readonly commitListeners: CommitListener[] = [];
  private baseState: State;
  private committedState: State | undefined;
  private committedTime = -Infinity;

  /** @param newest - The newest accepted state that came with the votes for this master. */
  constructor(newest: State) {
    this.baseState = newest;
  }

  /** The state on which the next publish is based. */
  get base(): State {
    return this.baseState;
  }

  /** The newest state that this master has committed, if any. */
  get committed(): State | undefined {
    return this.committedState;
  }

  /** Clock time, in ms, of the newest commit; -Infinity before the first. */
  get committedAt(): number {
    return this.committedTime;
  }

  /** Calls `listener` synchronously at each commit, before any other code can see the new state. */
  onCommit(listener: CommitListener): void {
    this.commitListeners.push(listener);
  }

  /** Records that a majority accepted `state` at the clock time `at`, in ms. */
  commit(state: State, at: number): void {
    const previous = this.baseState;
    this.baseState = state;
    this.committedState = state;
    this.committedTime = at;
    for (const listener of this.commitListeners) listener(previous, state);
  }

  /** Whether this master has committed this version or a newer one. */
  isCommitted(version: StateVersion): boolean {
    return this.committed !== undefined && !isNewerVersion(version, versionOf(this.committed));
  }
}

/** All members of a state except the local one: the voters first, then the other nodes. */
export const peersOf = (state: State, selfId: string): readonly Member[] => {
  const members = new Map([...state.votingMembers, ...state.nodes]);
  members.delete(selfId);
  return [...members.values()];
};
