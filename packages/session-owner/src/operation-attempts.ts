/**
 * The `AttemptMachine` hooks of requests with a single, unstreamed response: operations with or without an idempotency
 * key.
 *
 * The intent of a keyed operation is on a quorum of replicas before the operation is sent. An operation that was sent
 * and lost is retried at another server only if running it twice is harmless: the route declares it idempotent, or
 * every server involved records idempotency keys itself. See `docs/design.md`, "A tool call".
 */
import type { RouteKind, Server } from '@tillerstair/state';
import { toRpcError, type RpcError } from '@tillerstair/wire';
import { outcomeWriteAttempts, type Attempts } from './attempt-machine.js';
import type { BackendOutcome } from './backend.js';
import type { CallOutcome } from './messages.js';
import { done, outcomeOfError, refused, unknown } from './outcomes.js';
import type { OpValue } from './stored-values.js';
import type { OwnerServices } from './owner-services.js';
import { retryAfterSeconds, status } from './refusals.js';
import type { SlotReplicator } from './slot-replicator.js';

const firstServerError = 500;
const intentWriteAttempts = 1;

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

/** Whether the servers of a pool record idempotency keys themselves; false for a pool that is not configured. */
const recordsKeys = (owner: OwnerServices, poolName: string): boolean =>
  owner.current?.config?.pools.some(
    ({ name, remembersKeys }) => name === poolName && remembersKeys,
  ) ?? false;

/** Whether all pools in which the operation's route can place it record idempotency keys; false without a route. */
export const routeRecordsKeys = (owner: OwnerServices, operation: Operation): boolean => {
  const route = owner.findRoute(operation.kind, operation.path);
  return (
    route !== undefined &&
    route.shares.every(({ pool, share }) => share === 0 || recordsKeys(owner, pool))
  );
};

/** The replicator that records an operation, and whether it may have run before. */
export interface OperationHistory {
  /** The slot's replicator; undefined for a request without a key, for which nothing is stored. */
  readonly replicator: SlotReplicator | undefined;
  /** Whether the operation may have run under an earlier ownership of the slot. */
  readonly mayHaveRun: boolean;
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
  /** Whether all servers covered by the newest stored intent record idempotency keys; stored as `recorded`. */
  private allServersRecord = true;
  private intentStored = false;
  private sent = 0;
  /** The result of the newest attempt that may have run; undefined if none may have. */
  private lost: BackendOutcome | undefined;
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

  refuseBeforePlacing(remainingMs: number): Promise<CallOutcome> | undefined {
    if (remainingMs <= 0) return this.giveUp('no server became free before the deadline');
    if (this.sent >= this.operation.maxAttempts)
      return this.giveUp(
        `all ${this.sent} attempts at a server failed`,
        retryAfterSeconds.otherAttempt,
      );
    return undefined;
  }

  async placementFailed(error: RpcError, tried: Set<string>): Promise<CallOutcome | undefined> {
    if (tried.size > 0 && this.lost && this.operation.idempotent) {
      tried.clear();
      return undefined;
    }
    const outcome = await this.giveUp(error.message);
    return outcome.outcome === 'refused' ? { ...outcome, ...outcomeOfError(error) } : outcome;
  }

  async record(server: Server): Promise<CallOutcome | undefined> {
    this.serverHealthy = true;
    const allServersRecord = this.allServersRecord && recordsKeys(this.owner, server.pool);
    if (!this.intentStored || allServersRecord !== this.allServersRecord) {
      this.allServersRecord = allServersRecord;
      const failure = await this.store('intent').then(() => undefined, toRpcError);
      if (failure) return this.lost ? unknown(failure.message) : outcomeOfError(failure);
    }
    this.intentStored = true;
    return undefined;
  }

  async notAllowed(): Promise<CallOutcome | undefined> {
    return this.owner.leaseValid
      ? undefined
      : this.giveUp('the read lease of this front has expired');
  }

  send(server: Server, mayStillRun: () => boolean): Promise<BackendOutcome> {
    return this.operation.send(server, this.signal, mayStillRun);
  }

  async complete(_server: Server, ended: BackendOutcome): Promise<CallOutcome | undefined> {
    this.serverHealthy = ended.kind === 'done' || ended.kind === 'declined';
    if (ended.kind !== 'never-left') this.sent++;
    switch (ended.kind) {
      case 'never-left':
      case 'declined':
        return undefined;
      case 'done':
        if (ended.code >= firstServerError && this.operation.idempotent && this.mayRetry) {
          this.lost = ended;
          return undefined;
        }
        return this.storeDone(ended.code, ended.body);
      case 'lost':
        this.lost = ended;
        if (!this.signal.aborted && this.mayRetry) return undefined;
        await this.store('unknown').catch(() => undefined);
        return unknown(ended.text);
    }
  }

  release(server: Server): void {
    this.owner.releaseServer(server, this.serverHealthy);
  }

  /** Whether an operation that may have run may be sent to another server. */
  private get mayRetry(): boolean {
    const { operation, history } = this;
    const keysRecorded =
      history.replicator !== undefined &&
      this.allServersRecord &&
      routeRecordsKeys(this.owner, operation);
    return (operation.idempotent || keysRecorded) && this.sent < operation.maxAttempts;
  }

  private async store(
    recordStatus: OpValue['status'],
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
      recorded: this.allServersRecord,
    };
    const writeAttempts = recordStatus === 'intent' ? intentWriteAttempts : outcomeWriteAttempts;
    await history.replicator.putWithRetry(operation.key, value, writeAttempts);
  }

  /**
   * Ends the operation without a result. If an attempt was lost, the outcome is unknown; otherwise it is a refusal, and
   * a stored intent becomes `unknown` if an earlier ownership may have run the operation, else `void`.
   */
  private async giveUp(
    text: string,
    retryAfter: number = retryAfterSeconds.recovery,
  ): Promise<CallOutcome> {
    if (this.lost) return unknown(this.lost.kind === 'lost' ? this.lost.text : text);
    if (this.intentStored)
      await this.store(this.history.mayHaveRun ? 'unknown' : 'void').catch(() => undefined);
    return refused(status.unavailable, 'no-server', text, retryAfter);
  }

  /** Stores the result. The outcome is `done` only once a quorum of replicas has it, otherwise `unknown`. */
  private async storeDone(code: number, body: unknown): Promise<CallOutcome> {
    try {
      await this.store('done', code, body);
    } catch (error) {
      const { message } = toRpcError(error);
      return unknown(`the operation ran but its outcome could not be stored: ${message}`);
    }
    return done(body, code);
  }
}
