import type { ConfigRecord, LeavingRecord, Records, RestartRecord } from '@tillerstair/checker';
import { noRecords } from '@tillerstair/checker';
import type { Machine } from './machine.js';
import { World, type WorldSizes } from './world.js';

export interface StormSpec {
  readonly seed: number;
  readonly sizes: WorldSizes;
  readonly ms: number;
  readonly faults: readonly string[];
  readonly config: (base: number, turnPool: string, extra: number) => string;
}

const alone = ['kill-control', 'freeze-control', 'power-control', 'cut-control', 'split-controls', 'isolate-controls'];
const onStore = ['kill-store', 'freeze-store', 'power-store', 'cut-store', 'slow-store', 'wipe-store'];
const onFront = ['kill-front', 'freeze-front', 'cut-front', 'kill-proxy', 'freeze-proxy'];
const onServer = ['lose-verdicts', 'cut-streams', 'refuse', 'leave'];
export const everyFault: readonly string[] = [...alone, ...onStore, ...onFront, ...onServer, 'config', 'all-down'];

export class Storm {
  readonly w: World;
  readonly configs: ConfigRecord[] = [];
  readonly leavings: LeavingRecord[] = [];
  readonly restarts: RestartRecord[] = [];
  readonly log: string[] = [];
  private readonly going = new Set<Promise<unknown>>();
  private version = 1;
  private extra = 0;
  private n = 0;

  constructor(private readonly spec: StormSpec) {
    this.w = new World(spec.seed, spec.sizes);
  }

  private pick<T>(from: readonly T[]): T | undefined {
    return from[Math.floor(this.w.rng() * from.length)];
  }

  private track(p: Promise<unknown>): void {
    this.going.add(p);
    void p.then(() => this.going.delete(p), () => this.going.delete(p));
  }

  private after(ms: number, run: () => void): void {
    this.w.clock.after(ms, run);
  }

  async run(): Promise<Records> {
    const { w } = this;
    await w.bringUp((base) => this.spec.config(base, 'models', 0), [
      ['m1', 'models'], ['m2', 'models'], ['n1', 'others'], ['s1', 'shop'], ['s2', 'shop'],
    ]);
    this.configs.push({
      version: 1, text: this.spec.config(0, 'models', 0), turnPools: ['models'], callPools: ['shop'], sentAt: -1e9, told: 'done', toldAt: w.clock.now(),
    });
    const end = w.clock.now() + this.spec.ms;
    let nextFault = w.clock.now() + 500;
    while (w.clock.now() < end) {
      if (this.going.size < 40) this.track(this.chat(this.n++));
      if (w.clock.now() >= nextFault) {
        const fault = this.pick(this.spec.faults) ?? 'none';
        this.log.push(`${w.clock.now().toFixed(0)} ${fault}`);
        const quiet = await this.cause(fault);
        nextFault = w.clock.now() + quiet;
      }
      await w.clock.run(40 + w.rng() * 120);
    }
    w.net.mend();
    for (const m of w.machines) {
      if (m.life.frozen || m.proxyLife.frozen) m.wake();
      if (!m.up) m.start();
      m.platter.delay = 0.2;
    }
    for (const id of ['m1', 'm2', 'n1', 's1', 's2']) w.servers.set(id, { refuses: false, leaving: false, loseEvery: 0, cutEvery: 0 });
    await w.clock.until('calm', () => w.readyFronts().length === w.of('front').filter((m) => m.up).length && w.slotsOpen(), 30000);
    await w.clock.until('callers', () => this.going.size === 0, 240000);
    const back = await w.operate('GET', '/v1/config');
    const b = back.body;
    const readBack =
      b !== null && typeof b === 'object' && 'version' in b && 'text' in b ? { version: Number(b.version), text: String(b.text) } : undefined;
    return {
      ...noRecords, told: w.told, ran: w.servers.ran, configs: this.configs, leavings: this.leavings, restarts: this.restarts, readBack, perTurn: 16,
    };
  }

  private async wait(ms: number): Promise<void> {
    await new Promise<void>((done) => this.after(ms, done));
  }

  private async chat(n: number): Promise<void> {
    const { w } = this;
    const p = await w.program(n % 3 === 0 ? 30 : 120);
    if (p.told !== 'done') return;
    let after: string | null = null;
    for (let i = 0; i < 3; i++) {
      const words = `turn ${i} of ${n} #${n}-${i}`;
      for (let k = 0; k < 3; k++) {
        const prior: string | null = after;
        const t = await w.turn(p.program, prior, words, `t${n}-${i}`);
        if (t.told === 'done') {
          after = t.turn;
          this.track(this.later(p.program, t.turn));
          break;
        }
        if (t.told === 'partial') break;
        await this.wait(100 + w.rng() * 900);
      }
      const key = `o${n}-${i}`;
      for (let k = 0; k < 4; k++) {
        const c = w.call(key, '/hold', { n, i });
        if (w.rng() < 0.15) this.track(w.call(key, '/hold', { n, i }));
        if ((await c).told === 'done') break;
        await this.wait(100 + w.rng() * 1500);
      }
    }
  }

  private async later(program: string, turn: string): Promise<void> {
    await this.wait(this.w.rng() * (this.w.rng() < 0.5 ? 5000 : 59000));
    await this.w.fetch(program, turn);
  }

  private upOf(kind: Machine['kind']): readonly Machine[] {
    return this.w.of(kind).filter((m) => m.up && !m.life.frozen);
  }

  private async cause(fault: string): Promise<number> {
    const { w } = this;
    const [what = '', kind = ''] = fault.split('-');
    const span = 500 + w.rng() * 7000;
    const all = w.machines.map((m) => [m.addr, `${m.addr}/data`]).flat();
    const isolate = (ms: readonly Machine[]): void => {
      const mine = ms.flatMap((m) => [m.addr, `${m.addr}/data`]);
      w.net.cutBoth(mine, all.filter((a) => !mine.includes(a)));
      this.after(span, () => w.net.mend());
    };
    if (fault === 'all-down') return this.allDown();
    if (fault === 'config') {
      void this.reconfigure();
      return 300;
    }
    if (fault === 'split-controls' || fault === 'isolate-controls') {
      const controls = [...w.of('control')].sort(() => w.rng() - 0.5);
      isolate(fault === 'isolate-controls' ? controls : controls.slice(0, Math.floor(controls.length / 2)));
      return span + 4000;
    }
    if (onServer.includes(fault)) {
      const id = this.pick(['m1', 'm2', 's1', 's2']) ?? 'm1';
      if (fault === 'leave') void this.leave(id);
      else if (fault === 'lose-verdicts') w.servers.set(id, { loseEvery: 3 });
      else if (fault === 'cut-streams') w.servers.set(id, { cutEvery: 3 });
      else w.servers.set(id, { refuses: true });
      this.after(span, () => w.servers.set(id, { refuses: false, loseEvery: 0, cutEvery: 0 }));
      return 500;
    }
    const target = kind === 'proxy' ? this.pick(this.upOf('front')) : kind === 'control' && w.rng() < 0.6 ? w.master : this.pick(this.upOf(kind === 'store' ? 'store' : kind === 'front' ? 'front' : 'control'));
    if (!target) return 100;
    this.log.push(`  ${target.addr}`);
    switch (what) {
      case 'kill':
        if (kind === 'proxy') {
          target.killProxy();
          this.after(span, () => {
            if (target.up && !target.front) target.restartProxy();
          });
          break;
        }
        target.kill('process');
        this.after(span, () => target.start());
        break;
      case 'power':
        target.kill('power');
        this.after(span, () => target.start());
        break;
      case 'wipe':
        target.kill('power');
        target.platter.wipe();
        this.after(span, () => target.start());
        await w.clock.run(span + 100);
        await w.clock.until('refill', () => w.slotsOpen() && this.refilled(), 60000);
        return 500;
      case 'freeze':
        if (kind === 'proxy') target.proxyLife.frozen = true;
        else target.freeze();
        this.after(span, () => {
          if (target.up) target.wake();
        });
        break;
      case 'cut':
        isolate([target]);
        break;
      case 'slow':
        target.platter.delay = 400;
        this.after(span, () => {
          target.platter.delay = 0.2;
        });
        break;
    }
    return kind === 'store' ? span + 2500 : span * w.rng() + 500;
  }

  private refilled(): boolean {
    const s = this.w.master?.control?.zen.leading?.committed;
    const ids = this.w.of('store').map((m) => m.store?.id ?? 'none');
    return s !== undefined && s.slots.every((slot) => slot.filling.length === 0 && ids.every((id) => slot.copies.includes(id)));
  }

  private async leave(id: string): Promise<void> {
    const { w } = this;
    if (this.leavings.some((l) => l.server === id && l.until === Infinity)) return;
    const m = w.master;
    const at = w.clock.now();
    const r = await m?.control?.operate({ method: 'POST', path: `/v1/servers/${id}/leaving`, body: '' });
    if (r?.status !== 200) return;
    const record = { server: id, at, until: Infinity };
    this.leavings.push(record);
    await this.wait(6000);
    const n = this.leavings.indexOf(record);
    const until = w.clock.now();
    const pool = id.startsWith('m') ? 'models' : 'shop';
    for (let k = 0; k < 20; k++) {
      const put = await w.master?.control?.operate({ method: 'PUT', path: `/v1/servers/${id}`, body: JSON.stringify({ pool, url: 'http://127.0.0.1:1' }) });
      if (put?.status === 200) break;
      await this.wait(1000);
    }
    this.leavings[n] = { ...record, until };
  }

  private async reconfigure(): Promise<void> {
    const { w } = this;
    const base = this.version;
    const pool = w.rng() < 0.5 ? 'models' : 'others';
    const text = this.spec.config(base, pool, ++this.extra);
    const sentAt = w.clock.now();
    const at = w.rng() < 0.5 ? w.master : this.pick(this.upOf('control'));
    const row: ConfigRecord = { version: base + 1, text, turnPools: [pool], callPools: ['shop'], sentAt, told: 'unknown', toldAt: Infinity };
    this.configs.push(row);
    const r = await at?.control?.operate({ method: 'PUT', path: '/v1/config', body: text });
    const told = r?.status === 200 ? 'done' : r === undefined || r.status === 504 || r.status === 0 ? 'unknown' : 'refused';
    this.configs[this.configs.indexOf(row)] = { ...row, told, toldAt: w.clock.now() };
    const body = r?.body;
    if (told === 'done') this.version = Math.max(this.version, base + 1);
    else if (r?.status === 409 && body !== null && typeof body === 'object' && 'current' in body) this.version = Math.max(this.version, Number(body.current));
  }

  private async allDown(): Promise<number> {
    const { w } = this;
    const before = Math.max(0, ...this.configs.filter((c) => c.told === 'done').map((c) => c.version));
    const stoppedAt = w.clock.now();
    w.net.mend();
    for (const m of w.machines) m.kill('power');
    await w.clock.run(500);
    const startedAt = w.clock.now();
    for (const m of w.machines) m.start();
    await w.clock.until('back', () => w.readyFronts().length === w.of('front').length && w.slotsOpen(), 20000);
    const servedAt = w.clock.now();
    const back = await w.operate('GET', '/v1/config');
    const b = back.body;
    const after = b !== null && typeof b === 'object' && 'version' in b ? Number(b.version) : 0;
    this.restarts.push({ stoppedAt, startedAt, servedAt, configBefore: before, configAfter: after });
    return 2000;
  }
}
