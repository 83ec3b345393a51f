/**
 * Requests with a complete, unstreamed response: calls of the product's own interface, and those of pass routes.
 *
 * Holds the keyed operations that are running here; their intents and results are in the slot's replicas. A key is
 * bound to one request body, and a finished operation is answered from its record. An operation that may have run is
 * sent again only to the pool that has it in its own record of keys, so that it takes effect at most once; otherwise
 * its outcome stays "unknown" (`docs/design.md`, "A tool call"). The same holds for a record that does not parse.
 */
import type { Server } from '@tillerstair/state';
import { BudgetUse, toRpcError, UnavailableError, withTimeout } from '@tillerstair/wire';
import { AttemptMachine } from './attempt-machine.js';
import type { BackendOutcome } from './backend.js';
import { CollectedResponse } from './collected-response.js';
import {
  passRoutePath,
  decodeBody,
  type CallRequest,
  type CallOutcome,
  type PassRequest,
} from './messages.js';
import { mayAskAgain, noPool } from './key-records.js';
import { done, outcomeOfError, refused, routeUnknown, unknown } from './outcomes.js';
import { OperationAttempts, type Operation, type OperationHistory } from './operation-attempts.js';
import type { OwnerServices } from './owner-services.js';
import { retryAfterSeconds, status } from './refusals.js';
import { shortDigest } from './short-digest.js';
import { OpValue } from './stored-values.js';

/** The id of an operation at servers that record keys. */
const operationOf = (tenant: string, key: string): string =>
  `${encodeURIComponent(tenant)}/${encodeURIComponent(key)}`;

/** The key under which replicas store an operation. */
export const opKeyOf = (tenant: string, key: string): string => `o/${operationOf(tenant, key)}`;

const digestOf = (...parts: readonly string[]): string => shortDigest(parts.join('\n'));

/** The share of a call's time limit in which attempts may begin; the rest is left for the response. */
const attemptShare = 1 / 2;
/** Memory of an answer in relation to its bytes: its text in base64, and what is sent. */
const answerMemoryFactor = 2;
/** The same for an answer that is stored: it is also sent to each replica. */
const storedAnswerMemoryFactor = 6;

const neverAborted = (): AbortSignal => new AbortController().signal;

const otherBody = (): CallOutcome =>
  refused(status.otherBody, 'other-body', 'this key was used with another body');

const inProgress = 'an operation with this key is in progress';

/** A request of a pass route that is sent to servers until it has an answer. */
interface ForwardedOperation {
  readonly request: PassRequest;
  /** On the owner's clock, in ms. */
  readonly deadline: number;
  /** What the request takes of the memory for answers. */
  readonly memory: BudgetUse;
  readonly isKeyed: boolean;
}

interface RunningOperation {
  readonly digest: string;
  readonly outcome: Promise<CallOutcome>;
}

/** Runs the operations of the slots that this front owns, and requests without a key. */
export class Calls {
  private readonly running = new Map<string, RunningOperation>();
  private callCount = 0;

  constructor(private readonly owner: OwnerServices) {}

  /** Runs a call of the product's own interface; a route with side effects (`acting`) requires a key. */
  async runCall(request: CallRequest, signal: AbortSignal): Promise<CallOutcome> {
    const { config } = this.owner.requireLease();
    const route = this.owner.findRoute('call', request.path);
    if (!route)
      return refused(status.notFound, 'no-route', `no route takes calls at ${request.path}`);
    if (request.key === '' && route.acting)
      return refused(status.badRequest, 'no-key', 'this route needs an Operation-Key');
    const { callMs } = config.bounds;
    const operation: Operation = {
      kind: 'call',
      path: request.path,
      key: opKeyOf(request.tenant, request.key),
      digest: digestOf(request.path, request.body),
      deadline: this.owner.clock.now() + callMs * attemptShare,
      maxAttempts: Infinity,
      idempotent: false,
      send: (server, stop, mayStillRun) =>
        this.owner.backend.act(server, this.actRequest(request), stop, callMs, mayStillRun),
    };
    return request.key === '' ? this.runWithoutKey(operation, signal) : this.runOnce(operation);
  }

  /** Runs a request of a pass route. Rejects with an `OwnershipError` if this front lacks the route or the slot. */
  async runPass(request: PassRequest, signal: AbortSignal): Promise<CallOutcome> {
    this.owner.requireLease();
    const path = passRoutePath(request);
    const rules = this.owner.findRoute('pass', path)?.pass;
    if (!rules) throw routeUnknown(path);
    const isKeyed = rules.manner === 'keyed';
    if (isKeyed && request.key === '')
      return refused(status.badRequest, 'no-key', 'this route needs an operation key');
    const deadline = this.owner.clock.now() + Math.min(request.left, rules.deadlineMs);
    const idempotent = rules.manner === 'repeatable';
    const memory = new BudgetUse(this.owner.answerMemory);
    const operation: Operation = {
      kind: 'pass',
      path,
      key: opKeyOf(request.tenant, request.key),
      digest: digestOf(request.method, request.host, request.path, request.body),
      deadline,
      maxAttempts: rules.tries,
      idempotent,
      send: (server, stop, mayStillRun) =>
        this.forward(server, { request, deadline, memory, isKeyed }, stop, mayStillRun),
    };
    const outcome = isKeyed
      ? this.runOnce(operation)
      : this.runWithoutKey(operation, idempotent ? signal : neverAborted());
    return outcome.finally(() => memory.release());
  }

  private actRequest({ tenant, key, path, body, requestId }: CallRequest) {
    const id = `call-${++this.callCount}`;
    return { id, key: key === '' ? '' : operationOf(tenant, key), path, body, requestId };
  }

  private async forward(
    server: Server,
    { request, deadline, memory, isKeyed }: ForwardedOperation,
    signal: AbortSignal,
    mayStillRun: () => boolean,
  ): Promise<BackendOutcome> {
    const memoryFactor = isKeyed ? storedAnswerMemoryFactor : answerMemoryFactor;
    const response = new CollectedResponse(memory, memoryFactor, (load) =>
      this.owner.reportLoad(server, load),
    );
    const ended = await this.owner.backend.pass(
      server,
      { ...request, body: decodeBody(request.body) },
      response,
      signal,
      deadline - this.owner.clock.now(),
      mayStillRun,
    );
    return response.finish(ended);
  }

  private async runOnce(operation: Operation): Promise<CallOutcome> {
    const { key, digest } = operation;
    const replicator = this.owner.replicator(key);
    const running = this.running.get(key);
    if (running) return this.join(operation, running);
    const stored = OpValue.optional().safeParse(replicator.get(key));
    if (!stored.success) return unknown('the record of this operation cannot be read');
    const record = stored.data?.status === 'void' ? undefined : stored.data;
    const known = record && this.outcomeOfRecord(operation, record);
    if (known) return known;
    const recordedBy = record?.recordedBy ?? noPool;
    // Not aborted when the caller disconnects: the outcome of a keyed operation that has begun must be recorded.
    const outcome = this.run(operation, { replicator, recordedBy }, neverAborted());
    this.running.set(key, { digest, outcome });
    const endRequest = replicator.beginRequest();
    return outcome.finally(() => {
      endRequest();
      this.running.delete(key);
    });
  }

  /**
   * Waits for the outcome of the running request with the same key. If that one ends as unknown, for example at its own
   * deadline, this one goes on in the time that it has left: the service that has the run may still answer.
   */
  private async join(operation: Operation, running: RunningOperation): Promise<CallOutcome> {
    if (running.digest !== operation.digest) return otherBody();
    const { clock } = this.owner;
    const remainingMs = operation.deadline - clock.now();
    const timeoutError = (): Error => new UnavailableError('running', inProgress);
    const joined = withTimeout(clock, remainingMs, running.outcome, timeoutError);
    const outcome = await joined.catch(() =>
      refused(status.conflict, 'running', inProgress, retryAfterSeconds.otherAttempt),
    );
    return outcome.outcome === 'unknown' ? this.runOnce(operation) : outcome;
  }

  /** The outcome of a repeated operation according to its record; undefined if the operation may be sent again. */
  private outcomeOfRecord(operation: Operation, record: OpValue): CallOutcome | undefined {
    if (record.digest !== operation.digest) return otherBody();
    if (record.status === 'done') return done(record.body, record.code);
    const route = this.owner.findRoute(operation.kind, operation.path);
    return mayAskAgain(this.owner.current?.config, route, record.recordedBy)
      ? undefined
      : unknown('this operation may have run; it is not run again');
  }

  private runWithoutKey(operation: Operation, signal: AbortSignal): Promise<CallOutcome> {
    return this.run(operation, { replicator: undefined, recordedBy: noPool }, signal);
  }

  private async run(
    operation: Operation,
    history: OperationHistory,
    signal: AbortSignal,
  ): Promise<CallOutcome> {
    try {
      const attempts = new OperationAttempts(this.owner, operation, history, signal);
      return await new AttemptMachine(this.owner, attempts).run();
    } catch (error) {
      return outcomeOfError(toRpcError(error));
    }
  }
}
