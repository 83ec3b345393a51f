/**
 * Candidacy of a node that chose itself as master (docs/zen.md, "Fence"): it waits for joins from a majority, votes for
 * itself in a new term, and requests votes from the joined nodes. Invariant: the term is not raised before a majority
 * has joined.
 */
import { hasQuorum, type State } from '@tillerstair/state';
import type { Clock, Logger } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { gatherVotes, type GatheredVotes, type RequestOptions } from './gather-votes.js';
import type { InterruptibleSleep } from './interruptible-sleep.js';
import type { LocalNode } from './local-node.js';
import type { PendingJoin, PendingJoins } from './pending-joins.js';

/** Checks for a majority of joins per join timeout, in addition to the check after each join. */
const checksPerJoinTimeout = 4;

/** Outcome of a won election. */
export interface WonElection {
  readonly term: number;
  /** Newest state that the candidate or one of its voters has accepted. */
  readonly newestState: State;
  /** Clock time in milliseconds before which no vote of this term was requested. */
  readonly requestedAt: number;
  /** Joins of the nodes that voted for the candidate. */
  readonly joins: readonly PendingJoin[];
}

/** Dependencies of a `Candidate`. */
export interface CandidateOptions extends RequestOptions {
  readonly log: Logger;
  readonly localNode: LocalNode;
  readonly pendingJoins: PendingJoins;
  /** Wait between majority checks; each join wakes it. */
  readonly sleep: InterruptibleSleep;
  readonly stopping: AbortSignal;
}

/** Runs elections with the local node as candidate; reusable for any number of elections. */
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

  /**
   * Runs one election; resolves with its outcome if won. Otherwise resolves with undefined, and all pending joins are
   * rejected, unless this node has accepted no state and so cannot be a candidate.
   */
  async run(): Promise<WonElection | undefined> {
    const { accepted } = this.localNode;
    if (!accepted) return undefined;
    const election = (await this.waitForMajority(accepted))
      ? await this.requestVotes(accepted)
      : undefined;
    if (!election) this.pendingJoins.rejectAll();
    return election;
  }

  /** Waits for a majority of the voters to join; resolves with false after the join timeout, or when the node stops. */
  private async waitForMajority(accepted: State): Promise<boolean> {
    const deadline = this.clock.now() + this.bounds.joinTimeout;
    while (!hasQuorum(accepted.voters, this.withLocal(this.pendingJoins.nodeIds()))) {
      if (this.clock.now() >= deadline || this.stopping.aborted) return false;
      const wait = Math.min(
        this.bounds.joinTimeout / checksPerJoinTimeout,
        deadline - this.clock.now(),
      );
      await this.sleep.sleep(wait);
    }
    return true;
  }

  /** Votes for this node in a new term, higher than that of every joiner, and requests the joiners' votes. */
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
   * Whether the votes are a majority of the voters both in the candidate's accepted state and in the newest state that
   * a voter has accepted, and the candidate itself has not voted in a later term meanwhile (docs/zen.md, "One master a
   * term").
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
