/** Requests votes for a candidate from the nodes that joined it (docs/zen.md, "Fence"). */
import {
  isNewerVersion,
  hasQuorum,
  decodeState,
  versionOf,
  type Member,
  type State,
} from '@tillerstair/state';
import { delay, type Clock, type Transport } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { ValidateResponse } from './messages.js';

/** Checks for a majority of votes per heartbeat interval. */
const checksPerHeartbeat = 50;
/** Once a majority has voted, outstanding votes are awaited for the heartbeat interval divided by this. */
const lateVotesPerHeartbeat = 20;

/** Sender, transport and timeouts of requests to other nodes. */
export interface RequestOptions {
  readonly localMember: Member;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: ZenBounds;
}

/** Votes granted in a term, and the newest state among the voters. */
export interface GatheredVotes {
  /** Ids of the nodes that voted, excluding the candidate itself. */
  readonly granted: ReadonlySet<string>;
  /** Newest state that the candidate or one of its voters has accepted. */
  readonly newestState: State;
}

/** Collects the votes of one term. */
class VoteRound {
  private readonly granted = new Set<string>();
  private newestState: State;
  private isEveryRequestAnswered = false;

  constructor(
    private readonly options: RequestOptions,
    private readonly accepted: State,
    private readonly term: number,
  ) {
    this.newestState = accepted;
  }

  get isOpen(): boolean {
    return !this.isEveryRequestAnswered;
  }

  get votes(): GatheredVotes {
    return { granted: new Set(this.granted), newestState: this.newestState };
  }

  get hasVoterQuorum(): boolean {
    const voted = new Set([this.options.localMember.id, ...this.granted]);
    return hasQuorum(this.accepted.voters, voted);
  }

  /** Requests a vote from each voter; resolves once every request is answered or has failed, never rejects. */
  async requestVotes(voters: readonly Member[]): Promise<void> {
    await Promise.allSettled(voters.map((voter) => this.requestVote(voter)));
    this.isEveryRequestAnswered = true;
  }

  private async requestVote(voter: Member): Promise<void> {
    const { localMember, transport, bounds } = this.options;
    const body = {
      from: localMember,
      term: this.term,
      clusterId: this.accepted.clusterId,
      have: versionOf(this.accepted),
      to: voter.id,
    };
    const response = ValidateResponse.parse(
      await transport.call(voter.addr, 'zen/validate', body, { timeoutMs: bounds.joinTimeout }),
    );
    const state = response.state ? decodeState(new Map(response.state)) : undefined;
    if (state && isNewerVersion(versionOf(state), versionOf(this.newestState)))
      this.newestState = state;
    this.granted.add(voter.id);
  }
}

/**
 * Requests votes for this node from the joiners; this node has voted for itself in the term already. Resolves shortly
 * after a majority of the voters of `accepted` has voted, when every joiner has answered, or after the join timeout.
 * The votes need not be a majority: the caller must check.
 */
export const gatherVotes = async (
  options: RequestOptions,
  accepted: State,
  term: number,
  joiners: readonly Member[],
): Promise<GatheredVotes> => {
  const { clock, bounds } = options;
  const round = new VoteRound(options, accepted, term);
  void round.requestVotes(joiners);
  const deadline = clock.now() + bounds.joinTimeout;
  while (round.isOpen && clock.now() < deadline && !round.hasVoterQuorum)
    await delay(clock, bounds.heartbeatInterval / checksPerHeartbeat);
  if (round.isOpen) await delay(clock, bounds.heartbeatInterval / lateVotesPerHeartbeat);
  return round.votes;
};
