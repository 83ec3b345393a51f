/**
 * A node that elected itself (docs/zen.md, "Fence"): it waits for joins from a majority, votes for itself in a new term,
 * and asks the joiners for their votes. Invariant: no term is raised before a majority has joined.
 */
import { hasQuorum, type State } from '@tillerstair/state';
import type { Clock, Logger } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { gatherVotes, type GatheredVotes, type RequestOptions } from './gather-votes.js';
import type { InterruptibleSleep } from './interruptible-sleep.js';
import type { LocalNode } from './local-node.js';
import type { PendingJoin, PendingJoins } from './pending-joins.js';

/** How often a candidate looks at the joins at least, without one that wakes it: parts of the join time-out. */
const checksPerJoinTimeout = 4;

/** An election that was won. */
export interface WonElection {
  readonly term: number;
  /** The newest state that the candidate or one of its voters has accepted. */
  readonly newestState: State;
  /** Clock time in milliseconds before which no vote was asked for. */
  readonly requestedAt: number;
  /** The joins of those that voted. */
  readonly joins: readonly PendingJoin[];
}

/** What a candidate needs of its node. */
export interface CandidateOptions extends RequestOptions {
  readonly log: Logger;
  readonly localNode: LocalNode;
  readonly pendingJoins: PendingJoins;
  /** Ended early by each join. */
  readonly sleep: InterruptibleSleep;
  readonly stopping: AbortSignal;
}

/** Stands for election; an instance may do so any number of times. */
export class Candidate {
  private readonly clock: Clock;
  private readonly bounds: ZenBounds;
  private readonly log: Logger;
  private readonly localNode: LocalNode;
  private readonly pendingJoins: PendingJoins;
  private readonly sleep: InterruptibleSleep;
  private readonly stopping: AbortSignal;

  constructor(private readonly options: CandidateOptions) {
    this.clock = options.clock;
    this.bounds = options.bounds;
    this.log = options.log;
    this.localNode = options.localNode;
    this.pendingJoins = options.pendingJoins;
    this.sleep = options.sleep;
    this.stopping = options.stopping;
  }

  /** Resolves with the election if it was won; else all pending joins are rejected. */
  async run(): Promise<WonElection | undefined> {
    const { accepted } = this.localNode;
    if (!accepted) return undefined;
    const won = (await this.waitForMajority(accepted))
      ? await this.requestVotes(accepted)
      : undefined;
    if (!won) this.pendingJoins.rejectAll();
    return won;
  }

  /** Resolves with false if no majority of the voters has joined within the join time-out. */
  private async waitForMajority(accepted: State): Promise<boolean> {
    const end = this.clock.now() + this.bounds.joinTimeout;
    while (!hasQuorum(accepted.voters, this.withLocal(this.pendingJoins.nodeIds()))) {
      if (this.clock.now() >= end || this.stopping.aborted) return false;
      const wait = Math.min(this.bounds.joinTimeout / checksPerJoinTimeout, end - this.clock.now());
      await this.sleep.sleep(wait);
    }
    return true;
  }

  /** Votes for this node in a new term, above that of every joiner, and asks the joiners for their votes. */
  private async requestVotes(accepted: State): Promise<WonElection | undefined> {
    const joins = this.pendingJoins.list();
    const requestedAt = this.clock.now();
    const { localNode } = this;
    const term = Math.max(localNode.term, ...joins.map(({ join }) => join.term)) + 1;
    await localNode.electionStore.recordVote(term, localNode.member.id);
    const joiners = joins.map(({ join }) => join.from);
    const votes = await gatherVotes(this.options, accepted, term, joiners);
    if (!this.hasWon(term, accepted, votes)) {
      this.log.info(`Won no majority in term ${term}.`);
      return undefined;
    }
    this.log.info(`Master in term ${term} with ${votes.granted.size + 1} votes.`);
    const granted = joins.filter(({ join }) => votes.granted.has(join.from.id));
    return { term, newestState: votes.newestState, requestedAt, joins: granted };
  }

  /**
   * Whether a majority of the voters voted, both by the candidate's state and by the newest that a voter has accepted,
   * and the candidate itself has not voted in a later term meanwhile (docs/zen.md, "One master a term").
   */
  private hasWon(term: number, accepted: State, { granted, newestState }: GatheredVotes): boolean {
    const voted = this.withLocal(granted);
    if (this.localNode.term !== term) return false;
    return hasQuorum(accepted.voters, voted) && hasQuorum(newestState.voters, voted);
  }

  private withLocal(ids: Iterable<string>): ReadonlySet<string> {
    return new Set([this.localNode.member.id, ...ids]);
  }
}
