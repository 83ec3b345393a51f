/**
 * The state machine that every request to a server goes through, whatever its interface.
 *
 * `placing` waits for a server, `placed` records what is about to run, `recorded` looks once more and sends, `answered`
 * stores what came back. A server that did not run the request leads back to `placing`; everything else ends it.
 *
 * The machine owns the state of one request and the set of servers it has tried. It keeps these invariants: nothing is
 * sent before `record` has completed; the server, the route and the read lease are looked at again in the same turn of
 * the event loop in which the request is sent; each server that was placed is released exactly once.
 */
import type { RouteKind, Server } from '@tillerstair/state';
import { RpcError, toRpcError, type Clock } from '@tillerstair/wire';
import type { CallOutcome } from './messages.js';
import type { PrefixBlock } from './prefix-blocks.js';

/** How often an end is written before it is given up. */
export const outcomeWriteAttempts = 20;

/** What a request asks for when it waits for a server. */
export interface PlacementRequest {
  readonly kind: RouteKind;
  readonly path: string;
  /** The prompt in parts that a server may have in its prefix cache; empty where it is not known. */
  readonly promptParts: readonly PrefixBlock[];
  /** The pool that served the request's predecessor; empty without one. */
  readonly stickyPool: string;
  /** Ids of servers that are not asked again. */
  readonly excluded: ReadonlySet<string>;
  /** How long to wait at most, in ms. */
  readonly timeoutMs: number;
  /** Ends the wait. */
  readonly signal: AbortSignal;
}

/** What the machine needs of the session owner. */
export interface ServerDispatcher {
  readonly clock: Clock;
  /** Waits for a server and counts the request there. Rejects with an `AdmissionError` where there is none. */
  place(request: PlacementRequest): Promise<Server>;
  /** Whether lease, route and state allow a request to be sent to this server now. */
  mayRun(server: Server, kind: RouteKind, path: string): boolean;
}

/** How one interface takes its requests through the machine. An `undefined` outcome means: try another server. */
export interface Attempts<Result> {
  readonly kind: RouteKind;
  readonly path: string;
  readonly promptParts: readonly PrefixBlock[];
  readonly stickyPool: string;
  /** On the owner's clock, in ms. */
  readonly deadline: number;
  /** Aborted when the caller has gone; ends the wait for a server. */
  readonly signal: AbortSignal;
  /** Whether the request is not to be sent any more on account of its caller. */
  readonly cancelled: boolean;
  /** `placing`: why no server is to be waited for. Called before each wait. */
  refuseBeforePlacing(remainingMs: number): CallOutcome | Promise<CallOutcome> | undefined;
  /** `placing`: no server was assigned. May clear `tried` so that servers are asked again. */
  placementFailed(error: RpcError, tried: Set<string>): Promise<CallOutcome | undefined>;
  /** `placed`: puts the intent or reservation on a quorum of replicas, unless it is there; an outcome refuses. */
  record(server: Server): Promise<CallOutcome | undefined>;
  /** `recorded`: the request may not be sent to this server any more. */
  notAllowed(): Promise<CallOutcome | undefined>;
  /** `recorded`: sends the request. `mayStillRun` is asked again right before the first byte. */
  send(server: Server, mayStillRun: () => boolean): Promise<Result>;
  /** `answered`: stores the result. */
  complete(server: Server, result: Result): Promise<CallOutcome | undefined>;
  /** The server is left, whatever came of it: it is no longer counted as busy with this request. */
  release(server: Server): void;
}

/** Where a request stands at one server. */
type StateAtServer<Result> =
  | { readonly phase: 'placed' }
  | { readonly phase: 'recorded' }
  | { readonly phase: 'answered'; readonly result: Result };

/** Runs one request through its states until it has an outcome. */
export class AttemptMachine<Result> {
  private readonly tried = new Set<string>();

  constructor(
    private readonly dispatcher: ServerDispatcher,
    private readonly attempts: Attempts<Result>,
  ) {}

  /** Resolves with the outcome; rejects only where a hook of the interface rejects. */
  async run(): Promise<CallOutcome> {
    const { attempts, dispatcher, tried } = this;
    for (;;) {
      const timeoutMs = attempts.deadline - dispatcher.clock.now();
      const refusal = attempts.refuseBeforePlacing(timeoutMs);
      if (refusal) return refusal;
      const server = await this.place(timeoutMs);
      const outcome =
        server instanceof RpcError
          ? await attempts.placementFailed(server, tried)
          : await this.runAt(server);
      if (outcome) return outcome;
    }
  }

  private place(timeoutMs: number): Promise<Server | RpcError> {
    const { kind, path, promptParts, stickyPool, signal } = this.attempts;
    const excluded = this.tried;
    return this.dispatcher
      .place({ kind, path, promptParts, stickyPool, excluded, timeoutMs, signal })
      .catch(toRpcError);
  }

  /** Goes through the states at one server and releases it at the end; `undefined` leads back to `placing`. */
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
