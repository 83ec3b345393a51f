/** Shared by all faults of storms: the interface to the storm, the context of a fault, and tools to cause it. */
import type { ReplyRecord } from '@tillerstair/checker';
import type { OperatorResponse } from '@tillerstair/control';
import type { Machine } from './machine.js';
import type { CutEffect } from './sim-net.js';
import type { World } from './world.js';

/** The kinds of machines. */
export type MachineKind = Machine['kind'];

/** One fault of a plan: its position `index`, the name `fault`, and `gap`, the ms after the fault before it. */
export interface PlannedFault {
  readonly index: number;
  readonly gap: number;
  readonly fault: string;
}

/** Share of the answers to operators that are lost, from 0 to 1. */
export interface LostAnswers {
  share: number;
}

/** The interface of a storm to its faults. */
export interface StormActions {
  readonly world: World;
  readonly spec: { readonly seed: number };
  /** Called, if set, for each successful reply that a caller gets. */
  onDone: ((reply: ReplyRecord) => void) | undefined;
  /** Called, if set, for each change that an operator sends to a control; `answered` resolves with the answer. */
  onChange:
    | ((at: Machine | undefined, answered: Promise<OperatorResponse | undefined>) => void)
    | undefined;
  readonly lostAnswers: LostAnswers;
  delay(ms: number): Promise<void>;
  /** Registers work that the storm waits for at its end. */
  track(work: Promise<unknown>): void;
  /** Sends an operator's request to a control; resolves with undefined if no answer arrives in time. */
  operate(
    at: Machine | undefined,
    method: string,
    path: string,
    body?: string,
  ): Promise<OperatorResponse | undefined>;
  /** Sends a configuration change that adds routes, to the control `at` or a random one. */
  reconfigure(moreRoutes?: number, at?: Machine): Promise<void>;
  /** Sends an invalid configuration, which every control must refuse. */
  sendInvalidConfig(choice: number): Promise<void>;
  /** Kills all machines at once and restarts them; resolves when they serve. */
  restartAll(how?: 'process' | 'power'): Promise<void>;
  /** An operator marks a server as draining; false if it is draining already. */
  drainServer(server: string): boolean;
  /** A server reports that it is draining; false if it is draining already. */
  reportDraining(server: string): boolean;
  beginChat(): void;
  sendUrgentCalls(count: number): Promise<void>;
}

/** The servers that faults may affect; the others stay healthy. */
const faultyServers = ['m1', 'm2', 's1', 's2', 'k1', 'l1'] as const;

/** The context of one fault: the storm, the target server, and a random number generator of its own. */
export interface FaultContext {
  readonly tools: FaultTools;
  readonly storm: StormActions;
  readonly world: World;
  readonly rng: () => number;
  /** Duration of the fault, in ms. */
  readonly durationMs: number;
  readonly index: number;
  /** The server to affect, for faults of a server. */
  readonly server: string;
}

/** Causes a fault; returns what it affected, for the log, or '' if it could not be applied now. */
export type Fault = (context: FaultContext) => string | Promise<string>;

/** Faults, by the names that plans use. */
export type FaultTable = ReadonlyMap<string, Fault>;

/** A random element of a list; undefined if the list is empty. */
export const pickRandom = <T>(rng: () => number, items: readonly T[]): T | undefined =>
  items[Math.floor(rng() * items.length)];

/** A random one of the servers that faults may affect. */
export const pickFaultyServer = (rng: () => number): string =>
  pickRandom(rng, faultyServers) ?? faultyServers[0];

/** State and operations that several faults share. */
export class FaultTools {
  private diskWork: Promise<void> | undefined;
  /** Descriptions of work of faults that failed; the storm fails if there is any. */
  readonly problems: string[] = [];
  /** Whether a fault is waiting for the next successful reply to a caller. */
  armed = false;

  constructor(private readonly storm: StormActions) {}

  /** Whether work that loses or removes a disk is still running; no other disk may be lost meanwhile. */
  get isDiskLost(): boolean {
    return this.diskWork !== undefined;
  }

  /** The machines of a kind that are up and not frozen. */
  up(kind: MachineKind): readonly Machine[] {
    return this.storm.world.of(kind).filter((machine) => machine.up && !machine.incarnation.frozen);
  }

  /** A random machine of a kind that is up; for controls, the master with a probability of 60 percent. */
  target(context: FaultContext, kind: MachineKind): Machine | undefined {
    const { master } = this.storm.world;
    return kind === 'control' && master && context.rng() < 0.6
      ? master
      : pickRandom(context.rng, this.up(kind));
  }

  /** Runs an action after a delay on the simulated clock. */
  after(ms: number, run: () => void): void {
    this.storm.world.clock.after(ms, run);
  }

  /** Starts a machine unless it is up or has been removed. */
  restart(machine: Machine): void {
    if (!machine.up && this.storm.world.machines.includes(machine)) machine.start();
  }

  /** Kills a machine and restarts it after `ms`. */
  killFor(machine: Machine, how: 'process' | 'power', ms: number): void {
    machine.kill(how);
    this.after(ms, () => this.restart(machine));
  }

  /** Cuts machines off from all others, or only from those of `fromKinds`, for `spanMs`. */
  isolate(
    machines: readonly Machine[],
    spanMs: number,
    direction: 'both' | 'out' | 'in' = 'both',
    effect: CutEffect = 'silent',
    fromKinds?: readonly MachineKind[],
  ): void {
    const { world } = this.storm;
    const addressesOf = (machine: Machine): readonly string[] => [
      machine.addr,
      `${machine.addr}/data`,
    ];
    const isolated = machines.flatMap(addressesOf);
    const others = world.machines
      .filter(
        (machine) => !machines.includes(machine) && (fromKinds?.includes(machine.kind) ?? true),
      )
      .flatMap(addressesOf);
    const outbound: readonly (readonly [string, string])[] = isolated.flatMap((a) =>
      others.map((b): readonly [string, string] => [a, b]),
    );
    const inbound: readonly (readonly [string, string])[] = outbound.map(
      ([a, b]): readonly [string, string] => [b, a],
    );
    const pairs = [
      ...(direction === 'in' ? [] : outbound),
      ...(direction === 'out' ? [] : inbound),
    ];
    for (const [a, b] of pairs) world.net.cut(a, b, effect);
    this.after(spanMs, () => world.net.uncut(pairs));
  }

  /**
   * Runs work that loses or removes a disk, one at a time: returns '' without running it while other such work goes on.
   * The storm ends only after it; a failure is added to `problems`.
   */
  runDiskLoss(work: () => Promise<void>): string {
    if (this.diskWork) return '';
    const running: Promise<void> = work()
      .catch((error: unknown) => {
        this.problems.push(error instanceof Error ? error.message : String(error));
      })
      .finally(() => {
        if (this.diskWork === running) this.diskWork = undefined;
      });
    this.diskWork = running;
    this.storm.track(running);
    return 'disk';
  }

  /** Waits until all replicas, or all votes, are on existing machines; throws after 600 checks, 200 ms apart. */
  async untilReplicated(kind: MachineKind): Promise<void> {
    const { world } = this.storm;
    for (let attempt = 0; attempt < 600; attempt++) {
      await this.storm.delay(200);
      const state = world.committed;
      if (!state) continue;
      const ids = world
        .of(kind)
        .map((machine) => (kind === 'store' ? machine.store?.id : machine.control?.id) ?? 'none');
      if (
        kind === 'store' &&
        state.slots.every(
          (slot) =>
            slot.joiningReplicas.length === 0 && slot.replicas.every((id) => ids.includes(id)),
        )
      )
        return;
      if (
        kind === 'control' &&
        state.voters.current.every((id) => ids.includes(id)) &&
        state.voters.current.join() === state.voters.next.join()
      )
        return;
    }
    throw new Error(`replicas or votes of ${kind}s are still incomplete or on removed machines`);
  }

  /** Removes a machine with its disk and adds an empty one; waits until replicas or votes are complete. */
  async replaceMachine(machine: Machine): Promise<void> {
    const { world } = this.storm;
    machine.kill('power');
    world.remove(machine);
    world.add(machine.kind).start();
    await this.untilReplicated(machine.kind);
  }

  /** Kills a machine, erases its disk and restarts it after `downMs`; waits until replicas or votes are complete. */
  async wipe(machine: Machine, downMs: number): Promise<void> {
    machine.kill('power');
    machine.drive.wipe();
    await this.storm.delay(downMs);
    this.restart(machine);
    await this.storm.delay(500);
    await this.untilReplicated(machine.kind);
  }

  /** Ends network, disk and machine faults, restarts what is down, and waits until no disk is lost any more. */
  async endAll(): Promise<void> {
    const { world } = this.storm;
    this.storm.onDone = undefined;
    this.storm.onChange = undefined;
    this.storm.lostAnswers.share = 0;
    world.net.healCuts();
    world.net.extraLatency = () => 0;
    world.servers.cutFronts.clear();
    for (const machine of world.machines) {
      machine.drive.full = false;
      machine.drive.stalled = false;
      machine.drive.delay = 0.2;
      if (machine.incarnation.frozen || machine.proxyIncarnation.frozen) machine.wake();
      if (!machine.up) machine.start();
      else if (machine.kind === 'front' && !machine.front) machine.restartProxy();
    }
    await this.untilDisksReplicated();
  }

  private async untilDisksReplicated(): Promise<void> {
    const { clock } = this.storm.world;
    let isOver = this.diskWork === undefined;
    void this.diskWork?.then(() => {
      isOver = true;
    });
    if (!isOver) await clock.until('recovery of lost disks', () => isOver, 120000);
    if (this.problems.length > 0) throw new Error(this.problems.join('; '));
  }
}
