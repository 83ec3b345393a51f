/** The client side of a node-to-node connection: opens it, sends requests, and matches replies to pending requests. */
import { createConnection, type Socket } from 'node:net';
import split2 from 'split2';
import { parseAddress } from './address.js';
import { hostClock } from './clock.js';
import {
  ConnectionLostError,
  ConnectionRefusedError,
  RequestCancelledError,
  RequestTimeoutError,
  rpcErrorOf,
} from './errors/index.js';
import { encodeLine, ReplyLine } from './messages.js';
import type { CallOptions, EmitChunk } from './transport.js';

interface PendingRequest {
  resolve(response: unknown): void;
  reject(error: Error): void;
  readonly onChunk: EmitChunk;
}

/** Target, limits and callback of an outgoing connection. */
export interface OutgoingOptions {
  /** Address of this process, sent in the `HelloLine`. */
  readonly self: string;
  /** Address of the other process. */
  readonly to: string;
  /** Timeout of opening the connection, in milliseconds; also the silence after which the peer may count as down. */
  readonly openTimeoutMs: number;
  /** Maximum length of a reply line, in bytes; a longer one closes the connection. */
  readonly maxLineBytes: number;
  /** Called once when the connection has closed, after its pending requests have been rejected. */
  onClosed(connection: OutgoingConnection): void;
}

const ignoreChunk: EmitChunk = () => undefined;

/** One connection to another process. It is not reopened: after it has closed, a new instance is needed. */
export class OutgoingConnection {
  private readonly socket: Socket;
  private readonly opened: Promise<void>;
  private readonly pending = new Map<number, PendingRequest>();
  private lastReceivedAt = hostClock.now();

  constructor(private readonly options: OutgoingOptions) {
    this.socket = createConnection(parseAddress(options.to));
    this.socket.setNoDelay(true);
    this.opened = this.whenOpen();
    this.opened.catch(() => undefined);
    this.socket.on('data', () => {
      this.lastReceivedAt = hostClock.now();
    });
    this.socket.on('error', () => this.socket.destroy());
    this.socket.on('close', () => {
      for (const request of this.pending.values())
        request.reject(new ConnectionLostError(options.to));
      this.pending.clear();
      options.onClosed(this);
    });
    void this.readReplies();
  }

  /** Resolves once the connection is open; rejects with `ConnectionRefusedError` if it cannot be opened. */
  ready(): Promise<void> {
    return this.opened;
  }

  /**
   * Sends a request on the open connection and returns its response. `id` must be unique on this connection. Throws a
   * `TransportError`, or the error that the peer replied.
   */
  async send(id: number, kind: string, body: unknown, options: CallOptions): Promise<unknown> {
    if (this.socket.destroyed) throw new ConnectionRefusedError(this.options.to);
    const cleanups = new Set<() => void>();
    try {
      return await new Promise<unknown>((resolve, reject) => {
        cleanups.add(this.failAfterTimeout(id, options.timeoutMs, reject));
        if (options.signal) cleanups.add(this.failOnAbort(id, options.signal, reject));
        this.pending.set(id, { resolve, reject, onChunk: options.onChunk ?? ignoreChunk });
        this.socket.write(encodeLine({ id, kind, body }));
      });
    } finally {
      this.pending.delete(id);
      for (const cleanup of cleanups) cleanup();
    }
  }

  close(): void {
    this.socket.destroy();
  }

  private whenOpen(): Promise<void> {
    const { self, to, openTimeoutMs } = this.options;
    return new Promise((resolve, reject) => {
      const timer = hostClock.after(openTimeoutMs, () => this.socket.destroy());
      this.socket.once('connect', () => {
        timer.stop();
        this.socket.write(encodeLine({ hello: self, to }));
        resolve();
      });
      this.socket.once('close', () => {
        timer.stop();
        reject(new ConnectionRefusedError(to));
      });
    });
  }

  /**
   * Rejects the request after its timeout. If the peer has sent nothing since the request, and nothing for longer than
   * `openTimeoutMs`, it counts as down and the connection is closed.
   */
  private failAfterTimeout(
    id: number,
    timeoutMs: number,
    reject: (error: Error) => void,
  ): () => void {
    const sentAt = hostClock.now();
    const timer = hostClock.after(timeoutMs, () => {
      this.cancel(id);
      const silentForMs = hostClock.now() - this.lastReceivedAt;
      if (this.lastReceivedAt < sentAt && silentForMs > this.options.openTimeoutMs)
        this.socket.destroy();
      reject(new RequestTimeoutError(this.options.to));
    });
    return () => timer.stop();
  }

  private failOnAbort(id: number, signal: AbortSignal, reject: (error: Error) => void): () => void {
    const onAbort = (): void => {
      this.cancel(id);
      reject(new RequestCancelledError('unknown'));
    };
    signal.addEventListener('abort', onAbort, { once: true });
    return () => signal.removeEventListener('abort', onAbort);
  }

  private cancel(id: number): void {
    this.socket.write(encodeLine({ id, cancel: true }));
  }

  private async readReplies(): Promise<void> {
    const lines = this.socket.pipe(split2({ maxLength: this.options.maxLineBytes }));
    lines.on('error', () => this.socket.destroy());
    this.socket.on('close', () => lines.destroy());
    try {
      for await (const text of lines) this.receive(JSON.parse(String(text)));
    } catch {
      this.socket.destroy();
    }
  }

  private receive(line: unknown): void {
    const { id, error, response, chunk } = ReplyLine.parse(line);
    const request = this.pending.get(id);
    if (!request) return;
    if (error) request.reject(rpcErrorOf(error.code, error.text, error.executed));
    else if (response !== undefined) request.resolve(response);
    else request.onChunk(chunk);
  }
}
