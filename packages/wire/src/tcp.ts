import { createConnection, createServer, type Server, type Socket } from 'node:net';
import split2 from 'split2';
import { z } from 'zod';
import type { CallBounds, Circuits, Handler } from './circuits.js';
import { hostClock, type Beat } from './clock.js';
import { CircuitLost, CircuitRefused, Mishap, mishapOf, TooLate } from './mishap.js';

const Hello = z.object({ hello: z.string(), to: z.string() });
const Ask = z.object({ id: z.number(), kind: z.string(), body: z.unknown() });
const Cancel = z.object({ id: z.number(), cancel: z.literal(true) });
const Back = z.object({
  id: z.number(),
  piece: z.unknown().optional(),
  verdict: z.unknown().optional(),
  mishap: z.object({ code: z.string(), text: z.string(), ran: z.enum(['no', 'unknown', 'yes']) }).optional(),
});

interface Waiting {
  done(v: unknown): void;
  fail(e: Error): void;
  piece(p: unknown): void;
}

interface Outgoing {
  readonly socket: Socket;
  readonly ready: Promise<void>;
  readonly waiting: Map<number, Waiting>;
  heardAt: number;
}

const goneBefore = (): Mishap => new Mishap('gone', 'the caller is gone', 'no');

export const splitAddr = (addr: string): { host: string; port: number } => {
  const at = addr.lastIndexOf(':');
  return { host: addr.slice(0, at).replace(/^\[|\]$/g, ''), port: Number(addr.slice(at + 1)) };
};

export class TcpCircuits implements Circuits {
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

  onLost(heard: (to: string) => void): void {
    this.lostHeard.add(heard);
  }

  serve(handler: Handler): Promise<void> {
    const server = createServer((s) => {
      this.incoming.add(s);
      s.on('error', () => s.destroy());
      s.on('close', () => this.incoming.delete(s));
      void this.listenTo(s, handler).finally(() => s.destroy());
    });
    this.server = server;
    const { host, port } = splitAddr(this.listen);
    return new Promise((done, fail) => {
      server.once('error', fail);
      server.listen(port, host, () => done());
    });
  }

  private async listenTo(s: Socket, handler: Handler): Promise<void> {
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
        void handler({ from, kind, body }, (piece) => say({ id, piece }), ctl.signal)
          .then(
            (verdict) => say({ id, verdict: verdict ?? null }),
            (e: unknown) => {
              const m = mishapOf(e);
              say({ id, mishap: { code: m.code, text: m.message, ran: m.ran } });
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
    const socket = createConnection(splitAddr(to));
    socket.setNoDelay(true);
    const waiting = new Map<number, Waiting>();
    const ready = new Promise<void>((done, fail) => {
      const beat = hostClock.after(this.openWithin, () => socket.destroy());
      socket.once('connect', () => {
        beat.stop();
        socket.write(`${JSON.stringify({ hello: this.self, to })}\n`);
        done();
      });
      socket.once('close', () => {
        beat.stop();
        fail(new CircuitRefused(to));
      });
    });
    ready.catch(() => undefined);
    const circuit: Outgoing = { socket, ready, waiting, heardAt: hostClock.now() };
    socket.on('data', () => {
      circuit.heardAt = hostClock.now();
    });
    this.out.set(to, circuit);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      if (this.out.get(to) === circuit) this.out.delete(to);
      for (const w of waiting.values()) w.fail(new CircuitLost(to));
      waiting.clear();
      for (const heard of this.lostHeard) heard(to);
    });
    void this.listenBack(circuit);
    return circuit;
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
        if (back.mishap) w.fail(new Mishap(back.mishap.code, back.mishap.text, back.mishap.ran));
        else if (back.verdict !== undefined) w.done(back.verdict);
        else w.piece(back.piece);
      }
    } catch {
      socket.destroy();
    }
  }

  async call(to: string, kind: string, body: unknown, bounds: CallBounds): Promise<unknown> {
    if (bounds.gone?.aborted) throw goneBefore();
    const circuit = this.open(to);
    await circuit.ready;
    if (bounds.gone?.aborted) throw goneBefore();
    if (circuit.socket.destroyed) throw new CircuitRefused(to);
    const id = ++this.seq;
    const stop = new Set<() => void>();
    try {
      return await new Promise<unknown>((done, fail) => {
        const cancel = () => {
          circuit.socket.write(`${JSON.stringify({ id, cancel: true })}\n`);
        };
        const sentAt = hostClock.now();
        const beat: Beat = hostClock.after(bounds.within, () => {
          cancel();
          if (circuit.heardAt < sentAt && hostClock.now() - circuit.heardAt > this.openWithin) circuit.socket.destroy();
          fail(new TooLate(to));
        });
        stop.add(() => beat.stop());
        if (bounds.gone) {
          const gone = bounds.gone;
          const onGone = () => {
            cancel();
            fail(new Mishap('gone', 'the caller is gone', 'unknown'));
          };
          gone.addEventListener('abort', onGone, { once: true });
          stop.add(() => gone.removeEventListener('abort', onGone));
        }
        circuit.waiting.set(id, { done, fail, piece: bounds.onPiece ?? (() => undefined) });
        circuit.socket.write(`${JSON.stringify({ id, kind, body })}\n`);
      });
    } finally {
      circuit.waiting.delete(id);
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
