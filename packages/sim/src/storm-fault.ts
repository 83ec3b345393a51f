/** What the faults of storms share: what a storm lets them do, and the tools that they are built of. */
import type { ReplyRecord } from '@tillerstair/checker';
import type { OperatorResponse } from '@tillerstair/control';
import type { Machine } from './machine.js';
import type { CutEffect } from './sim-net.js';
import type { World } from './world.js';

/** The kinds of machines. */
export type MachineKind = Machine['kind'];

/** One fault of a plan: the `n`-th, `gap` ms after the one before it. */
export interface PlannedFault {
  readonly index: number;
  readonly gap: number;
  readonly fault: string;
}

/** Share of the operators' answers that are lost, and whether a lost one was an acknowledgement, by change. */
export interface LostAnswers {
  share: number;
}

/** What a storm lets its faults do. */
export interface StormActions {
  readonly world: World;
  readonly spec: { readonly seed: number };
  /** Called for each answer that a caller got, while set. */
  onDone: ((t: ReplyRecord) => void) | undefined;
  /** Called for each change that an operator sends, while set; `acknowledged` is called with its answer. */
  onChange:
    | ((at: Machine | undefined, answered: Promise<OperatorResponse | undefined>) => void)
    | undefined;
  readonly lostAnswers: LostAnswers;
  delay(ms: number): Promise<void>;
  track(work: Promise<unknown>): void;
  operate(
    at: Machine | undefined,
    method: string,
    path: string,
    body?: string,
  ): Promise<OperatorResponse | undefined>;
  /** Sends a change that adds some routes, to a machine of choice or any. */
  reconfigure(more?: number, at?: Machine): Promise<void>;
  sendInvalidConfig(n: number): Promise<void>;
  restartAll(how?: 'process' | 'power'): Promise<void>;
  drainServer(server: string): boolean;
  reportDraining(server: string): boolean;
  beginChat(): void;
  sendUrgentCalls(n: number): Promise<void>;
}

/** The servers that faults befall; others stay well, so that every pool has one that serves. */
const faultyServers = ['m1', 'm2', 's1', 's2'] as const;

/** Where one fault strikes, with random draws of its own. */
export interface FaultContext {
  readonly tools: FaultTools;
  readonly storm: StormActions;
  readonly world: World;
  readonly rng: () => number;
  /** How long the fault lasts, in ms. */
  readonly durationMs: number;
  readonly index: number;
  /** The server that it befalls, if it befalls one. */
  readonly server: string;
}

/** Causes a fault; tells what it struck, or '' if it could not strike now. */
export type Fault = (c: FaultContext) => string | Promise<string>;

/** Faults by name. */
export type FaultTable = ReadonlyMap<string, Fault>;

/** Any one of a list; undefined where it is empty. */
export const pickRandom = <T>(rng: () => number, from: readonly T[]): T | undefined =>
  from[Math.floor(rng() * from.length)];

/** Any one of the servers that faults may befall. */
export const pickFaultyServer = (rng: () => number): string =>
  pickRandom(rng, faultyServers) ?? faultyServers[0];

/** State and steps that several faults need. */
export class FaultTools {
  private diskWork: Promise<void> | undefined;
  /** Work of faults that ended otherwise than it must; a storm with any has failed. */
  readonly problems: string[] = [];
  /** Whether some fault waits for an answer to strike at. */
  armed = false;

  constructor(private readonly storm: StormActions) {}

  /** Whether some machine's disk is lost and not made good yet, so that no other may go. */
  get isDiskLost(): boolean {
    return this.diskWork !== undefined;
  }

  up(kind: MachineKind): readonly Machine[] {
    return this.storm.world.of(kind).filter((m) => m.up && !m.incarnation.frozen);
  }

  /** A machine that is up, for controls more often than not the master. */
  target(c: FaultContext, kind: MachineKind): Machine | undefined {
    const { master } = this.storm.world;
    return kind === 'control' && master && c.rng() < 0.6
      ? master
      : pickRandom(c.rng, this.up(kind));
  }

  after(ms: number, run: () => void): void {
    this.storm.world.clock.after(ms, run);
  }

  restart(m: Machine): void {
    if (!m.up && this.storm.world.machines.includes(m)) m.start();
  }

  killFor(m: Machine, how: 'process' | 'power', ms: number): void {
    m.kill(how);
    this.after(ms, () => this.restart(m));
  }

  /** Cuts machines off from all others, or from those of some kinds only. */
  isolate(
    ms: readonly Machine[],
    span: number,
    ways: 'both' | 'out' | 'in' = 'both',
    manner: CutEffect = 'silent',
    from?: readonly MachineKind[],
  ): void {
    const { world: w } = this.storm;
    const of = (m: Machine): readonly string[] => [m.addr, `${m.addr}/data`];
    const mine = ms.flatMap(of);
    const rest = w.machines
      .filter((m) => !ms.includes(m) && (from?.includes(m.kind) ?? true))
      .flatMap(of);
    const out: readonly (readonly [string, string])[] = mine.flatMap((a) =>
      rest.map((b): readonly [string, string] => [a, b]),
    );
    const back: readonly (readonly [string, string])[] = out.map(
      ([a, b]): readonly [string, string] => [b, a],
    );
    const pairs = [...(ways === 'in' ? [] : out), ...(ways === 'out' ? [] : back)];
    for (const [a, b] of pairs) w.net.cut(a, b, manner);
    this.after(span, () => w.net.uncut(pairs));
  }

  /** Does work that loses a disk, one at a time; storms end only after it. */
  runDiskLoss(work: () => Promise<void>): string {
    if (this.diskWork) return '';
    const going: Promise<void> = work()
      .catch((e: unknown) => {
        this.problems.push(e instanceof Error ? e.message : String(e));
      })
      .finally(() => {
        if (this.diskWork === going) this.diskWork = undefined;
      });
    this.diskWork = going;
    this.storm.track(going);
    return 'disk';
  }

  /** Waits until all replicas and votes stand on machines that there are. */
  async untilReplicated(kind: MachineKind): Promise<void> {
    const { world: w } = this.storm;
    for (let n = 0; n < 600; n++) {
      await this.storm.delay(200);
      const s = w.committed;
      if (!s) continue;
      const ids = w.of(kind).map((m) => (kind === 'store' ? m.store?.id : m.control?.id) ?? 'none');
      if (
        kind === 'store' &&
        s.slots.every(
          (x) => x.joiningReplicas.length === 0 && x.replicas.every((id) => ids.includes(id)),
        )
      )
        return;
      if (
        kind === 'control' &&
        s.voters.current.every((id) => ids.includes(id)) &&
        s.voters.current.join() === s.voters.next.join()
      )
        return;
    }
    throw new Error(`${kind}s were not whole again in time`);
  }

  /** A machine is gone for good and an empty one takes its place. */
  async replaceMachine(m: Machine): Promise<void> {
    const { world: w } = this.storm;
    m.kill('power');
    w.remove(m);
    w.add(m.kind).start();
    await this.untilReplicated(m.kind);
  }

  /** A machine loses its disk, stays away for a time and comes back blank. */
  async wipe(m: Machine, away: number): Promise<void> {
    m.kill('power');
    m.drive.wipe();
    await this.storm.delay(away);
    this.restart(m);
    await this.storm.delay(500);
    await this.untilReplicated(m.kind);
  }

  /** Ends all faults and waits until disks are whole again. */
  async endAll(): Promise<void> {
    const { world: w } = this.storm;
    this.storm.onDone = undefined;
    this.storm.onChange = undefined;
    this.storm.lostAnswers.share = 0;
    w.net.healCuts();
    w.net.extraLatency = () => 0;
    w.servers.cutFronts.clear();
    for (const m of w.machines) {
      m.drive.full = false;
      m.drive.stalled = false;
      m.drive.delay = 0.2;
      if (m.incarnation.frozen || m.proxyIncarnation.frozen) m.wake();
      if (!m.up) m.start();
      else if (m.kind === 'front' && !m.front) m.restartProxy();
    }
    await this.untilDisksReplicated();
  }

  private async untilDisksReplicated(): Promise<void> {
    const { clock } = this.storm.world;
    let over = this.diskWork === undefined;
    void this.diskWork?.then(() => {
      over = true;
    });
    if (!over) await clock.until('disks whole again', () => over, 120000);
    if (this.problems.length > 0) throw new Error(this.problems.join('; '));
  }
}
