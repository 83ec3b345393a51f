/**
 * Programs and turns of the product's own interface: a turn is identified by its program and key and runs at most once.
 *
 * Holds the turns that are running here, by the key of their record; programs and finished turns are in the slot's
 * replicas. A key is bound to one request body; a repeated request gets the response of the finished turn from its
 * record.
 */
import { rootProgramId, type Config } from '@tillerstair/state';
import { toRpcError } from '@tillerstair/wire';
import { AttemptMachine } from './attempt-machine.js';
import type { ConversationMessage } from './backend.js';
import type {
  CallOutcome,
  EmitChunk,
  HistoryRequest,
  ProgramRequest,
  TurnRequest,
} from './messages.js';
import { done, outcomeOfError, refused, unknown } from './outcomes.js';
import type { OwnerServices } from './owner-services.js';
import { PendingReservations } from './pending-reservations.js';
import { retryAfterSeconds, status, unreadable } from './refusals.js';
import { shortDigest } from './short-digest.js';
import type { SlotReplicator } from './slot-replicator.js';
import { ProgramValue, TurnValue } from './stored-values.js';
import { TurnAttempts } from './turn-attempts.js';
import {
  programKey,
  programSlotKey,
  turnIdOf,
  turnKey,
  turnIdOfKey,
  turnSummary,
} from './turn-records.js';

const created = 201;

const programMissing = (): CallOutcome => refused(status.notFound, 'missing', 'no such program');

/** The result of looking up a program: the program, or the refusal to respond with. */
type ProgramLookup = { readonly program: ProgramValue } | { readonly refusal: CallOutcome };

/** The conversation that a turn continues, and the pool that served it. */
interface Conversation {
  /** Oldest first, including the new user message. */
  readonly messages: readonly ConversationMessage[];
  /** The pool of the previous turn; empty for the first turn. */
  readonly stickyPool: string;
}

/** A request for a turn, with its turn id, the key of its record and the replicator that stores the record. */
interface TurnLookup {
  readonly request: TurnRequest;
  readonly config: Config;
  readonly replicator: SlotReplicator;
  readonly turn: string;
  readonly key: string;
  readonly bodyDigest: string;
  readonly emit: EmitChunk;
}

/** Serves the programs and turns of the slots that this front owns. */
export class Turns {
  private readonly running = new Map<string, Promise<CallOutcome>>();
  private readonly pending = new PendingReservations();

  constructor(private readonly owner: OwnerServices) {}

  /**
   * Creates a program, or responds with the existing one. A sub-program (one with a `parent`) spends the budget of its
   * root program.
   */
  async createProgram(request: ProgramRequest): Promise<CallOutcome> {
    const { pid, tenant, parent } = request;
    const { budgets } = this.owner.requireLease().config;
    const replicator = this.replicatorOf(pid);
    const budget = Math.min(request.budget ?? budgets.program, budgets.program);
    const existing = ProgramValue.safeParse(replicator.get(programKey(pid)));
    if (existing.success) {
      if (existing.data.tenant !== tenant) return programMissing();
      return done({ program: pid, budget: existing.data.budget }, created);
    }
    if (parent !== undefined) {
      const lookup = await this.findProgram(replicator, parent, tenant);
      if ('refusal' in lookup) return lookup.refusal;
    }
    const value: ProgramValue = { t: 'program', tenant, budget, parent: parent ?? null };
    await replicator.put(programKey(pid), value);
    return done({ program: pid, budget: parent === undefined ? budget : null }, created);
  }

  /** Responds with a program and its finished turns or, if the request has a turn, with that turn and its text. */
  async readHistory(request: HistoryRequest): Promise<CallOutcome> {
    const replicator = this.replicatorOf(request.pid);
    const lookup = await this.findProgram(replicator, request.pid, request.tenant);
    if ('refusal' in lookup) return lookup.refusal;
    return request.turn === undefined
      ? this.describeProgram(replicator, request.pid, lookup.program)
      : this.describeTurn(replicator, request.pid, request.turn);
  }

  /** Runs a turn, waits for the running turn of the same key, or repeats the response of a finished one. */
  async runTurn(request: TurnRequest, emit: EmitChunk, signal: AbortSignal): Promise<CallOutcome> {
    const { config } = this.owner.requireLease();
    const replicator = this.replicatorOf(request.pid);
    const turn = turnIdOf(request.pid, request.key);
    const key = turnKey(request.pid, turn);
    const bodyDigest = shortDigest(JSON.stringify([request.after, request.path, request.words]));
    const lookup: TurnLookup = { request, config, replicator, turn, key, bodyDigest, emit };
    const running = this.running.get(key);
    if (running) return this.joinTurn(lookup, running);
    const outcome = this.startTurn(lookup, signal).catch((error: unknown) =>
      outcomeOfError(toRpcError(error)),
    );
    this.running.set(key, outcome);
    const endRequest = replicator.beginRequest();
    return outcome.finally(() => {
      endRequest();
      this.running.delete(key);
    });
  }

  private replicatorOf(pid: string): SlotReplicator {
    return this.owner.replicator(programSlotKey(pid));
  }

  private async findProgram(
    replicator: SlotReplicator,
    pid: string,
    tenant: string,
  ): Promise<ProgramLookup> {
    const key = programKey(pid);
    const value = ProgramValue.safeParse(replicator.get(key));
    if (!value.success) {
      if (await replicator.confirmMissing(key)) return { refusal: programMissing() };
      return { refusal: unreadable('the program') };
    }
    if (value.data.tenant !== tenant) return { refusal: programMissing() };
    return { program: value.data };
  }

  private describeProgram(
    replicator: SlotReplicator,
    pid: string,
    program: ProgramValue,
  ): CallOutcome {
    const turns = replicator.turnKeysOf(pid).flatMap((key) => {
      const value = TurnValue.safeParse(replicator.get(key));
      return value.success && value.data.status === 'done'
        ? [{ turn: turnIdOfKey(key), after: value.data.after, tokens: value.data.cost }]
        : [];
    });
    return done({
      program: pid,
      parent: program.parent,
      budget: program.budget,
      spent: replicator.costOf(rootProgramId(pid)),
      turns,
    });
  }

  private async describeTurn(
    replicator: SlotReplicator,
    pid: string,
    turn: string,
  ): Promise<CallOutcome> {
    const key = turnKey(pid, turn);
    const value = TurnValue.safeParse(replicator.get(key));
    if (value.success && value.data.status === 'done')
      return done({
        ...turnSummary(turn, value.data),
        after: value.data.after,
        words: value.data.words,
        text: value.data.chunks.join(''),
      });
    if (value.success && this.running.has(key))
      return refused(
        status.conflict,
        'running',
        'the turn is still running',
        retryAfterSeconds.recovery,
      );
    if (value.success && value.data.status !== 'void')
      return unknown('the turn broke off', 'broken-off');
    if (value.success || (await replicator.confirmMissing(key)))
      return refused(status.notFound, 'missing', 'no such turn');
    return unreadable('the turn');
  }

  /**
   * Waits for the running turn of the same key. The caller's access to the program is checked as for a new turn; the
   * response of a finished turn is repeated from its record.
   */
  private async joinTurn(lookup: TurnLookup, running: Promise<CallOutcome>): Promise<CallOutcome> {
    const { request, replicator } = lookup;
    const first = await running;
    const program = await this.findProgram(replicator, request.pid, request.tenant);
    if ('refusal' in program) return program.refusal;
    return first.outcome === 'done' ? this.repeatTurn(lookup) : first;
  }

  private async startTurn(lookup: TurnLookup, signal: AbortSignal): Promise<CallOutcome> {
    const { request, replicator, key } = lookup;
    const program = await this.findProgram(replicator, request.pid, request.tenant);
    if ('refusal' in program) return program.refusal;
    const existing = TurnValue.safeParse(replicator.get(key));
    if (existing.success && existing.data.status !== 'void') return this.repeatTurn(lookup);
    if (!this.owner.findRoute('turn', request.path))
      return refused(status.notFound, 'no-route', `no route takes turns at ${request.path}`);
    const conversation = await this.readConversation(replicator, request);
    if ('refusal' in conversation) return conversation.refusal;
    const job = { ...lookup, ...conversation, signal };
    return new AttemptMachine(this.owner, new TurnAttempts(this.owner, this.pending, job)).run();
  }

  private repeatTurn({ replicator, key, turn, bodyDigest, emit }: TurnLookup): CallOutcome {
    const value = TurnValue.safeParse(replicator.get(key));
    if (!value.success || value.data.status === 'void') return unreadable('the turn');
    if (value.data.digest !== bodyDigest)
      return refused(status.otherBody, 'other-body', 'this key was used with other words');
    if (value.data.status !== 'done')
      return unknown('the turn broke off and is not run again', 'broken-off');
    value.data.chunks.forEach((text, index) => emit(index, text));
    return done({ end: turnSummary(turn, value.data) });
  }

  private async readConversation(
    replicator: SlotReplicator,
    { pid, after, words }: TurnRequest,
  ): Promise<Conversation | { readonly refusal: CallOutcome }> {
    const newestFirst: ConversationMessage[] = [{ role: 'user', text: words }];
    let stickyPool = '';
    for (let turnId = after; turnId !== null;) {
      const value = TurnValue.safeParse(replicator.get(turnKey(pid, turnId)));
      if (!value.success || value.data.status === 'void') {
        if (value.success || (await replicator.confirmMissing(turnKey(pid, turnId))))
          return { refusal: refused(status.notFound, 'missing-turn', `no such turn: ${turnId}`) };
        return { refusal: unreadable('the history') };
      }
      if (value.data.status !== 'done')
        return {
          refusal: refused(status.conflict, 'not-finished', `turn ${turnId} has not finished`),
        };
      stickyPool ||= value.data.pool;
      newestFirst.push(
        { role: 'assistant', text: value.data.chunks.join('') },
        { role: 'user', text: value.data.words },
      );
      turnId = value.data.after;
    }
    return { messages: newestFirst.reverse(), stickyPool };
  }
}
