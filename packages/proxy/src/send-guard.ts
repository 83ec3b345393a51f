/* eslint-disable @typescript-eslint/no-deprecated -- undici's request handler is of the older kind; an interceptor of the
   newer kind would have it parse the headers of each answer once more */
/**
 * Marks a request at the moment before its first byte is written. What may be sent again, and what a caller is told,
 * follows from this mark alone (`docs/answers-and-connections.md`, "The mark").
 */
import type { Dispatcher } from 'undici';

/** A request was withdrawn before any of its bytes were given to a connection. */
export class RequestWithdrawnError extends Error {
  override readonly name: string = 'RequestWithdrawnError';
}

/** The HTTP client wanted to write a request that may have been sent; it fails before any byte leaves. */
class RequestRewrittenError extends Error {
  override readonly name: string = 'RequestRewrittenError';

  constructor() {
    super('a request is written once only');
  }
}

/**
 * Whether one request may have been sent to its server. The HTTP client calls `onConnect` right before it writes the
 * first byte to a connection, and for a request that it would write again: this lets it through once at most.
 */
export class SendGuard {
  private written = false;

  /** `mayStillRun` is asked right before the first byte; `stop` aborts when the caller leaves or its time is over. */
  constructor(
    private readonly mayStillRun: () => boolean,
    private readonly stop: AbortSignal,
  ) {}

  /** True from the moment when the request's first byte may have been written. */
  get mayHaveBeenSent(): boolean {
    return this.written;
  }

  /** Checks each request once more before it is sent. A throw here spares the connection, which an abort would destroy. */
  readonly interceptor: Dispatcher.DispatcherComposeInterceptor = (dispatch) => (options, inner) =>
    dispatch(options, {
      onConnect: (abort) => {
        this.markSent();
        inner.onConnect?.(abort);
      },
      onHeaders: (status, headers, resume, text) =>
        inner.onHeaders?.(status, headers, resume, text) ?? true,
      onData: (chunk) => inner.onData?.(chunk) ?? true,
      onComplete: (trailers) => inner.onComplete?.(trailers),
      onError: (error) => inner.onError?.(error),
    });

  /** Settles as `answer` does, or rejects as soon as `stop` aborts while the request is still queued. */
  async rejectWhileQueued<T>(answer: Promise<T>): Promise<T> {
    const settled = new AbortController();
    const withdrawn = new Promise<never>((_resolve, reject) => {
      const onStop = (): void => {
        if (!this.written) reject(new RequestWithdrawnError('given up before it was sent'));
      };
      this.stop.addEventListener('abort', onStop, { once: true, signal: settled.signal });
      if (this.stop.aborted) onStop();
    });
    try {
      return await Promise.race([answer, withdrawn]);
    } finally {
      settled.abort();
    }
  }

  private markSent(): void {
    if (this.written) throw new RequestRewrittenError();
    if (this.stop.aborted) throw new RequestWithdrawnError('given up before it was sent');
    if (!this.mayStillRun()) throw new RequestWithdrawnError('withdrawn before it was sent');
    this.written = true;
  }
}
