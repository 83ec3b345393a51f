import { z } from 'zod';
import { beliefOf, Entries, markOf, newer, unflatten, type Belief, type State } from '@tillerstair/state';
import {
  CallAsk, HistoryAsk, ofMishap, PassAsk, ProgramAsk, refused, Steward, TurnAsk, unknown, Verdict, type EmitPiece, type StewardParts,
} from '@tillerstair/steward';
import { CircuitRefused, lasting, Mishap, mishapOf, pause, type Inquiry } from '@tillerstair/wire';

export type FrontParts = StewardParts;

export const Feed = z.object({
  state: Entries.optional(),
  config: z.string().optional(),
  freshAt: z.number(),
  barred: z.array(z.string()).optional(),
  master: z.string(),
  term: z.number(),
});
export type Feed = z.infer<typeof Feed>;
export const Fed = z.object({ id: z.string(), applied: z.object({ term: z.number(), version: z.number() }), seen: z.unknown(), released: z.unknown(), stopping: z.boolean() });

const TurnEnd = z.object({ end: z.object({ pieces: z.number() }) });
const PieceLine = z.object({ n: z.number(), text: z.string() });

const lingers = 0.4;

interface Delivery {
  readonly kind: 'front/program' | 'front/turn' | 'front/history' | 'front/call' | 'front/keyed' | 'front/stream';
  readonly slotKey: string;
  readonly body: unknown;
  readonly within: number;
}

export class Front {
  readonly steward: Steward;
  private agentTerm = 0;
  private master = '';
  private readonly gone = lasting();
  private active = 0;

  constructor(readonly p: FrontParts) {
    this.steward = new Steward(p);
  }

  async start(): Promise<void> {
    await this.p.circuits.serve((inq, emit, gone) => this.handle(inq, emit, gone));
    this.steward.start();
  }

  /** Goes on serving until its slots are handed over, callers have had time to see it is not ready, and nothing is under way. */
  async stop(): Promise<void> {
    this.gone.abort();
    const { clock, bounds } = this.p;
    const from = clock.now();
    const linger = this.steward.fresh ? bounds.stopWithin * lingers : 0;
    const busy = (): boolean => this.active > 0 || (this.steward.fresh && this.steward.holdsSlots) || clock.now() - from < linger;
    while (busy() && clock.now() - from < bounds.stopWithin) await pause(clock, bounds.beat / 20);
    this.steward.stop();
    await this.p.circuits.close();
  }

  get stopping(): boolean {
    return this.gone.signal.aborted;
  }

  belief(): Belief {
    return beliefOf(this.p.id, 'front', this.agentTerm, this.master, this.steward.current?.state);
  }

  feed(body: unknown): z.infer<typeof Fed> {
    const f = Feed.parse(body);
    const now = this.p.clock.now();
    const held = this.steward.current?.state;
    const told: State | undefined = f.state ? unflatten(new Map(f.state)) : undefined;
    if (f.config !== undefined && f.config !== held?.config?.digest) throw new Mishap('need-config', 'this front does not hold that configuration');
    const next = told && f.config !== undefined ? { ...told, config: held?.config } : told;
    if (next && held && held.clusterId !== next.clusterId) throw new Mishap('other-cluster', `this front is of cluster ${held.clusterId}`);
    if (next && (!held || newer(markOf(next), markOf(held)))) this.steward.take(next);
    if (f.term >= this.agentTerm) {
      this.agentTerm = f.term;
      this.master = f.master;
      if (f.barred) this.steward.bar(new Set(f.barred));
      if (f.freshAt <= now) this.steward.freshen(f.freshAt);
    }
    return { id: this.p.id, applied: markOf(this.steward.current?.state), seen: this.steward.placement.report(), released: this.steward.releases(), stopping: this.stopping };
  }

  private async handle(inq: Inquiry, emit: (piece: unknown) => void, gone: AbortSignal): Promise<unknown> {
    return this.local(inq.kind, inq.body, (n, text) => emit({ n, text }), gone);
  }

  private async local(kind: string, body: unknown, emit: EmitPiece, gone: AbortSignal): Promise<Verdict> {
    this.active++;
    try {
      switch (kind) {
        case 'front/program':
          return await this.steward.turns.program(ProgramAsk.parse(body));
        case 'front/turn':
          return await this.steward.turns.turn(TurnAsk.parse(body), emit, gone);
        case 'front/history':
          return await this.steward.turns.history(HistoryAsk.parse(body));
        case 'front/call':
          return await this.steward.calls.call(CallAsk.parse(body), gone);
        case 'front/keyed':
          return await this.steward.calls.pass(PassAsk.parse(body), gone);
        case 'front/stream':
          return await this.steward.streams.stream(PassAsk.parse(body), emit, gone);
        default:
          return refused(404, 'unknown-kind', kind);
      }
    } finally {
      this.active--;
    }
  }

  /** Carries a request that needs no steward straight to a server. */
  async carry(ask: PassAsk, streamed: boolean, emit: EmitPiece, gone: AbortSignal): Promise<Verdict> {
    return this.local(streamed ? 'front/stream' : 'front/keyed', ask, emit, gone).catch((e: unknown) => ofMishap(mishapOf(e)));
  }

  async deliver(d: Delivery, emit: EmitPiece, gone: AbortSignal): Promise<Verdict> {
    this.active++;
    return this.tryDeliver(d, emit, gone).finally(() => {
      this.active--;
    });
  }

  private async tryDeliver(d: Delivery, emit: EmitPiece, gone: AbortSignal): Promise<Verdict> {
    const { clock, bounds, id, circuits } = this.p;
    const wait = Math.min(bounds.beat * 1.5, d.within / 4);
    let end = clock.now() + wait;
    let emitted = 0;
    let whole = true;
    let mayHaveRun = false;
    const counting: EmitPiece = (n, text) => {
      whole &&= n === emitted;
      if (!whole) return;
      emitted++;
      emit(n, text);
    };
    const checked = (v: Verdict): Verdict => {
      if ((d.kind !== 'front/turn' && d.kind !== 'front/stream') || v.verdict !== 'done') return v;
      const end = TurnEnd.safeParse(v.body);
      return whole && end.success && end.data.end.pieces === emitted ? v : unknown('the stream did not arrive whole', 'broken-off');
    };
    for (;;) {
      let mishap: Mishap;
      try {
        this.steward.requireFresh();
        const steward = this.steward.stewardOf(this.steward.slotFor(d.slotKey));
        if (steward === id) return checked(await this.local(d.kind, d.body, counting, gone));
        const mate = this.steward.current?.state.nodes.get(steward);
        if (!mate) throw new Mishap('no-steward', 'no steward is known for this');
        const watch = this.steward.watch(steward);
        const asked = circuits.call(mate.data, d.kind, d.body, {
          within: d.within,
          gone: AbortSignal.any([gone, watch.lost]),
          onPiece: (piece) => {
            const { n, text } = PieceLine.parse(piece);
            counting(n, text);
          },
        });
        try {
          return checked(Verdict.parse(await asked));
        } catch (e) {
          if (!watch.lost.aborted || gone.aborted || emitted > 0) throw e;
          end = clock.now() + wait;
          mayHaveRun = true;
          throw new Mishap('not-steward', 'the steward left the cluster');
        } finally {
          watch.end();
        }
      } catch (e) {
        mishap = mishapOf(e);
      }
      const passing = ['not-steward', 'taking-over', 'no-steward', 'lane-unknown'].includes(mishap.code) || mishap instanceof CircuitRefused;
      const over = emitted > 0 || !passing || gone.aborted || clock.now() >= end;
      if (over) return mayHaveRun ? unknown(`the steward that had it left the cluster: ${mishap.message}`) : ofMishap(mishap);
      await pause(clock, bounds.beat / 20);
    }
  }
}
