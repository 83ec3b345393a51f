/**
 * The `AttemptMachine` hooks of requests with a single, unstreamed response: operations with or without an idempotency
 * key.
 *
 * The intent of a keyed operation is on a quorum of replicas before the operation is sent. It names the pool that may
 * run the operation if that pool records idempotency keys; before the operation is sent to another pool, the intent is
 * written again. An operation that was sent and lost is retried if the route declares it idempotent, or else only at
 * the pool that has it in its record of keys. See `docs/design.md`, "A tool call".
 */
import type { RouteKind, Server } from '@tillerstair/state';
import { delay, toRpcError, type RpcError } from '@tillerstair/wire';
import { outcomeWriteAttempts, type Attempts } from './attempt-machine.js';
import { saysServerIsHealthy, type BackendOutcome } from './backend.js';
import { mayAskAgain, noPool, recordingPool } from './key-records.js';
import type { CallOutcome } from './messages.js';
import { done, keyInProgress, outcomeOfError, refused, unknown } from './outcomes.js';
import type { OpValue } from './stored-values.js';
import type { OwnerServices } from './owner-services.js';
import { retryAfterSeconds, status } from './refusals.js';
import type { SlotReplicator } from './slot-replicator.js';

const firstServerError = 500;
const intentWriteAttempts = 1;
/** Pause after every server of the required pool has been tried, before they are tried again. */
const triedAllPauseMs = 50;
/** Pause after a service said that it is running the operation, before it is asked for the result again. */
const inProgressPauseMs = 100;

/** A request that runs at a server: at most once unless it is idempotent. */
export interface Operation {
  readonly kind: RouteKind;
  readonly path: string;
  /** The key of its record on the replicas. */
  readonly key: string;
  /** The digest of the request; all requests with the same key must have the same digest. */
  readonly digest: string;
  /** Deadline of the operation on the owner's clock, in ms. */
  readonly deadline: number;
  /** Maximum number of attempts that reach a server. */
  readonly maxAttempts: number;
  /** Whether the route declares that running it twice has the same effect as running it once. */
  readonly idempotent: boolean;
  /** Sends it to one server; `mayStillRun` is checked right before the first byte is sent. */
  send(server: Server, signal: AbortSignal, mayStillRun: () => boolean): Promise<BackendOutcome>;
}

/** The replicator that records an operation, and whether it may have run before. */
export interface OperationHistory {
  /** The slot's replicator; undefined for a request without a key, for which nothing is stored. */
  readonly replicator: SlotReplicator | undefined;
  /**
   * The pool that has the operation in its record of keys if an earlier request with the key ran it; `noPool` if none
   * did. An operation that may have run at a pool without a record of keys is not attempted again.
   */
  readonly recordedBy: string;
}

/** The attempts of one operation. */
export class OperationAttempts implements Attempts<BackendOutcome> {
  readonly kind: RouteKind;
  readonly path: string;
  readonly promptParts = [];
  readonly stickyPool = '';
  readonly deadline: number;
  /** A disconnect cancels the wait for a server and a request in flight; a placed operation is sent nevertheless. */
  readonly cancelled = false;
  /** The pool that the newest stored intent names; undefined before the first intent of this request. */
  private recordedBy: string | undefined;
  private sent = 0;
  /** The result of the newest attempt that may have run; undefined if none may have. */
  private lost: BackendOutcome | undefined;
  /** Whether a server of the required pool said that it is running the operation. */
  private isInProgress = false;
  private pauseBeforePlacing = false;
  private serverHealthy = true;

  constructor(
    private readonly owner: OwnerServices,
    private readonly operation: Operation,
    private readonly history: OperationHistory,
    readonly signal: AbortSignal,
  ) {
    this.kind = operation.kind;
    this.path = operation.path;
    this.deadline = operation.deadline;
  }

  /** Once the operation may have run: the pool that has it in its record of keys. No other pool may be sent it. */
  get requiredPool(): string {
    const { recordedBy } = this.history;
    if (recordedBy !== noPool) return recordedBy;
    return this.lost || this.isInProgress ? (this.recordedBy ?? noPool) : noPool;
  }

  refuseBeforePlacing(remainingMs: number): Promise<CallOutcome | undefined> | undefined {
    if (remainingMs <= 0) return this.giveUp('no server became free before the deadline');
    if (this.sent >= this.operation.maxAttempts)
      return this.giveUp(
        `all ${this.sent} attempts at a server failed`,
        retryAfterSeconds.otherAttempt,
      );
    if (!this.pauseBeforePlacing) return undefined;
    this.pauseBeforePlacing = false;
    return this.pause(Math.min(inProgressPauseMs, remainingMs));
  }

  async placementFailed(error: RpcError, tried: Set<string>): Promise<CallOutcome | undefined> {
    if (tried.size > 0 && (this.lost || this.isInProgress) && this.mayRetry) {
      tried.clear();
      return this.operation.idempotent ? undefined : this.pause(triedAllPauseMs);
    }
    const outcome = await this.giveUp(error.message);
    return outcome.outcome === 'refused' ? { ...outcome, ...outcomeOfError(error) } : outcome;
  }

  async record(server: Server): Promise<CallOutcome | undefined> {
    this.serverHealthy = true;
    const recordedBy = this.recordingPool(server);
    if (recordedBy === this.recordedBy) return undefined;
    if (this.requiredPool !== noPool && recordedBy !== this.requiredPool)
      return unknown(`pool ${server.pool} no longer records keys; the operation may have run`);
    const failure = await this.store('intent', recordedBy).then(() => undefined, toRpcError);
    if (failure) return this.lost ? unknown(failure.message) : outcomeOfError(failure);
    this.recordedBy = recordedBy;
    return undefined;
  }

  async notAllowed(): Promise<CallOutcome | undefined> {
    return this.owner.leaseValid
      ? undefined
      : this.giveUp('the read lease of this front has expired');
  }

  send(server: Server, mayStillRun: () => boolean): Promise<BackendOutcome> {
    const isRecordedSo = (): boolean => this.recordingPool(server) === this.recordedBy;
    return this.operation.send(server, this.signal, () => mayStillRun() && isRecordedSo());
  }

  async complete(_server: Server, ended: BackendOutcome): Promise<CallOutcome | undefined> {
    this.serverHealthy = saysServerIsHealthy(ended);
    if (this.isKeyInProgress(ended)) {
      // Does not count as an attempt: the service is not asked in vain.
      this.isInProgress = true;
      this.pauseBeforePlacing = true;
      return undefined;
    }
    if (ended.kind !== 'never-left') this.sent++;
    switch (ended.kind) {
      case 'never-left':
      case 'declined':
        return undefined;
      case 'done':
        return this.completeAnswered(ended);
      case 'lost':
        return this.completeLost(ended);
    }
  }

  release(server: Server): void {
    this.owner.releaseServer(server, this.serverHealthy);
  }

  private isKeyInProgress(ended: BackendOutcome): boolean {
    return ended.kind === 'declined' && ended.keyInProgress === true && this.recordedBy !== noPool;
  }

  private async completeAnswered(
    ended: Extract<BackendOutcome, { kind: 'done' }>,
  ): Promise<CallOutcome | undefined> {
    if (ended.code >= firstServerError && this.operation.idempotent && this.mayRetry) {
      this.lost = ended;
      return undefined;
    }
    return this.storeDone(ended.code, ended.body);
  }

  private async completeLost(
    ended: Extract<BackendOutcome, { kind: 'lost' }>,
  ): Promise<CallOutcome | undefined> {
    this.lost = ended;
    if (!this.signal.aborted && !ended.abandoned && this.mayRetry) return undefined;
    await this.store('unknown', this.recordedBy).catch(() => undefined);
    return unknown(ended.text);
  }

  /** Whether an operation that may have run may be sent again. */
  private get mayRetry(): boolean {
    const { operation, owner } = this;
    const route = owner.findRoute(operation.kind, operation.path);
    const isSafe =
      operation.idempotent || mayAskAgain(owner.current?.config, route, this.requiredPool);
    return isSafe && this.sent < operation.maxAttempts;
  }

  /** The pool that has the operation in its record of keys once the server runs it; `noPool` without a key. */
  private recordingPool(server: Server): string {
    if (!this.history.replicator) return noPool;
    return recordingPool(this.owner.current?.config, server.pool);
  }

  private async pause(ms: number): Promise<undefined> {
    await delay(this.owner.clock, ms, this.signal);
  }

  private async store(
    recordStatus: OpValue['status'],
    recordedBy = noPool,
    code = 0,
    body: unknown = null,
  ): Promise<void> {
    const { operation, history } = this;
    if (!history.replicator) return;
    const value: OpValue = {
      t: 'op',
      status: recordStatus,
      digest: operation.digest,
      code,
      body,
      recordedBy,
    };
    const writeAttempts = recordStatus === 'intent' ? intentWriteAttempts : outcomeWriteAttempts;
    await history.replicator.putWithRetry(operation.key, value, writeAttempts);
  }

  /**
   * Ends the operation without a result. If an attempt was lost, the outcome is unknown, and if its service is running
   * it, that it is in progress; otherwise it is a refusal, and a stored intent becomes `unknown` if an earlier request
   * may have run the operation, else `void`.
   */
  private async giveUp(
    text: string,
    retryAfter: number = retryAfterSeconds.recovery,
  ): Promise<CallOutcome> {
    if (this.lost) return unknown(this.lost.kind === 'lost' ? this.lost.text : text);
    if (this.isInProgress)
      return keyInProgress(
        `pool ${this.requiredPool} is running an operation with this key`,
        retryAfterSeconds.otherAttempt,
      );
    if (this.recordedBy !== undefined) {
      const { recordedBy } = this.history;
      const recordStatus = recordedBy === noPool ? 'void' : 'unknown';
      await this.store(recordStatus, recordedBy).catch(() => undefined);
    }
    return refused(status.unavailable, 'no-server', text, retryAfter);
  }

  /** Stores the result. The outcome is `done` only once a quorum of replicas has it, otherwise `unknown`. */
  private async storeDone(code: number, body: unknown): Promise<CallOutcome> {
    try {
      await this.store('done', this.recordedBy, code, body);
    } catch (error) {
      const { message } = toRpcError(error);
      return unknown(`the operation ran but its outcome could not be stored: ${message}`);
    }
    return done(body, code);
  }
}
