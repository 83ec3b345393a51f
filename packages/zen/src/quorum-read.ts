import { hasQuorum, type Member, type State } from '@tillerstair/state';
import {
  type Clock,
  delay,
  ElectionError,
  toRpcError,
  type Transport,
  UnavailableError,
} from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { NodePingResponse } from './messages.js';

/** What a quorum read needs to know of the master on whose behalf it asks. */
export interface QuorumReadParts {
  readonly me: Member;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: ZenBounds;
  readonly term: number;
  readonly lost: AbortSignal;
  /** The newest state that a majority holds, if this master has committed one. */
  readonly committed: () => State | undefined;
  /** Whether this control has itself voted in a later term. */
  readonly deposed: () => boolean;
  readonly onLaterTerm: (term: number, addr: string) => void;
}

/**
 * Confirms with a majority of the voters that no later term has begun, so that the committed state may be spoken of.
 *
 * A confirmation counts for a request only if its round of messages began after the request came: calls share the next
 * round to begin, never one under way. The state is read as the round begins. A voter that answers in this master's
 * term has not voted in a later one; any later master needs votes of a majority that meets this one, so nothing that it
 * commits precedes the round. Of a joint change of the voters both halves must confirm; where the change is committed
 * while the round runs, a later master still needs a vote of one of those that answered.
 */
export class QuorumRead {
  private next: Promise<State> | undefined;
  private running: Promise<unknown> = Promise.resolve();

  constructor(private readonly p: QuorumReadParts) {}

  confirm(): Promise<State> {
    this.next ??= this.begin();
    return this.next;
  }

  /** Waits for the round under way, though not for long, and then starts the one that all callers since share. */
  private async begin(): Promise<State> {
    const { clock, bounds, lost } = this.p;
    await this.orSooner(this.running, bounds.heartbeatInterval / 4);
    this.next = undefined;
    if (lost.aborted) throw new ElectionError('not-master', 'this control is no longer master');
    const round = this.round(clock.now() + bounds.heartbeatInterval);
    this.running = round.catch(() => undefined);
    return round;
  }

  private async orSooner(work: Promise<unknown>, ms: number): Promise<void> {
    const over = new AbortController();
    await Promise.race([work, delay(this.p.clock, ms, over.signal)]);
    over.abort();
  }

  private async round(end: number): Promise<State> {
    const state = this.p.committed();
    if (!state) throw new ElectionError('not-master', 'nothing is committed yet');
    const confirmed = new Set([this.p.me.id]);
    const others = [...state.votingMembers.values()].filter((member) => member.id !== this.p.me.id);
    const over = new AbortController();
    await new Promise<void>((done) => {
      const check = (): void => {
        if (hasQuorum(state.voters, confirmed)) done();
      };
      check();
      const asked = others.map(async (member) => {
        if (!(await this.ask(member, state.clusterId, end, over.signal))) return;
        confirmed.add(member.id);
        check();
      });
      void Promise.all(asked).then(() => done());
    });
    over.abort();
    if (this.p.lost.aborted || this.p.deposed() || !hasQuorum(state.voters, confirmed))
      throw new UnavailableError('unavailable', 'no majority confirms this master');
    return state;
  }

  /** Asks one voter until it answers, the round is over or its time is up. */
  private async ask(
    member: Member,
    clusterId: string,
    end: number,
    over: AbortSignal,
  ): Promise<boolean> {
    const { clock, transport, bounds, me, term, lost } = this.p;
    while (clock.now() < end && !lost.aborted && !over.aborted) {
      try {
        const body = { from: me, to: member.id, term, clusterId };
        const pingResponse = NodePingResponse.parse(
          await transport.call(member.addr, 'zen/node-ping', body, {
            timeoutMs: end - clock.now(),
          }),
        );
        if (pingResponse.term > term) this.p.onLaterTerm(pingResponse.term, member.addr);
        return pingResponse.term === term;
      } catch (e) {
        if (toRpcError(e).code === 'other-node') return false;
      }
      await delay(clock, bounds.heartbeatInterval / 4, over);
    }
    return false;
  }
}
