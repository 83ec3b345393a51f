/** A TCP server that sends the bytes a test chooses, and an `HttpBackend` that sends requests to it. */
import { once } from 'node:events';
import { createServer, type Socket } from 'node:net';
import { z } from 'zod';
import { HttpBackend, productDialect } from '@tillerstair/proxy';
import { Server } from '@tillerstair/state';
import type { BackendOutcome, ForwardedRequest } from '@tillerstair/session-owner';

const BoundAddress = z.object({ port: z.number() });

const dialect = { ...productDialect, madeByServer: 'x-seal' };

/** A signal that never aborts. */
export const neverAborted: AbortSignal = new AbortController().signal;

/** A request as the server received it; `line` is its request line, `connection` counts from 1. */
export interface RawRequest {
  readonly attempt: string;
  readonly line: string;
  readonly connection: number;
  readonly socket: Socket;
}

/**
 * Splits one complete request (head and `Content-Length` bytes) off the start of `buffered`; undefined if there is
 * none.
 */
const splitRequest = (
  buffered: string,
): { readonly head: string; readonly rest: string } | undefined => {
  const end = buffered.indexOf('\r\n\r\n');
  if (end < 0) return undefined;
  const head = buffered.slice(0, end);
  const size = Number(/content-length: *(\d+)/i.exec(head)?.[1] ?? 0);
  return buffered.length < end + 4 + size
    ? undefined
    : { head, rest: buffered.slice(end + 4 + size) };
};

/** Starts a TCP server that records each complete request and handles it with `respond`. */
export const rawServer = async (
  respond: (request: RawRequest) => void,
  onConnection: (socket: Socket, connectionNumber: number) => void = () => undefined,
) => {
  const asked: RawRequest[] = [];
  const closed = new Map<number, Promise<unknown>>();
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    const connection = sockets.push(socket);
    closed.set(connection, new Promise((resolve) => socket.on('close', resolve)));
    socket.on('error', () => undefined);
    let buffered = '';
    socket.on('data', (chunk) => {
      buffered += chunk.toString('latin1');
      for (let parsed = splitRequest(buffered); parsed; parsed = splitRequest(buffered)) {
        buffered = parsed.rest;
        const attempt = /x-request-id: *(\S+)/i.exec(parsed.head)?.[1] ?? '';
        const request = { attempt, line: parsed.head.split('\r\n')[0] ?? '', connection, socket };
        asked.push(request);
        respond(request);
      }
    });
    onConnection(socket, connection);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = BoundAddress.parse(server.address());
  const close = (): void => {
    for (const socket of sockets) socket.destroy();
    server.close();
  };
  return {
    port,
    asked,
    closed,
    sockets,
    close,
    runs: (attempt: string) => asked.filter((received) => received.attempt === attempt).length,
  };
};

/** A server started by `rawServer`. */
export type RawServer = Awaited<ReturnType<typeof rawServer>>;

/** The bytes of a response with a length, for this attempt. */
export const responseBytes = (
  attempt: string,
  body: string,
  status = '200 OK',
  extraHeaders = 'X-Seal: s\r\n',
): string =>
  `HTTP/1.1 ${status}\r\nX-Request-Id: ${attempt}\r\n${extraHeaders}Content-Length: ${body.length}\r\n\r\n${body}`;

/** Creates the client under test, with this many connections per server. */
export const createClient = (connections = 1): HttpBackend =>
  new HttpBackend({ connectTimeoutMs: 2000, maxConnections: () => connections }, dialect);

/** Outcome of a request, and what its caller received. */
export interface SendResult {
  readonly ended: BackendOutcome;
  readonly status: number;
  readonly body: string;
}

/** Options of `send`: `left` is the timeout in ms, `gone` aborts when the caller disconnects. */
export interface SendOptions {
  readonly left?: number;
  readonly gone?: AbortSignal;
  readonly path?: string;
  readonly onBytes?: () => void;
}

/** Sends one request through the client under test. */
export const send = async (
  backend: HttpBackend,
  server: RawServer,
  attempt: string,
  { left = 20000, gone = neverAborted, path = '/x', onBytes = () => undefined }: SendOptions = {},
): Promise<SendResult> => {
  const request: ForwardedRequest = {
    attempt,
    method: 'POST',
    path,
    headers: [['X-Request-Id', attempt]],
    body: Buffer.from('b'),
    resume: '',
  };
  const target = Server.parse({
    id: 's',
    pool: 'p',
    url: `http://127.0.0.1:${server.port}`,
    draining: false,
    down: false,
  });
  let status = 0;
  let body = '';
  const sink = {
    head: (responseHead: { readonly status: number }) => {
      status = responseHead.status;
    },
    bytes: (text: string) => {
      body += text;
      onBytes();
    },
    load: () => undefined,
  };
  const ended = await backend.pass(target, request, sink, gone, left, () => true);
  return { ended, status, body };
};

/** Runs `work` with a server and a client, and closes both afterwards. */
export const withServer = async (
  respond: (request: RawRequest) => void,
  work: (server: RawServer, backend: HttpBackend) => Promise<void>,
  connections = 1,
): Promise<void> => {
  const server = await rawServer(respond);
  const backend = createClient(connections);
  try {
    await work(server, backend);
  } finally {
    await backend.close();
    server.close();
  }
};

/** Replies with the attempt id as the body. */
export const replyWithAttempt = (received: RawRequest): void =>
  void received.socket.write(responseBytes(received.attempt, received.attempt));
