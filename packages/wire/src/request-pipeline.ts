/**
 * The requests of one HTTP connection that have no complete response yet, in the order of their arrival. Only the first is
 * handled; the others wait, so that what a connection makes its process hold does not grow with the number of requests
 * that its client sends without awaiting the responses (RFC 9112, section 9.3.2).
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** A request and its response. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** The pending exchanges of one connection. */
export class RequestPipeline {
  private readonly exchanges: Exchange[] = [];
  private closing = false;

  /** Number of requests without a complete response. */
  get size(): number {
    return this.exchanges.length;
  }

  /** Number of requests that are not handled yet. */
  get waiting(): number {
    return Math.max(0, this.exchanges.length - 1);
  }

  /** The exchange that is being handled. */
  get current(): Exchange | undefined {
    return this.exchanges[0];
  }

  /** Whether the connection closes after the current response, so that no further request is handled. */
  get isClosing(): boolean {
    return this.closing || this.current?.response.shouldKeepAlive === false;
  }

  /** Adds a request that has arrived; returns whether it is the current one. */
  add(exchange: Exchange): boolean {
    return this.exchanges.push(exchange) === 1;
  }

  /**
   * Removes the current exchange, whose response has closed. Returns the one that is current then; undefined if there is
   * none, or if the connection closes, which drops those that wait.
   */
  finishCurrent(): Exchange | undefined {
    const finished = this.exchanges.shift();
    if (finished?.response.shouldKeepAlive === false) this.close();
    return this.current;
  }

  /** Drops all exchanges, since the connection is closed; none is handled any more. */
  close(): void {
    this.closing = true;
    this.exchanges.length = 0;
  }
}
