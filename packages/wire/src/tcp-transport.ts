/** Requests between processes over TCP, with one connection for each pair of processes and direction. */
import { createServer, type Server, type Socket } from 'node:net';
import { ByteBudget } from './byte-budget.js';
import { RequestCancelledError } from './errors/index.js';
import { IncomingConnection } from './incoming-connection.js';
import { listenAt } from './listen.js';
import { OutgoingConnection } from './outgoing-connection.js';
import type { CallOptions, RequestHandler, Transport } from './transport.js';

const defaultOpenTimeoutMs = 1000;
const defaultMaxLineBytes = 64 << 20;

/** Limits of a `TcpTransport`; each has a default. */
export interface TcpTransportLimits {
  /** Timeout of opening a connection, in ms. */
  readonly openTimeoutMs?: number;
  /** Maximum size of a message in bytes; a larger one closes its connection. */
  readonly maxLineBytes?: number;
  /** The memory for replies that are not sent yet, over all connections; no limit by default. */
  readonly replyMemory?: ByteBudget;
}

/** The transport of the deployed programs; the simulator has its own. */
export class TcpTransport implements Transport {
  private readonly outgoing = new Map<string, OutgoingConnection>();
  private readonly incoming = new Set<Socket>();
  private server: Server | undefined;
  private lastRequestId = 0;
  private readonly openTimeoutMs: number;
  private readonly maxLineBytes: number;
  private readonly replyMemory: ByteBudget;
  private readonly lossListeners = new Set<(to: string) => void>();

  /**
   * @param self - the address at which other processes reach this one
   * @param listenAddress - the address to bind, if it differs from `self`
   */
  constructor(
    readonly self: string,
    private readonly listenAddress = self,
    limits: TcpTransportLimits = {},
  ) {
    this.openTimeoutMs = limits.openTimeoutMs ?? defaultOpenTimeoutMs;
    this.maxLineBytes = limits.maxLineBytes ?? defaultMaxLineBytes;
    this.replyMemory = limits.replyMemory ?? new ByteBudget();
  }

  onConnectionLost(listener: (to: string) => void): void {
    this.lossListeners.add(listener);
  }

  serve(handler: RequestHandler): Promise<void> {
    const server = createServer((socket) => this.accept(socket, handler));
    this.server = server;
    return listenAt(server, this.listenAddress);
  }

  async call(to: string, kind: string, body: unknown, options: CallOptions): Promise<unknown> {
    if (options.signal?.aborted) throw new RequestCancelledError('no');
    const connection = this.connectionTo(to);
    await connection.ready();
    if (options.signal?.aborted) throw new RequestCancelledError('no');
    return connection.send(++this.lastRequestId, kind, body, options);
  }

  async close(): Promise<void> {
    for (const connection of this.outgoing.values()) connection.close();
    for (const socket of this.incoming) socket.destroy();
    const { server } = this;
    if (server) await new Promise<void>((resolve) => server.close(() => resolve()));
  }

  private accept(socket: Socket, handler: RequestHandler): void {
    this.incoming.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.incoming.delete(socket));
    const connection = new IncomingConnection(socket, handler, this.maxLineBytes, this.replyMemory);
    void connection.serve().finally(() => socket.destroy());
  }

  private connectionTo(to: string): OutgoingConnection {
    const open = this.outgoing.get(to);
    if (open) return open;
    const connection = new OutgoingConnection({
      self: this.self,
      to,
      openTimeoutMs: this.openTimeoutMs,
      maxLineBytes: this.maxLineBytes,
      onClosed: (closed) => this.removeConnection(to, closed),
    });
    this.outgoing.set(to, connection);
    return connection;
  }

  private removeConnection(to: string, closed: OutgoingConnection): void {
    if (this.outgoing.get(to) === closed) this.outgoing.delete(to);
    for (const listener of this.lossListeners) listener(to);
  }
}
