import type { Server } from '@tillerstair/state';
import type { Act, Backend, Ended, Generate, BusyReport, Passing } from '@tillerstair/steward';
import type { RanRecord } from '@tillerstair/checker';
import { pause, type Clock } from '@tillerstair/wire';
import type { Life } from './sim-clock.js';
import { passRun, type Passed } from './sim-pass.js';

export interface SimFaults {
  readonly refuses: boolean;
  readonly leaving: boolean;
  readonly loseEvery: number;
  readonly cutEvery: number;
  readonly slow: number;
  /** Says that it did not run what it is sent. */
  readonly declines: boolean;
  /** With a cut: in the middle of an event. */
  readonly tears: boolean;
  /** Runs, and speaks of another try. */
  readonly lies: boolean;
}

const healthy: SimFaults = { refuses: false, leaving: false, loseEvery: 0, cutEvery: 0, slow: 1, declines: false, tears: false, lies: false };

export class SimServers {
  readonly ran: RanRecord[] = [];
  private readonly faults = new Map<string, SimFaults>();
  private readonly busy = new Map<string, number>();
  asked = 0;
  polls = 0;
  private served = 0;
  readonly cutFronts = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly rng: () => number,
  ) {}

  set(id: string, f: Partial<SimFaults>): void {
    this.faults.set(id, { ...(this.faults.get(id) ?? healthy), ...f });
  }

  private of(id: string): SimFaults {
    return this.faults.get(id) ?? healthy;
  }

  private enter(s: Server, by: number): void {
    this.busy.set(s.id, (this.busy.get(s.id) ?? 0) + by);
  }

  private note(s: Server, ran: Omit<RanRecord, 'server' | 'pool' | 'at'>): void {
    this.ran.push({ ...ran, server: s.id, pool: s.pool, at: this.clock.now(), said: ran.kind === 'pass' ? ran.said : ran.said.slice(-60) });
  }

  backend(life: Life, front = ''): Backend {
    const clock = this.clock;
    const frontClock = life.clock(clock);
    const refuses = (s: Server): boolean => this.of(s.id).refuses || this.cutFronts.has(`${front}>${s.id}`);
    const gate = async <T>(v: T): Promise<T> => {
      await pause(frontClock, 0.3);
      return v;
    };
    const leave = async (s: Server, still: () => boolean): Promise<Ended | undefined> => {
      this.asked++;
      await pause(frontClock, 0.5);
      if (!still()) return { kind: 'declined', text: 'taken back' };
      return refuses(s) ? { kind: 'never-left', text: 'refused' } : undefined;
    };
    return {
      generate: async (s: Server, g: Generate, onPiece, gone, _within, still): Promise<Ended> => {
        const f = this.of(s.id);
        const back = await leave(s, still);
        if (back) return back;
        const nth = ++this.served;
        const began = clock.now();
        const ran = { kind: 'generate' as const, key: '', attempt: g.inquiry, program: g.id.split('/')[0] ?? '', began, said: g.messages.at(-1)?.text ?? '' };
        const total = Math.min(g.maxTokens, 4 + Math.floor(this.rng() * 12));
        const cutAt = f.cutEvery > 0 && nth % f.cutEvery === 0 ? Math.floor(total / 2) : -1;
        let reply = '';
        this.enter(s, 1);
        for (let n = 0; n < total; n++) {
          await pause(clock, 5 * f.slow);
          if (gone.aborted || life.dead || n === cutAt) {
            this.enter(s, -1);
            this.note(s, { ...ran, reply, complete: false, tokens: n });
            return gate({ kind: 'lost', text: 'the stream stopped' });
          }
          const text = `${s.id}.${nth}.${n} `;
          reply += text;
          const at = n;
          life.do(() => onPiece(at, text));
        }
        this.enter(s, -1);
        this.note(s, { ...ran, reply, complete: true, tokens: total });
        if (f.loseEvery > 0 && nth % f.loseEvery === 0) return gate({ kind: 'lost', text: 'the end was lost' });
        return gate({ kind: 'done', code: 200, body: total });
      },
      act: async (s: Server, a: Act, _gone, _within, still): Promise<Ended> => {
        const f = this.of(s.id);
        const back = await leave(s, still);
        if (back) return back;
        const nth = ++this.served;
        const began = clock.now();
        this.enter(s, 1);
        await pause(clock, (10 + this.rng() * 30) * f.slow);
        this.enter(s, -1);
        this.note(s, { kind: 'act', key: a.key, attempt: a.inquiry, program: '', began, said: a.path, reply: '', complete: true, tokens: 0 });
        if (f.loseEvery > 0 && nth % f.loseEvery === 0) return gate({ kind: 'lost', text: 'the verdict was lost' });
        return gate({ kind: 'done', code: 200, body: { did: a.path, key: a.key, by: s.id } });
      },
      pass: async (s: Server, p: Passing, sink, gone, _left, still): Promise<Ended> => {
        const f = this.of(s.id);
        const back = await leave(s, still);
        if (back) return back;
        if (f.declines) return gate({ kind: 'declined', text: 'full' });
        const nth = ++this.served;
        const began = clock.now();
        this.enter(s, 1);
        const ran: Passed = await passRun({ by: s.id, nth, faults: f, clock, rng: this.rng, life, gone }, p, sink);
        this.enter(s, -1);
        this.note(s, { kind: 'pass', attempt: p.attempt, began, said: Buffer.from(p.body).toString('latin1'), ...ran });
        if (!ran.complete) return gate({ kind: 'lost', text: 'the answer stopped' });
        if (f.lies) return gate({ kind: 'lost', text: 'the server spoke of another try' });
        if (f.loseEvery > 0 && nth % f.loseEvery === 0) return gate({ kind: 'lost', text: 'the answer was lost' });
        return gate({ kind: 'done', code: 200, body: null });
      },
      busyness: async (s: Server): Promise<BusyReport> => {
        const f = this.of(s.id);
        this.polls++;
        await pause(frontClock, 0.5);
        if (refuses(s)) throw new Error('refused');
        return { busy: this.busy.get(s.id) ?? 0, leaving: f.leaving };
      },
    };
  }
}
