/**
 * The operators of a soak: they change and read the configuration concurrently at random controls, and retry lost
 * requests.
 */
import { ConfigCalls, keyedSplitRoutes, passRoutes, recordingPools } from '@tillerstair/sim';
import { delay, hostClock } from '@tillerstair/wire';
import { z } from 'zod';
import { seededRandom } from '../layout.js';
import { ask } from '../operator.js';

/**
 * One order, a configuration change, from its first attempt to its final answer. Times are in ms of the steady clock.
 */
export interface SoakOrder {
  readonly sentAt: number;
  /** When it was answered 200 or 409; Infinity if it never was. */
  readonly answeredAt: number;
  /** The status of the last answer; 0 if there was none. */
  readonly status: number;
  readonly attempts: number;
}

/** The options of a soak's operators. */
export interface SoakOperatorsOptions {
  readonly seed: number;
  /** The HTTP addresses of the controls. */
  readonly controls: readonly string[];
  /** The pools of servers that stream and of servers that answer with one body. */
  readonly pool: { readonly streams: string; readonly bodies: string };
  readonly operators: number;
  /** Longest pause of an operator between two orders, in ms. */
  readonly changeEveryMs: number;
}

/** The body of a 409: the order was based on another version than the current one. */
const WrongBase = z.object({ current: z.number() });

const ok = 200;
const conflict = 409;
/** Timeout of a request to one control, after which the operator tries another one, in ms. */
const requestTimeoutMs = 1000;
const firstRetryDelayMs = 50;
const retryGrowth = 1.6;
const maxRetryDelayMs = 1000;
/** Time after which an order that was answered neither 200 nor 409 is given up, in ms. */
const orderTimeoutMs = 15000;

/** All operators of a soak, with the records of their calls and orders. */
export class SoakOperators {
  readonly calls = new ConfigCalls(hostClock);
  readonly orders: SoakOrder[] = [];
  private readonly random: () => number;
  private version = 0;
  private changes = 0;

  constructor(private readonly options: SoakOperatorsOptions) {
    this.random = seededRandom(options.seed);
  }

  /** Puts the first configuration in force; resolves with false if no control accepted it in time. */
  async putFirst(): Promise<boolean> {
    return (await this.sendOrder(this.nextConfig())) === ok;
  }

  /** Lets every operator change and read the configuration repeatedly until `until` (ms of the steady clock). */
  async run(until: number): Promise<void> {
    const { operators, changeEveryMs } = this.options;
    const runOperator = async (): Promise<void> => {
      while (hostClock.now() < until) {
        await this.sendOrder(this.nextConfig());
        await this.read();
        await delay(hostClock, changeEveryMs * this.random());
      }
    };
    await Promise.all(Array.from({ length: operators }, runOperator));
  }

  /** Reads the configuration at a random control; resolves with false if the control did not return it. */
  async read(): Promise<boolean> {
    const control = this.randomControl();
    const answer = await this.calls.read(({ path }) =>
      ask('GET', `http://${control}${path}`, '', requestTimeoutMs),
    );
    return answer?.status === ok;
  }

  private randomControl(): string {
    const { controls } = this.options;
    return controls[Math.floor(this.random() * controls.length)] ?? '';
  }

  private nextConfig(): string {
    const { streams, bodies } = this.options.pool;
    const number = ++this.changes;
    return JSON.stringify({
      base: this.version,
      changeId: `change-${this.options.seed}-${number}`,
      pools: [
        { name: streams, kind: 'model' },
        { name: bodies, kind: 'service' },
        ...recordingPools.map((name) => ({ name, kind: 'service', remembersKeys: true })),
      ],
      routes: [
        ...passRoutes([streams], bodies),
        ...keyedSplitRoutes(number),
        {
          name: `extra-${number}`,
          match: { kind: 'call', path: `/extra/${number}` },
          shares: [{ pool: bodies, share: 1 }],
        },
      ],
    });
  }

  /** Sends one order until it is answered 200 or 409; resolves with that status, or with 0 after the timeout. */
  private async sendOrder(text: string): Promise<number> {
    const sentAt = hostClock.now();
    let retryDelayMs = firstRetryDelayMs;
    for (let attempts = 1; ; attempts++) {
      const control = this.randomControl();
      const answer = await this.calls.put(text, ({ path, body }) =>
        ask('PUT', `http://${control}${path}`, body, requestTimeoutMs),
      );
      const status = answer?.status ?? 0;
      if (status === ok || status === conflict) {
        this.updateVersion(text, status, answer?.body);
        this.orders.push({ sentAt, answeredAt: hostClock.now(), status, attempts });
        return status;
      }
      if (hostClock.now() - sentAt > orderTimeoutMs) {
        this.orders.push({ sentAt, answeredAt: Infinity, status, attempts });
        return 0;
      }
      await delay(hostClock, retryDelayMs * (1 / 2 + this.random()));
      retryDelayMs = Math.min(maxRetryDelayMs, retryDelayMs * retryGrowth);
    }
  }

  private updateVersion(text: string, status: number, body: unknown): void {
    const { base } = z.object({ base: z.number() }).parse(JSON.parse(text));
    const current = status === ok ? base + 1 : (WrongBase.safeParse(body).data?.current ?? 0);
    this.version = Math.max(this.version, current);
  }
}
