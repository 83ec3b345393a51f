/**
 * A request that is answered as a whole on its way through the `AttemptMachine`: a keyed operation, or one without key.
 *
 * A keyed operation's intent is on a quorum of replicas before it is sent. Once sent and lost it goes to another server
 * only where that is harmless: the route says that it is idempotent, or every server involved records keys itself. See
 * `docs/design.md`, "A tool call".
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

/** A request to be run at a server: at most once unless it is idempotent. */
export interface Operation {
  readonly kind: RouteKind;
  readonly path: string;
  /** The key of its record. */
  readonly key: string;
  /** The digest of what it was asked with; a key stands for one digest. */
  readonly digest: string;
  /** On the owner's clock, in ms. */
  readonly deadline: number;
  /** How many servers may get it. */
  readonly maxAttempts: number;
  /** Whether the route says that running it twice is the same as running it once. */
  readonly idempotent: boolean;
  /** Sends it to one server. */
  send(server: Server, signal: AbortSignal, mayStillRun: () => boolean): Promise<BackendOutcome>;
}

/** Whether the servers of a pool keep their own record of keys. */
const recordsKeys = (owner: OwnerServices, poolName: string): boolean =>
  owner.current?.config?.pools.some(
    ({ name, remembersKeys }) => name === poolName && remembersKeys,
  ) ?? false;

/** Whether every server that the route may choose keeps its own record of keys. */
export const routeRecordsKeys = (owner: OwnerServices, operation: Operation): boolean => {
  const route = owner.findRoute(operation.kind, operation.path);
  return (
    route !== undefined &&
    route.shares.every(({ pool, share }) => share === 0 || recordsKeys(owner, pool))
  );
};

/** Where an operation is recorded, and what is known of earlier runs. */
export interface OperationHistory {
  /** The slot's replicator; undefined for a request without key, of which nothing is stored. */
  readonly replicator: SlotReplicator | undefined;
  /** Whether an earlier ownership may have run it. */
  readonly mayHaveRun: boolean;
}

/** Takes one operation through its attempts. */
export class OperationAttempts implements Attempts<BackendOutcome> {
  readonly kind: RouteKind;
  readonly path: string;
  readonly promptParts = [];
  readonly stickyPool = '';
  readonly deadline: number;
  /** A caller that goes ends the wait and the request under way, but does not keep a placed one from being sent. */
  readonly cancelled = false;
  /** Whether each server that the newest intent stands for keeps its own record of keys. */
  private allServersRecord = true;
  private intentStored = false;
  private sent = 0;
  /** How the newest attempt ended that may have run and is to be repeated. */
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
    if (remainingMs <= 0) return this.giveUp('no server came free in time');
    if (this.sent >= this.operation.maxAttempts)
      return this.giveUp('the servers tried did not run it', retryAfterSeconds.otherAttempt);
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
    return this.owner.leaseValid ? undefined : this.giveUp('the control link is down');
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

  /** Whether what may have run may be sent to another server. */
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
    const tries = recordStatus === 'intent' ? intentWriteAttempts : outcomeWriteAttempts;
    await history.replicator.putWithRetry(operation.key, value, tries);
  }

  /** Ends without a result: an operation that never ran becomes void, one that may have run stays unknown. */
  private async giveUp(
    text: string,
    retryAfter: number = retryAfterSeconds.recovery,
  ): Promise<CallOutcome> {
    if (this.lost) return unknown(this.lost.kind === 'lost' ? this.lost.text : text);
    if (this.intentStored)
      await this.store(this.history.mayHaveRun ? 'unknown' : 'void').catch(() => undefined);
    return refused(status.unavailable, 'no-server', text, retryAfter);
  }

  /** An operation is done only once a quorum of replicas has its result. */
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
