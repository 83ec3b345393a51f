import { noRecords, type ConfigRecord, type DrainingRecord, type Records, type RestartRecord, type ReplyRecord } from '@tillerstair/checker';
import type { OperatorRequest, OperatorResponse } from '@tillerstair/control';
import { z } from 'zod';
import { ConfigCalls } from './config-calls.js';
import type { Machine } from './machine.js';
import type { LostAnswers, PlannedFault, StormActions } from './storm-fault.js';
import { Faults } from './storm-faults.js';
import { badConfigs, stormConfig } from './storm-config.js';
import { passChat } from './storm-pass.js';
import type { WorldSizes } from './sim-cluster.js';
import { World } from './world.js';

export interface StormOptions {
  readonly seed: number;
  readonly sizes: WorldSizes;
  readonly ms: number;
  readonly plan: readonly PlannedFault[];
  readonly chats: number;
}

const ConfigReply = z.object({ version: z.number(), text: z.string() });
const WrongBaseReply = z.object({ current: z.number() });
const stormServers = [['m1', 'models'], ['m2', 'models'], ['n1', 'others'], ['s1', 'shop'], ['s2', 'shop']] as const;

const reportedBy = (r: OperatorResponse | undefined): ConfigRecord['reported'] => {
  if (r?.status === 200) return 'done';
  return r === undefined || r.status === 504 || r.status === 0 ? 'unknown' : 'refused';
};

export class Storm implements StormActions {
  readonly world: World;
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
  private readonly pending = new Set<Promise<unknown>>();
  private readonly pendingPasses = new Set<Promise<unknown>>();
  private readonly ownDrainings = new Set<DrainingRecord>();
  private version = 1;
  private extraRoutes = 0;
  private chatCount = 0;
  private passChats = 0;

  constructor(readonly spec: StormOptions) {
    this.world = new World(spec.seed, spec.sizes);
    this.world.skewed = true;
    this.faults = new Faults(this);
    this.configCalls = new ConfigCalls(this.world.clock);
  }

  pick<T>(from: readonly T[]): T | undefined {
    return from[Math.floor(this.world.rng() * from.length)];
  }

  track(p: Promise<unknown>, among = this.pending): void {
    among.add(p);
    void p.then(() => among.delete(p), () => among.delete(p));
  }

  trackPass(p: Promise<unknown>): void {
    this.track(p, this.pendingPasses);
  }

  delay(ms: number): Promise<void> {
    return new Promise<void>((done) => {
      this.world.clock.after(ms, done);
    });
  }

  async run(): Promise<Records> {
    const { world: w, spec } = this;
    const first = stormConfig({ base: 0, turnPools: ['models'], callPool: 'shop', extra: 0 });
    await w.bringUp(() => first, stormServers);
    await w.clock.finish('the first configuration again', this.configCalls.put(first, this.sendTo(w.master)), 20000);
    this.configs.push({ version: 1, text: first, turnPools: ['models'], callPools: ['shop'], sentAt: -1e9, reported: 'done', reportedAt: w.clock.now() });
    const end = w.clock.now() + spec.ms;
    let next = 0;
    let nextAt = w.clock.now() + (spec.plan[0]?.gap ?? Infinity);
    while (w.clock.now() < end) {
      if (this.pending.size < spec.chats) this.beginChat();
      if (this.pendingPasses.size < spec.chats / 2) this.trackPass(passChat(this, this.passChats++));
      const planned = spec.plan[next];
      if (planned && w.clock.now() >= nextAt) {
        next++;
        const struck = await this.faults.cause(planned);
        this.log.push(`${w.clock.now().toFixed(0)} ${planned.index}:${planned.fault}${struck ? ` ${struck}` : ' skipped'}`);
        if (struck) this.struck.add(planned.fault);
        nextAt = w.clock.now() + (spec.plan[next]?.gap ?? Infinity);
      }
      await w.clock.run(40 + w.rng() * 120);
    }
    await this.faults.endAll();
    for (const l of this.ownDrainings) this.endDraining(l);
    for (const [id] of stormServers) {
      w.servers.heal(id);
      w.servers.set(id, { draining: false });
    }
    await w.clock.until('calm', () => w.readyFronts().length >= w.of('front').filter((m) => m.up).length - w.drained.size && w.slotsOpen(), 60000);
    await w.clock.until('callers', () => this.pending.size === 0 && this.pendingPasses.size === 0, 240000);
    const readBack = await this.readConfig();
    return {
      ...noRecords, reported: w.reported, executed: w.servers.executed, passes: w.passes, configs: this.configs, configCalls: this.configCalls.calls, drainings: this.drainings, restarts: this.restarts, readBack, perTurn: 16,
    };
  }

  private async readConfig(): Promise<z.infer<typeof ConfigReply> | undefined> {
    return ConfigReply.safeParse((await this.world.operate('GET', '/v1/config')).body).data;
  }

  beginChat(): void {
    this.track(this.chat(this.chatCount++));
  }

  private reportDone(t: ReplyRecord): ReplyRecord {
    if (t.reported === 'done') this.onDone?.(t);
    return t;
  }

  async sendUrgentCalls(n: number): Promise<void> {
    await Promise.all(Array.from({ length: n }, (_, i) => this.world.call(`a${this.chatCount++}-${i}`, '/alarm', { i }).then((t) => this.reportDone(t))));
  }

  private async chat(n: number): Promise<void> {
    const { world: w } = this;
    const p = this.reportDone(await w.program(n % 3 === 0 ? 30 : 120));
    if (p.reported !== 'done') return;
    let program = p.program;
    let after: string | null = null;
    for (let i = 0; i < 3; i++) {
      const words = `turn ${i} of ${n} #${n}-${i}`;
      for (let k = 0; k < 3; k++) {
        const prior: string | null = after;
        if (w.rng() < 0.1) this.track(w.turn(program, prior, words, `t${n}-${i}`));
        const t = this.reportDone(await w.turn(program, prior, words, `t${n}-${i}`));
        if (t.reported === 'done') {
          after = t.turn;
          this.track(this.fetchLater(program, t.turn));
          break;
        }
        if (t.reported === 'partial') break;
        await this.delay(100 + w.rng() * 900);
      }
      const key = `o${n}-${i}`;
      for (let k = 0; k < 4; k++) {
        const c = w.call(key, '/hold', { n, i });
        if (w.rng() < 0.3) this.track(w.call(key, '/hold', { n, i }));
        if (this.reportDone(await c).reported === 'done') break;
        await this.delay(100 + w.rng() * 1500);
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

  private async fetchLater(program: string, turn: string): Promise<void> {
    await this.delay(this.world.rng() * (this.world.rng() < 0.5 ? 5000 : 59000));
    await this.world.fetch(program, turn);
  }

  drainServer(id: string): boolean {
    const { world: w } = this;
    if (this.drainings.some((l) => l.server === id && l.until === Infinity)) return false;
    const at = w.clock.now();
    const record = { server: id, at, until: Infinity };
    this.track(
      (async () => {
        const r = await this.operate(w.master, 'POST', `/v1/servers/${id}/draining`);
        if (r?.status === 200) this.drainings.push(record);
        await this.delay(6000);
        const n = this.drainings.indexOf(record);
        if (n >= 0) this.drainings[n] = { ...record, until: w.clock.now() };
        const pool = id.startsWith('m') ? 'models' : 'shop';
        for (let k = 0; k < 20; k++) {
          const put = await this.operate(w.master, 'PUT', `/v1/servers/${id}`, JSON.stringify({ pool, url: 'http://127.0.0.1:1' }));
          if (put?.status === 200) break;
          await this.delay(1000);
        }
      })(),
    );
    return true;
  }

  reportDraining(id: string): boolean {
    const { world: w } = this;
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
    this.drainings[this.drainings.indexOf(record)] = { ...record, until: this.world.clock.now() };
    this.world.servers.set(record.server, { draining: false });
  }

  async operate(at: Machine | undefined, method: string, path: string, body = ''): Promise<OperatorResponse | undefined> {
    const lost = this.delay(25000).then(() => undefined);
    return Promise.race([at?.control?.operate({ method, path, body }), lost]);
  }

  private sendTo(at: Machine | undefined): (o: OperatorRequest) => Promise<OperatorResponse | undefined> {
    return (o) => this.operate(at, o.method, o.path, o.body);
  }

  async reconfigure(grow = 1, to?: Machine): Promise<void> {
    const { world: w } = this;
    const base = this.version;
    const turnPools = [['models'], ['others'], ['models', 'others']][Math.floor(w.rng() * 3)] ?? ['models'];
    this.extraRoutes = Math.min(600, this.extraRoutes + grow);
    const text = stormConfig({ base, turnPools, callPool: 'shop', extra: this.extraRoutes, variant: Math.floor(w.rng() * 30) }) + ' '.repeat(Math.floor(w.rng() * 1000));
    const at = to ?? (w.rng() < 0.5 ? w.master : this.pick(this.faults.up('control')));
    const row: ConfigRecord = { version: base + 1, text, turnPools, callPools: ['shop'], sentAt: w.clock.now(), reported: 'unknown', reportedAt: Infinity };
    const n = this.configs.push(row) - 1;
    this.track(this.configCalls.read(this.sendTo(this.pick(this.faults.up('control')))));
    const r = await this.sendChange(at, text);
    const reported = reportedBy(r);
    this.noteReported(n, reported);
    if (reported !== 'done' && r?.status === 409) this.version = Math.max(this.version, WrongBaseReply.safeParse(r.body).data?.current ?? 0);
    await this.resendOne();
  }

  /** Keeps what an operator was told of a change; of several calls for one change, the strongest answer counts. */
  private noteReported(n: number, reported: ConfigRecord['reported']): void {
    const row = this.configs[n];
    if (!row || row.reported === 'done' || (row.reportedAt !== Infinity && row.reported === 'unknown' && reported === 'refused')) return;
    this.configs[n] = { ...row, reported, reportedAt: this.world.clock.now() };
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
      if (wasTaken && r && r.status >= 400 && r.status < 500) this.faults.problems.push(`a change that was taken is refused: ${JSON.stringify(r)}`);
      if (this.world.rng() >= this.lostAnswers.share) return r;
      wasTaken ||= r?.status === 200;
      at = this.pick(this.faults.up('control').filter((m) => m !== asked)) ?? at;
      await this.delay(100 + this.world.rng() * 400);
    }
    return undefined;
  }

  /** Sends a configuration that must be refused. */
  async sendInvalidConfig(n: number): Promise<void> {
    const bad = badConfigs(stormConfig({ base: this.version, turnPools: ['models'], callPool: 'shop', extra: this.extraRoutes }), this.version);
    const one = bad[n % bad.length];
    if (!one) return;
    const ownLength = ' '.repeat(1 + Math.floor(this.world.rng() * 1000));
    const r = await this.operate(this.pick(this.faults.up('control')), 'PUT', '/v1/config', one.text + ownLength);
    if (r?.status === 200) this.faults.problems.push(`a bad configuration was taken: ${one.flaw}`);
  }

  async restartAll(how: 'process' | 'power' = 'power'): Promise<void> {
    const { world: w } = this;
    const before = Math.max(0, ...this.configs.filter((c) => c.reported === 'done').map((c) => c.version));
    const stoppedAt = w.clock.now();
    w.net.healCuts();
    for (const m of w.machines) m.kill(how);
    await w.clock.run(500);
    const startedAt = w.clock.now();
    for (const m of w.machines) m.start();
    await w.clock.until('back', () => w.readyFronts().length >= w.of('front').length - w.drained.size && w.slotsServed(), 20000);
    const servedAt = w.clock.now();
    const after = await this.readConfig();
    this.restarts.push({ stoppedAt, startedAt, servedAt, configBefore: before, configAfter: after?.version ?? 0 });
  }
}
