/** The traffic of a fleet: callers that hold chats and make calls. */
import { Caller, type CallerRecord } from '@tillerstair/stand-ins';
import { seededRandom, type Site } from './layout.js';

/** The options of a fleet's traffic. */
export interface TrafficSpec {
  readonly house: Site;
  readonly seed: number;
  /** Rate at which new chats begin. */
  readonly chatsPerSecond: number;
  /** Number of chats of 12 turns that begin at the start. */
  readonly longChats: number;
  /** Returns the HTTP addresses of the fronts. */
  readonly fronts: () => readonly string[];
}

const wait = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));

/** Starts chats at a rate, retries failed requests, and records every request. */
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
    const addresses = this.spec.fronts();
    return addresses[Math.floor(this.rng() * addresses.length)] ?? '';
  }

  private pick<T>(from: readonly T[], fallback: T): T {
    return from[Math.floor(this.rng() * from.length)] ?? fallback;
  }

  private caller(chat: number): Caller {
    return new Caller(`${this.spec.house.name}-${chat % 7}`, (record) =>
      this.reported.push(record),
    );
  }

  /** Sends a request until it is done or partial, refused for good, or sent `maxAttempts` times. */
  private async again(
    send: (attempt: number) => Promise<CallerRecord>,
    maxAttempts: number,
  ): Promise<CallerRecord> {
    for (let attempt = 1; ; attempt++) {
      const record = await send(attempt);
      if (
        record.reported === 'done' ||
        record.reported === 'partial' ||
        attempt >= maxAttempts ||
        this.stopping
      )
        return record;
      if (record.reported === 'refused' && ![0, 429, 503].includes(record.status)) return record;
      await wait(Math.min(1000, record.retryAfter * 1000 || 200) * (0.5 + this.rng()));
    }
  }

  private words(chat: number, turn: number, key: string): string {
    const persona = `You serve house ${this.spec.house.name}, desk ${chat % 6}. `;
    const shared = turn === 0 ? persona.repeat(60) : '';
    return `${shared}Question ${turn} of chat ${chat}: what next? #${key}`.padEnd(61, ' ');
  }

  /** Holds one chat: its turns, calls and sometimes a helper program, and a fetch of its last two turns. */
  private async chat(chat: number, turns: number): Promise<void> {
    const caller = this.caller(chat);
    const created = await this.again(() => caller.program(this.front(), 4000), 5);
    if (created.reported !== 'done') return;
    let program = created.program;
    let after: string | null = null;
    const finishedTurns: { program: string; turn: string }[] = [];
    for (let turnIndex = 0; turnIndex < turns && !this.stopping; turnIndex++) {
      const key = `t${this.spec.seed}-${chat}-${turnIndex}`;
      const words = this.words(chat, turnIndex, key);
      const parent: string | null = after;
      const record: CallerRecord = await this.again(
        () => caller.turn(this.front(), { program, after: parent, words, key }),
        5,
      );
      if (record.reported === 'done') {
        after = record.turn;
        finishedTurns.push({ program, turn: record.turn });
      }
      if (this.rng() < 0.6) {
        const operationKey = `o${this.spec.seed}-${chat}-${turnIndex}`;
        const path = this.pick(this.spec.house.paths, '/none');
        const first = this.again(
          () => caller.call(this.front(), path, { chat, step: turnIndex }, operationKey),
          5,
        );
        if (this.rng() < 0.1)
          await caller.call(this.front(), path, { chat, step: turnIndex }, operationKey);
        await first;
      }
      if (turnIndex === 1 && this.rng() < 0.2) {
        const helper = await this.again(() => caller.program(this.front(), 1, program), 3);
        if (helper.reported === 'done') {
          program = helper.program;
          after = null;
        }
      }
      await wait(20 + this.rng() * 150);
    }
    for (const turn of finishedTurns.slice(-2))
      await this.again(() => caller.fetch(this.front(), turn.program, turn.turn), 4);
  }

  /** Starts a chat of so many turns without waiting for it. */
  startChat(turns: number): void {
    const chat = this.chat(this.chatsStarted++, turns).catch(() => undefined);
    this.activeChats.add(chat);
    void chat.finally(() => this.activeChats.delete(chat));
  }

  /** Starts the long chats, and further chats at the rate for `ms` ms; chats may still run when it resolves. */
  async run(ms: number): Promise<void> {
    const end = Date.now() + ms;
    for (let i = 0; i < this.spec.longChats; i++) this.startChat(12);
    while (Date.now() < end) {
      this.startChat(2 + Math.floor(this.rng() * 4));
      await wait((1000 / this.spec.chatsPerSecond) * (0.5 + this.rng()));
    }
  }

  /** Waits up to `within` ms for the active chats, then lets each end after its current request, for up to 20 s. */
  async finish(within: number): Promise<void> {
    await Promise.race([Promise.all([...this.activeChats]), wait(within)]);
    this.stopping = true;
    await Promise.race([Promise.all([...this.activeChats]), wait(20000)]);
  }
}
