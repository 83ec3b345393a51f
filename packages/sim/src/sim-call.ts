/** One request on the simulated network, from the caller's side: it ends once, with a response or an error. */
import {
  ConnectionLostError,
  RequestCancelledError,
  RequestTimeoutError,
  rpcErrorOf,
  toRpcError,
  type CallOptions,
  type TimerHandle,
} from '@tillerstair/wire';
import type { Incarnation } from './incarnation.js';
import type { Host, SimNet } from './sim-net.js';

/** A request, as the caller sends it. */
export interface SimRequest {
  readonly from: string;
  readonly to: string;
  readonly kind: string;
  /** JSON text. */
  readonly body: string;
  /** The process that sent it. */
  readonly caller: Incarnation;
}

/** Interval at which a call checks whether the called process is still alive, in ms. */
const lossCheckMs = 20;

/** A request in flight. Nothing is reported to the caller after it has ended, or while the caller's process is dead. */
export class SimCall {
  readonly from: string;
  readonly to: string;
  private readonly cancellation = new AbortController();
  private readonly promise: Promise<unknown>;
  private resolve: (response: unknown) => void = () => undefined;
  private reject: (error: unknown) => void = () => undefined;
  private ended = false;
  private timeout: TimerHandle | undefined;

  constructor(
    private readonly net: SimNet,
    private readonly request: SimRequest,
    private readonly options: CallOptions,
    private readonly onEnd: (call: SimCall) => void,
  ) {
    this.from = request.from;
    this.to = request.to;
    this.promise = new Promise((resolve, reject) => {
      this.resolve = resolve;
      this.reject = reject;
    });
  }

  /** Sends the request and resolves with the response. */
  run(): Promise<unknown> {
    const { from, to, kind, body } = this.request;
    this.net.observe({ from, to, kind }, body, 'body');
    this.net.messages++;
    this.timeout = this.net.clock.after(this.options.timeoutMs, () => {
      this.cancel(new RequestTimeoutError(to));
    });
    this.options.signal?.addEventListener('abort', this.onAbort, { once: true });
    const parsed: unknown = JSON.parse(body);
    this.net.deliver(from, to, () => this.arrive(parsed));
    return this.promise;
  }

  /** Ends the request with an error and aborts the signal of its handler. */
  cancel(error: Error): void {
    this.cancellation.abort();
    this.fail(error);
  }

  private readonly onAbort = (): void => {
    this.cancel(new RequestCancelledError('unknown'));
  };

  private fail(error: unknown): void {
    this.end(() => this.reject(error));
  }

  private end(report: () => void): void {
    this.request.caller.do(() => {
      if (this.ended) return;
      this.ended = true;
      this.onEnd(this);
      this.timeout?.stop();
      this.options.signal?.removeEventListener('abort', this.onAbort);
      report();
    });
  }

  private arrive(body: unknown): void {
    let host: Host | undefined;
    try {
      host = this.net.hostFor(this.from, this.to);
    } catch (error) {
      this.fail(error);
    }
    if (!host) return;
    this.watch(host);
    this.handle(host, body);
  }

  private watch(host: Host): void {
    this.net.clock.after(lossCheckMs, () => {
      if (this.ended) return;
      if (host.incarnation.dead) this.fail(new ConnectionLostError(this.to));
      else this.watch(host);
    });
  }

  private handle(host: Host, body: unknown): void {
    const { from, to, request } = this;
    const { kind } = request;
    const emit = (chunk: unknown): void => {
      const text = JSON.stringify(chunk);
      this.net.observe({ from: to, to: from, kind: `${kind} chunk` }, text, 'chunk');
      this.respond(host, () => {
        request.caller.do(() => {
          if (!this.ended) this.options.onChunk?.(JSON.parse(text));
        });
      });
    };
    host.incarnation.do(() => {
      void host.handler({ from, kind, body }, emit, this.cancellation.signal).then(
        (answer) => {
          const text = JSON.stringify(answer ?? null);
          this.net.onAnswer?.({ by: to, caller: from, kind, body, answer });
          this.net.observe({ from: to, to: from, kind }, text, 'response');
          this.respond(host, () => this.end(() => this.resolve(JSON.parse(text))));
        },
        (error: unknown) => {
          const { code, message, executed } = toRpcError(error);
          this.respond(host, () => this.fail(rpcErrorOf(code, message, executed)));
        },
      );
    });
  }

  /** Sends a message back to the caller, unless the called process is dead. */
  private respond(host: Host, arrive: () => void): void {
    if (host.incarnation.dead) return;
    this.net.deliver(this.to, this.from, () => {
      if (!this.net.isCut(this.to, this.from)) arrive();
    });
  }
}
