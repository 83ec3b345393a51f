import type { Config, Route, Server } from '@tillerstair/state';
import { RpcError, toRpcError } from '@tillerstair/wire';
import type { BackendOutcome, ResponseHead } from './backend.js';
import { Events } from './events.js';
import type { SlotReplicator } from './slot-replicator.js';
import { prefixBlocksOfParts, type PrefixBlock } from './prompt-prefix.js';
import type { EmitChunk } from './turns.js';
import type { SessionOwner } from './session-owner.js';
import {
  done,
  routeUnknown,
  outcomeOfError,
  passPath,
  PassTurn,
  refused,
  unknown,
  unpacked,
  type PassAsk,
  type CallOutcome,
} from './messages.js';

const gone404 = 404;
const isSuccess = (status: number): boolean => status >= 200 && status < 300;
const named = (id: string): string => encodeURIComponent(id).replaceAll('~', '%7E');
export const streamProgram = (ask: PassAsk): string =>
  `x-${named(ask.program === '' ? `a-${ask.attempt}` : ask.program)}`;
const turnKey = (pid: string, attempt: string): string => `p/${pid}/t/${named(attempt)}`;

/** The slot key of a streamed request's owner; empty when any front may carry it. */
export const streamSlotKey = (ask: PassAsk, route: Route): string =>
  ask.program === '' && ask.after === '' && (route.pass?.turnRetentionMs ?? 0) === 0
    ? ''
    : `p/${streamProgram(ask)}`;

interface Ancestor {
  readonly attempt: string;
  readonly turn: PassTurn;
  readonly own: boolean;
}

interface Run {
  readonly ask: PassAsk;
  readonly path: string;
  readonly kept: boolean;
  readonly body: Uint8Array;
  readonly parts: readonly PrefixBlock[];
  readonly replicator: SlotReplicator | undefined;
  readonly key: string;
  readonly end: number;
  readonly tries: number;
  readonly resumable: boolean;
  readonly events: Events;
  readonly emit: EmitChunk;
  /** Whether the head of an answer went to the caller, how many chunks, and whether some were bytes of no event. */
  readonly out: { headed: boolean; n: number; plain: boolean };
}

export class Streams {
  private readonly running = new Set<string>();
  private readonly reserving = new Map<string, number>();

  constructor(private readonly s: SessionOwner) {}

  async stream(ask: PassAsk, emit: EmitChunk, gone: AbortSignal): Promise<CallOutcome> {
    const { config } = this.s.requireLease();
    if (!config) return refused(503, 'not-ready', 'no configuration yet', 1);
    const path = passPath(ask);
    const route = this.s.findRoute('pass', path);
    if (!route?.pass) throw routeUnknown(path);
    const slotKey = streamSlotKey(ask, route);
    const replicator = slotKey === '' ? undefined : this.s.replicator(slotKey);
    const key = turnKey(streamProgram(ask), ask.attempt);
    if (this.running.has(key)) return refused(409, 'running', 'this try is under way');
    this.running.add(key);
    const leave = replicator?.enter();
    try {
      return await this.go(ask, route, config, replicator, key, emit, gone);
    } catch (e) {
      return outcomeOfError(toRpcError(e));
    } finally {
      leave?.();
      this.running.delete(key);
    }
  }

  private async go(
    ask: PassAsk,
    route: Route,
    config: Config,
    replicator: SlotReplicator | undefined,
    key: string,
    emit: EmitChunk,
    gone: AbortSignal,
  ): Promise<CallOutcome> {
    const rules = route.pass;
    if (!rules) throw routeUnknown(passPath(ask));
    const kept = rules.turnRetentionMs > 0;
    if (replicator?.get(key) !== undefined) {
      const old = PassTurn.safeParse(replicator.get(key));
      if (!old.success || old.data.status !== 'void')
        return unknown('this try was under way before; it is not run again');
    }
    const chain = kept && ask.after !== '' && replicator ? await this.chain(replicator, ask) : [];
    if ('outcome' in chain) return chain;
    const body = Buffer.concat([
      ...chain.flatMap(({ turn }) => [unpacked(turn.input), Buffer.from(turn.output, 'latin1')]),
      unpacked(ask.body),
    ]);
    const foreign = chain.filter((a) => !a.own);
    if (replicator)
      await Promise.all(
        foreign.map((a) =>
          replicator.put(turnKey(streamProgram(ask), a.attempt), {
            ...a.turn,
            cost: 0,
          } satisfies PassTurn),
        ),
      );
    const run: Run = {
      ask,
      path: passPath(ask),
      kept,
      body,
      replicator,
      key,
      emit,
      parts: prefixBlocksOfParts(ask.parts),
      end: this.s.p.clock.now() + Math.min(ask.left, rules.deadlineMs),
      tries: rules.tries,
      resumable: rules.resumable,
      events: new Events(),
      out: { headed: false, n: 0, plain: false },
    };
    return this.tryServers(run, config, gone);
  }

  private async chain(
    replicator: SlotReplicator,
    ask: PassAsk,
  ): Promise<readonly Ancestor[] | CallOutcome> {
    const out: Ancestor[] = [];
    const away = new Map<string, PassTurn>();
    for (let at = ask.after; at !== '';) {
      const key = turnKey(streamProgram(ask), at);
      const mine = PassTurn.safeParse(replicator.get(key));
      const turn = mine.success ? mine.data : away.get(at);
      if (!turn) {
        const found = await this.s.findTurn(named(at));
        if (found.length === 0) return refused(gone404, 'missing-turn', `no such turn: ${at}`);
        for (const [attempt, t] of found) away.set(decodeURIComponent(attempt), t);
        if (!away.has(at))
          return refused(503, 'unavailable', 'the history cannot be read just now', 0.3);
        continue;
      }
      if (turn.status === 'reserved')
        return refused(503, 'not-finished', `turn ${at} has not finished`, 0.2);
      if (turn.status !== 'done')
        return refused(gone404, 'missing-turn', `turn ${at} did not end whole`);
      out.push({ attempt: at, turn, own: mine.success });
      at = turn.after;
    }
    return out.reverse();
  }

  private blockTokens(config: Config, server: Server): number {
    return config.pools.find((p) => p.name === server.pool)?.engine?.blockTokens ?? 1;
  }

  private root(run: Run): string {
    return streamProgram(run.ask);
  }

  private async tryServers(run: Run, config: Config, gone: AbortSignal): Promise<CallOutcome> {
    const { clock } = this.s.p;
    const { ask, replicator } = run;
    const root = this.root(run);
    const skip = new Set<string>();
    let noted = false;
    let offered = 0;
    let lost = '';
    let cost = 0;
    const reserved: PassTurn = {
      t: 'pass',
      status: 'reserved',
      after: ask.after,
      cost: ask.most,
      input: '',
      output: '',
    };
    const end = async (v: CallOutcome): Promise<CallOutcome> => {
      if (noted)
        await this.settle(run, {
          ...reserved,
          status: lost === '' ? 'void' : 'failed',
          cost,
        }).catch(() => undefined);
      return v;
    };
    const giveUp = (v: CallOutcome): Promise<CallOutcome> =>
      end(lost !== '' ? unknown(lost, 'broken-off') : v);
    for (;;) {
      const left = run.end - clock.now();
      if (left <= 0)
        return giveUp(refused(503, 'queue-timeout', 'no server came free in time', 0.3));
      if (offered >= run.tries)
        return giveUp(refused(503, 'no-server', 'the servers tried did not run it', 0.2));
      if (!noted && replicator && this.overBudget(run, root))
        return refused(402, 'budget-spent', 'the budget is spent');
      const server = await this.s
        .place('pass', run.path, run.parts, '', skip, left, gone)
        .catch((e: unknown) => toRpcError(e));
      if (server instanceof RpcError) return giveUp(outcomeOfError(server));
      let ok = true;
      try {
        if (!noted && replicator) {
          if (this.overBudget(run, root))
            return refused(402, 'budget-spent', 'the budget is spent');
          this.reserving.set(root, (this.reserving.get(root) ?? 0) + ask.most);
          try {
            await replicator.put(run.key, reserved);
          } finally {
            this.free(root, ask.most);
          }
        }
        noted = true;
        if (gone.aborted) return await giveUp(refused(503, 'gone', 'the caller is gone', 1));
        if (!this.s.mayRun(server, 'pass', run.path)) {
          skip.add(server.id);
          if (!this.s.leaseValid)
            return await giveUp(refused(503, 'not-ready', 'the control link is down', 1));
          continue;
        }
        const ended = await this.send(run, server, gone);
        ok = ended.kind === 'done' || ended.kind === 'declined' || gone.aborted;
        if (ended.kind !== 'never-left') offered++;
        skip.add(server.id);
        if (ended.kind === 'never-left' || ended.kind === 'declined') continue;
        cost = run.events.count * this.blockTokens(config, server);
        if (ended.kind === 'done') return await this.whole(run, ended.code, cost);
        lost = ended.text;
        if (
          run.resumable &&
          !run.events.unnamed &&
          !run.out.plain &&
          !gone.aborted &&
          offered < run.tries &&
          run.end > clock.now()
        ) {
          run.events.drop();
          continue;
        }
        void this.settle(run, { ...reserved, status: 'failed', cost }).catch(() => undefined);
        return unknown(ended.text, 'broken-off');
      } finally {
        this.s.finished(server, ok);
      }
    }
  }

  private free(root: string, most: number): void {
    const now = (this.reserving.get(root) ?? 0) - most;
    if (now > 0) this.reserving.set(root, now);
    else this.reserving.delete(root);
  }

  private overBudget(run: Run, root: string): boolean {
    const { ask, replicator } = run;
    if (!replicator || ask.budget === null) return false;
    return replicator.costOf(root) + (this.reserving.get(root) ?? 0) + ask.most > ask.budget;
  }

  private async whole(run: Run, code: number, cost: number): Promise<CallOutcome> {
    const good = isSuccess(code);
    const turn: PassTurn = {
      t: 'pass',
      status: good ? 'done' : 'failed',
      after: run.ask.after,
      cost,
      input: run.kept && good ? run.ask.body : '',
      output: run.kept && good ? run.events.data : '',
    };
    const settled = this.settle(run, turn);
    if (run.kept && good) {
      try {
        await settled;
      } catch (e) {
        return unknown(`the turn ran but could not be kept: ${toRpcError(e).message}`);
      }
    } else void settled.catch(() => undefined);
    return done({ end: { chunks: run.out.n } });
  }

  private settle(run: Run, turn: PassTurn): Promise<void> {
    return run.replicator ? run.replicator.putWithRetry(run.key, turn, 20) : Promise.resolve();
  }

  private async send(run: Run, server: Server, gone: AbortSignal): Promise<BackendOutcome> {
    const { ask, events, out } = run;
    const { backend, clock } = this.s.p;
    const first = !out.headed;
    let status = 200;
    const say = (text: string): void => run.emit(out.n++, text);
    const stop = new AbortController();
    const onGone = () => stop.abort();
    gone.addEventListener('abort', onGone, { once: true });
    let plain = false;
    const failure: { head: ResponseHead | undefined; body: string } = { head: undefined, body: '' };
    const sink = {
      head: (head: ResponseHead) => {
        status = head.status;
        plain = !head.headers.some(
          ([k, v]) => k.toLowerCase() === 'content-type' && v.includes('event-stream'),
        );
        if (first && !isSuccess(status)) failure.head = head;
        else if (first) {
          out.headed = true;
          say(JSON.stringify(head));
        } else if (status !== 200 || plain) stop.abort();
      },
      bytes: (text: string) => {
        if (stop.signal.aborted) return;
        if (failure.head) {
          failure.body += text;
          return;
        }
        out.plain ||= plain;
        const whole = plain ? text : events.take(text);
        if (whole !== '') say(whole);
      },
      load: (b: { running: number; waiting: number; places: number }) =>
        this.s.placement.recordReportedLoad(server, b),
    };
    const resume = events.lastId === '' ? ask.resume : events.lastId;
    const ended = await backend
      .pass(
        server,
        { ...ask, body: run.body, resume },
        sink,
        stop.signal,
        run.end - clock.now(),
        () => this.s.mayRun(server, 'pass', run.path),
      )
      .finally(() => gone.removeEventListener('abort', onGone));
    if (ended.kind !== 'done') return ended;
    if (stop.signal.aborted)
      return { kind: 'lost', text: 'the caller is gone or the stream could not go on' };
    if (failure.head) {
      out.headed = true;
      say(JSON.stringify(failure.head));
      if (failure.body !== '') say(failure.body);
      return { ...ended, code: status };
    }
    if (!plain && events.torn) return { kind: 'lost', text: 'the stream stopped within an event' };
    if (!plain && events.tail !== '') say(events.tail);
    return { ...ended, code: status };
  }
}
