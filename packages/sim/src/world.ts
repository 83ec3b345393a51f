/** A simulated world with callers: each request is recorded with its caller's outcome. */
import type { PassRecord, ReplyRecord } from '@tillerstair/checker';
import type { Front } from '@tillerstair/proxy';
import { opKeyOf, type CallOutcome, type EmitChunk } from '@tillerstair/session-owner';
import { rootProgramId } from '@tillerstair/state';
import { z } from 'zod';
import { untilFrontAnswers } from './front-call.js';
import type { Machine } from './machine.js';
import { SimCluster } from './sim-cluster.js';

const tenant = 't';
const forwardTimeoutMs = 120000;
/** Servers record only the last characters of a prompt; prompts are padded to this length to keep them distinct. */
const promptLength = 60;

const TurnEnd = z.object({ end: z.object({ turn: z.string(), tokens: z.number() }) });
const CallResult = z.object({ by: z.string(), key: z.string() });
const FetchedTurn = z.object({ text: z.string() });

/** A request of the product's interface, as the HTTP side of a front forwards it. */
interface FrontRequest {
  readonly kind: 'front/program' | 'front/turn' | 'front/history' | 'front/call';
  readonly slotKey: string;
  readonly body: object;
}

type RecordBase = Partial<ReplyRecord> & Pick<ReplyRecord, 'kind' | 'from'>;

/** The machines of a world, and the callers of its fronts. Without `at`, a request goes to a random running front. */
export class World extends SimCluster {
  readonly reported: ReplyRecord[] = [];
  readonly passes: PassRecord[] = [];

  /** Creates a program with a budget in tokens; with `parent`, a sub-agent of that program. */
  async program(budget: number, at?: Machine, parent?: string): Promise<ReplyRecord> {
    const from = this.clock.now();
    const pid =
      parent === undefined ? `p-${this.freshId()}` : `${rootProgramId(parent)}~${this.freshId()}`;
    const body = { tenant, pid, budget, ...(parent === undefined ? {} : { parent }) };
    const slotKey = `p/${rootProgramId(pid)}`;
    const outcome = await this.request({ kind: 'front/program', slotKey, body }, at);
    return this.record({ kind: 'program', from, program: pid, sent: String(budget) }, outcome);
  }

  /** Sends a turn and reads its stream. */
  async turn(
    program: string,
    after: string | null,
    prompt: string,
    key: string,
    at?: Machine,
  ): Promise<ReplyRecord> {
    const from = this.clock.now();
    const attempt = this.nextAttempt();
    const sent = prompt.padEnd(promptLength, ' ');
    const slotKey = `p/${rootProgramId(program)}`;
    const body = {
      tenant,
      pid: program,
      after,
      path: '/chat',
      words: sent,
      key,
      requestId: attempt,
    };
    const chunks: number[] = [];
    let text = '';
    const outcome = await this.request({ kind: 'front/turn', slotKey, body }, at, (index, part) => {
      chunks.push(index);
      text += part;
    });
    const base = { kind: 'turn' as const, from, program, key, attempt, after: after ?? '', sent };
    const stream = { chunks: [...chunks], text, reported: reportedOfStream(outcome, chunks) };
    const end = TurnEnd.safeParse(outcome.body).data?.end;
    const ending = end ? { turn: end.turn, tokens: end.tokens } : {};
    return this.record({ ...base, ...stream, ...ending }, outcome);
  }

  /** Reads a turn from the history. */
  async fetch(program: string, turn: string, at?: Machine): Promise<ReplyRecord> {
    const from = this.clock.now();
    const slotKey = `p/${rootProgramId(program)}`;
    const body = { tenant, pid: program, turn };
    const outcome = await this.request({ kind: 'front/history', slotKey, body }, at);
    const text = FetchedTurn.safeParse(outcome.body).data?.text ?? '';
    return this.record({ kind: 'fetch', from, program, turn, text }, outcome);
  }

  /** Sends a keyed call. */
  async call(key: string, path: string, body: unknown, at?: Machine): Promise<ReplyRecord> {
    const from = this.clock.now();
    const sent = JSON.stringify(body);
    const attempt = this.nextAttempt();
    const call = { tenant, path, key, body: sent, requestId: attempt };
    const slotKey = opKeyOf(tenant, key);
    const outcome = await this.request({ kind: 'front/call', slotKey, body: call }, at);
    const result = CallResult.safeParse(outcome.body).data;
    const text = result ? `${result.by} ${result.key}` : '';
    return this.record({ kind: 'call', from, key, attempt, sent, text }, outcome);
  }

  /** Sends a request to a front like a caller; the outcome is `no-front` if no front is up. */
  async sendAsCaller(
    at: Machine | undefined,
    send: (front: Front, emit: EmitChunk, signal: AbortSignal) => Promise<CallOutcome>,
    onChunk: EmitChunk,
  ): Promise<CallOutcome> {
    const machine = at ?? this.anyFront();
    const front = machine?.front;
    if (!front) return { outcome: 'refused', status: 0, errorCode: 'no-front' };
    return untilFrontAnswers(this.clock, machine.proxyIncarnation, (emitThrough, signal) =>
      send(front, (index, text) => emitThrough(() => onChunk(index, text)), signal),
    );
  }

  private anyFront(): Machine | undefined {
    const fronts = this.of('front').filter((machine) => machine.up);
    return fronts.at(Math.floor(this.rng() * fronts.length));
  }

  private request(
    { kind, slotKey, body }: FrontRequest,
    at: Machine | undefined,
    onChunk: EmitChunk = () => undefined,
  ): Promise<CallOutcome> {
    return this.sendAsCaller(
      at,
      (front, emit, signal) =>
        front.forward({ kind, slotKey, body, timeoutMs: forwardTimeoutMs }, emit, signal),
      onChunk,
    );
  }

  private nextAttempt(): string {
    return `i${this.nextIdNumber()}`;
  }

  private record(base: RecordBase, outcome: CallOutcome): ReplyRecord {
    const record: ReplyRecord = {
      tenant,
      program: '',
      key: '',
      attempt: '',
      turn: '',
      after: '',
      to: this.clock.now(),
      reported: outcome.outcome,
      errorCode: outcome.errorCode ?? '',
      chunks: [],
      text: '',
      tokens: 0,
      sent: '',
      retryAfter: outcome.retryAfter ?? 0,
      ...base,
    };
    this.reported.push(record);
    return record;
  }
}

const reportedOfStream = (
  { outcome }: CallOutcome,
  chunks: readonly number[],
): ReplyRecord['reported'] => (outcome !== 'done' && chunks.length > 0 ? 'partial' : outcome);
