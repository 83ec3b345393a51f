/** A server that sends the bytes that a test gives, and a client that sends to it. */
import { once } from 'node:events';
import { createServer, type Socket } from 'node:net';
import { z } from 'zod';
import { HttpBackend, productDialect } from '@tillerstair/proxy';
import { Server } from '@tillerstair/state';
import type { BackendOutcome, ForwardedRequest } from '@tillerstair/session-owner';

const BoundAddress = z.object({ port: z.number() });

const dialect = { ...productDialect, madeByServer: 'x-seal' };

export const neverAborted: AbortSignal = new AbortController().signal;

export interface RawRequest {
  readonly attempt: string;
  readonly line: string;
  readonly connection: number;
  readonly socket: Socket;
}

/** Takes one whole request (head and `Content-Length` bytes) off the front of `text`. */
const splitRequest = (
  text: string,
): { readonly head: string; readonly rest: string } | undefined => {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) return undefined;
  const head = text.slice(0, end);
  const size = Number(/content-length: *(\d+)/i.exec(head)?.[1] ?? 0);
  return text.length < end + 4 + size ? undefined : { head, rest: text.slice(end + 4 + size) };
};

/** A server on a bare TCP port that does what `play` says with each whole request, and counts them. */
export const rawServer = async (
  play: (asked: RawRequest) => void,
  onConnection: (socket: Socket, n: number) => void = () => undefined,
) => {
  const asked: RawRequest[] = [];
  const closed = new Map<number, Promise<unknown>>();
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    const connection = sockets.push(socket);
    closed.set(connection, new Promise((done) => socket.on('close', done)));
    socket.on('error', () => undefined);
    let text = '';
    socket.on('data', (part) => {
      text += part.toString('latin1');
      for (let got = splitRequest(text); got; got = splitRequest(text)) {
        text = got.rest;
        const attempt = /x-request-id: *(\S+)/i.exec(got.head)?.[1] ?? '';
        const one = { attempt, line: got.head.split('\r\n')[0] ?? '', connection, socket };
        asked.push(one);
        play(one);
      }
    });
    onConnection(socket, connection);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = BoundAddress.parse(server.address());
  const close = (): void => {
    for (const s of sockets) s.destroy();
    server.close();
  };
  return {
    port,
    asked,
    closed,
    sockets,
    close,
    runs: (attempt: string) => asked.filter((a) => a.attempt === attempt).length,
  };
};

export type RawServer = Awaited<ReturnType<typeof rawServer>>;

export const responseBytes = (
  attempt: string,
  body: string,
  status = '200 OK',
  more = 'X-Seal: s\r\n',
): string =>
  `HTTP/1.1 ${status}\r\nX-Request-Id: ${attempt}\r\n${more}Content-Length: ${body.length}\r\n\r\n${body}`;

export const createClient = (connections = 1): HttpBackend =>
  new HttpBackend({ connectTimeoutMs: 2000, maxConnections: () => connections }, dialect);

export interface SendResult {
  readonly ended: BackendOutcome;
  readonly status: number;
  readonly body: string;
}

export interface SendOptions {
  readonly left?: number;
  readonly gone?: AbortSignal;
  readonly path?: string;
  readonly onBytes?: () => void;
}

export const send = async (
  backend: HttpBackend,
  server: RawServer,
  attempt: string,
  { left = 20000, gone = neverAborted, path = '/x', onBytes = () => undefined }: SendOptions = {},
): Promise<SendResult> => {
  const passing: ForwardedRequest = {
    attempt,
    method: 'POST',
    path,
    headers: [['X-Request-Id', attempt]],
    body: Buffer.from('b'),
    resume: '',
  };
  const to = Server.parse({
    id: 's',
    pool: 'p',
    url: `http://127.0.0.1:${server.port}`,
    draining: false,
    down: false,
  });
  let status = 0;
  let body = '';
  const sink = {
    head: (h: { readonly status: number }) => {
      status = h.status;
    },
    bytes: (text: string) => {
      body += text;
      onBytes();
    },
    load: () => undefined,
  };
  const ended = await backend.pass(to, passing, sink, gone, left, () => true);
  return { ended, status, body };
};

export const withServer = async (
  play: (asked: RawRequest) => void,
  work: (server: RawServer, backend: HttpBackend) => Promise<void>,
  connections = 1,
): Promise<void> => {
  const server = await rawServer(play);
  const backend = createClient(connections);
  try {
    await work(server, backend);
  } finally {
    await backend.close();
    server.close();
  }
};

export const replyWithAttempt = (a: RawRequest): void =>
  void a.socket.write(responseBytes(a.attempt, a.attempt));
