import {
  type CallOptions,
  type Clock,
  ConnectionLostError,
  ConnectionRefusedError,
  RequestCancelledError,
  type RequestHandler,
  RequestTimeoutError,
  rpcErrorOf,
  toRpcError,
  type Transport,
} from '@tillerstair/wire';
import type { Life } from './sim-clock.js';

interface Host {
  readonly handler: RequestHandler;
  readonly life: Life;
}

export interface Heard {
  readonly from: string;
  readonly to: string;
  readonly kind: string;
  readonly bytes: number;
}

/** What becomes of one message on its way. */
export interface Fate {
  readonly lost: boolean;
  /** How much longer it takes, in ms; a late message may be overtaken by later ones. */
  readonly lateBy: number;
  /** How many more times it arrives. */
  readonly repeats: number;
}

/** One answer as its sender made it, whether it arrives or not. */
export interface Answered {
  readonly by: string;
  readonly caller: string;
  readonly kind: string;
  readonly body: unknown;
  readonly answer: unknown;
}

interface OpenCall {
  readonly from: string;
  readonly to: string;
  reset(): void;
}

interface Listener {
  readonly self: string;
  hear(lost: string): void;
}

/** What a caller sees of a cut: nothing, a refused connection, or one that is reset. */
export type CutManner = 'silent' | 'refuse' | 'reset';

const delivered: Fate = { lost: false, lateBy: 0, repeats: 0 };

const headOf = (kind: string, part: 'body' | 'chunk' | 'response'): number =>
  `{"id":10000,${part === 'body' ? `"kind":"${kind}",` : ''}"${part}":}\n`.length;

export class SimNet {
  private readonly hosts = new Map<string, Host>();
  private readonly cuts = new Map<string, CutManner>();
  messages = 0;
  heard: ((m: Heard) => void) | undefined;
  /** Decides the fate of each message; every one is delivered once while unset. */
  fate: ((from: string, to: string) => Fate) | undefined;
  /** Is told each answer that a handler gave. */
  onAnswer: ((a: Answered) => void) | undefined;
  apart: (from: string, to: string) => number = () => 0;
  readonly largest = new Map<string, number>();

  private weigh(
    kind: string,
    text: string,
    from: string,
    to: string,
    part: 'body' | 'chunk' | 'response',
  ): void {
    this.heard?.({ from, to, kind, bytes: Buffer.byteLength(text) + headOf(kind, part) });
    if (text.length > (this.largest.get(kind) ?? 0)) this.largest.set(kind, text.length);
  }

  constructor(
    private readonly clock: Clock,
    private readonly rng: () => number,
  ) {}

  private readonly listeners: Listener[] = [];
  private readonly open = new Set<OpenCall>();

  closed(addr: string): void {
    this.clock.after(0.5 + this.rng(), () => {
      for (const l of this.listeners) l.hear(addr);
    });
  }

  /** Resets a share of the connections of an address; calls under way on them are lost. */
  reset(addr: string, share: number): void {
    const peers = new Set<string>();
    for (const call of this.open) {
      if ((call.from !== addr && call.to !== addr) || this.rng() >= share) continue;
      peers.add(call.from === addr ? call.to : call.from);
      call.reset();
    }
    for (const l of this.listeners) {
      if (l.self === addr) for (const peer of peers) l.hear(peer);
      if (peers.has(l.self)) l.hear(addr);
    }
  }

  private readonly lastAt = new Map<string, number>();

  private carry(from: string, to: string, run: () => void): void {
    const fate = this.fate?.(from, to) ?? delivered;
    for (let n = 0; n < fate.repeats; n++)
      this.clock.after(1 + this.rng() * (1 + fate.lateBy), run);
    if (fate.lost) return;
    if (fate.lateBy > 0) {
      this.clock.after(0.3 + fate.lateBy, run);
      return;
    }
    const pair = `${from}>${to}`;
    const at = Math.max(
      this.clock.now() + 0.3 + this.rng() * 0.7 + this.apart(from, to),
      (this.lastAt.get(pair) ?? 0) + 0.001,
    );
    this.lastAt.set(pair, at);
    this.clock.after(at - this.clock.now(), run);
  }

  cut(from: string, to: string, manner: CutManner = 'silent'): void {
    this.cuts.set(`${from}>${to}`, manner);
  }

  cutBoth(as: readonly string[], bs: readonly string[]): void {
    for (const a of as)
      for (const b of bs) {
        this.cut(a, b);
        this.cut(b, a);
      }
  }

  /** Ends the cuts of these pairs only. */
  uncut(pairs: readonly (readonly [string, string])[]): void {
    for (const [from, to] of pairs) this.cuts.delete(`${from}>${to}`);
  }

  mend(): void {
    this.cuts.clear();
  }

  isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  serve(addr: string, handler: RequestHandler, life: Life): void {
    this.hosts.set(addr, { handler, life });
  }

  leave(addr: string, life: Life): void {
    if (this.hosts.get(addr)?.life === life) this.hosts.delete(addr);
  }

  call(
    from: string,
    mine: Life,
    to: string,
    kind: string,
    body: unknown,
    bounds: CallOptions,
  ): Promise<unknown> {
    const sent = JSON.stringify(body ?? null);
    this.weigh(kind, sent, from, to, 'body');
    const wire: unknown = JSON.parse(sent);
    this.messages++;
    return new Promise((done, fail) => {
      let over = false;
      const gone = new AbortController();
      const onGone = (): void => {
        gone.abort();
        finish(() => fail(new RequestCancelledError('unknown')));
      };
      const finish = (f: () => void): void => {
        mine.do(() => {
          if (over) return;
          over = true;
          this.open.delete(open);
          late.stop();
          bounds.signal?.removeEventListener('abort', onGone);
          f();
        });
      };
      const open: OpenCall = {
        from,
        to,
        reset: () => {
          gone.abort();
          finish(() => fail(new ConnectionLostError(to)));
        },
      };
      this.open.add(open);
      const late = this.clock.after(bounds.timeoutMs, () => {
        gone.abort();
        finish(() => fail(new RequestTimeoutError(to)));
      });
      bounds.signal?.addEventListener('abort', onGone, { once: true });
      const back = (f: () => void, host: Host): void => {
        if (host.life.dead) return;
        this.carry(to, from, () => {
          if (!this.isCut(to, from)) f();
        });
      };
      this.carry(from, to, () => {
        const cut = this.cuts.get(`${from}>${to}`);
        if (cut === 'refuse') finish(() => fail(new ConnectionRefusedError(to)));
        if (cut === 'reset') finish(() => fail(new ConnectionLostError(to)));
        if (cut !== undefined) return;
        const host = this.hosts.get(to);
        if (!host || host.life.dead) {
          finish(() => fail(new ConnectionRefusedError(to)));
          return;
        }
        const watch = (): void => {
          if (over) return;
          if (host.life.dead) finish(() => fail(new ConnectionLostError(to)));
          else this.clock.after(20, watch);
        };
        this.clock.after(20, watch);
        host.life.do(() => {
          const emit = (chunk: unknown): void => {
            const text = JSON.stringify(chunk);
            this.weigh(`${kind} chunk`, text, to, from, 'chunk');
            back(() => {
              mine.do(() => {
                if (!over) bounds.onChunk?.(JSON.parse(text));
              });
            }, host);
          };
          void host.handler({ from, kind, body: wire }, emit, gone.signal).then(
            (v) => {
              const text = JSON.stringify(v ?? null);
              this.onAnswer?.({ by: to, caller: from, kind, body: wire, answer: v });
              this.weigh(kind, text, to, from, 'response');
              back(() => finish(() => done(JSON.parse(text))), host);
            },
            (e: unknown) => {
              const m = toRpcError(e);
              back(() => finish(() => fail(rpcErrorOf(m.code, m.message, m.executed))), host);
            },
          );
        });
      });
    });
  }

  transport(self: string, life: Life): Transport {
    const heard: ((to: string) => void)[] = [];
    this.listeners.push({ self, hear: (to) => life.do(() => heard.forEach((h) => h(to))) });
    return {
      self,
      onConnectionLost: (h) => {
        heard.push(h);
      },
      call: (to, kind, body, bounds) => this.call(self, life, to, kind, body, bounds),
      serve: async (handler) => this.serve(self, handler, life),
      close: async () => this.leave(self, life),
    };
  }
}
