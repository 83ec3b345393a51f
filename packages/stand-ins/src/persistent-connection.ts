/** A client that keeps one connection open and goes on using it, whatever the answers say, until the other end closes it. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { hostClock } from '@tillerstair/wire';

/** A request to send on a kept connection. */
export interface ConnectionRequest {
  readonly path: string;
  /** Lines of the head, without the request line and the length. */
  readonly headers: readonly string[];
  readonly body: string;
}

/** How one request on a kept connection ended. Times are in ms of the steady clock. */
export interface ConnectionResponse {
  /** When its last byte was written. */
  readonly sentAt: number;
  /** The status of its answer; 0 where not even the head came. */
  readonly status: number;
  /** Whether all of the answer came. */
  readonly complete: boolean;
  /** The bytes of the body that came, one a character. */
  readonly body: string;
  /** The value of `Retry-After` in seconds; 0 where there is none. */
  readonly retryAfter: number;
  /** When the answer or the connection ended. */
  readonly endedAt: number;
}

const headEnd = '\r\n\r\n';
const chunkHead = /^([0-9a-f]+)\r\n/i;

/** What has been received of a body, and whether that is all of it. */
interface ReceivedBody {
  readonly body: string;
  readonly complete: boolean;
}

const decodeChunks = (text: string): ReceivedBody => {
  let body = '';
  for (let at = 0; ;) {
    const head = chunkHead.exec(text.slice(at));
    if (!head) return { body, complete: false };
    const size = parseInt(head[1], 16);
    if (size === 0) return { body, complete: text.slice(at).endsWith(headEnd) };
    const from = at + head[0].length;
    body += text.slice(from, from + size);
    at = from + size + '\r\n'.length;
  }
};

const bodyOf = (text: string): ReceivedBody => {
  const end = text.indexOf(headEnd);
  if (end < 0) return { body: '', complete: false };
  const head = text.slice(0, end);
  const rest = text.slice(end + headEnd.length);
  const length = /^content-length: (\d+)$/im.exec(head)?.[1];
  if (length !== undefined) return { body: rest, complete: rest.length >= Number(length) };
  if (/^transfer-encoding: chunked$/im.test(head)) return decodeChunks(rest);
  return { body: rest, complete: false };
};

const statusOf = (text: string): number => Number(/^HTTP\/1\.1 (\d{3}) /.exec(text)?.[1] ?? 0);

const retryAfterOf = (text: string): number =>
  Number(/^retry-after: ([\d.]+)\r$/im.exec(text)?.[1] ?? 0);

/** One connection of a client, on which requests are sent one after the other. */
export class PersistentConnection {
  private received = '';
  private isClosed = false;
  /** Called when something came or the connection ended. */
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

  /** Opens a connection to HOST:PORT; rejects where nobody listens. */
  static async open(address: string): Promise<PersistentConnection> {
    const [host = '', port = ''] = address.split(':');
    const socket = connect(Number(port), host);
    await once(socket, 'connect');
    return new PersistentConnection(socket);
  }

  /** Whether the other end has closed it. */
  get closed(): boolean {
    return this.isClosed;
  }

  /** Sends a POST; resolves once its answer is complete or the connection has ended. */
  async send({ path, headers, body }: ConnectionRequest): Promise<ConnectionResponse> {
    this.received = '';
    const head = [`POST ${path} HTTP/1.1`, ...headers, `Content-Length: ${body.length}`];
    this.socket.write([...head, '', body].join('\r\n'), 'latin1');
    const sentAt = hostClock.now();
    while (!this.isClosed && !bodyOf(this.received).complete)
      await new Promise<void>((resolve) => {
        this.onProgress = resolve;
      });
    const { received } = this;
    return {
      ...bodyOf(received),
      sentAt,
      status: statusOf(received),
      retryAfter: retryAfterOf(received),
      endedAt: hostClock.now(),
    };
  }

  /** Closes it from this end. */
  close(): void {
    this.socket.destroy();
  }
}
