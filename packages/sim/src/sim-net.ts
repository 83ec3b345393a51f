/** The simulated network: who serves at which address, which pairs are cut, and how long messages take. */
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

/** A message as it is sent, whether it arrives or not. */
export interface ObservedMessage {
  readonly from: string;
  readonly to: string;
  readonly kind: string;
  readonly bytes: number;
}

/** What becomes of one message on its way. */
export interface DeliveryFaults {
  readonly lost: boolean;
  /** How much longer it takes, in ms; a late message may be overtaken by later ones. */
  readonly extraDelayMs: number;
  /** How many more times it arrives. */
  readonly duplicates: number;
}

/** One answer as its sender made it, whether it arrives or not. */
export interface ObservedAnswer {
  readonly by: string;
  readonly caller: string;
  readonly kind: string;
  readonly body: unknown;
  readonly answer: unknown;
}

/** What a caller sees of a cut: nothing, a refused connection, or one that is reset. */
export type CutEffect = 'silent' | 'refuse' | 'reset';

/** Which part of a conversation a message is. */
export type MessagePart = 'body' | 'chunk' | 'response';

/** Two addresses, in the direction of what is sent. */
export type AddressPair = readonly [from: string, to: string];

interface ConnectionListener {
  readonly self: string;
  onConnectionLost(peer: string): void;
}

/** Who calls whom. */
interface CallTarget {
  readonly self: string;
  readonly incarnation: Incarnation;
  readonly to: string;
  readonly kind: string;
}

const deliveredOnce: DeliveryFaults = { lost: false, extraDelayMs: 0, duplicates: 0 };

/** A message takes from this many ms to this many more, unless its fate or the latency says otherwise. */
const shortestMs = 0.3;
const rangeMs = 0.7;
/** Messages of one pair keep their order by at least this much. */
const orderMs = 0.001;
/** A repeated message arrives from this many ms on. */
const repeatMs = 1;
/** How long it takes until peers see that a process is no longer there. */
const lossSeenMs = 0.5;

/** The bytes that the TCP transport adds to a message. */
const frameBytes = (kind: string, part: MessagePart): number =>
  `{"id":10000,${part === 'body' ? `"kind":"${kind}",` : ''}"${part}":}\n`.length;

const pairKey = (from: string, to: string): string => `${from}>${to}`;

/** The network of one world. Messages of a pair arrive in order unless their fate says otherwise. */
export class SimNet {
  /** Requests so far. */
  messages = 0;
  /** Called for each message that is sent, while set. */
  onMessage: ((message: ObservedMessage) => void) | undefined;
  /** Called with each answer that a handler gave, while set. */
  onAnswer: ((answer: ObservedAnswer) => void) | undefined;
  /** Decides the fate of each message; every one is delivered once while unset. */
  deliveryFaults: ((from: string, to: string) => DeliveryFaults) | undefined;
  /** How much longer messages of a pair take, in ms. */
  extraLatency: (from: string, to: string) => number = () => 0;
  /** The longest message of each kind, in characters. */
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

  /** The connections of an address are closed, since its process ended. */
  closed(address: string): void {
    this.clock.after(lossSeenMs + this.rng(), () => {
      for (const listener of this.listeners) listener.onConnectionLost(address);
    });
  }

  /** Resets a share of the connections of an address; calls under way on them are lost. */
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

  /** Cuts one direction. */
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

  /** The process that a request reaches; throws what the caller sees otherwise, undefined where it sees nothing. */
  hostFor(from: string, to: string): Host | undefined {
    const effect = this.cuts.get(pairKey(from, to));
    if (effect === 'refuse') throw new ConnectionRefusedError(to);
    if (effect === 'reset') throw new ConnectionLostError(to);
    if (effect === 'silent') return undefined;
    const host = this.hosts.get(to);
    if (!host || host.incarnation.dead) throw new ConnectionRefusedError(to);
    return host;
  }

  /** Delivers a message as its fate says: `arrive` is called once, later, several times or never. */
  deliver(from: string, to: string, arrive: () => void): void {
    const fate = this.deliveryFaults?.(from, to) ?? deliveredOnce;
    for (let n = 0; n < fate.duplicates; n++)
      this.clock.after(repeatMs + this.rng() * (repeatMs + fate.extraDelayMs), arrive);
    if (fate.lost) return;
    if (fate.extraDelayMs > 0) {
      this.clock.after(shortestMs + fate.extraDelayMs, arrive);
      return;
    }
    const pair = pairKey(from, to);
    const at = Math.max(
      this.clock.now() + shortestMs + this.rng() * rangeMs + this.extraLatency(from, to),
      (this.lastArrivals.get(pair) ?? 0) + orderMs,
    );
    this.lastArrivals.set(pair, at);
    this.clock.after(at - this.clock.now(), arrive);
  }

  /** Counts a message and reports it. */
  observe(message: Omit<ObservedMessage, 'bytes'>, text: string, part: MessagePart): void {
    const { kind } = message;
    const bytes = Buffer.byteLength(text) + frameBytes(kind, part);
    this.onMessage?.({ ...message, bytes });
    if (text.length > (this.largestMessages.get(kind) ?? 0))
      this.largestMessages.set(kind, text.length);
  }

  /** The network as the processes of one address use it. */
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
