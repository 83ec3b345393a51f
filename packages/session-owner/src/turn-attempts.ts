/**
 * The attempts of one turn of the product's own interface, driven by the `AttemptMachine`.
 *
 * Each attempt at a server has its own reservation, which becomes void if that server did not run the turn. A turn that
 * a server may have run is never sent again: it ends as done, or as failed with the chunks that arrived. See
 * `docs/design.md`, "A turn".
 */
import { rootProgramId, type Config, type Server } from '@tillerstair/state';
import { toRpcError, type RpcError } from '@tillerstair/wire';
import { withAbortListener } from './abort-listener.js';
import { outcomeWriteAttempts, type Attempts } from './attempt-machine.js';
import type { BackendOutcome, ConversationMessage } from './backend.js';
import type { CallOutcome, EmitChunk, TurnRequest } from './messages.js';
import { done, outcomeOfError, unknown } from './outcomes.js';
import type { OwnerServices } from './owner-services.js';
import type { PendingReservations } from './pending-reservations.js';
import { prefixBlocksOfMessages, type PrefixBlock } from './prefix-blocks.js';
import {
  budgetSpent,
  callerDisconnected,
  leaseExpired,
  noServerInTime,
  retryAfterSeconds,
} from './refusals.js';
import type { SlotReplicator } from './slot-replicator.js';
import { ProgramValue, type TurnValue } from './stored-values.js';
import { programKey, turnKey, turnSummary } from './turn-records.js';

/** The share of a turn's time limit that it may spend waiting for a server. */
const placementShare = 1 / 4;
/** Lower bound of a run's duration, in seconds, for computing a server's rate: shorter runs would overstate it. */
const shortestRunSeconds = 0.001;
const millisecondsPerSecond = 1000;

/** A turn whose program and history have been looked up. */
export interface TurnJob {
  readonly request: TurnRequest;
  readonly turn: string;
  /** Digest of the request; a key is bound to one digest. */
  readonly bodyDigest: string;
  readonly config: Config;
  readonly replicator: SlotReplicator;
  /** The whole conversation, oldest first. */
  readonly messages: readonly ConversationMessage[];
  /** The pool of the previous turn; empty for the first turn. */
  readonly stickyPool: string;
  readonly emit: EmitChunk;
  readonly signal: AbortSignal;
}

/** The result of sending a turn to a server. */
interface GeneratedTurn {
  readonly ended: BackendOutcome;
  readonly chunks: string[];
  /** Whether the generation was stopped: chunks were out of order or too many, or the caller had disconnected. */
  readonly stopped: boolean;
}

/** Reserves, sends and stores one turn; one instance serves all attempts of the turn. */
export class TurnAttempts implements Attempts<GeneratedTurn> {
  readonly kind = 'turn';
  readonly path: string;
  readonly promptParts: readonly PrefixBlock[];
  readonly stickyPool: string;
  readonly requiredPool = '';
  readonly deadline: number;
  readonly signal: AbortSignal;
  private readonly key: string;
  private readonly rootProgram: string;
  private reservation: TurnValue;
  private startedAt = 0;
  /** How the server ended the turn, once the outcome is stored. */
  private ended: BackendOutcome | undefined;
  private tokens: number | undefined;

  constructor(
    private readonly owner: OwnerServices,
    private readonly pending: PendingReservations,
    private readonly job: TurnJob,
  ) {
    const { request, turn, config } = job;
    this.path = request.path;
    this.promptParts = prefixBlocksOfMessages(job.messages);
    this.stickyPool = job.stickyPool;
    this.deadline = owner.clock.now() + config.bounds.turnMs * placementShare;
    this.signal = job.signal;
    this.key = turnKey(request.pid, turn);
    this.rootProgram = rootProgramId(request.pid);
    this.reservation = {
      t: 'turn',
      status: 'reserved',
      after: request.after,
      digest: job.bodyDigest,
      words: request.words,
      pool: '',
      server: '',
      cost: 0,
      chunks: [],
    };
  }

  get cancelled(): boolean {
    return this.signal.aborted;
  }

  refuseBeforePlacing(remainingMs: number): CallOutcome | undefined {
    if (remainingMs <= 0) return noServerInTime(retryAfterSeconds.turnCapacity);
    return this.remainingTokens <= 0 ? budgetSpent() : undefined;
  }

  placementFailed(error: RpcError): Promise<CallOutcome> {
    return Promise.resolve(outcomeOfError(error));
  }

  async record(server: Server): Promise<CallOutcome | undefined> {
    this.startedAt = this.owner.clock.now();
    this.ended = undefined;
    this.tokens = undefined;
    const { request, config, replicator } = this.job;
    const turnLimit = config.budgets.turn;
    const cost = Math.min(request.maxTokens ?? turnLimit, turnLimit, this.remainingTokens);
    if (cost <= 0) return budgetSpent();
    const reservation = { ...this.reservation, pool: server.pool, server: server.id, cost };
    this.reservation = reservation;
    await this.pending.during(this.rootProgram, cost, () => replicator.put(this.key, reservation));
    return undefined;
  }

  async notAllowed(): Promise<CallOutcome | undefined> {
    await this.storeVoid();
    if (this.cancelled)
      return callerDisconnected('the caller disconnected before the turn was sent');
    return this.owner.leaseValid ? undefined : leaseExpired('the read lease has expired');
  }

  async send(server: Server, mayStillRun: () => boolean): Promise<GeneratedTurn> {
    const { request, turn, messages, config, emit, signal } = this.job;
    const maxTokens = this.reservation.cost;
    const chunks: string[] = [];
    const stop = new AbortController();
    const onChunk = (index: number, text: string): void => {
      if (index !== chunks.length || chunks.length >= maxTokens) {
        stop.abort();
        return;
      }
      chunks.push(text);
      emit(index, text);
    };
    const id = `${request.pid}/${turn}`;
    const stopServer = (): void => stop.abort();
    const ended = await withAbortListener(signal, stopServer, () =>
      this.owner.backend.generate(
        server,
        { id, messages, maxTokens, requestId: request.requestId },
        onChunk,
        stop.signal,
        config.bounds.turnMs,
        mayStillRun,
      ),
    );
    return { ended, chunks, stopped: stop.signal.aborted };
  }

  async complete(_server: Server, result: GeneratedTurn): Promise<CallOutcome | undefined> {
    const { ended, chunks, stopped } = result;
    switch (ended.kind) {
      case 'never-left':
      case 'declined':
        await this.storeVoid();
        this.ended = ended;
        return undefined;
      case 'lost':
        return this.storeFailure(ended.text, chunks);
      case 'done':
        return stopped || ended.body !== chunks.length
          ? this.storeFailure(
              `the response of server ${this.reservation.server} was incomplete`,
              chunks,
            )
          : this.storeDone(ended, chunks);
    }
  }

  release(server: Server): void {
    const { ended, tokens } = this;
    const seconds = (this.owner.clock.now() - this.startedAt) / millisecondsPerSecond;
    const healthy =
      !ended || ended.kind === 'done' || ended.kind === 'declined' || this.signal.aborted;
    this.owner.releaseServer(
      server,
      healthy,
      tokens === undefined ? undefined : tokens / Math.max(shortestRunSeconds, seconds),
    );
  }

  /** Tokens left in the root program's budget, net of reservations that are being written. */
  private get remainingTokens(): number {
    const { replicator } = this.job;
    const root = this.rootProgram;
    const program = ProgramValue.parse(replicator.get(programKey(root)));
    return program.budget - replicator.costOf(root) - this.pending.of(root);
  }

  private store(value: TurnValue): Promise<void> {
    return this.job.replicator.putWithRetry(this.key, value, outcomeWriteAttempts);
  }

  private storeVoid(): Promise<void> {
    return this.store({ ...this.reservation, status: 'void', cost: 0 });
  }

  private async storeFailure(text: string, chunks: string[]): Promise<CallOutcome> {
    const failed: TurnValue = { ...this.reservation, status: 'failed', chunks };
    await this.store(failed).catch(() => undefined);
    this.ended = { kind: 'lost', text };
    return unknown(text, 'broken-off');
  }

  /** Stores the finished turn; it counts as done only once a quorum of replicas has its text. */
  private async storeDone(ended: BackendOutcome, chunks: string[]): Promise<CallOutcome> {
    const value: TurnValue = {
      ...this.reservation,
      status: 'done',
      cost: chunks.length,
      chunks,
    };
    try {
      await this.store(value);
    } catch (error) {
      return unknown(`the turn ran but could not be stored: ${toRpcError(error).message}`);
    }
    this.ended = ended;
    this.tokens = chunks.length;
    return done({ end: turnSummary(this.job.turn, value) });
  }
}
