import { z } from 'zod';
import { flatten, markOf, newer, type Mark, type Mate, type State } from '@tillerstair/state';
import { Mishap, mishapOf, pause, type Circuits, type Clock, type Log, lasting } from '@tillerstair/wire';
import { MemoryKeep, ZenNode, type ZenBounds } from '@tillerstair/zen';

export interface AgentParts {
  readonly addr: string;
  readonly http: string;
  readonly zone: string;
  readonly proxy: string;
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly circuits: Circuits;
  readonly loop: Circuits;
  readonly bounds: ZenBounds;
  readonly log: Log;
}

const Hello = z.object({ id: z.string(), addr: z.string(), http: z.string() });
const Fed = z.object({ id: z.string(), applied: z.object({ term: z.number(), version: z.number() }), seen: z.unknown(), released: z.array(z.unknown()) });

export class Agent {
  private zen: ZenNode | undefined;
  private readonly gone = lasting();
  private seen: unknown = [];
  private released: readonly unknown[] = [];
  private proxyId = '';
  private fedMark: Mark = markOf(undefined);
  private fedConfig = '';
  private lastFed = -Infinity;

  constructor(private readonly p: AgentParts) {}

  async start(): Promise<void> {
    await this.p.circuits.serve(async (inq) => {
      const zen = this.zen;
      if (!zen) throw new Mishap('no-proxy', 'the proxy beside this agent is not there');
      return zen.handle(inq);
    });
    void this.run();
  }

  async stop(): Promise<void> {
    this.gone.abort();
    await this.zen?.stop();
    await this.p.circuits.close();
    await this.p.loop.close();
  }

  get node(): ZenNode | undefined {
    return this.zen;
  }

  readiness(): { ready: boolean; why: string } {
    if (!this.zen) return { ready: false, why: 'the proxy beside this agent is not there' };
    if (!this.zen.masterSeen) return { ready: false, why: 'no master is known' };
    if (this.p.clock.now() - this.lastFed > this.p.bounds.beat * 2) return { ready: false, why: 'the proxy takes no feed' };
    return { ready: true, why: `master ${this.zen.masterSeen.addr}` };
  }

  private async run(): Promise<void> {
    const { clock, bounds, log } = this.p;
    while (!this.gone.signal.aborted) {
      try {
        const hello = Hello.parse(await this.p.loop.call(this.p.proxy, 'front/hello', {}, { within: bounds.beat }));
        if (hello.id !== this.proxyId) await this.adopt(hello);
        const zen = this.zen;
        if (zen) await this.feed(zen.applied);
      } catch (e) {
        log.debug(`The proxy does not reply: ${mishapOf(e).message}.`);
        if (this.zen && clock.now() - this.lastFed > bounds.silent) await this.dismiss();
      }
      await pause(clock, bounds.beat / 8, this.gone.signal);
    }
  }

  private async dismiss(): Promise<void> {
    const old = this.zen;
    this.zen = undefined;
    this.proxyId = '';
    await old?.stop();
    this.p.log.warn('The proxy is gone, left the cluster.');
  }

  private async adopt(hello: z.infer<typeof Hello>): Promise<void> {
    const { addr, zone, seeds, clock, circuits, bounds, log } = this.p;
    const old = this.zen;
    this.zen = undefined;
    await old?.stop();
    const me: Mate = { id: hello.id, kind: 'front', addr, http: hello.http, zone, data: hello.addr };
    this.proxyId = hello.id;
    this.fedMark = markOf(undefined);
    this.fedConfig = '';
    this.lastFed = clock.now();
    const zen: ZenNode = new ZenNode({
      me, seeds, clock, circuits, bounds, log, keep: new MemoryKeep(hello.id), slots: 0,
      onApplied: (s) => this.feed(s),
      report: () => ({ seen: this.seen, released: this.released }),
    });
    this.zen = zen;
    zen.start();
    log.info(`Adopted proxy ${hello.id}.`);
  }

  private async feed(s: State | undefined): Promise<void> {
    const zen = this.zen;
    if (!zen) throw new Mishap('no-proxy', 'the proxy beside this agent is not there');
    const send = s && newer(markOf(s), this.fedMark);
    const digest = s?.config?.digest ?? '';
    const known = digest !== '' && digest === this.fedConfig;
    const body = {
      ...(send ? { state: [...flatten(s)].filter(([k]) => !known || k !== 'config') } : {}),
      ...(send && known ? { config: digest } : {}),
      freshAt: Number.isFinite(zen.freshAt) ? zen.freshAt : -1,
      master: zen.masterSeen?.id ?? '',
      term: zen.term,
    };
    if (send) this.fedConfig = '';
    const fed = Fed.parse(await this.p.loop.call(this.p.proxy, 'front/feed', body, { within: this.p.bounds.beat }));
    if (send) this.fedConfig = digest;
    if (fed.id !== this.proxyId) throw new Mishap('other-proxy', 'another proxy replied');
    this.fedMark = fed.applied;
    this.seen = fed.seen;
    const fresh = fed.released.length > 0 && JSON.stringify(fed.released) !== JSON.stringify(this.released);
    this.released = fed.released;
    if (fresh) zen.reportNow();
    this.lastFed = this.p.clock.now();
  }
}
