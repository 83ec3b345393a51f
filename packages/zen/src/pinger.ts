import type { Member } from '@tillerstair/state';
import {
  delay,
  withTimeout,
  type Transport,
  type Clock,
  RequestTimeoutError,
} from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { PingResponse, type Ping } from './messages.js';

export interface Round {
  readonly at: number;
  readonly pingResponses: readonly PingResponse[];
}

export class Pinger {
  private readonly learned = new Map<string, Member>();
  private readonly askedFor = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly transport: Transport,
    private readonly bounds: ZenBounds,
    private readonly seeds: () => readonly string[],
  ) {}

  learn(peers: Iterable<Member>, me: Member): void {
    for (const m of peers) {
      if (m.addr === me.addr) continue;
      this.learned.delete(m.addr);
      this.learned.set(m.addr, m);
    }
    while (this.learned.size > 256) {
      const oldest = this.learned.keys().next().value;
      if (oldest === undefined) break;
      this.learned.delete(oldest);
    }
  }

  forget(addr: string): void {
    this.learned.delete(addr);
  }

  heardOf(): readonly Member[] {
    return [...this.learned.values()];
  }

  controls(): Member[] {
    return [...this.learned.values()].filter((m) => m.kind === 'control');
  }

  /** Asks every control heard of; ends when each has replied or refused, at the latest after the ping wait. */
  async round(ping: () => Ping, gone: AbortSignal): Promise<Round> {
    const at = this.clock.now();
    const me = ping().from;
    const pingResponses = new Map<string, PingResponse>();
    const asked = new Set<string>([me.addr]);
    const end = at + this.bounds.pingWait;
    const early = new AbortController();
    let open = 0;
    const ask = async (addr: string): Promise<void> => {
      const left = end - this.clock.now();
      if (left <= 0 || gone.aborted) return;
      try {
        const back = await withTimeout(
          this.clock,
          left,
          this.transport.call(addr, 'zen/ping', ping(), { timeoutMs: left }),
          () => new RequestTimeoutError(addr),
        );
        const pingResponse = PingResponse.parse(back);
        this.askedFor.delete(addr);
        pingResponses.set(pingResponse.from.id, pingResponse);
        this.learn([pingResponse.from], me);
        this.learn(pingResponse.known, me);
        spread();
      } catch {
        const misses = (this.askedFor.get(addr) ?? 0) + 1;
        this.askedFor.set(addr, misses);
        if (misses > 20) this.learned.delete(addr);
      }
    };
    const spread = (): void => {
      for (const addr of [...this.seeds(), ...this.controls().map((m) => m.addr)]) {
        if (asked.has(addr)) continue;
        asked.add(addr);
        open++;
        void ask(addr).finally(() => {
          open--;
          if (open === 0) early.abort();
        });
      }
    };
    spread();
    if (open > 0)
      await delay(this.clock, this.bounds.pingWait, AbortSignal.any([gone, early.signal]));
    return { at, pingResponses: [...pingResponses.values()] };
  }
}
