/** The simulated network: the hosts at their addresses, the cut connections, and the delivery of messages. */
import {
  ConnectionLostError,
  ConnectionRefusedError,
  type CallOptions,
  type Clock,
  type RequestHandler,
  type Transport,
} from '@tillerstair/wire';
import type { Incarnation } from './incarnation.js';
import { SimCall } from './sim-call.js';

/** A process that serves requests at an address. */
export interface Host {
  readonly handler: RequestHandler;
  readonly incarnation: Incarnation;
}

/** A message that was sent, whether it arrives or not. */
export interface ObservedMessage {
  readonly from: string;
  readonly to: string;
  readonly kind: string;
  readonly bytes: number;
}

/** Faults of the delivery of one message. */
export interface DeliveryFaults {
  readonly lost: boolean;
  /** Extra delay in ms; a delayed message may be overtaken by later ones. */
  readonly extraDelayMs: number;
  /** Number of additional deliveries of the message. */
  readonly duplicates: number;
}

/** One response of a handler, whether it arrives or not. */
export interface ObservedAnswer {
  readonly by: string;
  readonly caller: string;
  readonly kind: string;
  readonly body: unknown;
  readonly answer: unknown;
}

/** The effect of a cut on a caller: no response, a refused connection, or a reset one. */
export type CutEffect = 'silent' | 'refuse' | 'reset';

/** The part of a request-response exchange that a message carries. */
export type MessagePart = 'body' | 'chunk' | 'response';

/** Two addresses, in the direction in which messages are sent. */
export type AddressPair = readonly [from: string, to: string];

interface ConnectionListener {
  readonly self: string;
  onConnectionLost(peer: string): void;
}

/** The caller and the recipient of a request, and its kind. */
interface CallTarget {
  readonly self: string;
  readonly incarnation: Incarnation;
  readonly to: string;
  readonly kind: string;
}

const noFaults: DeliveryFaults = { lost: false, extraDelayMs: 0, duplicates: 0 };

/** The latency of a message without faults or extra latency: at least `minLatencyMs`, plus at most `latencyRangeMs`. */
const minLatencyMs = 0.3;
const latencyRangeMs = 0.7;
/** Minimum gap between the arrivals of two messages of one pair, which keeps their order. */
const minGapMs = 0.001;
/** Minimum delay of a duplicate. */
const minDuplicateDelayMs = 1;
/** Minimum time until peers detect that a process has ended. */
const minLossDetectionMs = 0.5;

/** Number of bytes that the TCP transport adds to a message. */
const frameBytes = (kind: string, part: MessagePart): number =>
  `{"id":10000,${part === 'body' ? `"kind":"${kind}",` : ''}"${part}":}\n`.length;

const pairKey = (from: string, to: string): string => `${from}>${to}`;

/** The network of one world. Messages of a pair arrive in order unless delivery faults are set. */
export class SimNet {
  /** Number of requests so far. */
  messages = 0;
  /** Called, if set, for each message that is sent. */
  onMessage: ((message: ObservedMessage) => void) | undefined;
  /** Called, if set, with each response of a handler. */
  onAnswer: ((answer: ObservedAnswer) => void) | undefined;
  /** Decides the delivery faults of each message; while unset, every message is delivered once. */
  deliveryFaults: ((from: string, to: string) => DeliveryFaults) | undefined;
  /** Extra latency of the messages of a pair, in ms. */
  extraLatency: (from: string, to: string) => number = () => 0;
  /** Size of the largest message of each kind, in characters. */
  readonly largestMessages = new Map<string, number>();
  private readonly hosts = new Map<string, Host>();
  private readonly cuts = new Map<string, CutEffect>();
  private readonly listeners: ConnectionListener[] = [];
  private readonly openCalls = new Set<SimCall>();
  private readonly lastArrivals = new Map<string, number>();

  constructor(
    readonly clock: Clock,
    private readonly rng: () => number,
  ) {}

  /** Reports, after a short delay, the loss of all connections of an address whose process has ended. */
  closed(address: string): void {
    this.clock.after(minLossDetectionMs + this.rng(), () => {
      for (const listener of this.listeners) listener.onConnectionLost(address);
    });
  }

  /** Resets a share of the open calls of an address; both ends are told that their connection is lost. */
  reset(address: string, share: number): void {
    const peers = new Set<string>();
    for (const call of this.openCalls) {
      if ((call.from !== address && call.to !== address) || this.rng() >= share) continue;
      peers.add(call.from === address ? call.to : call.from);
      call.cancel(new ConnectionLostError(call.to));
    }
    for (const listener of this.listeners) {
      if (listener.self === address) for (const peer of peers) listener.onConnectionLost(peer);
      if (peers.has(listener.self)) listener.onConnectionLost(address);
    }
  }

  /** Cuts one direction between two addresses. */
  cut(from: string, to: string, effect: CutEffect = 'silent'): void {
    this.cuts.set(pairKey(from, to), effect);
  }

  /** Cuts both directions between two groups. */
  cutBoth(groupA: readonly string[], groupB: readonly string[]): void {
    for (const a of groupA)
      for (const b of groupB) {
        this.cut(a, b);
        this.cut(b, a);
      }
  }

  /** Ends the cuts of these pairs only. */
  uncut(pairs: readonly AddressPair[]): void {
    for (const [from, to] of pairs) this.cuts.delete(pairKey(from, to));
  }

  /** Ends all cuts. */
  healCuts(): void {
    this.cuts.clear();
  }

  isCut(from: string, to: string): boolean {
    return this.cuts.has(pairKey(from, to));
  }

  serve(address: string, handler: RequestHandler, incarnation: Incarnation): void {
    this.hosts.set(address, { handler, incarnation });
  }

  stopServing(address: string, incarnation: Incarnation): void {
    if (this.hosts.get(address)?.incarnation === incarnation) this.hosts.delete(address);
  }

  /** The host that a request reaches; undefined if the request is lost silently. Throws the caller's error if not. */
  hostFor(from: string, to: string): Host | undefined {
    const effect = this.cuts.get(pairKey(from, to));
    if (effect === 'refuse') throw new ConnectionRefusedError(to);
    if (effect === 'reset') throw new ConnectionLostError(to);
    if (effect === 'silent') return undefined;
    const host = this.hosts.get(to);
    if (!host || host.incarnation.dead) throw new ConnectionRefusedError(to);
    return host;
  }

  /** Delivers a message with its delivery faults: `arrive` is called once, late, several times or never. */
  deliver(from: string, to: string, arrive: () => void): void {
    const faults = this.deliveryFaults?.(from, to) ?? noFaults;
    for (let copy = 0; copy < faults.duplicates; copy++)
      this.clock.after(
        minDuplicateDelayMs + this.rng() * (minDuplicateDelayMs + faults.extraDelayMs),
        arrive,
      );
    if (faults.lost) return;
    if (faults.extraDelayMs > 0) {
      this.clock.after(minLatencyMs + faults.extraDelayMs, arrive);
      return;
    }
    const pair = pairKey(from, to);
    const at = Math.max(
      this.clock.now() + minLatencyMs + this.rng() * latencyRangeMs + this.extraLatency(from, to),
      (this.lastArrivals.get(pair) ?? 0) + minGapMs,
    );
    this.lastArrivals.set(pair, at);
    this.clock.after(at - this.clock.now(), arrive);
  }

  /** Reports a message to `onMessage`, and tracks the largest message of its kind. */
  observe(message: Omit<ObservedMessage, 'bytes'>, text: string, part: MessagePart): void {
    const { kind } = message;
    const bytes = Buffer.byteLength(text) + frameBytes(kind, part);
    this.onMessage?.({ ...message, bytes });
    if (text.length > (this.largestMessages.get(kind) ?? 0))
      this.largestMessages.set(kind, text.length);
  }

  /** The transport of one process at an address. */
  transport(self: string, incarnation: Incarnation): Transport {
    const listeners: ((to: string) => void)[] = [];
    this.listeners.push({
      self,
      onConnectionLost: (peer) => {
        incarnation.do(() => {
          for (const listener of listeners) listener(peer);
        });
      },
    });
    return {
      self,
      onConnectionLost: (listener) => {
        listeners.push(listener);
      },
      call: (to, kind, body, options) => this.call({ self, incarnation, to, kind }, body, options),
      serve: (handler) => {
        this.serve(self, handler, incarnation);
        return Promise.resolve();
      },
      close: () => {
        this.stopServing(self, incarnation);
        return Promise.resolve();
      },
    };
  }

  private call(target: CallTarget, body: unknown, options: CallOptions): Promise<unknown> {
    const { self, incarnation, to, kind } = target;
    const call = new SimCall(
      this,
      { from: self, to, kind, body: JSON.stringify(body ?? null), caller: incarnation },
      options,
      (ended) => this.openCalls.delete(ended),
    );
    this.openCalls.add(call);
    return call.run();
  }
}
