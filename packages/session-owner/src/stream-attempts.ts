/**
 * The `AttemptMachine` hooks of streamed requests on pass routes.
 *
 * All attempts share one reservation of the number of tokens that the caller stated. A request that was sent goes to
 * another server only if the first one declined it, or if the stream can be resumed after its last event.
 */
import type { Config, Server } from '@tillerstair/state';
import { toRpcError, type RpcError } from '@tillerstair/wire';
import { withAbortListener } from './abort-listener.js';
import { outcomeWriteAttempts, type Attempts } from './attempt-machine.js';
import { saysServerIsHealthy, type BackendOutcome } from './backend.js';
import { passRoutePath, type CallOutcome, type EmitChunk, type PassRequest } from './messages.js';
import { done, outcomeOfError, refused, unknown } from './outcomes.js';
import type { OwnerServices } from './owner-services.js';
import type { PendingReservations } from './pending-reservations.js';
import { prefixBlocksOfParts, type PrefixBlock } from './prefix-blocks.js';
import {
  budgetSpent,
  callerDisconnected,
  leaseExpired,
  noServerInTime,
  retryAfterSeconds,
  status,
} from './refusals.js';
import type { SlotReplicator } from './slot-replicator.js';
import type { PassTurn } from './stored-values.js';
import { streamProgram } from './stream-records.js';
import { StreamRelay } from './stream-relay.js';
import { isSuccess, StreamedResponse } from './streamed-response.js';

/** The settings of a pass route for its streamed requests. */
export interface StreamRules {
  /** Maximum number of attempts that reach a server. */
  readonly tries: number;
  /** Time limit of a request with all its attempts, in ms. */
  readonly deadlineMs: number;
  /** Whether a lost stream may be resumed at another server. */
  readonly resumable: boolean;
  /** Time for which a turn can be continued by a later one, in ms; 0 if turns are not stored. */
  readonly turnRetentionMs: number;
}

/** A streamed request together with the history that it continues. */
export interface StreamJob {
  readonly request: PassRequest;
  readonly rules: StreamRules;
  readonly config: Config;
  /** The slot's replicator; undefined if any front may serve the request and nothing is stored for it. */
  readonly replicator: SlotReplicator | undefined;
  /** The key of the turn's record on the replicas. */
  readonly key: string;
  /** The request body for the server: the complete conversation. */
  readonly body: Uint8Array;
  readonly emit: EmitChunk;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** The attempts of one streamed request. */
export class StreamAttempts implements Attempts<BackendOutcome> {
  readonly kind = 'pass';
  readonly path: string;
  readonly promptParts: readonly PrefixBlock[];
  readonly stickyPool = '';
  readonly requiredPool = '';
  readonly deadline: number;
  readonly signal: AbortSignal;
  private readonly program: string;
  private readonly relay: StreamRelay;
  private readonly reservation: PassTurn;
  private reserved = false;
  /** Number of attempts that reached a server. */
  private attemptsSent = 0;
  /** Why the newest lost attempt was lost; empty if none was. */
  private lossReason = '';
  /** Number of generated tokens. */
  private cost = 0;
  private serverHealthy = true;

  constructor(
    private readonly owner: OwnerServices,
    private readonly pending: PendingReservations,
    private readonly job: StreamJob,
  ) {
    const { request, rules } = job;
    this.path = passRoutePath(request);
    this.promptParts = prefixBlocksOfParts(request.parts);
    this.deadline = owner.clock.now() + Math.min(request.left, rules.deadlineMs);
    this.signal = job.signal;
    this.program = streamProgram(request);
    this.relay = new StreamRelay(job.emit, owner.answerMemory, this.retainsTurns);
    this.reservation = {
      t: 'pass',
      status: 'reserved',
      after: request.after,
      cost: request.most,
      input: '',
      output: '',
    };
  }

  get cancelled(): boolean {
    return this.signal.aborted;
  }

  refuseBeforePlacing(remainingMs: number): CallOutcome | Promise<CallOutcome> | undefined {
    if (remainingMs <= 0) return this.giveUp(noServerInTime(retryAfterSeconds.capacity));
    if (this.attemptsSent >= this.job.rules.tries)
      return this.giveUp(
        refused(
          status.unavailable,
          'no-server',
          `all ${this.attemptsSent} attempts at a server failed`,
          retryAfterSeconds.otherAttempt,
        ),
      );
    return this.exceedsBudget ? budgetSpent() : undefined;
  }

  placementFailed(error: RpcError): Promise<CallOutcome> {
    return this.giveUp(outcomeOfError(error));
  }

  async record(): Promise<CallOutcome | undefined> {
    this.serverHealthy = true;
    const { replicator, request, key } = this.job;
    if (!this.reserved && replicator) {
      if (this.exceedsBudget) return budgetSpent();
      await this.pending.during(this.program, request.most, () =>
        replicator.put(key, this.reservation),
      );
    }
    this.reserved = true;
    return undefined;
  }

  async notAllowed(): Promise<CallOutcome | undefined> {
    if (this.cancelled)
      return this.giveUp(callerDisconnected('the caller disconnected before the request was sent'));
    return this.owner.leaseValid
      ? undefined
      : this.giveUp(leaseExpired('the read lease of this front has expired'));
  }

  async send(server: Server, mayStillRun: () => boolean): Promise<BackendOutcome> {
    const { request, body, signal } = this.job;
    const { events } = this.relay;
    const response = new StreamedResponse(this.relay, (load) => {
      this.owner.reportLoad(server, load);
    });
    const resume = events.lastId === '' ? request.resume : events.lastId;
    const cancelResponse = (): void => response.cancel();
    const ended = await withAbortListener(signal, cancelResponse, () =>
      this.owner.backend.pass(
        server,
        { ...request, body, resume },
        response,
        response.abortSignal,
        this.deadline - this.owner.clock.now(),
        mayStillRun,
      ),
    );
    return response.finish(ended);
  }

  async complete(server: Server, ended: BackendOutcome): Promise<CallOutcome | undefined> {
    this.serverHealthy = saysServerIsHealthy(ended) || this.signal.aborted;
    if (ended.kind !== 'never-left') this.attemptsSent++;
    switch (ended.kind) {
      case 'never-left':
      case 'declined':
        return undefined;
      case 'done':
        this.cost = this.generatedTokens(server);
        return this.storeOutcome(ended.code);
      case 'lost':
        this.cost = this.generatedTokens(server);
        this.lossReason = ended.text;
        return this.resumeOrFail(ended.text);
    }
  }

  release(server: Server): void {
    this.owner.releaseServer(server, this.serverHealthy);
  }

  /** Gives back the memory of the response; called once, when the request has ended. */
  end(): void {
    this.relay.release();
  }

  /** Whether the reservation is still to be made and would exceed the program's budget, which the caller stated. */
  private get exceedsBudget(): boolean {
    const { replicator, request } = this.job;
    if (this.reserved || !replicator || request.budget === null) return false;
    const reserved = replicator.costOf(this.program) + this.pending.of(this.program);
    return reserved + request.most > request.budget;
  }

  /** Whether successful turns are stored, so that later turns can continue them. */
  private get retainsTurns(): boolean {
    return this.job.rules.turnRetentionMs > 0;
  }

  /** Number of tokens in the events so far, by the engine of the server's pool; one per event without an engine. */
  private generatedTokens(server: Server): number {
    const pool = this.job.config.pools.find(({ name }) => name === server.pool);
    return this.relay.events.count * (pool?.engine?.blockTokens ?? 1);
  }

  private store(turn: PassTurn): Promise<void> {
    const { replicator, key } = this.job;
    return replicator
      ? replicator.putWithRetry(key, turn, outcomeWriteAttempts)
      : Promise.resolve();
  }

  /** Ends without a result: the reservation becomes `void`, or `failed` if a stream was lost, with unknown outcome. */
  private async giveUp(refusal: CallOutcome): Promise<CallOutcome> {
    const lost = this.lossReason !== '';
    if (this.reserved)
      await this.store({
        ...this.reservation,
        status: lost ? 'failed' : 'void',
        cost: this.cost,
      }).catch(() => undefined);
    return lost ? unknown(this.lossReason, 'broken-off') : refusal;
  }

  /**
   * Returns undefined if a lost stream can be resumed at another server, otherwise ends it. The caller's connection,
   * the number of attempts and the deadline are checked before the next request is sent anyway; they are checked here
   * as well so that the caller gets the outcome without waiting for a server.
   */
  private resumeOrFail(text: string): CallOutcome | undefined {
    const { rules } = this.job;
    if (
      rules.resumable &&
      this.relay.resumable &&
      !this.signal.aborted &&
      this.attemptsSent < rules.tries &&
      this.deadline > this.owner.clock.now()
    ) {
      this.relay.events.dropIncompleteEvent();
      return undefined;
    }
    // Not awaited: the caller gets the outcome immediately, and it makes no difference to the caller that the record
    // is `reserved` until the write completes.
    void this.store({ ...this.reservation, status: 'failed', cost: this.cost }).catch(
      () => undefined,
    );
    return unknown(text, 'broken-off');
  }

  /** Stores the result. The outcome of a turn that can be continued is `done` only once a quorum of replicas has it. */
  private async storeOutcome(code: number): Promise<CallOutcome> {
    const { request } = this.job;
    const succeeded = isSuccess(code);
    const mustBeStored = this.retainsTurns && succeeded;
    const stored = this.store({
      t: 'pass',
      status: succeeded ? 'done' : 'failed',
      after: request.after,
      cost: this.cost,
      input: mustBeStored ? request.body : '',
      output: mustBeStored ? this.relay.events.data : '',
    });
    if (mustBeStored) {
      try {
        await stored;
      } catch (error) {
        return unknown(`the turn ran but could not be stored: ${toRpcError(error).message}`);
      }
    } else void stored.catch(() => undefined);
    return done({ end: { chunks: this.relay.chunks } });
  }
}
