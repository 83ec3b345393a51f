import { createHash } from 'node:crypto';
import { rootOf, type Config, type Server } from '@tillerstair/state';
import { Mishap, mishapOf } from '@tillerstair/wire';
import type { Ended, Message } from './backend.js';
import type { SlotKeeper } from './keeper.js';
import { prefixesOf } from './placement.js';
import type { Steward } from './steward.js';
import {
  done, ofMishap, ProgramValue, refused, TurnValue, unknown,
  type HistoryAsk, type ProgramAsk, type TurnAsk, type Verdict,
} from './verdict.js';

export type EmitPiece = (n: number, text: string) => void;

const digest = (text: string): string => createHash('sha256').update(text).digest('hex').slice(0, 16);
export const turnIdOf = (pid: string, key: string): string => `t-${digest(`${pid}\n${key}`)}`;
export const textDigest = (pieces: readonly string[]): string => digest(pieces.join(''));

const programKey = (pid: string): string => `p/${pid}`;
const turnKey = (pid: string, turn: string): string => `p/${pid}/t/${turn}`;

const endOf = (turn: string, v: TurnValue): object => ({
  turn,
  pieces: v.pieces.length,
  tokens: v.cost,
  digest: textDigest(v.pieces),
});

interface Job {
  readonly keeper: SlotKeeper;
  readonly ask: TurnAsk;
  readonly turn: string;
  readonly body: string;
  readonly config: Config;
  readonly messages: readonly Message[];
  readonly sticky: string;
}

export class Turns {
  private readonly running = new Map<string, Promise<Verdict>>();
  private readonly reserving = new Map<string, number>();

  constructor(private readonly s: Steward) {}

  async program(ask: ProgramAsk): Promise<Verdict> {
    const table = this.s.requireFresh();
    const keeper = this.s.keeper(this.s.programSlotKey(ask.pid));
    const key = programKey(ask.pid);
    const budget = Math.min(ask.budget ?? table.config?.budgets.program ?? 1, table.config?.budgets.program ?? 1);
    const old = ProgramValue.safeParse(keeper.get(key));
    if (old.success) {
      if (old.data.tenant !== ask.tenant) return refused(404, 'missing', 'no such program');
      return done({ program: ask.pid, budget: old.data.budget }, 201);
    }
    if (ask.parent !== undefined) {
      const parent = await this.lookUp(keeper, ask.parent, ask.tenant);
      if (!parent.program) return parent.verdict;
    }
    const value: ProgramValue = { t: 'program', tenant: ask.tenant, budget, parent: ask.parent ?? null };
    await keeper.put(key, value);
    return done({ program: ask.pid, budget: ask.parent === undefined ? budget : null }, 201);
  }

  private async lookUp(keeper: SlotKeeper, pid: string, tenant: string): Promise<{ program?: ProgramValue; verdict: Verdict }> {
    const got = ProgramValue.safeParse(keeper.get(programKey(pid)));
    if (!got.success) {
      if (await keeper.confirmMissing(programKey(pid))) return { verdict: refused(404, 'missing', 'no such program') };
      return { verdict: refused(503, 'unavailable', 'the program cannot be read just now', 1) };
    }
    if (got.data.tenant !== tenant) return { verdict: refused(404, 'missing', 'no such program') };
    return { program: got.data, verdict: done(got.data) };
  }

  async history(ask: HistoryAsk): Promise<Verdict> {
    const keeper = this.s.keeper(this.s.programSlotKey(ask.pid));
    const { program, verdict } = await this.lookUp(keeper, ask.pid, ask.tenant);
    if (!program) return verdict;
    if (ask.turn === undefined) {
      const turns = keeper.turnsOf(ask.pid).flatMap((key) => {
        const v = TurnValue.safeParse(keeper.get(key));
        return v.success && v.data.status === 'done' ? [{ turn: key.split('/')[3], after: v.data.after, tokens: v.data.cost }] : [];
      });
      return done({ program: ask.pid, parent: program.parent, budget: program.budget, spent: keeper.spent(rootOf(ask.pid)), turns });
    }
    const v = TurnValue.safeParse(keeper.get(turnKey(ask.pid, ask.turn)));
    if (v.success && v.data.status === 'done')
      return done({ ...endOf(ask.turn, v.data), after: v.data.after, words: v.data.words, text: v.data.pieces.join('') });
    if (v.success && this.running.has(turnKey(ask.pid, ask.turn))) return refused(409, 'running', 'the turn is still running', 1);
    if (v.success && v.data.status !== 'void') return unknown('the turn broke off', 'broken-off');
    if (v.success || (await keeper.confirmMissing(turnKey(ask.pid, ask.turn)))) return refused(404, 'missing', 'no such turn');
    return refused(503, 'unavailable', 'the turn cannot be read just now', 1);
  }

  async turn(ask: TurnAsk, emit: EmitPiece, gone: AbortSignal): Promise<Verdict> {
    const { config } = this.s.requireFresh();
    if (!config) return refused(503, 'not-ready', 'no configuration yet', 1);
    const keeper = this.s.keeper(this.s.programSlotKey(ask.pid));
    const turn = turnIdOf(ask.pid, ask.key);
    const key = turnKey(ask.pid, turn);
    const body = digest(JSON.stringify([ask.after, ask.path, ask.words]));
    const run = this.running.get(key);
    if (run) {
      const first = await run;
      const { program, verdict } = await this.lookUp(keeper, ask.pid, ask.tenant);
      if (!program) return verdict;
      return first.verdict === 'done' ? this.replay(keeper, key, turn, body, emit) : first;
    }
    const going = this.attempt(keeper, config, ask, turn, body, emit, gone).catch((e: unknown) => ofMishap(mishapOf(e)));
    this.running.set(key, going);
    const leave = keeper.enter();
    return going.finally(() => {
      leave();
      this.running.delete(key);
    });
  }

  private async attempt(
    keeper: SlotKeeper, config: Config, ask: TurnAsk, turn: string, body: string, emit: EmitPiece, gone: AbortSignal,
  ): Promise<Verdict> {
    const { program, verdict } = await this.lookUp(keeper, ask.pid, ask.tenant);
    if (!program) return verdict;
    const old = TurnValue.safeParse(keeper.get(turnKey(ask.pid, turn)));
    if (old.success && old.data.status !== 'void') return this.replay(keeper, turnKey(ask.pid, turn), turn, body, emit);
    if (!this.s.findLane('turn', ask.path)) return refused(404, 'no-lane', `no lane takes turns at ${ask.path}`);
    const chain = await this.conversation(keeper, ask);
    if ('verdict' in chain) return chain.verdict;
    return this.place({ keeper, ask, turn, body, config, ...chain }, emit, gone);
  }

  private replay(keeper: SlotKeeper, key: string, turn: string, body: string, emit: EmitPiece): Verdict {
    const v = TurnValue.safeParse(keeper.get(key));
    if (!v.success || v.data.status === 'void') return refused(503, 'unavailable', 'the turn cannot be read just now', 1);
    if (v.data.digest !== body) return refused(422, 'other-body', 'this key was used with other words');
    if (v.data.status !== 'done') return unknown('the turn broke off and is not run again', 'broken-off');
    v.data.pieces.forEach((text, n) => emit(n, text));
    return done({ end: endOf(turn, v.data) });
  }

  private async conversation(keeper: SlotKeeper, ask: TurnAsk): Promise<{ messages: readonly Message[]; sticky: string } | { verdict: Verdict }> {
    const out: Message[] = [{ role: 'user', text: ask.words }];
    let sticky = '';
    for (let at = ask.after; at !== null; ) {
      const v = TurnValue.safeParse(keeper.get(turnKey(ask.pid, at)));
      if (!v.success || v.data.status === 'void') {
        if (v.success || (await keeper.confirmMissing(turnKey(ask.pid, at))))
          return { verdict: refused(404, 'missing-turn', `no such turn: ${at}`) };
        return { verdict: refused(503, 'unavailable', 'the history cannot be read just now', 1) };
      }
      if (v.data.status !== 'done') return { verdict: refused(409, 'not-finished', `turn ${at} has not finished`) };
      sticky ||= v.data.pool;
      out.push({ role: 'assistant', text: v.data.pieces.join('') }, { role: 'user', text: v.data.words });
      at = v.data.after;
    }
    return { messages: out.reverse(), sticky };
  }

  private async place(job: Job, emit: EmitPiece, gone: AbortSignal): Promise<Verdict> {
    const { config, messages, sticky } = job;
    const prefixes = prefixesOf(messages);
    const skip = new Set<string>();
    const end = this.s.p.clock.now() + config.bounds.turnMs / 4;
    const prefixKey = `${rootOf(job.ask.pid)}`;
    for (;;) {
      const left = end - this.s.p.clock.now();
      if (left <= 0) return refused(503, 'line-late', 'no server came free in time', 2);
      if (this.left(job, prefixKey) <= 0) return refused(402, 'budget-spent', 'the budget is spent');
      const server = await this.s.place('turn', job.ask.path, prefixes, sticky, skip, left, gone);
      const t0 = this.s.p.clock.now();
      let ended: (Ended & { tokens?: number }) | undefined;
      try {
        const reserve = this.reserve(job, prefixKey);
        if (reserve <= 0) return refused(402, 'budget-spent', 'the budget is spent');
        const value: TurnValue = {
          t: 'turn', status: 'reserved', after: job.ask.after, digest: job.body, words: job.ask.words,
          pool: server.pool, server: server.id, cost: reserve, pieces: [],
        };
        try {
          await job.keeper.put(turnKey(job.ask.pid, job.turn), value);
        } finally {
          this.reserving.set(prefixKey, (this.reserving.get(prefixKey) ?? 0) - reserve);
        }
        if (gone.aborted || !this.s.mayRun(server, 'turn', job.ask.path)) {
          await this.settle(job, { ...value, status: 'void', cost: 0 });
          if (gone.aborted || !this.s.fresh) return refused(503, gone.aborted ? 'gone' : 'not-ready', 'nothing was run', 1);
          skip.add(server.id);
          continue;
        }
        const out = await this.run(job, server, value, emit, gone);
        ended = out.ended;
        if (out.verdict) return out.verdict;
        skip.add(server.id);
      } finally {
        const took = (this.s.p.clock.now() - t0) / 1000;
        const tokens = ended?.kind === 'done' ? ended.tokens : undefined;
        this.s.finished(server, !ended || ended.kind === 'done' || ended.kind === 'declined' || gone.aborted, tokens === undefined ? undefined : tokens / Math.max(0.001, took));
      }
    }
  }

  private left(job: Job, root: string): number {
    const program = ProgramValue.parse(job.keeper.get(programKey(root)));
    return program.budget - job.keeper.spent(root) - (this.reserving.get(root) ?? 0);
  }

  private reserve(job: Job, root: string): number {
    const want = Math.min(job.ask.maxTokens ?? job.config.budgets.turn, job.config.budgets.turn, this.left(job, root));
    if (want > 0) this.reserving.set(root, (this.reserving.get(root) ?? 0) + want);
    return want;
  }

  private async settle(job: Job, value: TurnValue): Promise<void> {
    await job.keeper.putSoon(turnKey(job.ask.pid, job.turn), value, 20);
  }

  private async run(
    job: Job, server: Server, value: TurnValue, emit: EmitPiece, gone: AbortSignal,
  ): Promise<{ ended: Ended & { tokens?: number }; verdict?: Verdict }> {
    const pieces: string[] = [];
    const stop = new AbortController();
    const onGone = () => stop.abort();
    gone.addEventListener('abort', onGone, { once: true });
    const ended = await this.s.p.backend
      .generate(
        server,
        { id: `${job.ask.pid}/${job.turn}`, messages: job.messages, maxTokens: value.cost, inquiry: job.ask.inquiry },
        (n, text) => {
          if (n !== pieces.length || pieces.length >= value.cost) {
            stop.abort();
            return;
          }
          pieces.push(text);
          emit(n, text);
        },
        stop.signal,
        job.config.bounds.turnMs,
        () => this.s.mayRun(server, 'turn', job.ask.path),
      )
      .finally(() => gone.removeEventListener('abort', onGone));
    if (ended.kind === 'never-left' || ended.kind === 'declined') {
      await this.settle(job, { ...value, status: 'void', cost: 0 });
      return { ended };
    }
    if (ended.kind === 'lost' || stop.signal.aborted || ended.body !== pieces.length) {
      const text = ended.kind === 'lost' ? ended.text : 'the stream did not hold together';
      await this.settle(job, { ...value, status: 'failed', pieces }).catch(() => undefined);
      return { ended: { kind: 'lost', text }, verdict: unknown(text, 'broken-off') };
    }
    const whole: TurnValue = { ...value, status: 'done', cost: pieces.length, pieces };
    try {
      await this.settle(job, whole);
    } catch (e) {
      throw new Mishap('unknown', `the turn ran but could not be kept: ${mishapOf(e).message}`, 'unknown');
    }
    return { ended: { ...ended, tokens: pieces.length }, verdict: done({ end: endOf(job.turn, whole) }) };
  }
}
