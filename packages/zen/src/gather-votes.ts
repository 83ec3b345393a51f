/** A candidate's request for votes to the nodes that joined it (docs/zen.md, "Fence"). */
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

/** How often a candidate looks whether it has a majority: parts of a heartbeat. */
const checksPerHeartbeat = 50;
/** How long it waits for the votes still open once it has a majority: a part of a heartbeat. */
const lateVotesPerHeartbeat = 20;

/** What a request to another node needs of this one. */
export interface RequestOptions {
  readonly localMember: Member;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: ZenBounds;
}

/** The votes of a term, and what the voters have accepted. */
export interface GatheredVotes {
  /** Ids of the nodes that voted; without the candidate itself. */
  readonly granted: ReadonlySet<string>;
  /** The newest state that the candidate or one of its voters has accepted. */
  readonly newestState: State;
}

/** Votes of one term as they come in. */
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

  /** Resolves once every request is answered or has failed; never rejects. */
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
 * Asks the joiners to vote for this node in the term, which it has voted for itself. Ends shortly after a majority of
 * the voters of `accepted` has voted, when all have answered, or after the join time-out; the caller counts again.
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
  const end = clock.now() + bounds.joinTimeout;
  while (round.isOpen && clock.now() < end && !round.hasVoterQuorum)
    await delay(clock, bounds.heartbeatInterval / checksPerHeartbeat);
  if (round.isOpen) await delay(clock, bounds.heartbeatInterval / lateVotesPerHeartbeat);
  return round.votes;
};
