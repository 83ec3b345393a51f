/* eslint-disable @typescript-eslint/no-deprecated -- undici's request handler uses the old handler API; an interceptor
   with the new API would parse the headers of each response a second time */
/**
 * Marks a request right before its first byte is written. Whether the request may be sent again, and which outcome a
 * caller gets, follows from this mark alone (`docs/answers-and-connections.md`, "The mark").
 */
import type { Dispatcher } from 'undici';

/** A request was withdrawn before any of its bytes were written to a connection. */
export class RequestWithdrawnError extends Error {
  override readonly name: string = 'RequestWithdrawnError';
}

/** The HTTP client tried to write a request a second time; the request fails before any further byte is written. */
class RequestRewrittenError extends Error {
  override readonly name: string = 'RequestRewrittenError';

  constructor() {
    super('the request may have been sent and is not written a second time');
  }
}

/**
 * Tracks whether one request may have been sent to its server. The HTTP client calls `onConnect` right before it writes
 * the first byte to a connection, also for a request that it retries by itself; the guard lets it write once at most.
 */
export class SendGuard {
  private written = false;

  /**
   * `mayStillRun` is called right before the first byte; `stop` aborts on a disconnect of the caller or the timeout.
   */
  constructor(
    private readonly mayStillRun: () => boolean,
    private readonly stop: AbortSignal,
  ) {}

  /** Whether the request's first byte may have been written. */
  get mayHaveBeenSent(): boolean {
    return this.written;
  }

  /** Checks the request again right before it is sent. It throws, since an abort would destroy the connection. */
  readonly interceptor: Dispatcher.DispatcherComposeInterceptor = (dispatch) => (options, next) =>
    dispatch(options, {
      onConnect: (abort) => {
        this.markSent();
        next.onConnect?.(abort);
      },
      onHeaders: (status, headers, resume, text) =>
        next.onHeaders?.(status, headers, resume, text) ?? true,
      onData: (chunk) => next.onData?.(chunk) ?? true,
      onComplete: (trailers) => next.onComplete?.(trailers),
      onError: (error) => next.onError?.(error),
    });

  /** Settles like `response`, or rejects as soon as `stop` aborts while the request is still queued. */
  async rejectWhileQueued<T>(response: Promise<T>): Promise<T> {
    const settled = new AbortController();
    const withdrawn = new Promise<never>((_resolve, reject) => {
      const onStop = (): void => {
        if (!this.written)
          reject(new RequestWithdrawnError('the request was cancelled before it was sent'));
      };
      this.stop.addEventListener('abort', onStop, { once: true, signal: settled.signal });
      if (this.stop.aborted) onStop();
    });
    try {
      return await Promise.race([response, withdrawn]);
    } finally {
      settled.abort();
    }
  }

  private markSent(): void {
    if (this.written) throw new RequestRewrittenError();
    if (this.stop.aborted)
      throw new RequestWithdrawnError('the request was cancelled before it was sent');
    if (!this.mayStillRun())
      throw new RequestWithdrawnError('the server must not be used any more');
    this.written = true;
  }
}
