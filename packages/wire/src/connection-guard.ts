/**
 * Bounds what the connections of an HTTP server can make its process hold beside the requests that are handled: their
 * number, the bytes of incomplete heads and of requests that wait, and the answers that their clients do not read. Owns the
 * set of open connections, the one that was used longest ago first.
 *
 * Who is closed for a new connection: of the connections without a pending request, the one that was used longest ago; then
 * one whose request is not complete; then one whose client does not read its answer; the new one if there is none. Who is
 * closed for memory: the connection with the most of it.
 */
import type { Socket } from 'node:net';
import type { ByteBudget } from './byte-budget.js';
import { ConnectionInput } from './connection-input.js';
import type { DrainableServer, RequestObserver } from './drainable-server.js';
import { ParserFeed, type FeedControl } from './parser-feed.js';
import type { Exchange } from './request-pipeline.js';
import { UnsentBytes } from './unsent-bytes.js';

/** Limits of a `ConnectionGuard`; each function is called anew for each check. */
export interface ConnectionLimits {
  /** Maximum number of open connections. */
  readonly maxConnections: () => number;
  /** Maximum size of a request's line and headers, in bytes. */
  readonly maxHeadBytes: () => number;
  /** The memory for incomplete heads and for requests that wait. */
  readonly inputMemory: ByteBudget;
  /** The answers that wait for their clients; they may belong to other servers as well. */
  readonly unsent?: UnsentBytes;
}

/** Empty lines that a client may send before a head, beside the size of the head, in bytes. */
const maxEmptyLineBytes = 1 << 16;
/** Number of waiting requests of a connection at which the parser gets nothing more of it. */
const maxWaitingRequests = 16;
/** Once memory is short, connections are closed until this share of it is in use. */
const shareAfterClosing = 0.8;

/** One open connection. */
class GuardedConnection implements FeedControl {
  readonly input = new ConnectionInput();
  readonly feed: ParserFeed;
  /** The memory that is counted for this connection, in bytes. */
  countedBytes = 0;

  constructor(
    readonly socket: Socket,
    private readonly guard: ConnectionGuard,
    private readonly server: DrainableServer,
  ) {
    this.feed = new ParserFeed(socket, this);
  }

  get memoryBytes(): number {
    return this.input.memoryBytes + this.feed.heldBytes;
  }

  /** The body of a request that waits is not needed yet. */
  mayFeed(): boolean {
    const waiting = this.server.waitingRequests(this.socket);
    if (waiting >= maxWaitingRequests || (waiting > 0 && this.input.hasIncompleteBody))
      return false;
    return this.guard.hasRoomFor(this);
  }

  partBytes(): number {
    return this.input.nextPartBytes;
  }

  fed(part: Buffer): void {
    this.input.received(part);
    this.guard.update(this);
  }
}

/** Enforces the limits on the connections of one server. */
export class ConnectionGuard implements RequestObserver {
  private readonly connections = new Map<Socket, GuardedConnection>();
  /** Connections whose next part waits for memory. */
  private readonly blocked = new Set<GuardedConnection>();
  /** Memory of connections that were closed here and whose objects are not released yet, in bytes. */
  private closingBytes = 0;
  private readonly unsent: UnsentBytes;

  constructor(
    private readonly server: DrainableServer,
    private readonly limits: ConnectionLimits,
  ) {
    this.unsent = limits.unsent ?? new UnsentBytes();
    server.on('connection', (socket: Socket) => this.accept(socket));
    server.observe(this);
  }

  requestArrived({ request, response }: Exchange): void {
    response.once('prefinish', () => this.unsent.wrote(response));
    this.connections.get(request.socket)?.input.requestArrived(request);
  }

  /** Moves a connection to the end of the order in which connections are closed. */
  requestAnswered(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (!connection || socket.destroyed) return;
    this.connections.delete(socket);
    this.connections.set(socket, connection);
    this.update(connection);
    connection.feed.feed();
  }

  /** Whether the parser may get more of this connection; if not, it gets more once there is room. */
  hasRoomFor(connection: GuardedConnection): boolean {
    if (this.limits.inputMemory.hasRoom(0)) return true;
    if (this.blocked.size === 0) setImmediate(() => this.feedBlocked());
    this.blocked.add(connection);
    return false;
  }

  /** Counts the memory of a connection anew, and closes connections if it is too much. */
  update(connection: GuardedConnection): void {
    if (this.connections.get(connection.socket) !== connection) return;
    const { inputMemory, maxHeadBytes } = this.limits;
    connection.input.setWaitingRequests(this.server.waitingRequests(connection.socket));
    inputMemory.add(connection.memoryBytes - connection.countedBytes);
    connection.countedBytes = connection.memoryBytes;
    if (connection.input.headBytes > maxHeadBytes() + maxEmptyLineBytes) this.close(connection);
    if (!inputMemory.hasRoom(-this.closingBytes)) this.closeLargest();
  }

  private accept(socket: Socket): void {
    if (this.connections.size >= this.limits.maxConnections() && !this.closeLeastRecentlyUsed()) {
      socket.destroy();
      return;
    }
    const connection = new GuardedConnection(socket, this, this.server);
    this.connections.set(socket, connection);
    socket.on('close', () => this.remove(connection));
  }

  private feedBlocked(): void {
    const blocked = [...this.blocked];
    this.blocked.clear();
    for (const connection of blocked) connection.feed.feed();
  }

  private closeLeastRecentlyUsed(): boolean {
    const { server } = this;
    const open = [...this.connections.values()];
    const closed =
      open.find(({ socket }) => !server.hasPendingRequest(socket)) ??
      open.find(({ socket }) => server.hasIncompleteRequest(socket)) ??
      open.find(({ socket }) => !server.hasUnansweredRequest(socket));
    if (closed) this.close(closed);
    return closed !== undefined;
  }

  /** Closes the connections with the most memory until enough of it is free, or will be. */
  private closeLargest(): void {
    const { inputMemory } = this.limits;
    const largestFirst = [...this.connections.values()]
      .filter(({ countedBytes }) => countedBytes > 0)
      .sort((left, right) => right.countedBytes - left.countedBytes);
    for (const connection of largestFirst) {
      if (inputMemory.hasRoom(-this.closingBytes, shareAfterClosing)) return;
      this.close(connection);
    }
  }

  /** Closes a connection; its memory counts until the socket has closed, since the HTTP server holds it until then. */
  private close(connection: GuardedConnection): void {
    this.connections.delete(connection.socket);
    this.closingBytes += connection.countedBytes;
    connection.socket.destroy();
  }

  private remove(connection: GuardedConnection): void {
    if (!this.connections.delete(connection.socket)) this.closingBytes -= connection.countedBytes;
    this.blocked.delete(connection);
    this.limits.inputMemory.add(-connection.countedBytes);
    connection.countedBytes = 0;
  }
}
