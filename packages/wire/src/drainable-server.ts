/**
 * An HTTP server that can be drained: its connections end without cutting an answer, and clients learn in time that they
 * have to open new ones. Owns which answers are incomplete on each connection, and whether requests are still taken.
 * Invariant: a request that the handler gets has its answer in full before `closeWithin` closes its connection, unless that
 * time runs out; a request that the handler does not get has not run.
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

/** `announcing`: each answer is the last of its connection. `refusing`: requests are refused, none is handled. */
type Phase = 'serving' | 'announcing' | 'refusing';

const serviceUnavailable = 503;
/** When a client may come back with a request that a stopping server did not take, in seconds: at once, elsewhere. */
const retryAfterS = 0.05;
const refusalBody = JSON.stringify({
  executed: 'no',
  errorCode: 'stopping',
  text: 'this server is stopping',
});

const refuse = (response: ServerResponse): void => {
  response.writeHead(serviceUnavailable, {
    'Content-Type': 'application/json',
    'Content-Length': String(Buffer.byteLength(refusalBody)),
    'Retry-After': String(retryAfterS),
  });
  response.end(refusalBody);
};

/** An HTTP server whose connections can be ended in order. */
export class DrainableServer extends Server {
  private readonly openSockets = new Set<Socket>();
  private readonly unanswered = new Map<Duplex, Set<ServerResponse>>();
  private phase: Phase = 'serving';

  /** `handler` gets each request that is taken. */
  constructor(
    options: ServerOptions,
    private readonly handler: RequestListener,
  ) {
    super(options);
    this.on('connection', (socket) => {
      this.openSockets.add(socket);
      socket.on('close', () => this.openSockets.delete(socket));
    });
    this.on('request', (request: IncomingMessage, response: ServerResponse) => {
      this.take(request, response);
    });
  }

  /** How many requests have no complete answer yet. */
  get pendingRequests(): number {
    let count = 0;
    for (const responses of this.unanswered.values()) count += responses.size;
    return count;
  }

  /** Whether a request on this connection has no complete answer yet. */
  hasPendingRequest(socket: Duplex): boolean {
    return this.unanswered.has(socket);
  }

  /** Goes on serving; from now on each connection ends with its next answer, or with those that are under way. */
  announceClose(): void {
    if (this.phase === 'serving') this.phase = 'announcing';
    for (const responses of this.unanswered.values())
      for (const response of responses) this.makeLast(response);
  }

  /** Takes no further connection or request, and ends connections on which nothing is under way. */
  stopAccepting(): void {
    if (this.phase === 'refusing') return;
    this.announceClose();
    this.phase = 'refusing';
    if (this.listening) this.close();
    this.closeIdleConnections();
    // Node counts a connection that was never used as one whose request is awaited.
    for (const socket of this.openSockets) if (socket.bytesRead === 0) socket.destroy();
  }

  /** Stops accepting and resolves once all connections have ended: when everything is answered, or after `withinMs`. */
  async closeWithin(withinMs: number, clock: Clock = hostClock): Promise<void> {
    this.stopAccepting();
    if (this.unanswered.size > 0) {
      const over = new AbortController();
      const answered = new Promise<void>((resolve) => {
        this.once('allAnswered', resolve);
      });
      await Promise.race([answered, delay(clock, withinMs, over.signal)]);
      over.abort();
    }
    this.closeAllConnections();
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const earlier = this.unanswered.get(socket) ?? new Set<ServerResponse>();
    // RFC 9112, 9.6: what a client sends behind a request whose answer closes the connection is not processed.
    if ([...earlier].some(({ shouldKeepAlive }) => !shouldKeepAlive)) return;
    this.unanswered.set(socket, earlier.add(response));
    response.on('close', () => this.answered(socket, response));
    if (this.phase !== 'serving') this.makeLast(response);
    if (this.phase === 'refusing') refuse(response);
    else this.handler(request, response);
  }

  /** Has the connection end behind this answer, whether its head was sent already or not. */
  private makeLast(response: ServerResponse): void {
    const { socket } = response;
    if (response.headersSent && response.shouldKeepAlive)
      response.once('finish', () => socket?.destroySoon());
    response.shouldKeepAlive = false;
  }

  private answered(socket: Duplex, response: ServerResponse): void {
    const responses = this.unanswered.get(socket);
    responses?.delete(response);
    if (responses?.size === 0) this.unanswered.delete(socket);
    if (this.unanswered.size === 0) this.emit('allAnswered');
  }
}
