/**
 * The newest states of a master. It owns the state that the next publish starts from and the newest committed one, and
 * keeps them in step: from the first commit on they are the same (docs/zen.md, "State that survives").
 */
import {
  isNewerVersion,
  versionOf,
  type Member,
  type State,
  type StateVersion,
} from '@tillerstair/state';

/** Hears of each commit: the state before it, and the committed one. */
export type CommitListener = (previous: State, committed: State) => void;

/** What a master has published so far. */
export class PublishedState {
  private readonly commitListeners: CommitListener[] = [];
  private baseState: State;
  private committedState: State | undefined;
  private committedTime = -Infinity;

  /** @param newest - The newest accepted state among the votes of this master. */
  constructor(newest: State) {
    this.baseState = newest;
  }

  /** The state that the next publish starts from. */
  get base(): State {
    return this.baseState;
  }

  /** The newest state that this master has committed, if any. */
  get committed(): State | undefined {
    return this.committedState;
  }

  /** Clock time, in ms, of the newest commit. */
  get committedAt(): number {
    return this.committedTime;
  }

  /** Calls `listener` at each commit, before anybody else can see the new state. */
  onCommit(listener: CommitListener): void {
    this.commitListeners.push(listener);
  }

  /** Notes that a majority has accepted `state`. */
  commit(state: State, at: number): void {
    const previous = this.baseState;
    this.baseState = state;
    this.committedState = state;
    this.committedTime = at;
    for (const listener of this.commitListeners) listener(previous, state);
  }

  /** Whether a state of this version, or a newer one, is committed. */
  isCommitted(version: StateVersion): boolean {
    return this.committed !== undefined && !isNewerVersion(version, versionOf(this.committed));
  }
}

/** All members of a state but this one: the voters first, then the other nodes. */
export const peersOf = (state: State, selfId: string): readonly Member[] => {
  const members = new Map([...state.votingMembers, ...state.nodes]);
  members.delete(selfId);
  return [...members.values()];
};
