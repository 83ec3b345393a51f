/**
 * Streamed requests of pass routes: an attempt is named by its caller and runs at most once.
 *
 * Owns the attempts that are running here, by the key of their record. Turns that can be gone on from are in the slot's
 * replicas; one that went before under another program is copied there, and its tokens are not counted again.
 */
import type { Config, Route } from '@tillerstair/state';
import { toRpcError } from '@tillerstair/wire';
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

/** A turn that a request goes on from. */
interface Ancestor {
  readonly attempt: string;
  readonly turn: PassTurn;
  /** Whether this program's record of it is here. */
  readonly isLocal: boolean;
}

/** One streamed request, with its route and its record's place. */
interface StreamLookup {
  readonly request: PassRequest;
  readonly rules: StreamRules;
  readonly config: Config;
  readonly replicator: SlotReplicator | undefined;
  readonly key: string;
  readonly emit: EmitChunk;
  readonly signal: AbortSignal;
}

type History = { readonly ancestors: readonly Ancestor[] } | { readonly refusal: CallOutcome };

const noHistory: History = { ancestors: [] };

/** Serves streamed requests: those of the slots that this front owns, and those that need no owner. */
export class Streams {
  private readonly running = new Set<string>();
  private readonly pending = new PendingReservations();

  constructor(private readonly owner: OwnerServices) {}

  /** Runs one attempt. Rejects with an `OwnershipError` where the route or the slot is not served here. */
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
      return refused(status.conflict, 'running', 'this attempt is in progress');
    this.running.add(key);
    const leave = replicator?.beginRequest();
    try {
      return await this.runAttempt({ request, rules, config, replicator, key, emit, signal });
    } catch (error) {
      return outcomeOfError(toRpcError(error));
    } finally {
      leave?.();
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
      const old = PassTurn.safeParse(stored);
      if (!old.success || old.data.status !== 'void')
        return unknown('this attempt was in progress before; it is not run again');
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
    return new AttemptMachine(this.owner, new StreamAttempts(this.owner, this.pending, job)).run();
  }

  /** Stores turns of other programs under this one, so that its next request finds them here. */
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

  /** The turns that a request goes on from, oldest first. */
  private async readHistory({ request, rules, replicator }: StreamLookup): Promise<History> {
    if (rules.turnRetentionMs === 0 || request.after === '' || !replicator) return noHistory;
    const program = streamProgram(request);
    const newestFirst: Ancestor[] = [];
    const found = new Map<string, PassTurn>();
    for (let at = request.after; at !== '';) {
      const local = PassTurn.safeParse(replicator.get(streamTurnKey(program, at)));
      const turn = local.success ? local.data : found.get(at);
      if (!turn) {
        const refusal = await this.findInOtherPrograms(at, found);
        if (refusal) return { refusal };
        continue;
      }
      const refusal = refuseAncestor(at, turn);
      if (refusal) return { refusal };
      newestFirst.push({ attempt: at, turn, isLocal: local.success });
      at = turn.after;
    }
    return { ancestors: newestFirst.reverse() };
  }

  /** Adds a turn of any program, and those it goes on from, to `found`. */
  private async findInOtherPrograms(
    attempt: string,
    found: Map<string, PassTurn>,
  ): Promise<CallOutcome | undefined> {
    const turns = await this.owner.findTurn(encodeKeyPart(attempt));
    if (turns.length === 0)
      return refused(status.notFound, 'missing-turn', `no such turn: ${attempt}`);
    for (const { attempt: name, turn } of turns) found.set(decodeKeyPart(name), turn);
    // `findTurn` never resolves with others alone; without this line a fault there would make the caller loop for ever.
    if (!found.has(attempt))
      return refused(
        status.unavailable,
        'unavailable',
        'the history cannot be read just now',
        retryAfterSeconds.capacity,
      );
    return undefined;
  }
}

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
