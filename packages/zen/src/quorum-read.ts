import { quorum, type Mate, type State } from '@tillerstair/state';
import { Mishap, mishapOf, pause, type Circuits, type Clock } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { NodePong } from './messages.js';

/** What a quorum read needs to know of the master on whose behalf it asks. */
export interface QuorumReadParts {
  readonly me: Mate;
  readonly clock: Clock;
  readonly circuits: Circuits;
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
    await this.orSooner(this.running, bounds.beat / 4);
    this.next = undefined;
    if (lost.aborted) throw new Mishap('not-master', 'this control is no longer master');
    const round = this.round(clock.now() + bounds.beat);
    this.running = round.catch(() => undefined);
    return round;
  }

  private async orSooner(work: Promise<unknown>, ms: number): Promise<void> {
    const over = new AbortController();
    await Promise.race([work, pause(this.p.clock, ms, over.signal)]);
    over.abort();
  }

  private async round(end: number): Promise<State> {
    const state = this.p.committed();
    if (!state) throw new Mishap('not-master', 'nothing is committed yet');
    const confirmed = new Set(this.p.deposed() ? [] : [this.p.me.id]);
    const others = [...state.voterMates.values()].filter((mate) => mate.id !== this.p.me.id);
    await new Promise<void>((done) => {
      const check = (): void => {
        if (quorum(state.voters, confirmed)) done();
      };
      check();
      const asked = others.map(async (mate) => {
        if (!(await this.ask(mate, state.clusterId, end))) return;
        confirmed.add(mate.id);
        check();
      });
      void Promise.all(asked).then(() => done());
    });
    if (this.p.lost.aborted || this.p.deposed() || !quorum(state.voters, confirmed))
      throw new Mishap('unavailable', 'no majority confirms this master');
    return state;
  }

  private async ask(mate: Mate, clusterId: string, end: number): Promise<boolean> {
    const { clock, circuits, bounds, me, term, lost } = this.p;
    while (clock.now() < end && !lost.aborted) {
      try {
        const body = { from: me, to: mate.id, term, clusterId };
        const pong = NodePong.parse(await circuits.call(mate.addr, 'zen/node-ping', body, { within: end - clock.now() }));
        if (pong.term > term) this.p.onLaterTerm(pong.term, mate.addr);
        return pong.term === term;
      } catch (e) {
        if (mishapOf(e).code === 'other-node') return false;
      }
      await pause(clock, bounds.beat / 4, lost);
    }
    return false;
  }
}
