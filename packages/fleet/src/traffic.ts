/** The callers of a fleet. */
import { Caller, type CallerRecord } from '@tillerstair/stand-ins';
import { seededRandom, type Site } from './layout.js';

/** What decides the traffic on a fleet. */
export interface TrafficSpec {
  readonly house: Site;
  readonly seed: number;
  readonly chatsPerSecond: number;
  readonly longChats: number;
  readonly fronts: () => readonly string[];
}

const wait = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));

/** Chats that come and go at a rate; each request is recorded. */
export class Traffic {
  readonly reported: CallerRecord[] = [];
  private readonly rng;
  private stopping = false;
  private readonly activeChats = new Set<Promise<void>>();
  private chatsStarted = 0;

  constructor(private readonly spec: TrafficSpec) {
    this.rng = seededRandom(spec.seed);
  }

  private front(): string {
    const all = this.spec.fronts();
    return all[Math.floor(this.rng() * all.length)] ?? '';
  }

  private pick<T>(from: readonly T[], other: T): T {
    return from[Math.floor(this.rng() * from.length)] ?? other;
  }

  private caller(n: number): Caller {
    return new Caller(`${this.spec.house.name}-${n % 7}`, (t) => this.reported.push(t));
  }

  private async again(
    once: (n: number) => Promise<CallerRecord>,
    tries: number,
  ): Promise<CallerRecord> {
    for (let n = 1; ; n++) {
      const t = await once(n);
      if (t.reported === 'done' || t.reported === 'partial' || n >= tries || this.stopping)
        return t;
      if (t.reported === 'refused' && ![0, 429, 503].includes(t.status)) return t;
      await wait(Math.min(1000, t.retryAfter * 1000 || 200) * (0.5 + this.rng()));
    }
  }

  private words(n: number, turn: number, key: string): string {
    const persona = `You serve house ${this.spec.house.name}, desk ${n % 6}. `;
    const shared = turn === 0 ? persona.repeat(60) : '';
    return `${shared}Question ${turn} of chat ${n}: what next? #${key}`.padEnd(61, ' ');
  }

  private async chat(n: number, turns: number): Promise<void> {
    const c = this.caller(n);
    const made = await this.again(() => c.program(this.front(), 4000), 5);
    if (made.reported !== 'done') return;
    let program = made.program;
    let after: string | null = null;
    const ended: { program: string; turn: string }[] = [];
    for (let i = 0; i < turns && !this.stopping; i++) {
      const key = `t${this.spec.seed}-${n}-${i}`;
      const words = this.words(n, i, key);
      const parent: string | null = after;
      const t: CallerRecord = await this.again(
        () => c.turn(this.front(), { program, after: parent, words, key }),
        5,
      );
      if (t.reported === 'done') {
        after = t.turn;
        ended.push({ program, turn: t.turn });
      }
      if (this.rng() < 0.6) {
        const op = `o${this.spec.seed}-${n}-${i}`;
        const path = this.pick(this.spec.house.paths, '/none');
        const first = this.again(() => c.call(this.front(), path, { chat: n, step: i }, op), 5);
        if (this.rng() < 0.1) await c.call(this.front(), path, { chat: n, step: i }, op);
        await first;
      }
      if (i === 1 && this.rng() < 0.2) {
        const helper = await this.again(() => c.program(this.front(), 1, program), 3);
        if (helper.reported === 'done') {
          program = helper.program;
          after = null;
        }
      }
      await wait(20 + this.rng() * 150);
    }
    for (const e of ended.slice(-2))
      await this.again(() => c.fetch(this.front(), e.program, e.turn), 4);
  }

  startChat(turns: number): void {
    const p = this.chat(this.chatsStarted++, turns).catch(() => undefined);
    this.activeChats.add(p);
    void p.finally(() => this.activeChats.delete(p));
  }

  async run(ms: number): Promise<void> {
    const end = Date.now() + ms;
    for (let i = 0; i < this.spec.longChats; i++) this.startChat(12);
    while (Date.now() < end) {
      this.startChat(2 + Math.floor(this.rng() * 4));
      await wait((1000 / this.spec.chatsPerSecond) * (0.5 + this.rng()));
    }
  }

  async finish(within: number): Promise<void> {
    await Promise.race([Promise.all([...this.activeChats]), wait(within)]);
    this.stopping = true;
    await Promise.race([Promise.all([...this.activeChats]), wait(20000)]);
  }
}
