/** A client that reuses one connection, whatever the responses say, until the peer closes it. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { hostClock } from '@tillerstair/wire';

/** A POST request to send on a persistent connection. */
export interface ConnectionRequest {
  readonly path: string;
  /** Header lines, except the request line and `Content-Length`. */
  readonly headers: readonly string[];
  /** Each character is one byte. */
  readonly body: string;
}

/** The outcome of one request on a persistent connection; times are in ms of the monotonic clock. */
export interface ConnectionResponse {
  /** Time at which the request was written to the socket. */
  readonly sentAt: number;
  /** HTTP status; 0 if no status line was received. */
  readonly status: number;
  /** Whether the whole response was received. */
  readonly complete: boolean;
  /** The part of the body that was received; each character is one byte. */
  readonly body: string;
  /** Value of `Retry-After` in seconds; 0 if the header is missing. */
  readonly retryAfter: number;
  /** Time at which the response was complete or the connection closed. */
  readonly endedAt: number;
}

const headerTerminator = '\r\n\r\n';
const chunkSizeLine = /^([0-9a-f]+)\r\n/i;

/** The part of a response body that was received, and whether it is complete. */
interface ReceivedBody {
  readonly body: string;
  readonly complete: boolean;
}

const decodeChunks = (text: string): ReceivedBody => {
  let body = '';
  for (let position = 0; ;) {
    const sizeLine = chunkSizeLine.exec(text.slice(position));
    if (!sizeLine) return { body, complete: false };
    const size = parseInt(sizeLine[1], 16);
    if (size === 0) return { body, complete: text.slice(position).endsWith(headerTerminator) };
    const start = position + sizeLine[0].length;
    body += text.slice(start, start + size);
    position = start + size + '\r\n'.length;
  }
};

const decodeBody = (text: string): ReceivedBody => {
  const end = text.indexOf(headerTerminator);
  if (end < 0) return { body: '', complete: false };
  const head = text.slice(0, end);
  const rest = text.slice(end + headerTerminator.length);
  const length = /^content-length: (\d+)$/im.exec(head)?.[1];
  if (length !== undefined) return { body: rest, complete: rest.length >= Number(length) };
  if (/^transfer-encoding: chunked$/im.test(head)) return decodeChunks(rest);
  return { body: rest, complete: false };
};

const statusOf = (text: string): number => Number(/^HTTP\/1\.1 (\d{3}) /.exec(text)?.[1] ?? 0);

const retryAfterOf = (text: string): number =>
  Number(/^retry-after: ([\d.]+)\r$/im.exec(text)?.[1] ?? 0);

/** One connection, on which requests are sent sequentially. */
export class PersistentConnection {
  private received = '';
  private isClosed = false;
  /** Called when data was received or the connection closed. */
  private onProgress: () => void = () => undefined;

  private constructor(private readonly socket: Socket) {
    socket.on('data', (part) => {
      this.received += part.toString('latin1');
      this.onProgress();
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.isClosed = true;
      this.onProgress();
    });
    socket.on('end', () => socket.end());
  }

  /** Opens a connection to HOST:PORT; rejects with the socket's error if it cannot connect. */
  static async open(address: string): Promise<PersistentConnection> {
    const [host = '', port = ''] = address.split(':');
    const socket = connect(Number(port), host);
    await once(socket, 'connect');
    return new PersistentConnection(socket);
  }

  /** Whether the connection is closed, by either end. */
  get closed(): boolean {
    return this.isClosed;
  }

  /**
   * Sends a request; resolves once its response is complete or the connection has closed. Closes the connection if the
   * response is not complete within `timeoutMs`.
   */
  async send(
    { path, headers, body }: ConnectionRequest,
    timeoutMs: number,
  ): Promise<ConnectionResponse> {
    this.received = '';
    const head = [`POST ${path} HTTP/1.1`, ...headers, `Content-Length: ${body.length}`];
    this.socket.write([...head, '', body].join('\r\n'), 'latin1');
    const sentAt = hostClock.now();
    const timer = hostClock.after(timeoutMs, () => this.close());
    while (!this.isClosed && !decodeBody(this.received).complete)
      await new Promise<void>((resolve) => {
        this.onProgress = resolve;
      });
    timer.stop();
    const { received } = this;
    return {
      ...decodeBody(received),
      sentAt,
      status: statusOf(received),
      retryAfter: retryAfterOf(received),
      endedAt: hostClock.now(),
    };
  }

  /** Closes the connection from this end. */
  close(): void {
    this.socket.destroy();
  }
}
