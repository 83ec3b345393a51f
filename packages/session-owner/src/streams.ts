/**
 * Streamed requests of pass routes: the caller names each attempt, and an attempt runs at most once.
 *
 * Owns the set of running attempts, by the keys of their records. Turns that can be continued are stored on the
 * replicas of the slot. If a request continues a turn of another program, that turn is copied to the program of the
 * request with a cost of 0, so that its tokens are not counted again.
 */
import pLimit from 'p-limit';
import type { Config, Route } from '@tillerstair/state';
import { BudgetUse, toRpcError, UnavailableError } from '@tillerstair/wire';
import { AttemptMachine } from './attempt-machine.js';
import {
  passRoutePath,
  decodeBody,
  type CallOutcome,
  type EmitChunk,
  type PassRequest,
} from './messages.js';
import { outcomeOfError, refused, routeUnknown, unknown } from './outcomes.js';
import { PassTurn } from './stored-values.js';
import type { OwnerServices } from './owner-services.js';
import { PendingReservations } from './pending-reservations.js';
import { retryAfterSeconds, status } from './refusals.js';
import type { SlotReplicator } from './slot-replicator.js';
import { StreamAttempts, type StreamRules } from './stream-attempts.js';
import {
  decodeKeyPart,
  encodeKeyPart,
  streamProgram,
  streamSlotKey,
  streamTurnKey,
} from './stream-records.js';

/** Memory of a conversation in relation to its stored text: its decoded parts, and the whole. */
const conversationMemoryFactor = 2;
/** Number of searches for turns of other programs at the same time; each may bring a long conversation. */
const maxConcurrentSearches = 2;

/** An earlier turn that a request continues. */
interface Ancestor {
  readonly attempt: string;
  readonly turn: PassTurn;
  /** Whether the turn is stored under the program of the request. */
  readonly isLocal: boolean;
}

/** One streamed request, with the settings of its route and the location of its record. */
interface StreamLookup {
  readonly request: PassRequest;
  readonly rules: StreamRules;
  readonly config: Config;
  /** The slot's replicator; undefined if any front may serve the request and nothing is stored for it. */
  readonly replicator: SlotReplicator | undefined;
  /** The key of the turn's record on the replicas. */
  readonly key: string;
  readonly emit: EmitChunk;
  readonly signal: AbortSignal;
  /** What the request takes for the conversation that it continues. */
  readonly memory: BudgetUse;
}

type History = { readonly ancestors: readonly Ancestor[] } | { readonly refusal: CallOutcome };

const noHistory: History = { ancestors: [] };

/** Serves streamed requests: those of slots that this front owns, and those that any front may serve. */
export class Streams {
  private readonly running = new Set<string>();
  private readonly pending = new PendingReservations();
  private readonly limitSearches = pLimit(maxConcurrentSearches);

  constructor(private readonly owner: OwnerServices) {}

  /**
   * Runs one attempt. Rejects with an `UnavailableError` without a read lease, and with an `OwnershipError` if this
   * front does not serve the route or the slot.
   */
  async runStream(
    request: PassRequest,
    emit: EmitChunk,
    signal: AbortSignal,
  ): Promise<CallOutcome> {
    const { config } = this.owner.requireLease();
    const path = passRoutePath(request);
    const route = this.owner.findRoute('pass', path);
    if (!route?.pass) throw routeUnknown(path);
    const rules = route.pass;
    const replicator = this.replicatorOf(request, route);
    const key = streamTurnKey(streamProgram(request), request.attempt);
    if (this.running.has(key))
      return refused(
        status.conflict,
        'running',
        `attempt ${request.attempt} is already in progress`,
      );
    this.running.add(key);
    const leaveSlot = replicator?.beginRequest();
    const memory = new BudgetUse(this.owner.conversationMemory);
    try {
      return await this.runAttempt({
        request,
        rules,
        config,
        replicator,
        key,
        emit,
        signal,
        memory,
      });
    } catch (error) {
      return outcomeOfError(toRpcError(error));
    } finally {
      memory.release();
      leaveSlot?.();
      this.running.delete(key);
    }
  }

  private replicatorOf(request: PassRequest, route: Route): SlotReplicator | undefined {
    const slotKey = streamSlotKey(request, route);
    return slotKey === '' ? undefined : this.owner.replicator(slotKey);
  }

  private async runAttempt(lookup: StreamLookup): Promise<CallOutcome> {
    const { request, replicator, key } = lookup;
    const stored = replicator?.get(key);
    if (stored !== undefined) {
      const earlier = PassTurn.safeParse(stored);
      if (!earlier.success || earlier.data.status !== 'void')
        return unknown(`attempt ${request.attempt} was started before and is not run again`);
    }
    const history = await this.readHistory(lookup);
    if ('refusal' in history) return history.refusal;
    const { ancestors } = history;
    const body = Buffer.concat([
      ...ancestors.flatMap(({ turn }) => [
        decodeBody(turn.input),
        Buffer.from(turn.output, 'latin1'),
      ]),
      decodeBody(request.body),
    ]);
    if (replicator) await this.copyAncestors(replicator, request, ancestors);
    const job = { ...lookup, body };
    const attempts = new StreamAttempts(this.owner, this.pending, job);
    try {
      return await new AttemptMachine(this.owner, attempts).run();
    } finally {
      attempts.end();
    }
  }

  /** Stores turns of other programs under the request's program, so that its next request finds them in its slot. */
  private async copyAncestors(
    replicator: SlotReplicator,
    request: PassRequest,
    ancestors: readonly Ancestor[],
  ): Promise<void> {
    const program = streamProgram(request);
    await Promise.all(
      ancestors
        .filter(({ isLocal }) => !isLocal)
        .map(({ attempt, turn }) => {
          const copied: PassTurn = { ...turn, cost: 0 };
          return replicator.put(streamTurnKey(program, attempt), copied);
        }),
    );
  }

  /** The turns that a request continues, oldest first; or the refusal if one of them cannot be continued. */
  private async readHistory(lookup: StreamLookup): Promise<History> {
    const { request, rules, replicator, memory } = lookup;
    if (rules.turnRetentionMs === 0 || request.after === '' || !replicator) return noHistory;
    const program = streamProgram(request);
    const newestFirst: Ancestor[] = [];
    const found = new Map<string, PassTurn>();
    for (let attempt = request.after; attempt !== '';) {
      const local = PassTurn.safeParse(replicator.get(streamTurnKey(program, attempt)));
      const turn = local.success ? local.data : found.get(attempt);
      if (!turn) {
        const search = (): Promise<CallOutcome | undefined> =>
          this.findInOtherPrograms(attempt, found, memory);
        const refusal = await this.limitSearches(search);
        if (refusal) return { refusal };
        continue;
      }
      const refusal = refuseAncestor(attempt, turn);
      if (refusal) return { refusal };
      if (local.success) takeMemory(memory, turn);
      newestFirst.push({ attempt, turn, isLocal: local.success });
      attempt = turn.after;
    }
    return { ancestors: newestFirst.reverse() };
  }

  /** Searches the replicas for a turn of any program; adds it and the turns that it continues to `found`. */
  private async findInOtherPrograms(
    attempt: string,
    found: Map<string, PassTurn>,
    memory: BudgetUse,
  ): Promise<CallOutcome | undefined> {
    const turns = await this.owner.findTurn(encodeKeyPart(attempt));
    if (turns.length === 0)
      return refused(status.notFound, 'missing-turn', `no such turn: ${attempt}`);
    for (const { attempt: name, turn } of turns) {
      const decoded = decodeKeyPart(name);
      if (!found.has(decoded)) takeMemory(memory, turn);
      found.set(decoded, turn);
    }
    // `findTurn` never resolves without the turn itself; without this check a fault there would cause an endless loop.
    if (!found.has(attempt))
      return refused(
        status.unavailable,
        'unavailable',
        `the history of turn ${attempt} cannot be read at present`,
        retryAfterSeconds.capacity,
      );
    return undefined;
  }
}

/** Takes the memory of one turn of a conversation. @throws UnavailableError (`memory-full`) if it is in use. */
const takeMemory = (memory: BudgetUse, { input, output }: PassTurn): void => {
  if (!memory.take((input.length + output.length) * conversationMemoryFactor))
    throw new UnavailableError('memory-full', 'the memory for conversations is in use');
};

/** The refusal of a request that continues this turn; undefined if the turn is done. */
const refuseAncestor = (attempt: string, turn: PassTurn): CallOutcome | undefined => {
  switch (turn.status) {
    case 'done':
      return undefined;
    case 'reserved':
      return refused(
        status.unavailable,
        'not-finished',
        `turn ${attempt} has not finished`,
        retryAfterSeconds.otherAttempt,
      );
    case 'failed':
    case 'void':
      return refused(status.notFound, 'missing-turn', `turn ${attempt} did not complete`);
  }
};
