/**
 * A storm: a simulated deployment under load, with faults caused by a plan. At the end all faults are removed, callers
 * finish, and the records go to the checker. The same options give the same storm.
 */
import { emptyRecords, type Records, type RestartRecord } from '@tillerstair/checker';
import type { OperatorResponse } from '@tillerstair/control';
import type { Machine } from './machine.js';
import { PendingWork } from './pending-work.js';
import type { WorldOptions } from './sim-cluster.js';
import { StormCallers } from './storm-callers.js';
import { StormDrainings } from './storm-drainings.js';
import type { PlannedFault, StormActions } from './storm-fault.js';
import { Faults } from './storm-faults.js';
import { StormOperators } from './storm-operators.js';
import { askUnansweredKeys, passChat } from './storm-pass.js';
import { recordingPools } from './sim-servers.js';
import { World } from './world.js';

/** Options of a storm; the same options give the same run. */
export interface StormOptions {
  readonly seed: number;
  readonly sizes: WorldOptions;
  /** Duration of the load and the faults, in ms. */
  readonly ms: number;
  readonly plan: readonly PlannedFault[];
  /** Number of chats that run concurrently. */
  readonly concurrentChats: number;
}

const stormServers = [
  ['m1', 'models'],
  ['m2', 'models'],
  ['n1', 'others'],
  ['s1', 'shop'],
  ['s2', 'shop'],
  ['k1', 'memo'],
  ['k2', 'memo'],
  ['l1', 'ledger'],
  ['l2', 'ledger'],
] as const;

const tokensPerTurn = 16;
const recoveryTimeoutMs = 60000;
const callersTimeoutMs = 240000;
const servingTimeoutMs = 20000;
const downMs = 500;

/** One storm; `run` must be called only once. */
export class Storm implements StormActions {
  readonly world: World;
  readonly restarts: RestartRecord[] = [];
  /** One line for each fault: the time in ms, its index and name, and what it affected, or `skipped`. */
  readonly log: string[] = [];
  /** Names of the faults that affected something. */
  readonly appliedFaults = new Set<string>();
  readonly faults: Faults;
  readonly callers: StormCallers;
  readonly operators: StormOperators;
  readonly drainings: StormDrainings;
  private readonly pendingPasses = new PendingWork();
  private passChats = 0;

  constructor(readonly spec: StormOptions) {
    this.world = new World(spec.seed, spec.sizes);
    this.world.skewClocks = true;
    const { world } = this;
    const delay = (ms: number): Promise<void> => this.delay(ms);
    const track = (work: Promise<unknown>): void => this.track(work);
    this.callers = new StormCallers(world, delay);
    this.faults = new Faults(this);
    this.operators = new StormOperators({
      world,
      delay,
      track,
      controls: () => this.faults.up('control'),
      onProblem: (problem) => this.faults.problems.push(problem),
    });
    this.drainings = new StormDrainings({
      world,
      delay,
      track,
      operate: (method, path, body) => this.operate(world.master, method, path, body),
    });
  }

  get onDone(): StormActions['onDone'] {
    return this.callers.onDone;
  }

  set onDone(listener: StormActions['onDone']) {
    this.callers.onDone = listener;
  }

  get onChange(): StormActions['onChange'] {
    return this.operators.onChange;
  }

  set onChange(listener: StormActions['onChange']) {
    this.operators.onChange = listener;
  }

  get lostAnswers(): StormActions['lostAnswers'] {
    return this.operators.lostAnswers;
  }

  /** Registers work that the storm waits for at its end. */
  track(work: Promise<unknown>): void {
    this.callers.pending.add(work);
  }

  /** Registers work on pass routes that the storm waits for at its end. */
  trackPass(work: Promise<unknown>): void {
    this.pendingPasses.add(work);
  }

  delay(ms: number): Promise<void> {
    return new Promise<void>((done) => {
      this.world.clock.after(ms, done);
    });
  }

  beginChat(): void {
    this.callers.beginChat();
  }

  sendUrgentCalls(count: number): Promise<void> {
    return this.callers.sendUrgentCalls(count);
  }

  operate(
    at: Machine | undefined,
    method: string,
    path: string,
    body = '',
  ): Promise<OperatorResponse | undefined> {
    return this.operators.operate(at, method, path, body);
  }

  reconfigure(moreRoutes?: number, at?: Machine): Promise<void> {
    return this.operators.reconfigure(moreRoutes, at);
  }

  sendInvalidConfig(choice: number): Promise<void> {
    return this.operators.sendInvalidConfig(choice);
  }

  drainServer(server: string): boolean {
    return this.drainings.mark(server);
  }

  reportDraining(server: string): boolean {
    return this.drainings.report(server);
  }

  /** Runs the storm to its end; throws if the deployment does not recover in time, or if a fault's work failed. */
  async run(): Promise<Records> {
    const { world } = this;
    await world.startServing(() => StormOperators.firstConfig(), stormServers);
    await this.operators.recordFirst();
    await this.causePlannedFaults();
    await this.calm();
    const finalAttempts = await world.clock.finish(
      'unanswered keys',
      askUnansweredKeys(this),
      callersTimeoutMs,
    );
    const readBack = await this.operators.readConfig();
    return {
      ...emptyRecords,
      reported: world.reported,
      executed: world.servers.executed,
      passes: world.passes,
      configs: this.operators.configs,
      configCalls: this.operators.calls.calls,
      drainings: this.drainings.records,
      restarts: this.restarts,
      recordingPools,
      finalAttempts,
      readBack,
      perTurn: tokensPerTurn,
    };
  }

  /** Kills all machines at once and restarts them; resolves when they serve, throws if that takes over 20 s. */
  async restartAll(how: 'process' | 'power' = 'power'): Promise<void> {
    const { world } = this;
    const { clock } = world;
    const configBefore = this.operators.acknowledgedVersion;
    const stoppedAt = clock.now();
    world.net.healCuts();
    for (const machine of world.machines) machine.kill(how);
    await clock.run(downMs);
    const startedAt = clock.now();
    for (const machine of world.machines) machine.start();
    const expectedFronts = (): number => world.of('front').length - world.retiringNodes.size;
    await clock.until(
      'back',
      () => world.readyFronts().length >= expectedFronts() && world.slotsOwned(),
      servingTimeoutMs,
    );
    const servedAt = clock.now();
    const config = await this.operators.readConfig();
    const configAfter = config?.version ?? 0;
    this.restarts.push({ stoppedAt, startedAt, servedAt, configBefore, configAfter });
  }

  /** Causes the faults of the plan while chats run. */
  private async causePlannedFaults(): Promise<void> {
    const { world, spec } = this;
    const { clock } = world;
    const end = clock.now() + spec.ms;
    const plan = [...spec.plan];
    let next = plan.shift();
    let nextAt = clock.now() + (next?.gap ?? Infinity);
    while (clock.now() < end) {
      if (this.callers.pending.size < spec.concurrentChats) this.beginChat();
      if (this.pendingPasses.size < spec.concurrentChats / 2)
        this.trackPass(passChat(this, this.passChats++));
      if (next && clock.now() >= nextAt) {
        await this.cause(next);
        next = plan.shift();
        nextAt = clock.now() + (next?.gap ?? Infinity);
      }
      await clock.run(40 + world.rng() * 120);
    }
  }

  private async cause(planned: PlannedFault): Promise<void> {
    const affected = await this.faults.cause(planned);
    const at = this.world.clock.now().toFixed(0);
    this.log.push(`${at} ${planned.index}:${planned.fault} ${affected || 'skipped'}`);
    if (affected) this.appliedFaults.add(planned.fault);
  }

  /** Ends all faults, and waits until the deployment has recovered and all callers have finished. */
  private async calm(): Promise<void> {
    const { world } = this;
    await this.faults.endAll();
    this.drainings.endAllReported();
    for (const [id] of stormServers) {
      world.servers.heal(id);
      world.servers.set(id, { draining: false });
    }
    const frontsUp = (): number => world.of('front').filter((machine) => machine.up).length;
    await world.clock.until(
      'calm',
      () =>
        world.readyFronts().length >= frontsUp() - world.retiringNodes.size &&
        world.slotsComplete(),
      recoveryTimeoutMs,
    );
    await world.clock.until(
      'callers',
      () => this.callers.pending.size === 0 && this.pendingPasses.size === 0,
      callersTimeoutMs,
    );
  }
}
