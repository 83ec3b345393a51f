import { createHash } from 'node:crypto';
import { rootProgramId, type Config, type Server } from '@tillerstair/state';
import { ProtocolError, toRpcError } from '@tillerstair/wire';
import type { Ended, Message } from './backend.js';
import type { SlotReplicator } from './slot-replicator.js';
import { prefixesOf } from './placement.js';
import type { SessionOwner } from './session-owner.js';
import {
  done,
  outcomeOfError,
  ProgramValue,
  refused,
  TurnValue,
  unknown,
  type HistoryAsk,
  type ProgramAsk,
  type TurnAsk,
  type CallOutcome,
} from './messages.js';

export type EmitChunk = (n: number, text: string) => void;

const digest = (text: string): string =>
  createHash('sha256').update(text).digest('hex').slice(0, 16);
export const turnIdOf = (pid: string, key: string): string => `t-${digest(`${pid}\n${key}`)}`;
export const textDigest = (chunks: readonly string[]): string => digest(chunks.join(''));

const programKey = (pid: string): string => `p/${pid}`;
const turnKey = (pid: string, turn: string): string => `p/${pid}/t/${turn}`;

const endOf = (turn: string, v: TurnValue): object => ({
  turn,
  chunks: v.chunks.length,
  tokens: v.cost,
  digest: textDigest(v.chunks),
});

interface Job {
  readonly replicator: SlotReplicator;
  readonly ask: TurnAsk;
  readonly turn: string;
  readonly body: string;
  readonly config: Config;
  readonly messages: readonly Message[];
  readonly sticky: string;
}

export class Turns {
  private readonly running = new Map<string, Promise<CallOutcome>>();
  private readonly reserving = new Map<string, number>();

  constructor(private readonly s: SessionOwner) {}

  async program(ask: ProgramAsk): Promise<CallOutcome> {
    const table = this.s.requireLease();
    const replicator = this.s.replicator(this.s.programSlotKey(ask.pid));
    const key = programKey(ask.pid);
    const budget = Math.min(
      ask.budget ?? table.config?.budgets.program ?? 1,
      table.config?.budgets.program ?? 1,
    );
    const old = ProgramValue.safeParse(replicator.get(key));
    if (old.success) {
      if (old.data.tenant !== ask.tenant) return refused(404, 'missing', 'no such program');
      return done({ program: ask.pid, budget: old.data.budget }, 201);
    }
    if (ask.parent !== undefined) {
      const parent = await this.lookUp(replicator, ask.parent, ask.tenant);
      if (!parent.program) return parent.outcome;
    }
    const value: ProgramValue = {
      t: 'program',
      tenant: ask.tenant,
      budget,
      parent: ask.parent ?? null,
    };
    await replicator.put(key, value);
    return done({ program: ask.pid, budget: ask.parent === undefined ? budget : null }, 201);
  }

  private async lookUp(
    replicator: SlotReplicator,
    pid: string,
    tenant: string,
  ): Promise<{ program?: ProgramValue; outcome: CallOutcome }> {
    const got = ProgramValue.safeParse(replicator.get(programKey(pid)));
    if (!got.success) {
      if (await replicator.confirmMissing(programKey(pid)))
        return { outcome: refused(404, 'missing', 'no such program') };
      return { outcome: refused(503, 'unavailable', 'the program cannot be read just now', 1) };
    }
    if (got.data.tenant !== tenant) return { outcome: refused(404, 'missing', 'no such program') };
    return { program: got.data, outcome: done(got.data) };
  }

  async history(ask: HistoryAsk): Promise<CallOutcome> {
    const replicator = this.s.replicator(this.s.programSlotKey(ask.pid));
    const { program, outcome } = await this.lookUp(replicator, ask.pid, ask.tenant);
    if (!program) return outcome;
    if (ask.turn === undefined) {
      const turns = replicator.turnsOf(ask.pid).flatMap((key) => {
        const v = TurnValue.safeParse(replicator.get(key));
        return v.success && v.data.status === 'done'
          ? [{ turn: key.split('/')[3], after: v.data.after, tokens: v.data.cost }]
          : [];
      });
      return done({
        program: ask.pid,
        parent: program.parent,
        budget: program.budget,
        spent: replicator.spent(rootProgramId(ask.pid)),
        turns,
      });
    }
    const v = TurnValue.safeParse(replicator.get(turnKey(ask.pid, ask.turn)));
    if (v.success && v.data.status === 'done')
      return done({
        ...endOf(ask.turn, v.data),
        after: v.data.after,
        words: v.data.words,
        text: v.data.chunks.join(''),
      });
    if (v.success && this.running.has(turnKey(ask.pid, ask.turn)))
      return refused(409, 'running', 'the turn is still running', 1);
    if (v.success && v.data.status !== 'void') return unknown('the turn broke off', 'broken-off');
    if (v.success || (await replicator.confirmMissing(turnKey(ask.pid, ask.turn))))
      return refused(404, 'missing', 'no such turn');
    return refused(503, 'unavailable', 'the turn cannot be read just now', 1);
  }

  async turn(ask: TurnAsk, emit: EmitChunk, gone: AbortSignal): Promise<CallOutcome> {
    const { config } = this.s.requireLease();
    if (!config) return refused(503, 'not-ready', 'no configuration yet', 1);
    const replicator = this.s.replicator(this.s.programSlotKey(ask.pid));
    const turn = turnIdOf(ask.pid, ask.key);
    const key = turnKey(ask.pid, turn);
    const body = digest(JSON.stringify([ask.after, ask.path, ask.words]));
    const run = this.running.get(key);
    if (run) {
      const first = await run;
      const { program, outcome } = await this.lookUp(replicator, ask.pid, ask.tenant);
      if (!program) return outcome;
      return first.outcome === 'done' ? this.replay(replicator, key, turn, body, emit) : first;
    }
    const going = this.attempt(replicator, config, ask, turn, body, emit, gone).catch(
      (e: unknown) => outcomeOfError(toRpcError(e)),
    );
    this.running.set(key, going);
    const leave = replicator.enter();
    return going.finally(() => {
      leave();
      this.running.delete(key);
    });
  }

  private async attempt(
    replicator: SlotReplicator,
    config: Config,
    ask: TurnAsk,
    turn: string,
    body: string,
    emit: EmitChunk,
    gone: AbortSignal,
  ): Promise<CallOutcome> {
    const { program, outcome } = await this.lookUp(replicator, ask.pid, ask.tenant);
    if (!program) return outcome;
    const old = TurnValue.safeParse(replicator.get(turnKey(ask.pid, turn)));
    if (old.success && old.data.status !== 'void')
      return this.replay(replicator, turnKey(ask.pid, turn), turn, body, emit);
    if (!this.s.findRoute('turn', ask.path))
      return refused(404, 'no-route', `no route takes turns at ${ask.path}`);
    const chain = await this.conversation(replicator, ask);
    if ('outcome' in chain) return chain.outcome;
    return this.place({ replicator, ask, turn, body, config, ...chain }, emit, gone);
  }

  private replay(
    replicator: SlotReplicator,
    key: string,
    turn: string,
    body: string,
    emit: EmitChunk,
  ): CallOutcome {
    const v = TurnValue.safeParse(replicator.get(key));
    if (!v.success || v.data.status === 'void')
      return refused(503, 'unavailable', 'the turn cannot be read just now', 1);
    if (v.data.digest !== body)
      return refused(422, 'other-body', 'this key was used with other words');
    if (v.data.status !== 'done')
      return unknown('the turn broke off and is not run again', 'broken-off');
    v.data.chunks.forEach((text, n) => emit(n, text));
    return done({ end: endOf(turn, v.data) });
  }

  private async conversation(
    replicator: SlotReplicator,
    ask: TurnAsk,
  ): Promise<{ messages: readonly Message[]; sticky: string } | { outcome: CallOutcome }> {
    const out: Message[] = [{ role: 'user', text: ask.words }];
    let sticky = '';
    for (let at = ask.after; at !== null;) {
      const v = TurnValue.safeParse(replicator.get(turnKey(ask.pid, at)));
      if (!v.success || v.data.status === 'void') {
        if (v.success || (await replicator.confirmMissing(turnKey(ask.pid, at))))
          return { outcome: refused(404, 'missing-turn', `no such turn: ${at}`) };
        return { outcome: refused(503, 'unavailable', 'the history cannot be read just now', 1) };
      }
      if (v.data.status !== 'done')
        return { outcome: refused(409, 'not-finished', `turn ${at} has not finished`) };
      sticky ||= v.data.pool;
      out.push(
        { role: 'assistant', text: v.data.chunks.join('') },
        { role: 'user', text: v.data.words },
      );
      at = v.data.after;
    }
    return { messages: out.reverse(), sticky };
  }

  private async place(job: Job, emit: EmitChunk, gone: AbortSignal): Promise<CallOutcome> {
    const { config, messages, sticky } = job;
    const prefixes = prefixesOf(messages);
    const skip = new Set<string>();
    const end = this.s.p.clock.now() + config.bounds.turnMs / 4;
    const prefixKey = `${rootProgramId(job.ask.pid)}`;
    for (;;) {
      const left = end - this.s.p.clock.now();
      if (left <= 0) return refused(503, 'queue-timeout', 'no server came free in time', 2);
      if (this.left(job, prefixKey) <= 0)
        return refused(402, 'budget-spent', 'the budget is spent');
      const server = await this.s.place('turn', job.ask.path, prefixes, sticky, skip, left, gone);
      const t0 = this.s.p.clock.now();
      let ended: (Ended & { tokens?: number }) | undefined;
      try {
        const reserve = this.reserve(job, prefixKey);
        if (reserve <= 0) return refused(402, 'budget-spent', 'the budget is spent');
        const value: TurnValue = {
          t: 'turn',
          status: 'reserved',
          after: job.ask.after,
          digest: job.body,
          words: job.ask.words,
          pool: server.pool,
          server: server.id,
          cost: reserve,
          chunks: [],
        };
        try {
          await job.replicator.put(turnKey(job.ask.pid, job.turn), value);
        } finally {
          this.reserving.set(prefixKey, (this.reserving.get(prefixKey) ?? 0) - reserve);
        }
        if (gone.aborted || !this.s.mayRun(server, 'turn', job.ask.path)) {
          await this.settle(job, { ...value, status: 'void', cost: 0 });
          if (gone.aborted || !this.s.leaseValid)
            return refused(503, gone.aborted ? 'gone' : 'not-ready', 'nothing was run', 1);
          skip.add(server.id);
          continue;
        }
        const out = await this.run(job, server, value, emit, gone);
        ended = out.ended;
        if (out.outcome) return out.outcome;
        skip.add(server.id);
      } finally {
        const took = (this.s.p.clock.now() - t0) / 1000;
        const tokens = ended?.kind === 'done' ? ended.tokens : undefined;
        this.s.finished(
          server,
          !ended || ended.kind === 'done' || ended.kind === 'declined' || gone.aborted,
          tokens === undefined ? undefined : tokens / Math.max(0.001, took),
        );
      }
    }
  }

  private left(job: Job, root: string): number {
    const program = ProgramValue.parse(job.replicator.get(programKey(root)));
    return program.budget - job.replicator.spent(root) - (this.reserving.get(root) ?? 0);
  }

  private reserve(job: Job, root: string): number {
    const want = Math.min(
      job.ask.maxTokens ?? job.config.budgets.turn,
      job.config.budgets.turn,
      this.left(job, root),
    );
    if (want > 0) this.reserving.set(root, (this.reserving.get(root) ?? 0) + want);
    return want;
  }

  private async settle(job: Job, value: TurnValue): Promise<void> {
    await job.replicator.putSoon(turnKey(job.ask.pid, job.turn), value, 20);
  }

  private async run(
    job: Job,
    server: Server,
    value: TurnValue,
    emit: EmitChunk,
    gone: AbortSignal,
  ): Promise<{ ended: Ended & { tokens?: number }; outcome?: CallOutcome }> {
    const chunks: string[] = [];
    const stop = new AbortController();
    const onGone = () => stop.abort();
    gone.addEventListener('abort', onGone, { once: true });
    const ended = await this.s.p.backend
      .generate(
        server,
        {
          id: `${job.ask.pid}/${job.turn}`,
          messages: job.messages,
          maxTokens: value.cost,
          requestId: job.ask.requestId,
        },
        (n, text) => {
          if (n !== chunks.length || chunks.length >= value.cost) {
            stop.abort();
            return;
          }
          chunks.push(text);
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
    if (ended.kind === 'lost' || stop.signal.aborted || ended.body !== chunks.length) {
      const text = ended.kind === 'lost' ? ended.text : 'the stream did not hold together';
      await this.settle(job, { ...value, status: 'failed', chunks }).catch(() => undefined);
      return { ended: { kind: 'lost', text }, outcome: unknown(text, 'broken-off') };
    }
    const whole: TurnValue = { ...value, status: 'done', cost: chunks.length, chunks };
    try {
      await this.settle(job, whole);
    } catch (e) {
      throw new ProtocolError(
        'unknown',
        `the turn ran but could not be kept: ${toRpcError(e).message}`,
        'unknown',
      );
    }
    return {
      ended: { ...ended, tokens: chunks.length },
      outcome: done({ end: endOf(job.turn, whole) }),
    };
  }
}
