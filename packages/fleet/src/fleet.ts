import { mkdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { ExecutionLog, ModelServer, ServiceServer } from '@tillerstair/stand-ins';
import { freePorts, poolOf, zoneOf, type House, type Sizes } from './layout.js';
import { ask, Operator } from './operator.js';
import { Proc } from './proc.js';
import { Relay } from './relay.js';

export interface Machine {
  readonly kind: 'control' | 'store' | 'front';
  readonly n: number;
  readonly addr: string;
  readonly http: string;
  readonly extra: readonly string[];
  readonly procs: readonly Proc[];
}

export interface FleetSpec {
  readonly dir: string;
  readonly sizes: Sizes;
  readonly house: House;
  readonly cuts: boolean;
  readonly affinity: boolean;
  readonly tuning?: boolean;
  readonly log: 'debug' | 'info' | 'warn' | 'error';
  readonly more?: object;
}

export const until = async (
  what: string,
  within: number,
  ready: () => Promise<boolean>,
): Promise<number> => {
  const t0 = Date.now();
  for (;;) {
    if (await ready()) return Date.now() - t0;
    if (Date.now() - t0 > within) throw new Error(`${what}: not within ${within} ms`);
    await new Promise((done) => setTimeout(done, 50));
  }
};

export class Fleet {
  readonly executions = new ExecutionLog();
  readonly relay = new Relay();
  readonly models: ModelServer[] = [];
  readonly services: ServiceServer[] = [];
  private readonly made: Machine[] = [];
  private readonly removed = new Set<Machine>();
  private seeds: readonly string[] = [];
  readonly operator = new Operator(() => this.of('control').map((m) => m.http));

  constructor(readonly spec: FleetSpec) {}

  of(kind: Machine['kind']): readonly Machine[] {
    return this.made.filter((m) => m.kind === kind && !this.removed.has(m));
  }

  get fronts(): readonly string[] {
    return this.of('front').map((m) => m.http);
  }

  async build(): Promise<void> {
    rmSync(this.spec.dir, { recursive: true, force: true });
    mkdirSync(this.spec.dir, { recursive: true });
    const { controls, stores, fronts } = this.spec.sizes;
    const ports = await freePorts(controls);
    this.seeds = ports.slice(0, 3).map((p) => `127.0.0.1:${p}`);
    for (let n = 0; n < controls; n++) await this.add('control', ports[n]);
    for (let n = 0; n < stores; n++) await this.add('store');
    for (let n = 0; n < fronts; n++) await this.add('front');
    const { house } = this.spec;
    const servers = await freePorts(house.models + house.services);
    for (let n = 0; n < house.models; n++) {
      const old = n % 4 === 3 ? 3 : 1;
      const spec = {
        id: `${house.name}-model-${n}`,
        pool: poolOf(house.modelPool, n),
        addr: `127.0.0.1:${servers[n] ?? 0}`,
        prefillMsPerKb: 6 * old,
        msPerToken: house.msPerToken * old,
        slots: 8,
        cacheKb: 2048,
      };
      this.models.push(new ModelServer(spec, this.executions));
    }
    for (let n = 0; n < house.services; n++) {
      const spec = {
        id: `${house.name}-service-${n}`,
        pool: poolOf(house.servicePool, n),
        addr: `127.0.0.1:${servers[house.models + n] ?? 0}`,
        leastMs: 10,
        mostMs: 40,
      };
      this.services.push(new ServiceServer(spec, this.executions));
    }
    await Promise.all([...this.models, ...this.services].map((s) => s.start()));
  }

  useSeeds(machines: readonly Machine[]): void {
    this.seeds = machines.map((m) => m.addr);
  }

  async add(kind: Machine['kind'], port?: number): Promise<Machine> {
    const n = this.made.filter((m) => m.kind === kind).length;
    const [p0 = 0, p1 = 0, p2 = 0, p3 = 0, p4 = 0, p5 = 0, p6 = 0] = await freePorts(7);
    const at = (p: number): string => `127.0.0.1:${p}`;
    const addr = at(port ?? p0);
    const common = { zone: zoneOf(n), log: this.spec.log, ...this.spec.more };
    const name = `${kind}-${n}`;
    const dir = join(this.spec.dir, name);
    const via = this.spec.cuts ? { listen: at(p1) } : {};
    if (this.spec.cuts) await this.relay.serve(addr, at(p1));
    const make = (): Machine => {
      if (kind !== 'front') {
        const settings = {
          ...common,
          ...via,
          addr,
          http: at(p2),
          seeds: this.seeds,
          data: join(dir, 'data'),
        };
        return {
          kind,
          n,
          addr,
          http: at(p2),
          extra: [],
          procs: [new Proc(name, `${kind}-node`, settings, dir)],
        };
      }
      const data = at(p3);
      const dataVia = this.spec.cuts ? { listen: at(p6) } : {};
      const proxy = {
        ...common,
        ...dataVia,
        addr: data,
        feed: at(p4),
        http: at(p2),
        affinity: this.spec.affinity,
      };
      const agent = { ...common, ...via, addr, proxy: at(p4), http: at(p5), seeds: this.seeds };
      return {
        kind,
        n,
        addr,
        http: at(p2),
        extra: [data],
        procs: [
          new Proc(`${name}-proxy`, 'front-proxy', proxy, join(dir, 'proxy')),
          new Proc(`${name}-agent`, 'front-agent', agent, join(dir, 'agent')),
        ],
      };
    };
    if (this.spec.cuts && kind === 'front') await this.relay.serve(at(p3), at(p6));
    const machine = make();
    this.made.push(machine);
    return machine;
  }

  start(machines: readonly Machine[] = this.made): void {
    for (const m of machines) for (const p of m.procs) p.start();
  }

  async stop(
    machines: readonly Machine[] = this.made,
    how: NodeJS.Signals = 'SIGKILL',
  ): Promise<void> {
    await Promise.all(machines.flatMap((m) => m.procs.map((p) => p.end(how))));
  }

  async remove(m: Machine): Promise<void> {
    await this.stop([m]);
    this.removed.add(m);
  }

  async register(): Promise<void> {
    for (const s of [...this.models, ...this.services])
      await this.registerOne(s.options.id, s.options.pool, s.options.addr);
  }

  async registerOne(id: string, pool: string, addr: string): Promise<void> {
    await until(`registering ${id}`, 15000, async () => {
      const r = await this.operator.any(
        'PUT',
        `/v1/servers/${id}`,
        JSON.stringify({ pool, url: `http://${addr}` }),
      );
      return r.status === 200;
    });
  }

  async master(): Promise<Machine | undefined> {
    for (const m of this.of('control')) {
      const r = await ask('GET', `http://${m.http}/ready`, '', 500);
      const text = JSON.stringify(r.body);
      const found = this.of('control').find((x) => text.includes(`master ${x.addr}"`));
      if (found && found.procs.every((p) => p.running)) return found;
    }
    return undefined;
  }

  async ready(kind: Machine['kind']): Promise<boolean> {
    const all = await Promise.all(
      this.of(kind).map((m) => ask('GET', `http://${m.http}/ready`, '', 500)),
    );
    return all.every((r) => r.status === 200);
  }

  async close(): Promise<void> {
    for (const m of this.made) for (const p of m.procs) p.wake();
    await this.stop();
    await Promise.all([...this.models, ...this.services].map((s) => s.stop()));
    await this.relay.close();
  }
}
