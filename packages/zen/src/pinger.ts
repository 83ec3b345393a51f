import type { Mate } from '@tillerstair/state';
import { pause, within, type Circuits, type Clock, TooLate } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { Pong, type Ping } from './messages.js';

export interface Round {
  readonly at: number;
  readonly pongs: readonly Pong[];
}

export class Pinger {
  private readonly learned = new Map<string, Mate>();
  private readonly askedFor = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly circuits: Circuits,
    private readonly bounds: ZenBounds,
    private readonly seeds: () => readonly string[],
  ) {}

  learn(mates: Iterable<Mate>, me: Mate): void {
    for (const m of mates) {
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

  heardOf(): readonly Mate[] {
    return [...this.learned.values()];
  }

  controls(): Mate[] {
    return [...this.learned.values()].filter((m) => m.kind === 'control');
  }

  /** Asks every control heard of; ends when each has replied or refused, at the latest after the ping wait. */
  async round(ping: () => Ping, gone: AbortSignal): Promise<Round> {
    const at = this.clock.now();
    const me = ping().from;
    const pongs = new Map<string, Pong>();
    const asked = new Set<string>([me.addr]);
    const end = at + this.bounds.pingWait;
    const early = new AbortController();
    let open = 0;
    const ask = async (addr: string): Promise<void> => {
      const left = end - this.clock.now();
      if (left <= 0 || gone.aborted) return;
      try {
        const back = await within(
          this.clock,
          left,
          this.circuits.call(addr, 'zen/ping', ping(), { within: left }),
          () => new TooLate(addr),
        );
        const pong = Pong.parse(back);
        this.askedFor.delete(addr);
        pongs.set(pong.from.id, pong);
        this.learn([pong.from], me);
        this.learn(pong.known, me);
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
    if (open > 0) await pause(this.clock, this.bounds.pingWait, AbortSignal.any([gone, early.signal]));
    return { at, pongs: [...pongs.values()] };
  }
}
