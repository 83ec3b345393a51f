/**
 * An HTTP server that supports graceful shutdown: connections are closed without truncating a response, and clients are
 * told early, by `Connection: close`, to open new ones. Owns the pipeline of each connection and the phase of the shutdown.
 * Invariants: a request that was passed to the handler gets its complete response before `closeWithin` closes its
 * connection, unless that timeout expires; a request that was not passed to the handler has not been executed; of each
 * connection, one request at a time is passed to the handler.
 */
import {
  Server,
  type IncomingMessage,
  type RequestListener,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { delay, hostClock, type Clock } from './clock.js';
import { RequestPipeline, type Exchange } from './request-pipeline.js';

/**
 * `serving`: requests are handled, connections stay open. `announcing`: requests are handled, connections are closed
 * after their responses. `refusing`: requests are answered 503 and not passed to the handler.
 */
type Phase = 'serving' | 'announcing' | 'refusing';

const badRequest = 400;
const expectationFailed = 417;
const serviceUnavailable = 503;
/** `Retry-After` of a rejected request, in seconds. Short, because another server can handle it immediately. */
const retryAfterS = 0.05;
const refusalBody = JSON.stringify({
  executed: 'no',
  errorCode: 'stopping',
  text: 'this server is stopping',
});
const knownExpectation = /(?:^|\W)100-continue(?:$|\W)/i;

const sendServiceUnavailable = (response: ServerResponse): void => {
  response.writeHead(serviceUnavailable, {
    'Content-Type': 'application/json',
    'Content-Length': String(Buffer.byteLength(refusalBody)),
    'Retry-After': String(retryAfterS),
  });
  response.end(refusalBody);
};

/** The status with which a request is rejected that violates HTTP/1.1; undefined if it does not. */
const protocolViolation = ({ headers, httpVersion }: IncomingMessage): number | undefined => {
  // RFC 9112, section 3.2, and RFC 9110, section 10.1.1.
  if (httpVersion === '1.1' && headers.host === undefined) return badRequest;
  const isExpectationUnknown =
    headers.expect !== undefined && !knownExpectation.test(headers.expect);
  return isExpectationUnknown ? expectationFailed : undefined;
};

const sendViolation = (response: ServerResponse, status: number): void => {
  response.shouldKeepAlive = false;
  response.writeHead(status, { 'Content-Length': '0' });
  response.end();
};

/** Is told of the requests of all connections of a server. */
export interface RequestObserver {
  /** A request has arrived, whether it is handled or waits. */
  requestArrived(exchange: Exchange): void;
  /** The response to the current request of a connection has closed. */
  requestAnswered(socket: Socket): void;
}

/** The time at which each request arrived, on the host's clock in ms; it may have waited since. */
const arrivalTimes = new WeakMap<IncomingMessage, number>();

/** The time at which a request arrived at a `DrainableServer`, on the host's clock in ms; undefined at another server. */
export const arrivalTimeOf = (request: IncomingMessage): number | undefined =>
  arrivalTimes.get(request);

/** An HTTP server that can be drained and then closed. */
export class DrainableServer extends Server {
  private readonly pipelines = new Map<Duplex, RequestPipeline>();
  private readonly observers: RequestObserver[] = [];
  private phase: Phase = 'serving';

  /** @param handler - called for each accepted request */
  constructor(
    options: ServerOptions,
    private readonly handler: RequestListener,
  ) {
    // Node would answer requests without a host by itself, outside the pipeline.
    super({ ...options, requireHostHeader: false });
    this.on('connection', (socket) => this.accept(socket));
    const handle = (request: IncomingMessage, response: ServerResponse): void =>
      this.handleRequest({ request, response });
    this.on('request', handle);
    this.on('checkExpectation', handle);
  }

  /** Number of requests without a complete response. */
  get pendingRequests(): number {
    let count = 0;
    for (const { size } of this.pipelines.values()) count += size;
    return count;
  }

  /** Whether a request on this connection is still without a complete response. */
  hasPendingRequest(socket: Duplex): boolean {
    return (this.pipelines.get(socket)?.size ?? 0) > 0;
  }

  /** Whether the handler has not ended its response to a request on this connection yet. */
  hasUnansweredRequest(socket: Duplex): boolean {
    return this.pipelines.get(socket)?.current?.response.writableEnded === false;
  }

  /** Whether the body of the current request on this connection has not arrived completely. */
  hasIncompleteRequest(socket: Duplex): boolean {
    return this.pipelines.get(socket)?.current?.request.complete === false;
  }

  /** Number of requests on this connection that wait for the responses to earlier ones. */
  waitingRequests(socket: Duplex): number {
    return this.pipelines.get(socket)?.waiting ?? 0;
  }

  /** Reports the requests of all connections from now on. */
  observe(observer: RequestObserver): void {
    this.observers.push(observer);
  }

  /** Keeps serving, but closes each connection after its pending response or, if it is idle, after its next one. */
  announceClose(): void {
    if (this.phase === 'serving') this.phase = 'announcing';
    for (const { current } of this.pipelines.values())
      if (current) this.closeAfter(current.response);
  }

  /** Stops accepting connections and requests, and closes the connections without a pending request. */
  stopAccepting(): void {
    if (this.phase === 'refusing') return;
    this.announceClose();
    this.phase = 'refusing';
    if (this.listening) this.close();
    this.closeIdleConnections();
    // `closeIdleConnections` skips connections that never sent a byte: Node counts them as waiting for a request.
    for (const socket of this.pipelines.keys())
      if ('bytesRead' in socket && socket.bytesRead === 0) socket.destroy();
  }

  /** Stops accepting requests, waits for the pending responses for at most `withinMs`, then closes all connections. */
  async closeWithin(withinMs: number, clock: Clock = hostClock): Promise<void> {
    this.stopAccepting();
    if (this.pendingRequests > 0) {
      const timeout = new AbortController();
      const answered = new Promise<void>((resolve) => {
        this.once('allAnswered', resolve);
      });
      await Promise.race([answered, delay(clock, withinMs, timeout.signal)]);
      timeout.abort();
    }
    this.closeAllConnections();
  }

  private accept(socket: Socket): void {
    const pipeline = new RequestPipeline();
    this.pipelines.set(socket, pipeline);
    socket.on('close', () => {
      pipeline.close();
      this.pipelines.delete(socket);
      this.announceIfAllAnswered();
    });
  }

  private handleRequest(exchange: Exchange): void {
    const { socket } = exchange.request;
    const pipeline = this.pipelines.get(socket);
    // RFC 9112, 9.6: requests that follow one whose response closes the connection are not processed.
    if (!pipeline || socket.destroyed || pipeline.isClosing) return;
    arrivalTimes.set(exchange.request, hostClock.now());
    const isCurrent = pipeline.add(exchange);
    for (const observer of this.observers) observer.requestArrived(exchange);
    if (isCurrent) this.start(exchange, socket, pipeline);
  }

  private start({ request, response }: Exchange, socket: Socket, pipeline: RequestPipeline): void {
    response.on('close', () => this.finish(socket, pipeline));
    if (this.phase !== 'serving') this.closeAfter(response);
    const violation = protocolViolation(request);
    if (violation !== undefined) sendViolation(response, violation);
    else if (this.phase === 'refusing') sendServiceUnavailable(response);
    else this.handler(request, response);
  }

  /** Passes the next request of a connection to the handler once the response to the current one has closed. */
  private finish(socket: Socket, pipeline: RequestPipeline): void {
    if (socket.destroyed || socket.writableEnded) pipeline.close();
    const next = pipeline.finishCurrent();
    for (const observer of this.observers) observer.requestAnswered(socket);
    if (next) this.start(next, socket, pipeline);
    this.announceIfAllAnswered();
  }

  private announceIfAllAnswered(): void {
    if (this.phase === 'refusing' && this.pendingRequests === 0) this.emit('allAnswered');
  }

  /** Closes the connection after this response, also if its head has already been sent with `keep-alive`. */
  private closeAfter(response: ServerResponse): void {
    const { socket } = response;
    if (response.headersSent && response.shouldKeepAlive)
      response.once('finish', () => socket?.destroySoon());
    response.shouldKeepAlive = false;
  }
}
