/**
 * Confirms with a majority of the voters that no later term has begun, so that the committed state may be reported to
 * an operator (docs/design.md, "Versions of the configuration").
 *
 * A confirmation counts for a request only if its round of messages began after the request came: calls share the next
 * round to begin, never one under way. The state is read as the round begins. A voter that answers in this master's
 * term has not voted in a later one; any later master needs votes of a majority that meets this one, so nothing that it
 * commits precedes the round. Of a joint change of the voters both halves must confirm; where the change is committed
 * while the round runs, a later master still needs a vote of one of those that answered.
 */
import { hasQuorum, type Member, type State } from '@tillerstair/state';
import { toRpcError, delay, type Transport, type Clock } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { NotMasterError, QuorumUnavailableError } from './master-errors.js';
import { NodePingResponse } from './messages.js';

/** The longest wait for the round under way, and the wait before a voter is asked again: parts of a heartbeat. */
const waitsPerHeartbeat = 4;

/** What a quorum read needs to know of the master on whose behalf it asks. */
export interface QuorumReadOptions {
  readonly localMember: Member;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: ZenBounds;
  /** The term of this master. */
  readonly term: number;
  /** Aborts once this control has stepped down. */
  readonly lost: AbortSignal;
  /** The newest state that a majority holds, if this master has committed one. */
  readonly committed: () => State | undefined;
  /** Whether this control has itself voted in a later term. */
  readonly hasVotedInLaterTerm: () => boolean;
  /** Hears of a voter that answered in a later term. */
  readonly onLaterTerm: (term: number, address: string) => void;
}

/** The quorum reads of one master; owns the round under way and the one that comes next. */
export class QuorumRead {
  private readonly localMember: Member;
  private readonly clock: Clock;
  private readonly transport: Transport;
  private readonly bounds: ZenBounds;
  private readonly term: number;
  private readonly lost: AbortSignal;
  private readonly committed: () => State | undefined;
  private readonly hasVotedInLaterTerm: () => boolean;
  private readonly onLaterTerm: (term: number, address: string) => void;
  private nextRound: Promise<State> | undefined;
  private currentRound: Promise<unknown> = Promise.resolve();

  constructor(options: QuorumReadOptions) {
    this.localMember = options.localMember;
    this.clock = options.clock;
    this.transport = options.transport;
    this.bounds = options.bounds;
    this.term = options.term;
    this.lost = options.lost;
    this.committed = options.committed;
    this.hasVotedInLaterTerm = options.hasVotedInLaterTerm;
    this.onLaterTerm = options.onLaterTerm;
  }

  /**
   * The committed state, once a majority has confirmed this master since the call.
   *
   * @throws NotMasterError or QuorumUnavailableError, at the latest after 1.25 heartbeats.
   */
  confirm(): Promise<State> {
    this.nextRound ??= this.beginNextRound();
    return this.nextRound;
  }

  /** Waits for the round under way, though not for long, and then starts the one that all callers since share. */
  private async beginNextRound(): Promise<State> {
    await this.currentRoundOrTimeout();
    this.nextRound = undefined;
    if (this.lost.aborted) throw new NotMasterError();
    const runRound = this.round(this.clock.now() + this.bounds.heartbeatInterval);
    this.currentRound = runRound.catch(() => undefined);
    return runRound;
  }

  private async currentRoundOrTimeout(): Promise<void> {
    const timer = new AbortController();
    const timeoutMs = this.bounds.heartbeatInterval / waitsPerHeartbeat;
    await Promise.race([this.currentRound, delay(this.clock, timeoutMs, timer.signal)]);
    timer.abort();
  }

  private async round(deadline: number): Promise<State> {
    const state = this.committed();
    if (!state) throw new NotMasterError('nothing is committed yet');
    const confirmedBy = await this.collectConfirmations(state, deadline);
    if (this.lost.aborted || this.hasVotedInLaterTerm() || !hasQuorum(state.voters, confirmedBy))
      throw new QuorumUnavailableError('no majority confirms this master');
    return state;
  }

  /** Asks all voters; ends with the majority, or once each has answered or the deadline has passed. */
  private async collectConfirmations(state: State, deadline: number): Promise<ReadonlySet<string>> {
    const confirmedBy = new Set([this.localMember.id]);
    const others = [...state.votingMembers.values()].filter(({ id }) => id !== this.localMember.id);
    const over = new AbortController();
    await new Promise<void>((resolve) => {
      const endIfQuorum = (): void => {
        if (hasQuorum(state.voters, confirmedBy)) resolve();
      };
      endIfQuorum();
      const requests = others.map(async (voter) => {
        if (!(await this.isConfirmedBy(voter, state.clusterId, deadline, over.signal))) return;
        confirmedBy.add(voter.id);
        endIfQuorum();
      });
      void Promise.all(requests).then(() => resolve());
    });
    over.abort();
    return confirmedBy;
  }

  /** Asks one voter until it answers, the round is over or its time is up. */
  private async isConfirmedBy(
    voter: Member,
    clusterId: string,
    deadline: number,
    over: AbortSignal,
  ): Promise<boolean> {
    while (this.clock.now() < deadline && !this.lost.aborted && !over.aborted) {
      try {
        return await this.isInSameTerm(voter, clusterId, deadline);
      } catch (e) {
        if (toRpcError(e).code === 'other-node') return false;
      }
      await delay(this.clock, this.bounds.heartbeatInterval / waitsPerHeartbeat, over);
    }
    return false;
  }

  /** Whether the voter is in this master's term still. */
  private async isInSameTerm(voter: Member, clusterId: string, deadline: number): Promise<boolean> {
    const { localMember, term } = this;
    const body = { from: localMember, to: voter.id, term, clusterId };
    const response = NodePingResponse.parse(
      await this.transport.call(voter.addr, 'zen/node-ping', body, {
        timeoutMs: deadline - this.clock.now(),
      }),
    );
    if (response.term > term) this.onLaterTerm(response.term, voter.addr);
    return response.term === term;
  }
}
