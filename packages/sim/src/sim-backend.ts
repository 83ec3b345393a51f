import type { Server } from '@tillerstair/state';
import type {
  ToolCallRequest,
  Backend,
  BackendOutcome,
  GenerateRequest,
  ServerStatus,
  ForwardedRequest,
} from '@tillerstair/session-owner';
import type { ExecutionRecord } from '@tillerstair/checker';
import { delay, type Clock } from '@tillerstair/wire';
import type { Life } from './sim-clock.js';
import { passRun, type Passed } from './sim-pass.js';

export interface SimFaults {
  readonly refuses: boolean;
  readonly draining: boolean;
  readonly loseEvery: number;
  readonly cutEvery: number;
  readonly slow: number;
  /** Says that it did not run what it is sent. */
  readonly declines: boolean;
  /** With a cut: in the middle of an event. */
  readonly tears: boolean;
  /** Runs, and speaks of another try. */
  readonly lies: boolean;
  /** Takes requests and never answers, while its health is good. */
  readonly mute: boolean;
  /** Says nothing at all any more. */
  readonly dark: boolean;
  /** Resets connections as soon as a request is on them. */
  readonly resets: boolean;
  /** Runs requests and fails them: calls of pass routes with a status of its own, all else without a whole answer. */
  readonly errs: boolean;
}

const healthy: SimFaults = {
  refuses: false,
  draining: false,
  loseEvery: 0,
  cutEvery: 0,
  slow: 1,
  declines: false,
  tears: false,
  lies: false,
  mute: false,
  dark: false,
  resets: false,
  errs: false,
};

export class SimServers {
  readonly executed: ExecutionRecord[] = [];
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

  /** Ends every trouble of a server, except that it may go on leaving. */
  heal(id: string): void {
    this.set(id, { ...healthy, draining: this.of(id).draining });
  }

  set(id: string, f: Partial<SimFaults>): void {
    this.faults.set(id, { ...(this.faults.get(id) ?? healthy), ...f });
  }

  private of(id: string): SimFaults {
    return this.faults.get(id) ?? healthy;
  }

  private enter(s: Server, by: number): void {
    this.busy.set(s.id, (this.busy.get(s.id) ?? 0) + by);
  }

  private note(s: Server, executed: Omit<ExecutionRecord, 'server' | 'pool' | 'at'>): void {
    this.executed.push({
      ...executed,
      server: s.id,
      pool: s.pool,
      at: this.clock.now(),
      said: executed.kind === 'pass' ? executed.said : executed.said.slice(-60),
    });
  }

  backend(life: Life, front = ''): Backend {
    const clock = this.clock;
    const frontClock = life.clock(clock);
    const refuses = (s: Server): boolean =>
      this.of(s.id).refuses || this.cutFronts.has(`${front}>${s.id}`);
    const gate = async <T>(v: T): Promise<T> => {
      await delay(frontClock, 0.3);
      return v;
    };
    const silence = async (gone: AbortSignal, within: number): Promise<BackendOutcome> => {
      await delay(frontClock, within, gone);
      return { kind: 'lost', text: 'the server is silent' };
    };
    const leave = async (
      s: Server,
      still: () => boolean,
      gone: AbortSignal,
      within: number,
    ): Promise<BackendOutcome | undefined> => {
      this.asked++;
      await delay(frontClock, 0.5);
      if (!still()) return { kind: 'declined', text: 'taken back' };
      if (refuses(s)) return { kind: 'never-left', text: 'refused' };
      const f = this.of(s.id);
      if (f.declines) return gate({ kind: 'declined', text: 'full' });
      if (f.mute || f.dark) return silence(gone, within);
      return f.resets ? gate({ kind: 'lost', text: 'the connection was reset' }) : undefined;
    };
    return {
      generate: async (
        s: Server,
        g: GenerateRequest,
        onChunk,
        gone,
        within,
        still,
      ): Promise<BackendOutcome> => {
        const f = this.of(s.id);
        const back = await leave(s, still, gone, within);
        if (back) return back;
        const nth = ++this.served;
        const began = clock.now();
        const executed = {
          kind: 'generate' as const,
          key: '',
          attempt: g.requestId,
          program: g.id.split('/')[0] ?? '',
          began,
          said: g.messages.at(-1)?.text ?? '',
        };
        const total = Math.min(g.maxTokens, 4 + Math.floor(this.rng() * 12));
        const cutAt = f.cutEvery > 0 && nth % f.cutEvery === 0 ? Math.floor(total / 2) : -1;
        let reply = '';
        this.enter(s, 1);
        for (let n = 0; n < total; n++) {
          await delay(clock, 5 * f.slow);
          if (gone.aborted || life.dead || n === cutAt) {
            this.enter(s, -1);
            this.note(s, { ...executed, reply, complete: false, tokens: n });
            return gate({ kind: 'lost', text: 'the stream stopped' });
          }
          const text = `${s.id}.${nth}.${n} `;
          reply += text;
          const at = n;
          life.do(() => onChunk(at, text));
        }
        this.enter(s, -1);
        this.note(s, { ...executed, reply, complete: true, tokens: total });
        if (f.errs || (f.loseEvery > 0 && nth % f.loseEvery === 0))
          return gate({ kind: 'lost', text: 'the end was lost' });
        return gate({ kind: 'done', code: 200, body: total });
      },
      act: async (s: Server, a: ToolCallRequest, gone, within, still): Promise<BackendOutcome> => {
        const f = this.of(s.id);
        const back = await leave(s, still, gone, within);
        if (back) return back;
        const nth = ++this.served;
        const began = clock.now();
        this.enter(s, 1);
        await delay(clock, (10 + this.rng() * 30) * f.slow);
        this.enter(s, -1);
        this.note(s, {
          kind: 'act',
          key: a.key,
          attempt: a.requestId,
          program: '',
          began,
          said: a.path,
          reply: '',
          complete: true,
          tokens: 0,
        });
        if (f.errs || (f.loseEvery > 0 && nth % f.loseEvery === 0))
          return gate({ kind: 'lost', text: 'the outcome was lost' });
        return gate({ kind: 'done', code: 200, body: { did: a.path, key: a.key, by: s.id } });
      },
      pass: async (
        s: Server,
        p: ForwardedRequest,
        sink,
        gone,
        left,
        still,
      ): Promise<BackendOutcome> => {
        const f = this.of(s.id);
        const back = await leave(s, still, gone, left);
        if (back) return back;
        const nth = ++this.served;
        const began = clock.now();
        this.enter(s, 1);
        const executed: Passed = await passRun(
          { by: s.id, nth, faults: f, clock, rng: this.rng, life, gone },
          p,
          sink,
        );
        this.enter(s, -1);
        this.note(s, {
          kind: 'pass',
          attempt: p.attempt,
          began,
          said: Buffer.from(p.body).toString('latin1'),
          ...executed,
        });
        if (!executed.complete) return gate({ kind: 'lost', text: 'the answer stopped' });
        if (f.lies) return gate({ kind: 'lost', text: 'the server spoke of another try' });
        if (f.loseEvery > 0 && nth % f.loseEvery === 0)
          return gate({ kind: 'lost', text: 'the answer was lost' });
        return gate({ kind: 'done', code: 200, body: null });
      },
      load: async (s: Server, within: number): Promise<ServerStatus> => {
        const f = this.of(s.id);
        this.polls++;
        await delay(frontClock, 0.5);
        if (f.dark) await delay(frontClock, within);
        if (refuses(s) || f.dark) throw new Error('refused');
        return { busy: this.busy.get(s.id) ?? 0, draining: f.draining };
      },
    };
  }
}
