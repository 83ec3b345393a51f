import { noRecords, type ConfigRecord, type DrainingRecord, type Records, type RestartRecord, type ReplyRecord } from '@tillerstair/checker';
import type { OperatorRequest, OperatorResponse } from '@tillerstair/control';
import { z } from 'zod';
import { ConfigCalls } from './config-calls.js';
import type { Machine } from './machine.js';
import type { LostAnswers, Planned, StormActions } from './storm-fault.js';
import { Faults } from './storm-faults.js';
import { badConfigs, stormConfig } from './storm-config.js';
import { passChat } from './storm-pass.js';
import { World, type WorldSizes } from './world.js';

export interface StormSpec {
  readonly seed: number;
  readonly sizes: WorldSizes;
  readonly ms: number;
  readonly plan: readonly Planned[];
  readonly chats: number;
}

const Held = z.object({ version: z.number(), text: z.string() });
const Current = z.object({ current: z.number() });
const stormServers = [['m1', 'models'], ['m2', 'models'], ['n1', 'others'], ['s1', 'shop'], ['s2', 'shop']] as const;

const reportedBy = (r: OperatorResponse | undefined): ConfigRecord['reported'] => {
  if (r?.status === 200) return 'done';
  return r === undefined || r.status === 504 || r.status === 0 ? 'unknown' : 'refused';
};

export class Storm implements StormActions {
  readonly w: World;
  readonly configs: ConfigRecord[] = [];
  readonly configCalls: ConfigCalls;
  readonly drainings: DrainingRecord[] = [];
  readonly restarts: RestartRecord[] = [];
  readonly log: string[] = [];
  readonly struck = new Set<string>();
  readonly faults: Faults;
  onDone: StormActions['onDone'];
  onChange: StormActions['onChange'];
  readonly lostAnswers: LostAnswers = { share: 0 };
  private readonly going = new Set<Promise<unknown>>();
  private readonly passing = new Set<Promise<unknown>>();
  private readonly ownDrainings = new Set<DrainingRecord>();
  private version = 1;
  private extra = 0;
  private n = 0;
  private passChats = 0;

  constructor(readonly spec: StormSpec) {
    this.w = new World(spec.seed, spec.sizes);
    this.w.skewed = true;
    this.faults = new Faults(this);
    this.configCalls = new ConfigCalls(this.w.clock);
  }

  pick<T>(from: readonly T[]): T | undefined {
    return from[Math.floor(this.w.rng() * from.length)];
  }

  track(p: Promise<unknown>, among = this.going): void {
    among.add(p);
    void p.then(() => among.delete(p), () => among.delete(p));
  }

  trackPass(p: Promise<unknown>): void {
    this.track(p, this.passing);
  }

  wait(ms: number): Promise<void> {
    return new Promise<void>((done) => {
      this.w.clock.after(ms, done);
    });
  }

  async run(): Promise<Records> {
    const { w, spec } = this;
    const first = stormConfig({ base: 0, turnPools: ['models'], callPool: 'shop', extra: 0 });
    await w.bringUp(() => first, stormServers);
    await w.clock.finish('the first configuration again', this.configCalls.put(first, this.sendTo(w.master)), 20000);
    this.configs.push({ version: 1, text: first, turnPools: ['models'], callPools: ['shop'], sentAt: -1e9, reported: 'done', reportedAt: w.clock.now() });
    const end = w.clock.now() + spec.ms;
    let next = 0;
    let nextAt = w.clock.now() + (spec.plan[0]?.gap ?? Infinity);
    while (w.clock.now() < end) {
      if (this.going.size < spec.chats) this.beginChat();
      if (this.passing.size < spec.chats / 2) this.trackPass(passChat(this, this.passChats++));
      const planned = spec.plan[next];
      if (planned && w.clock.now() >= nextAt) {
        next++;
        const struck = await this.faults.cause(planned);
        this.log.push(`${w.clock.now().toFixed(0)} ${planned.n}:${planned.fault}${struck ? ` ${struck}` : ' skipped'}`);
        if (struck) this.struck.add(planned.fault);
        nextAt = w.clock.now() + (spec.plan[next]?.gap ?? Infinity);
      }
      await w.clock.run(40 + w.rng() * 120);
    }
    await this.faults.calm();
    for (const l of this.ownDrainings) this.endDraining(l);
    for (const [id] of stormServers) {
      w.servers.heal(id);
      w.servers.set(id, { draining: false });
    }
    await w.clock.until('calm', () => w.readyFronts().length >= w.of('front').filter((m) => m.up).length - w.drained.size && w.slotsOpen(), 60000);
    await w.clock.until('callers', () => this.going.size === 0 && this.passing.size === 0, 240000);
    const readBack = await this.held();
    return {
      ...noRecords, reported: w.reported, executed: w.servers.executed, passes: w.passes, configs: this.configs, configCalls: this.configCalls.calls, drainings: this.drainings, restarts: this.restarts, readBack, perTurn: 16,
    };
  }

  private async held(): Promise<z.infer<typeof Held> | undefined> {
    return Held.safeParse((await this.w.operate('GET', '/v1/config')).body).data;
  }

  beginChat(): void {
    this.track(this.chat(this.n++));
  }

  private note(t: ReplyRecord): ReplyRecord {
    if (t.reported === 'done') this.onDone?.(t);
    return t;
  }

  async pileUp(n: number): Promise<void> {
    await Promise.all(Array.from({ length: n }, (_, i) => this.w.call(`a${this.n++}-${i}`, '/alarm', { i }).then((t) => this.note(t))));
  }

  private async chat(n: number): Promise<void> {
    const { w } = this;
    const p = this.note(await w.program(n % 3 === 0 ? 30 : 120));
    if (p.reported !== 'done') return;
    let program = p.program;
    let after: string | null = null;
    for (let i = 0; i < 3; i++) {
      const words = `turn ${i} of ${n} #${n}-${i}`;
      for (let k = 0; k < 3; k++) {
        const prior: string | null = after;
        if (w.rng() < 0.1) this.track(w.turn(program, prior, words, `t${n}-${i}`));
        const t = this.note(await w.turn(program, prior, words, `t${n}-${i}`));
        if (t.reported === 'done') {
          after = t.turn;
          this.track(this.later(program, t.turn));
          break;
        }
        if (t.reported === 'partial') break;
        await this.wait(100 + w.rng() * 900);
      }
      const key = `o${n}-${i}`;
      for (let k = 0; k < 4; k++) {
        const c = w.call(key, '/hold', { n, i });
        if (w.rng() < 0.3) this.track(w.call(key, '/hold', { n, i }));
        if (this.note(await c).reported === 'done') break;
        await this.wait(100 + w.rng() * 1500);
      }
      if (i === 0 && w.rng() < 0.2) {
        const helper = await w.program(30, undefined, program);
        if (helper.reported === 'done') {
          program = helper.program;
          after = null;
        }
      }
    }
  }

  private async later(program: string, turn: string): Promise<void> {
    await this.wait(this.w.rng() * (this.w.rng() < 0.5 ? 5000 : 59000));
    await this.w.fetch(program, turn);
  }

  leave(id: string): boolean {
    const { w } = this;
    if (this.drainings.some((l) => l.server === id && l.until === Infinity)) return false;
    const at = w.clock.now();
    const record = { server: id, at, until: Infinity };
    this.track(
      (async () => {
        const r = await this.operate(w.master, 'POST', `/v1/servers/${id}/draining`);
        if (r?.status === 200) this.drainings.push(record);
        await this.wait(6000);
        const n = this.drainings.indexOf(record);
        if (n >= 0) this.drainings[n] = { ...record, until: w.clock.now() };
        const pool = id.startsWith('m') ? 'models' : 'shop';
        for (let k = 0; k < 20; k++) {
          const put = await this.operate(w.master, 'PUT', `/v1/servers/${id}`, JSON.stringify({ pool, url: 'http://127.0.0.1:1' }));
          if (put?.status === 200) break;
          await this.wait(1000);
        }
      })(),
    );
    return true;
  }

  ownLeave(id: string): boolean {
    const { w } = this;
    if (this.drainings.some((l) => l.server === id && l.until === Infinity)) return false;
    const record = { server: id, at: w.clock.now(), until: Infinity };
    this.drainings.push(record);
    this.ownDrainings.add(record);
    w.servers.set(id, { draining: true });
    w.clock.after(7000, () => this.endDraining(record));
    return true;
  }

  private endDraining(record: DrainingRecord): void {
    if (!this.ownDrainings.delete(record)) return;
    this.drainings[this.drainings.indexOf(record)] = { ...record, until: this.w.clock.now() };
    this.w.servers.set(record.server, { draining: false });
  }

  async operate(at: Machine | undefined, method: string, path: string, body = ''): Promise<OperatorResponse | undefined> {
    const lost = this.wait(25000).then(() => undefined);
    return Promise.race([at?.control?.operate({ method, path, body }), lost]);
  }

  private sendTo(at: Machine | undefined): (o: OperatorRequest) => Promise<OperatorResponse | undefined> {
    return (o) => this.operate(at, o.method, o.path, o.body);
  }

  async reconfigure(grow = 1, to?: Machine): Promise<void> {
    const { w } = this;
    const base = this.version;
    const turnPools = [['models'], ['others'], ['models', 'others']][Math.floor(w.rng() * 3)] ?? ['models'];
    this.extra = Math.min(600, this.extra + grow);
    const text = stormConfig({ base, turnPools, callPool: 'shop', extra: this.extra, variant: Math.floor(w.rng() * 30) }) + ' '.repeat(Math.floor(w.rng() * 1000));
    const at = to ?? (w.rng() < 0.5 ? w.master : this.pick(this.faults.up('control')));
    const row: ConfigRecord = { version: base + 1, text, turnPools, callPools: ['shop'], sentAt: w.clock.now(), reported: 'unknown', reportedAt: Infinity };
    const n = this.configs.push(row) - 1;
    this.track(this.configCalls.read(this.sendTo(this.pick(this.faults.up('control')))));
    const r = await this.sendChange(at, text);
    const reported = reportedBy(r);
    this.noteReported(n, reported);
    if (reported !== 'done' && r?.status === 409) this.version = Math.max(this.version, Current.safeParse(r.body).data?.current ?? 0);
    await this.resendOne();
  }

  /** Keeps what an operator was told of a change; of several calls for one change, the strongest answer counts. */
  private noteReported(n: number, reported: ConfigRecord['reported']): void {
    const row = this.configs[n];
    if (!row || row.reported === 'done' || (row.reportedAt !== Infinity && row.reported === 'unknown' && reported === 'refused')) return;
    this.configs[n] = { ...row, reported, reportedAt: this.w.clock.now() };
    if (reported === 'done') this.version = Math.max(this.version, row.version);
  }

  /** Sends a change again, to any control, that was taken or may have been. */
  private async resendOne(): Promise<void> {
    const old = this.pick(this.configs.filter((c) => c.reported !== 'refused'));
    if (!old) return;
    const n = this.configs.findIndex((c) => c.text === old.text);
    const r = await this.configCalls.put(old.text, this.sendTo(this.pick(this.faults.up('control'))));
    this.noteReported(n, reportedBy(r));
  }

  /** Sends a change as an operator does: where the answer is lost, again, to other machines first. */
  private async sendChange(first: Machine | undefined, text: string): Promise<OperatorResponse | undefined> {
    const mostTries = 5;
    let at = first;
    let wasTaken = false;
    for (let n = 0; n < mostTries; n++) {
      const asked = at;
      const answered = this.configCalls.put(text, this.sendTo(asked));
      this.onChange?.(asked, answered);
      const r = await answered;
      if (wasTaken && r && r.status >= 400 && r.status < 500) this.faults.trouble.push(`a change that was taken is refused: ${JSON.stringify(r)}`);
      if (this.w.rng() >= this.lostAnswers.share) return r;
      wasTaken ||= r?.status === 200;
      at = this.pick(this.faults.up('control').filter((m) => m !== asked)) ?? at;
      await this.wait(100 + this.w.rng() * 400);
    }
    return undefined;
  }

  /** Sends a configuration that must be refused. */
  async badConfig(n: number): Promise<void> {
    const bad = badConfigs(stormConfig({ base: this.version, turnPools: ['models'], callPool: 'shop', extra: this.extra }), this.version);
    const one = bad[n % bad.length];
    if (!one) return;
    const ownLength = ' '.repeat(1 + Math.floor(this.w.rng() * 1000));
    const r = await this.operate(this.pick(this.faults.up('control')), 'PUT', '/v1/config', one.text + ownLength);
    if (r?.status === 200) this.faults.trouble.push(`a bad configuration was taken: ${one.flaw}`);
  }

  async allDown(how: 'process' | 'power' = 'power'): Promise<void> {
    const { w } = this;
    const before = Math.max(0, ...this.configs.filter((c) => c.reported === 'done').map((c) => c.version));
    const stoppedAt = w.clock.now();
    w.net.mend();
    for (const m of w.machines) m.kill(how);
    await w.clock.run(500);
    const startedAt = w.clock.now();
    for (const m of w.machines) m.start();
    await w.clock.until('back', () => w.readyFronts().length >= w.of('front').length - w.drained.size && w.slotsServed(), 20000);
    const servedAt = w.clock.now();
    const after = await this.held();
    this.restarts.push({ stoppedAt, startedAt, servedAt, configBefore: before, configAfter: after?.version ?? 0 });
  }
}
