/** One round of pings to the seeds and every control they name (docs/zen.md, "A round may end early"). */
import {
  delay,
  RequestTimeoutError,
  withTimeout,
  type Clock,
  type Transport,
} from '@tillerstair/wire';
import type { KnownMembers } from './known-members.js';
import { PingResponse, type Ping } from './messages.js';

/** What a round of pings heard. */
export interface PingRoundResult {
  /** Clock time in milliseconds at which the round began: no response is older. */
  readonly startedAt: number;
  readonly pingResponses: readonly PingResponse[];
}

/** What a round needs of its node. */
export interface PingRoundOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  /** How long the round may last, in milliseconds. */
  readonly timeoutMs: number;
  readonly knownMembers: KnownMembers;
  /** The node's address, which it does not ask. */
  readonly localAddress: string;
  /** The seed addresses in force, read anew whenever a response arrives. */
  readonly seeds: () => readonly string[];
  /** The ping to send, made anew for each address. */
  readonly ping: () => Ping;
  /** Ends the round early when the node stops. */
  readonly stopping: AbortSignal;
}

/** Asks each address once; an instance serves one round. */
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
  private openRequests = 0;

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

  /** Ends when each address has replied or refused, at the latest after the ping round's time-out. */
  async run(): Promise<PingRoundResult> {
    this.askNewAddresses();
    if (this.openRequests > 0) {
      const ended = AbortSignal.any([this.stopping, this.allAnswered.signal]);
      await delay(this.clock, this.timeoutMs, ended);
    }
    return { startedAt: this.startedAt, pingResponses: [...this.pingResponses.values()] };
  }

  private askNewAddresses(): void {
    const controls = this.knownMembers.controls();
    for (const addr of [...this.seeds(), ...controls.map((member) => member.addr)]) {
      if (this.asked.has(addr)) continue;
      this.asked.add(addr);
      this.openRequests++;
      void this.ask(addr).finally(() => {
        this.openRequests--;
        if (this.openRequests === 0) this.allAnswered.abort();
      });
    }
  }

  private async ask(addr: string): Promise<void> {
    const remaining = this.startedAt + this.timeoutMs - this.clock.now();
    if (remaining <= 0 || this.stopping.aborted) return;
    try {
      const call = this.transport.call(addr, 'zen/ping', this.ping(), { timeoutMs: remaining });
      const body = await withTimeout(
        this.clock,
        remaining,
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
    this.askNewAddresses();
  }
}
