import { createConnection, createServer, type Server, type Socket } from 'node:net';
import split2 from 'split2';
import { z } from 'zod';
import type { CallOptions, Transport, RequestHandler } from './transport.js';
import { hostClock, type TimerHandle } from './clock.js';
import {
  ConnectionLostError,
  ConnectionRefusedError,
  RequestCancelledError,
  RequestTimeoutError,
  rpcErrorOf,
  RpcErrorCodeOnWire,
  toRpcError,
} from './errors/index.js';

const Hello = z.object({ hello: z.string(), to: z.string() });
const Ask = z.object({ id: z.number(), kind: z.string(), body: z.unknown() });
const Cancel = z.object({ id: z.number(), cancel: z.literal(true) });
const Back = z.object({
  id: z.number(),
  chunk: z.unknown().optional(),
  response: z.unknown().optional(),
  error: z
    .object({
      code: RpcErrorCodeOnWire,
      text: z.string(),
      executed: z.enum(['no', 'unknown', 'yes']),
    })
    .optional(),
});

interface Waiting {
  done(v: unknown): void;
  fail(e: Error): void;
  chunk(p: unknown): void;
}

interface Outgoing {
  readonly socket: Socket;
  readonly ready: Promise<void>;
  readonly waiting: Map<number, Waiting>;
  heardAt: number;
}

const goneBefore = (): RequestCancelledError => new RequestCancelledError('no');

export const parseAddress = (addr: string): { host: string; port: number } => {
  const at = addr.lastIndexOf(':');
  return { host: addr.slice(0, at).replace(/^\[|\]$/g, ''), port: Number(addr.slice(at + 1)) };
};

export class TcpTransport implements Transport {
  private readonly out = new Map<string, Outgoing>();
  private readonly incoming = new Set<Socket>();
  private server: Server | undefined;
  private seq = 0;
  private readonly lostHeard = new Set<(to: string) => void>();

  constructor(
    readonly self: string,
    private readonly listen = self,
    private readonly openWithin = 1000,
    private readonly lineMost = 64 << 20,
  ) {}

  onConnectionLost(heard: (to: string) => void): void {
    this.lostHeard.add(heard);
  }

  serve(handler: RequestHandler): Promise<void> {
    const server = createServer((s) => {
      this.incoming.add(s);
      s.on('error', () => s.destroy());
      s.on('close', () => this.incoming.delete(s));
      void this.listenTo(s, handler).finally(() => s.destroy());
    });
    this.server = server;
    const { host, port } = parseAddress(this.listen);
    return new Promise((done, fail) => {
      server.once('error', fail);
      server.listen(port, host, () => done());
    });
  }

  private async listenTo(s: Socket, handler: RequestHandler): Promise<void> {
    s.setNoDelay(true);
    const running = new Map<number, AbortController>();
    const say = (v: unknown) => {
      if (!s.destroyed) s.write(`${JSON.stringify(v)}\n`);
    };
    let from = '';
    const lines = s.pipe(split2({ maxLength: this.lineMost }));
    s.on('close', () => {
      for (const c of running.values()) c.abort();
      lines.destroy();
    });
    try {
      for await (const text of lines) {
        const v: unknown = JSON.parse(String(text));
        if (!from) {
          from = Hello.parse(v).hello;
          continue;
        }
        const cancel = Cancel.safeParse(v);
        if (cancel.success) {
          running.get(cancel.data.id)?.abort();
          continue;
        }
        const { id, kind, body } = Ask.parse(v);
        const ctl = new AbortController();
        running.set(id, ctl);
        void handler({ from, kind, body }, (chunk) => say({ id, chunk }), ctl.signal)
          .then(
            (response) => say({ id, response: response ?? null }),
            (e: unknown) => {
              const m = toRpcError(e);
              say({ id, error: { code: m.code, text: m.message, executed: m.executed } });
            },
          )
          .finally(() => running.delete(id));
      }
    } catch {
      s.destroy();
    }
  }

  private open(to: string): Outgoing {
    const old = this.out.get(to);
    if (old) return old;
    const socket = createConnection(parseAddress(to));
    socket.setNoDelay(true);
    const waiting = new Map<number, Waiting>();
    const ready = new Promise<void>((done, fail) => {
      const timer = hostClock.after(this.openWithin, () => socket.destroy());
      socket.once('connect', () => {
        timer.stop();
        socket.write(`${JSON.stringify({ hello: this.self, to })}\n`);
        done();
      });
      socket.once('close', () => {
        timer.stop();
        fail(new ConnectionRefusedError(to));
      });
    });
    ready.catch(() => undefined);
    const connection: Outgoing = { socket, ready, waiting, heardAt: hostClock.now() };
    socket.on('data', () => {
      connection.heardAt = hostClock.now();
    });
    this.out.set(to, connection);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      if (this.out.get(to) === connection) this.out.delete(to);
      for (const w of waiting.values()) w.fail(new ConnectionLostError(to));
      waiting.clear();
      for (const heard of this.lostHeard) heard(to);
    });
    void this.listenBack(connection);
    return connection;
  }

  private async listenBack({ socket, waiting }: Outgoing): Promise<void> {
    const lines = socket.pipe(split2({ maxLength: this.lineMost }));
    lines.on('error', () => socket.destroy());
    socket.on('close', () => lines.destroy());
    try {
      for await (const text of lines) {
        const back = Back.parse(JSON.parse(String(text)));
        const w = waiting.get(back.id);
        if (!w) continue;
        if (back.error) w.fail(rpcErrorOf(back.error.code, back.error.text, back.error.executed));
        else if (back.response !== undefined) w.done(back.response);
        else w.chunk(back.chunk);
      }
    } catch {
      socket.destroy();
    }
  }

  async call(to: string, kind: string, body: unknown, bounds: CallOptions): Promise<unknown> {
    if (bounds.signal?.aborted) throw goneBefore();
    const connection = this.open(to);
    await connection.ready;
    if (bounds.signal?.aborted) throw goneBefore();
    if (connection.socket.destroyed) throw new ConnectionRefusedError(to);
    const id = ++this.seq;
    const stop = new Set<() => void>();
    try {
      return await new Promise<unknown>((done, fail) => {
        const cancel = () => {
          connection.socket.write(`${JSON.stringify({ id, cancel: true })}\n`);
        };
        const sentAt = hostClock.now();
        const timer: TimerHandle = hostClock.after(bounds.timeoutMs, () => {
          cancel();
          if (connection.heardAt < sentAt && hostClock.now() - connection.heardAt > this.openWithin)
            connection.socket.destroy();
          fail(new RequestTimeoutError(to));
        });
        stop.add(() => timer.stop());
        if (bounds.signal) {
          const gone = bounds.signal;
          const onGone = () => {
            cancel();
            fail(new RequestCancelledError('unknown'));
          };
          gone.addEventListener('abort', onGone, { once: true });
          stop.add(() => gone.removeEventListener('abort', onGone));
        }
        connection.waiting.set(id, { done, fail, chunk: bounds.onChunk ?? (() => undefined) });
        connection.socket.write(`${JSON.stringify({ id, kind, body })}\n`);
      });
    } finally {
      connection.waiting.delete(id);
      for (const s of stop) s();
    }
  }

  async close(): Promise<void> {
    for (const c of this.out.values()) c.socket.destroy();
    for (const s of this.incoming) s.destroy();
    const server = this.server;
    if (server) await new Promise<void>((done) => server.close(() => done()));
  }
}
