/**
 * The state machine that every request to a server goes through, whatever its interface.
 *
 * `placing` waits for a server, `placed` stores the intent or reservation, `recorded` checks the preconditions again
 * and sends the request, `answered` stores the result. A request that the server did not run, or that may be retried,
 * returns to `placing`; every other result ends it.
 *
 * The machine owns the state of one request and the set of servers it has tried. Invariants: nothing is sent before
 * `record` has completed; the server, the route and the read lease are checked again in the same turn of the event loop
 * in which the request is sent; each assigned server is released exactly once.
 */
import type { RouteKind, Server } from '@tillerstair/state';
import { RpcError, toRpcError, type Clock } from '@tillerstair/wire';
import type { CallOutcome } from './messages.js';
import type { PrefixBlock } from './prefix-blocks.js';

/** Maximum number of attempts to write the outcome of a request to the replicas. */
export const outcomeWriteAttempts = 20;

/** A request for a server, with the constraints of its placement. */
export interface PlacementRequest {
  readonly kind: RouteKind;
  readonly path: string;
  /** The prompt as blocks that a server may have in its prefix cache; empty if the prompt is not known. */
  readonly promptParts: readonly PrefixBlock[];
  /** The pool that served the preceding turn, which is preferred; empty if there is none. */
  readonly stickyPool: string;
  /** The only pool whose servers may be assigned; empty if those of all pools of the route may be. */
  readonly requiredPool: string;
  /** Ids of the servers that must not be assigned, since they were tried before. */
  readonly excluded: ReadonlySet<string>;
  /** Maximum time to wait for a server, in ms. */
  readonly timeoutMs: number;
  /** Cancels the wait for a server when aborted. */
  readonly signal: AbortSignal;
}

/** Assigns servers to requests; implemented by the session owner. */
export interface ServerDispatcher {
  readonly clock: Clock;
  /**
   * Waits for a server and counts the request as in flight there. Rejects with an `AdmissionError` if no server is
   * assigned, or with a `RequestCancelledError` if `signal` aborts.
   */
  place(request: PlacementRequest): Promise<Server>;
  /** Whether the read lease, the route and the cluster state allow a request to be sent to this server now. */
  mayRun(server: Server, kind: RouteKind, path: string): boolean;
}

/**
 * The hooks by which an interface handles the states of a request. A hook that returns an outcome ends the request. An
 * outcome of `undefined` lets it continue: after `record` at the same server, otherwise with a wait for a server.
 */
export interface Attempts<Result> {
  readonly kind: RouteKind;
  readonly path: string;
  readonly promptParts: readonly PrefixBlock[];
  readonly stickyPool: string;
  /** Read before each wait for a server. */
  readonly requiredPool: string;
  /** Time on the owner's clock, in ms, by which a server must be assigned; all attempts of the request share it. */
  readonly deadline: number;
  /** Aborted when the caller disconnects; cancels the wait for a server. */
  readonly signal: AbortSignal;
  /** Whether the caller has disconnected and the request must therefore not be sent any more. */
  readonly cancelled: boolean;
  /**
   * `placing`: called before each wait for a server; an outcome ends the request without waiting. A promise of
   * `undefined` delays the wait: the hook is called once more when it has resolved.
   */
  refuseBeforePlacing(
    remainingMs: number,
  ): CallOutcome | Promise<CallOutcome | undefined> | undefined;
  /** `placing`: called when no server was assigned. May clear `tried`, so that the same servers are tried again. */
  placementFailed(error: RpcError, tried: Set<string>): Promise<CallOutcome | undefined>;
  /** `placed`: stores the intent or reservation on a quorum of replicas, unless it is stored already. */
  record(server: Server): Promise<CallOutcome | undefined>;
  /** `recorded`: called when the request may no longer be sent to this server. */
  notAllowed(): Promise<CallOutcome | undefined>;
  /** `recorded`: sends the request. `mayStillRun` is checked again right before the first byte is sent. */
  send(server: Server, mayStillRun: () => boolean): Promise<Result>;
  /** `answered`: stores the result. */
  complete(server: Server, result: Result): Promise<CallOutcome | undefined>;
  /** Called once for each assigned server, whatever the result: the request is no longer in flight there. */
  release(server: Server): void;
}

/** The state of a request at one server. */
type StateAtServer<Result> =
  | { readonly phase: 'placed' }
  | { readonly phase: 'recorded' }
  | { readonly phase: 'answered'; readonly result: Result };

/** Runs one request through the states until it has an outcome. */
export class AttemptMachine<Result> {
  private readonly tried = new Set<string>();

  constructor(
    private readonly dispatcher: ServerDispatcher,
    private readonly attempts: Attempts<Result>,
  ) {}

  /** Resolves with the outcome; rejects only if a hook of `Attempts` rejects. */
  async run(): Promise<CallOutcome> {
    const { attempts, dispatcher, tried } = this;
    for (;;) {
      const timeoutMs = attempts.deadline - dispatcher.clock.now();
      const refusal = attempts.refuseBeforePlacing(timeoutMs);
      if (refusal) {
        const outcome = await refusal;
        if (outcome) return outcome;
        continue;
      }
      const server = await this.place(timeoutMs);
      const outcome =
        server instanceof RpcError
          ? await attempts.placementFailed(server, tried)
          : await this.runAt(server);
      if (outcome) return outcome;
    }
  }

  private place(timeoutMs: number): Promise<Server | RpcError> {
    const { kind, path, promptParts, stickyPool, requiredPool, signal } = this.attempts;
    const excluded = this.tried;
    return this.dispatcher
      .place({ kind, path, promptParts, stickyPool, requiredPool, excluded, timeoutMs, signal })
      .catch(toRpcError);
  }

  /** Runs the states from `placed` on at one server and releases it; `undefined` returns to `placing`. */
  private async runAt(server: Server): Promise<CallOutcome | undefined> {
    const { attempts, dispatcher } = this;
    const mayRun = (): boolean => dispatcher.mayRun(server, attempts.kind, attempts.path);
    let state: StateAtServer<Result> = { phase: 'placed' };
    try {
      for (;;)
        switch (state.phase) {
          case 'placed': {
            const refusal = await attempts.record(server);
            if (refusal) return refusal;
            state = { phase: 'recorded' };
            break;
          }
          case 'recorded':
            this.tried.add(server.id);
            if (attempts.cancelled || !mayRun()) return await attempts.notAllowed();
            state = { phase: 'answered', result: await attempts.send(server, mayRun) };
            break;
          case 'answered':
            return await attempts.complete(server, state.result);
        }
    } finally {
      attempts.release(server);
    }
  }
}
