/** The simulated controls of a model run, with the operators that call them and the troubles that befall them. */
import type { OperatorResponse } from '@tillerstair/control';
import { configDigest } from '@tillerstair/state';
import { z } from 'zod';
import type { Machine } from './machine.js';
import {
  atMaster,
  type CutWay,
  type DiskTrouble,
  type ModelAction,
  type ModelRun,
} from './model-actions.js';
import { ModelHistory, type CallStart, type SentConfig } from './model-history.js';
import { ModelNodes } from './model-nodes.js';
import type { SimPlatter } from './sim-disk.js';
import { stormConfig } from './storm-config.js';
import { seededRng, World } from './world.js';

/** Short bounds, so that a run of a minute of them stays cheap. */
const bounds = {
  serveWithin: 2400,
  drainingWithin: 600,
  heartbeatInterval: 200,
  failureTimeout: 600,
};
const mostControls = 7;
/** Once all troubles have ended, reads and changes succeed within this time. */
const healedWithinMs = 60000;
const usualDiskMs = 0.2;
const slowDiskMs = 120;

const Read = z.object({ version: z.number(), text: z.string() });
const WrongBase = z.object({ errorCode: z.literal('wrong-base'), current: z.number() });

type Answer = () => void;

/** Runs the actions of a model run and checks every statement that a node makes. */
export class ModelRig {
  readonly history = new ModelHistory();
  private readonly nodes = new ModelNodes(this.history);
  private readonly w: World;
  private readonly rng: () => number;
  private readonly sent: SentConfig[] = [];
  private answers: Answer[] = [];
  private network = { lost: 0, late: 0, repeated: 0 };
  readonly actions: ModelAction[] = [];

  constructor(
    readonly seed: number,
    readonly controls: number,
  ) {
    this.rng = seededRng(seed * 31 + 7);
    this.w = new World(seed, { controls, stores: 0, fronts: 0, outer: bounds });
    this.w.skewed = true;
    this.w.net.onAnswer = (a) => this.nodes.answered(a);
    this.w.net.fate = () => ({
      lost: this.chance(this.network.lost),
      lateBy: this.chance(this.network.late) ? this.rng() * bounds.failureTimeout : 0,
      repeats: this.chance(this.network.repeated) ? 1 : 0,
    });
  }

  get run(): ModelRun {
    return { seed: this.seed, controls: this.controls, actions: this.actions };
  }

  set trace(say: (line: string) => void) {
    this.w.trace = say;
  }

  private chance(percent: number): boolean {
    return percent > 0 && this.rng() * 100 < percent;
  }

  /** Starts the controls and waits for the first master. */
  async begin(): Promise<void> {
    this.w.start();
    await this.passUntil('a first master', () => this.w.master !== undefined);
  }

  /** Whether an action stays within the losses that the cluster is to bear. */
  allows(a: ModelAction): boolean {
    switch (a.kind) {
      case 'wipe':
        return this.mayLoseDisk(this.at(a.at));
      case 'replace':
        return this.w.machines.length > 2 && this.mayLoseDisk(this.at(a.at));
      case 'add':
        return this.w.machines.length < mostControls;
      case 'resend':
        return this.sent.length > 0;
      default:
        return true;
    }
  }

  /** A disk may go if, without it, a majority of the voters has the newest committed state on disk. */
  private mayLoseDisk(m: Machine): boolean {
    const s = this.history.newest;
    if (!s) return false;
    const kept = new Set(
      this.w.machines.filter((x) => x !== m).map((x) => this.nodes.identityOf(x)),
    );
    return [s.voters.current, s.voters.next].every(
      (group) =>
        group.filter((id) => kept.has(id) && this.nodes.stores(id, s)).length * 2 > group.length,
    );
  }

  private at(n: number): Machine {
    const { machines, master } = this.w;
    const m = n === atMaster && master ? master : machines[Math.max(0, n) % machines.length];
    if (!m) throw new Error('there is no machine');
    return m;
  }

  private observe(): void {
    for (const m of this.w.machines) {
      const { control } = m;
      if (!control) continue;
      const led = control.zen.leading?.committed;
      if (led) this.history.committed(m.addr, led);
      if (control.zen.applied) this.history.committed(m.addr, control.zen.applied);
      this.nodes.observe(m, this.w.clock.now());
    }
    const { answers } = this;
    this.answers = [];
    for (const answer of answers) answer();
  }

  private async pass(ms: number): Promise<void> {
    const { clock } = this.w;
    const end = clock.now() + ms;
    await clock.settle();
    this.observe();
    while (await clock.step(end)) this.observe();
    await clock.run(end - clock.now());
  }

  private async passUntil(what: string, ready: () => boolean): Promise<boolean> {
    const { clock } = this.w;
    const end = clock.now() + healedWithinMs;
    while (!ready()) {
      if (clock.now() >= end) {
        this.history.broken('serves again once healed', `${what}: not within ${healedWithinMs} ms`);
        return false;
      }
      await this.pass(20);
    }
    return true;
  }

  private later(ms: number, run: () => void): void {
    this.w.clock.after(ms, run);
  }

  async act(a: ModelAction): Promise<void> {
    this.actions.push(a);
    await this.apply(a);
    await this.pass(a.kind === 'wait' ? a.ms : 2);
  }

  private async apply(a: ModelAction): Promise<void> {
    switch (a.kind) {
      case 'network':
        this.network = a;
        return;
      case 'cut':
        return this.cut([this.at(a.at)], a.way, a.ms);
      case 'split':
        return this.cut(
          this.w.machines.filter((_, i) => ((a.members >> i) & 1) === 1),
          'both',
          a.ms,
        );
      case 'freeze':
        return this.freeze(this.at(a.at), a.ms);
      case 'kill':
        return this.kill(this.at(a.at), a.power ? 'power' : 'process', a.ms);
      case 'power-all':
        for (const m of this.w.machines) this.kill(m, 'power', a.ms);
        return;
      case 'wipe':
        return this.wipe(this.at(a.at), a.ms);
      case 'replace':
        return a.planned ? this.replacePlanned(this.at(a.at)) : this.replace(this.at(a.at));
      case 'add':
        this.w.add('control').start();
        return;
      case 'slow-disk':
      case 'full-disk':
      case 'stalled-disk':
        return this.troubleDisk(this.at(a.at), a.kind, a.ms);
      case 'put':
        return this.put(
          this.at(a.at),
          this.configOn(
            a.stale
              ? Math.max(0, this.history.committedVersion - 1)
              : this.history.committedVersion,
          ),
        );
      case 'race':
        this.put(this.at(a.at), this.configOn(this.history.committedVersion));
        return this.put(this.at(a.other), this.configOn(this.history.committedVersion));
      case 'resend': {
        const config = this.sent[this.sent.length - 1 - (a.which % this.sent.length)];
        if (config) this.put(this.at(a.at), config);
        return;
      }
      case 'read':
        return this.read(this.at(a.at));
      case 'read-all':
        for (const m of this.w.machines) this.read(m);
        return;
      case 'heal':
        return this.heal();
      case 'wait':
        return;
    }
  }

  private cut(group: readonly Machine[], way: CutWay, ms: number): void {
    const rest = this.w.machines.filter((m) => !group.includes(m));
    const pairs = group.flatMap((a) => rest.flatMap((b) => pairsOf(a.addr, b.addr, way)));
    for (const [from, to] of pairs) this.w.net.cut(from, to);
    this.later(ms, () => this.w.net.uncut(pairs));
  }

  private freeze(m: Machine, ms: number): void {
    const { life } = m;
    m.freeze();
    this.later(ms, () => {
      if (m.life === life) m.wake();
    });
  }

  private kill(m: Machine, how: 'process' | 'power', ms: number): void {
    m.kill(how);
    const { life } = m;
    this.later(ms, () => {
      if (m.life === life && this.w.machines.includes(m)) m.start();
    });
  }

  private wipe(m: Machine, ms: number): void {
    this.kill(m, 'power', ms);
    m.platter.wipe();
    this.nodes.diskLost(m);
  }

  private replace(m: Machine): void {
    m.kill('power');
    this.w.remove(m);
    this.w.add('control').start();
  }

  private replacePlanned(m: Machine): void {
    this.w.add('control').start();
    this.later(bounds.failureTimeout * 4, () => {
      const { control } = m;
      if (!control || !this.w.machines.includes(m) || !this.mayLoseDisk(m)) return;
      const end = (): void => {
        if (!this.w.machines.includes(m)) return;
        m.kill('power');
        this.w.remove(m);
      };
      m.life.do(() => void control.stop().catch(() => undefined));
      this.later(bounds.failureTimeout, () => {
        if (this.mayLoseDisk(m)) end();
        else if (this.w.machines.includes(m)) this.kill(m, 'process', bounds.heartbeatInterval);
      });
    });
  }

  private troubleDisk({ platter }: Machine, kind: DiskTrouble, ms: number): void {
    if (kind === 'slow-disk') platter.delay = slowDiskMs;
    if (kind === 'full-disk') platter.full = true;
    if (kind === 'stalled-disk') platter.stalled = true;
    this.later(ms, () => endDiskTrouble(platter));
  }

  private configOn(base: number): SentConfig {
    const text =
      stormConfig({ base, turnPools: ['models'], callPool: 'shop', extra: 0 }) +
      ' '.repeat(this.sent.length + 1);
    const config = { version: base + 1, base, digest: configDigest(text), text };
    this.sent.push(config);
    return config;
  }

  private put(m: Machine, config: SentConfig): void {
    this.call(m, 'PUT', config.text, (out, start) => {
      if (out.status === 200) return this.history.acknowledged(config, m.addr);
      const wrong = WrongBase.safeParse(out.body);
      if (out.status === 409) this.history.refused(config, m.addr, start, wrong.data?.current);
    });
  }

  private read(m: Machine, onRead: (version: number) => void = () => undefined): void {
    this.call(m, 'GET', '', (out, start) => {
      if (out.status === 404) this.history.read(undefined, m.addr, start);
      if (out.status !== 200) return;
      const found = Read.parse(out.body);
      this.history.read(
        { version: found.version, digest: configDigest(found.text) },
        m.addr,
        start,
      );
      onRead(found.version);
    });
  }

  /** Calls a control as a client does: while its process is frozen or dead, nothing is taken and nothing answered. */
  private call(
    m: Machine,
    method: string,
    body: string,
    onAnswer: (out: OperatorResponse, start: CallStart) => void,
  ): void {
    const { control, life } = m;
    if (!control) return;
    const start = this.history.begin();
    life.do(() => {
      void control.operate({ method, path: '/v1/config', body }).then(
        (out) => life.do(() => this.answers.push(() => onAnswer(out, start))),
        () => undefined,
      );
    });
  }

  private heal(): void {
    this.network = { lost: 0, late: 0, repeated: 0 };
    this.w.net.mend();
    for (const m of this.w.machines) {
      if (m.life.frozen) m.wake();
      if (!m.up) m.start();
      endDiskTrouble(m.platter);
    }
  }

  /** Heals everything and reads and writes once more: all that was acknowledged is still there. */
  async finish(): Promise<void> {
    this.heal();
    await this.readAndWrite();
  }

  private async readAndWrite(): Promise<void> {
    let read = -1;
    const askAt = (): Machine => this.at(Math.floor(this.rng() * this.w.machines.length));
    const readBack = await this.passUntil('a read', () => {
      if (read < 0 && this.rng() < 0.1) this.read(askAt(), (version) => (read = version));
      return read >= 0 || (this.history.newest !== undefined && !this.history.newest.config);
    });
    if (!readBack) return;
    const last = this.configOn(this.history.committedVersion);
    await this.passUntil('a last change', () => {
      if (this.rng() < 0.1) this.put(askAt(), last);
      return this.history.committedVersion >= last.version;
    });
    this.read(askAt());
    await this.pass(bounds.failureTimeout);
  }
}

const endDiskTrouble = (platter: SimPlatter): void => {
  platter.delay = usualDiskMs;
  platter.full = false;
  platter.stalled = false;
};

const pairsOf = (a: string, b: string, way: CutWay): readonly (readonly [string, string])[] => {
  const out: readonly [string, string] = [a, b];
  const back: readonly [string, string] = [b, a];
  return way === 'both' ? [out, back] : way === 'out' ? [out] : [back];
};
