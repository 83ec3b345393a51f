import type { Dispatcher } from 'undici';

/** A request that was withdrawn before any of its bytes were handed to a connection. */
export class Withdrawn extends Error {}

/**
 * Whether one request may have left for its server. The HTTP client calls `onConnect` right before it writes the
 * first byte to a connection, and for a request that it would write again: this lets it through once at most.
 */
export class Departure {
  private written = false;

  constructor(
    private readonly mayLeave: () => boolean,
    private readonly stop: AbortSignal,
  ) {}

  /** True from the moment when the request's first byte may have been written. */
  get mayHaveLeft(): boolean {
    return this.written;
  }

  /** Checks each request once more before it leaves. A throw here spares the connection, which an abort would destroy. */
  readonly guard: Dispatcher.DispatcherComposeInterceptor = (dispatch) => (options, inner) =>
    dispatch(options, {
      onConnect: (abort) => {
        this.leave();
        inner.onConnect?.(abort);
      },
      onHeaders: (status, headers, resume, text) =>
        inner.onHeaders?.(status, headers, resume, text) ?? true,
      onData: (chunk) => inner.onData?.(chunk) ?? true,
      onComplete: (trailers) => inner.onComplete?.(trailers),
      onError: (error) => inner.onError?.(error),
    });

  /** Settles as `answer` does, or fails as soon as `stop` fires while the request is still queued. */
  async unlessQueued<T>(answer: Promise<T>): Promise<T> {
    const watch = new AbortController();
    const withdrawn = new Promise<never>((_, fail) => {
      const onStop = (): void => {
        if (!this.written) fail(new Withdrawn('given up before it left'));
      };
      this.stop.addEventListener('abort', onStop, { once: true, signal: watch.signal });
      if (this.stop.aborted) onStop();
    });
    try {
      return await Promise.race([answer, withdrawn]);
    } finally {
      watch.abort();
    }
  }

  private leave(): void {
    if (this.written) throw new Error('a request is written once only');
    if (this.stop.aborted) throw new Withdrawn('given up before it left');
    if (!this.mayLeave()) throw new Withdrawn('taken back before it left');
    this.written = true;
  }
}
