/** The operators of a soak: they change and read the configuration at once, at any control, and send again what got lost. */
import { ConfigCalls, passRoutes } from '@tillerstair/sim';
import { delay, hostClock } from '@tillerstair/wire';
import { z } from 'zod';
import { seededRandom } from '../layout.js';
import { ask } from '../operator.js';

/** One order from its first send to its clear answer. Times are in ms of the steady clock. */
export interface SoakOrder {
  readonly sentAt: number;
  /** When it was answered 200 or 409; Infinity where it never was. */
  readonly answeredAt: number;
  readonly status: number;
  readonly attempts: number;
}

/** What decides the operators of a soak. */
export interface SoakOperatorsOptions {
  readonly seed: number;
  /** The addresses of the controls' pages. */
  readonly controls: readonly string[];
  readonly pool: { readonly streams: string; readonly bodies: string };
  readonly operators: number;
  readonly changeEveryMs: number;
}

const WrongBase = z.object({ current: z.number() });

const ok = 200;
const conflict = 409;
/** How long an operator waits for one control before it asks another, in ms. */
const silenceMs = 1000;
const firstRetryMs = 50;
const retryGrowth = 1.6;
const longestRetryMs = 1000;
/** An order without a clear answer is given up after so long. */
const orderTimeoutMs = 15000;

/** All operators of a soak, and what they were answered. */
export class SoakOperators {
  readonly calls = new ConfigCalls(hostClock);
  readonly orders: SoakOrder[] = [];
  private readonly draw: () => number;
  private version = 0;
  private changes = 0;

  constructor(private readonly options: SoakOperatorsOptions) {
    this.draw = seededRandom(options.seed);
  }

  /** Puts the first configuration in force; false if no control took it in time. */
  async putFirst(): Promise<boolean> {
    return (await this.order(this.nextText())) === ok;
  }

  /** Changes the configuration again and again until a time of the steady clock. */
  async run(until: number): Promise<void> {
    const { operators, changeEveryMs } = this.options;
    const one = async (): Promise<void> => {
      while (hostClock.now() < until) {
        await this.order(this.nextText());
        await this.read();
        await delay(hostClock, changeEveryMs * this.draw());
      }
    };
    await Promise.all(Array.from({ length: operators }, one));
  }

  /** Reads the configuration at some control; false where it is not told. */
  async read(): Promise<boolean> {
    const control = this.anyControl();
    const answer = await this.calls.read(({ path }) =>
      ask('GET', `http://${control}${path}`, '', silenceMs),
    );
    return answer?.status === ok;
  }

  private anyControl(): string {
    const { controls } = this.options;
    return controls[Math.floor(this.draw() * controls.length)] ?? '';
  }

  private nextText(): string {
    const { streams, bodies } = this.options.pool;
    const number = ++this.changes;
    return JSON.stringify({
      base: this.version,
      changeId: `change-${this.options.seed}-${number}`,
      pools: [
        { name: streams, kind: 'model' },
        { name: bodies, kind: 'service' },
      ],
      routes: [
        ...passRoutes([streams], bodies),
        {
          name: `extra-${number}`,
          match: { kind: 'call', path: `/extra/${number}` },
          shares: [{ pool: bodies, share: 1 }],
        },
      ],
    });
  }

  /** Sends one change until it has a clear answer; resolves with the status, 0 for none. */
  private async order(text: string): Promise<number> {
    const sentAt = hostClock.now();
    let pauseMs = firstRetryMs;
    for (let attempts = 1; ; attempts++) {
      const control = this.anyControl();
      const answer = await this.calls.put(text, ({ path, body }) =>
        ask('PUT', `http://${control}${path}`, body, silenceMs),
      );
      const status = answer?.status ?? 0;
      if (status === ok || status === conflict) {
        this.learnVersion(text, status, answer?.body);
        this.orders.push({ sentAt, answeredAt: hostClock.now(), status, attempts });
        return status;
      }
      if (hostClock.now() - sentAt > orderTimeoutMs) {
        this.orders.push({ sentAt, answeredAt: Infinity, status, attempts });
        return 0;
      }
      await delay(hostClock, pauseMs * (1 / 2 + this.draw()));
      pauseMs = Math.min(longestRetryMs, pauseMs * retryGrowth);
    }
  }

  private learnVersion(text: string, status: number, body: unknown): void {
    const { base } = z.object({ base: z.number() }).parse(JSON.parse(text));
    const current = status === ok ? base + 1 : (WrongBase.safeParse(body).data?.current ?? 0);
    this.version = Math.max(this.version, current);
  }
}
