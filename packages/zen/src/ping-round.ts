/** One round of pings to seeds, known controls and the controls they name (docs/zen.md, "A round may end early"). */
import {
  delay,
  RequestTimeoutError,
  withTimeout,
  type Clock,
  type Transport,
} from '@tillerstair/wire';
import type { KnownMembers } from './known-members.js';
import { PingResponse, type Ping } from './messages.js';

/** Responses of one ping round. */
export interface PingRoundResult {
  /** Clock time in milliseconds at which the round began; every response was made after it. */
  readonly startedAt: number;
  readonly pingResponses: readonly PingResponse[];
}

/** Dependencies of a `PingRound`. */
export interface PingRoundOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  /** Longest duration of the round, in milliseconds. */
  readonly timeoutMs: number;
  readonly knownMembers: KnownMembers;
  /** Address of the pinging node, which is not pinged. */
  readonly localAddress: string;
  /** Returns the current seed addresses; called again after each response. */
  readonly seeds: () => readonly string[];
  /** Builds the ping to send; called once per address. */
  readonly ping: () => Ping;
  /** Ends the round early when the node stops. */
  readonly stopping: AbortSignal;
}

/** Pings each address once; an instance is for one round. */
export class PingRound {
  private readonly clock: Clock;
  private readonly transport: Transport;
  private readonly timeoutMs: number;
  private readonly knownMembers: KnownMembers;
  private readonly seeds: () => readonly string[];
  private readonly ping: () => Ping;
  private readonly stopping: AbortSignal;
  private readonly startedAt: number;
  private readonly asked: Set<string>;
  private readonly allAnswered = new AbortController();
  private readonly pingResponses = new Map<string, PingResponse>();
  private pendingRequests = 0;

  constructor(options: PingRoundOptions) {
    this.clock = options.clock;
    this.transport = options.transport;
    this.timeoutMs = options.timeoutMs;
    this.knownMembers = options.knownMembers;
    this.seeds = options.seeds;
    this.ping = options.ping;
    this.stopping = options.stopping;
    this.startedAt = options.clock.now();
    this.asked = new Set([options.localAddress]);
  }

  /** Resolves when each address has replied or failed, at the latest after `timeoutMs`, or when the node stops. */
  async run(): Promise<PingRoundResult> {
    this.pingNewAddresses();
    if (this.pendingRequests > 0) {
      const ended = AbortSignal.any([this.stopping, this.allAnswered.signal]);
      await delay(this.clock, this.timeoutMs, ended);
    }
    return { startedAt: this.startedAt, pingResponses: [...this.pingResponses.values()] };
  }

  private pingNewAddresses(): void {
    const controls = this.knownMembers.controls();
    for (const addr of [...this.seeds(), ...controls.map((member) => member.addr)]) {
      if (this.asked.has(addr)) continue;
      this.asked.add(addr);
      this.pendingRequests++;
      void this.pingAddress(addr).finally(() => {
        this.pendingRequests--;
        if (this.pendingRequests === 0) this.allAnswered.abort();
      });
    }
  }

  private async pingAddress(addr: string): Promise<void> {
    const remainingMs = this.startedAt + this.timeoutMs - this.clock.now();
    if (remainingMs <= 0 || this.stopping.aborted) return;
    try {
      const call = this.transport.call(addr, 'zen/ping', this.ping(), { timeoutMs: remainingMs });
      const body = await withTimeout(
        this.clock,
        remainingMs,
        call,
        () => new RequestTimeoutError(addr),
      );
      this.onResponse(addr, PingResponse.parse(body));
    } catch {
      this.knownMembers.noteMissedReply(addr);
    }
  }

  private onResponse(addr: string, response: PingResponse): void {
    this.knownMembers.noteReply(addr);
    this.pingResponses.set(response.from.id, response);
    this.knownMembers.learn([response.from]);
    this.knownMembers.learn(response.known);
    this.pingNewAddresses();
  }
}
