/**
 * Confirms with a majority of the voters that no later term has begun, so that the committed state may be reported to
 * an operator (docs/design.md, "Versions of the configuration").
 *
 * A confirmation counts for a call only if its round of requests began after the call: calls share the next round to
 * begin, never one in progress. The state is read when the round begins. A voter that replies in this master's term has
 * not voted in a later one, and any later master needs the votes of a majority that overlaps this one, so nothing that
 * it commits precedes the round. During a joint change of the voters both groups must confirm; if the change is
 * committed while the round is in progress, a later master still needs the vote of one of those that replied.
 */
import { hasQuorum, type Member, type State } from '@tillerstair/state';
import { toRpcError, delay, type Transport, type Clock } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { NotMasterError, QuorumUnavailableError } from './master-errors.js';
import { NodePingResponse } from './messages.js';

/** Divisor of a heartbeat: the longest wait for the round in progress, and the delay before a voter is retried. */
const waitsPerHeartbeat = 4;

/** The dependencies of a `QuorumRead`. */
export interface QuorumReadOptions {
  readonly localMember: Member;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: ZenBounds;
  /** The term of this master. */
  readonly term: number;
  /** Aborts once this control has stepped down. */
  readonly lost: AbortSignal;
  /** The newest state that this master has committed, if any. */
  readonly committed: () => State | undefined;
  /** Whether this control has itself voted in a later term. */
  readonly hasVotedInLaterTerm: () => boolean;
  /** Called with the term and the address of a voter that replied in a later term. */
  readonly onLaterTerm: (term: number, address: string) => void;
}

/** The quorum reads of one master; owns the round in progress and the next one. */
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
   * Resolves with the committed state once a majority has confirmed this master since the call.
   *
   * @throws NotMasterError or QuorumUnavailableError, at the latest after 1.25 heartbeats.
   */
  confirm(): Promise<State> {
    this.nextRound ??= this.beginNextRound();
    return this.nextRound;
  }

  /** Waits, up to a timeout, for the round in progress, and then starts the round that all calls since then share. */
  private async beginNextRound(): Promise<State> {
    await this.waitForCurrentRound();
    this.nextRound = undefined;
    if (this.lost.aborted) throw new NotMasterError();
    const round = this.runRound(this.clock.now() + this.bounds.heartbeatInterval);
    this.currentRound = round.catch(() => undefined);
    return round;
  }

  /** Resolves once the round in progress has ended, or after a quarter of a heartbeat. */
  private async waitForCurrentRound(): Promise<void> {
    const timeout = new AbortController();
    const timeoutMs = this.bounds.heartbeatInterval / waitsPerHeartbeat;
    await Promise.race([this.currentRound, delay(this.clock, timeoutMs, timeout.signal)]);
    timeout.abort();
  }

  /** Runs one round of requests; rejects if no majority has confirmed this master by the deadline. */
  private async runRound(deadline: number): Promise<State> {
    const state = this.committed();
    if (!state) throw new NotMasterError(`no state is committed yet in term ${this.term}`);
    const confirmedBy = await this.collectConfirmations(state, deadline);
    if (this.lost.aborted || this.hasVotedInLaterTerm() || !hasQuorum(state.voters, confirmedBy))
      throw new QuorumUnavailableError(
        `no majority of the voters confirmed the master of term ${this.term}`,
      );
    return state;
  }

  /** Asks all voters; resolves with a majority, or once each has replied or the deadline has passed. */
  private async collectConfirmations(state: State, deadline: number): Promise<ReadonlySet<string>> {
    const confirmedBy = new Set([this.localMember.id]);
    const others = [...state.votingMembers.values()].filter(({ id }) => id !== this.localMember.id);
    const roundEnded = new AbortController();
    await new Promise<void>((resolve) => {
      const endIfQuorum = (): void => {
        if (hasQuorum(state.voters, confirmedBy)) resolve();
      };
      endIfQuorum();
      const requests = others.map(async (voter) => {
        if (!(await this.isConfirmedBy(voter, state.clusterId, deadline, roundEnded.signal)))
          return;
        confirmedBy.add(voter.id);
        endIfQuorum();
      });
      void Promise.all(requests).then(() => resolve());
    });
    roundEnded.abort();
    return confirmedBy;
  }

  /** Asks one voter until it replies, the round has ended or the deadline has passed. */
  private async isConfirmedBy(
    voter: Member,
    clusterId: string,
    deadline: number,
    roundEnded: AbortSignal,
  ): Promise<boolean> {
    while (this.clock.now() < deadline && !this.lost.aborted && !roundEnded.aborted) {
      try {
        return await this.isInSameTerm(voter, clusterId, deadline);
      } catch (e) {
        if (toRpcError(e).code === 'other-node') return false;
      }
      await delay(this.clock, this.bounds.heartbeatInterval / waitsPerHeartbeat, roundEnded);
    }
    return false;
  }

  /** Asks the voter once whether it is still in this master's term. */
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
