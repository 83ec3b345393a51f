/**
 * A soak test on real processes: clients reuse open connections, operators change the configuration concurrently, and
 * machines are stopped, reloaded, killed and frozen in overlapping series. The plan is drawn from a seed; the
 * scheduling of the processes is not repeatable.
 */
import { join } from 'node:path';
import {
  ExecutionLog,
  KeyTable,
  PassServer,
  type AnswerLoss,
  type PassServerOptions,
} from '@tillerstair/stand-ins';
import { recordingPools } from '@tillerstair/sim';
import { delay, hostClock } from '@tillerstair/wire';
import { Fleet, until, type Machine } from '../fleet.js';
import { freePorts, seoul } from '../layout.js';
import { runSoakClients } from './soak-clients.js';
import { SoakOperators } from './soak-operators.js';
import { soakPlan, type SoakPlan, type SoakSizes, type TimedStep } from './soak-plan.js';
import { checkSoak, type SoakBounds, type SoakEvent, type SoakRecords } from './soak-rules.js';
import type { RuleResult } from '@tillerstair/checker';

/** The options of a soak. */
export interface SoakOptions {
  readonly seed: number;
  readonly sizes: SoakSizes;
  /** The folder for settings, logs and data; each seed has a subfolder. */
  readonly dir: string;
}

/** The outcome of a soak: rule results, the records they were checked on, and the plan. */
export interface SoakResult {
  readonly results: readonly RuleResult[];
  readonly records: SoakRecords;
  readonly plan: SoakPlan;
}

/** The time limits of the users' small sites, with a shorter grace period. */
const soakBounds: SoakBounds = {
  graceMs: 6000,
  settleMs: 3000,
  lossSlackMs: 200,
  ackWithinMs: 4000,
};
const bounds = {
  serveWithin: 12000,
  inForceWithin: 2000,
  drainingWithin: 3000,
  heartbeatInterval: 500,
  failureTimeout: 1800,
};
const stopWithin = soakBounds.graceMs * 0.9;
const secondSignalDelayMs = 100;
/** A process that SIGHUP ends within this time of its start is taken to be still loading, in ms. */
const loadTimeMs = 1000;
/** Delay before a machine whose processes exited is started again, in ms. */
const restartDelayMs = 500;
const readyTimeoutMs = 30000;
const readBackTimeoutMs = 15000;
const pool = { streams: 'models', bodies: 'shop' };
const serverSpeed = { bodyMs: 20, eventMs: 60, fewestEvents: 4, eventRange: 24 };

/** A group of servers of one pool. */
interface ServerGroup {
  readonly pool: string;
  readonly count: number;
  /** Whether the servers share a record of keys. */
  readonly recordsKeys?: true;
  /** How the first server of the group loses answers. */
  readonly loss?: AnswerLoss;
}

const serverGroups: readonly ServerGroup[] = [
  { pool: pool.streams, count: 4 },
  { pool: pool.bodies, count: 2 },
  { pool: recordingPools[0], count: 2, recordsKeys: true, loss: { every: 5, how: 'reset' } },
  { pool: recordingPools[1], count: 2, recordsKeys: true, loss: { every: 7, how: 'silence' } },
];

/** One soak; it starts its own fleet and closes it at the end. */
class Soak {
  private readonly fleet: Fleet;
  private readonly executions = new ExecutionLog();
  private readonly events: SoakEvent[] = [];
  private readonly servers: PassServer[] = [];
  /** Machines that a step has stopped or frozen. */
  private readonly busy = new Set<Machine>();
  private readonly plan: SoakPlan;
  private closing = false;

  constructor(private readonly options: SoakOptions) {
    const { sizes, seed, dir } = options;
    this.plan = soakPlan(seed, sizes);
    this.fleet = new Fleet({
      dir: join(dir, `seed-${seed}`),
      sizes,
      house: { ...seoul, models: 0, services: 0 },
      withRelay: false,
      affinity: true,
      log: 'info',
      extraSettings: { bounds },
      extraFrontSettings: { stopWithin },
      onExit: (name, signal, ranMs) => this.recordExit(name, signal, ranMs),
    });
  }

  async run(): Promise<SoakResult> {
    try {
      const operators = await this.startFleet();
      const startedAt = hostClock.now();
      const endsAt = startedAt + this.options.sizes.trafficMs;
      const { seed, sizes } = this.options;
      const clients = { seed, clients: sizes.clients, fronts: this.fleet.fronts };
      const disturbances = Promise.all([operators.run(endsAt), this.runPlan(startedAt)]);
      const settled = disturbances.then(() => this.waitUntilReady());
      const [traffic] = await Promise.all([runSoakClients(clients, endsAt, settled), disturbances]);
      const configReadBack = await this.readBack(operators);
      const records = {
        ...traffic,
        executed: this.executions.all(),
        events: this.events,
        orders: operators.orders,
        configCalls: operators.calls.calls,
        configReadBack,
      };
      return { results: checkSoak(records, soakBounds), records, plan: this.plan };
    } finally {
      this.closing = true;
      await this.fleet.close();
      for (const server of this.servers) server.stop();
    }
  }

  private async startFleet(): Promise<SoakOperators> {
    const { fleet, plan } = this;
    await fleet.build();
    fleet.start();
    const operators = new SoakOperators({
      seed: this.options.seed,
      controls: fleet.machinesOf('control').map(({ http }) => http),
      pool,
      operators: plan.operators,
      changeEveryMs: plan.changeEveryMs,
    });
    await until('the first configuration to be accepted', readyTimeoutMs, () =>
      operators.putFirst(),
    );
    operators.orders.length = 0;
    await this.startServers();
    await this.waitUntilReady();
    return operators;
  }

  private async waitUntilReady(): Promise<void> {
    await until('all fronts to be ready', readyTimeoutMs, () => this.fleet.ready('front'));
  }

  private async startServers(): Promise<void> {
    for (const group of serverGroups) {
      const keyTable = group.recordsKeys ? { keyTable: new KeyTable() } : {};
      for (const [n, port] of (await freePorts(group.count)).entries()) {
        const loss = n === 0 && group.loss ? { loss: group.loss } : {};
        await this.startServer({ ...serverSpeed, ...keyTable, ...loss }, group.pool, port);
      }
    }
  }

  private async startServer(
    behavior: Omit<PassServerOptions, 'id' | 'pool' | 'addr'>,
    serverPool: string,
    port: number,
  ): Promise<void> {
    const id = `server-${this.servers.length}`;
    const addr = `127.0.0.1:${port}`;
    const server = new PassServer({ ...behavior, id, pool: serverPool, addr }, this.executions);
    this.servers.push(server);
    await server.start();
    await this.fleet.registerOne(id, serverPool, addr);
  }

  /** Applies each step of the plan at its time; resolves once all stopped machines have been started again. */
  private async runPlan(startedAt: number): Promise<void> {
    await Promise.all(
      this.plan.steps.map(async (timed) => {
        await delay(hostClock, startedAt + timed.at - hostClock.now());
        const machine = this.fleet.machinesOf(timed.machine).at(timed.index);
        if (machine) await this.applyStep(machine, timed);
      }),
    );
  }

  private async applyStep(machine: Machine, { step }: TimedStep): Promise<void> {
    if (step.kind === 'reload') {
      this.recordEvent(machine, 'reload');
      for (const process of machine.processes) process.signal('SIGHUP');
      return;
    }
    // A machine that is already stopped or frozen is skipped: the platform does not stop a machine twice at once.
    if (this.busy.has(machine)) return;
    this.busy.add(machine);
    if (step.kind === 'roll') await this.roll(machine, step.again);
    else if (step.kind === 'kill') await this.kill(machine);
    else await this.freeze(machine, step.forMs);
    this.busy.delete(machine);
  }

  private async roll(machine: Machine, again: boolean): Promise<void> {
    this.recordEvent(machine, 'term');
    if (again)
      void delay(hostClock, secondSignalDelayMs).then(() => {
        for (const process of machine.processes) process.signal('SIGTERM');
      });
    const { graceMs } = soakBounds;
    const killed = await Promise.all(
      machine.processes.map((process) => process.end('SIGTERM', graceMs)),
    );
    machine.processes.forEach((process, n) => {
      if (killed[n])
        this.recordEvent(machine, 'overdue', `${process.name} was killed after its grace period`);
    });
    this.recordEvent(machine, 'ended');
    await this.restartAfterDelay(machine);
  }

  private async kill(machine: Machine): Promise<void> {
    this.recordEvent(machine, 'killed');
    await this.fleet.stop([machine]);
    await this.restartAfterDelay(machine);
  }

  private async freeze(machine: Machine, forMs: number): Promise<void> {
    this.recordEvent(machine, 'frozen');
    for (const process of machine.processes) process.freeze();
    await delay(hostClock, forMs);
    for (const process of machine.processes) process.resume();
    this.recordEvent(machine, 'frozen', 'woken');
  }

  private async restartAfterDelay(machine: Machine): Promise<void> {
    await delay(hostClock, restartDelayMs);
    if (this.closing) return;
    this.fleet.start([machine]);
    this.recordEvent(machine, 'started');
  }

  private recordEvent(machine: Machine, kind: SoakEvent['kind'], text = ''): void {
    const { http: address } = machine;
    this.events.push({ at: hostClock.now(), machine: machine.kind, address, kind, text });
  }

  /**
   * Records an exit that the soak did not order. SIGHUP ends a process whose first line has not run yet, and the
   * process cannot prevent that. The users' pages allow for it during one second after a start (RULES, "Own ends"), so
   * such an exit is only recorded and the machine restarted; a later exit by SIGHUP, or any other exit, breaks a rule.
   */
  private recordExit(name: string, signal: NodeJS.Signals | null, ranMs: number): void {
    const machine = [
      ...this.fleet.machinesOf('control'),
      ...this.fleet.machinesOf('store'),
      ...this.fleet.machinesOf('front'),
    ].find(({ processes }) => processes.some((process) => process.name === name));
    if (this.closing || !machine || this.busy.has(machine)) return;
    const isLoading = signal === 'SIGHUP' && ranMs < loadTimeMs;
    const text = `${name} exited after ${ranMs} ms by ${signal ?? 'itself'}`;
    this.recordEvent(machine, isLoading ? 'reloadedWhileLoading' : 'exited', text);
    if (isLoading) void this.restartAfterDelay(machine);
  }

  private async readBack(operators: SoakOperators): Promise<boolean> {
    return until('a control to return the configuration', readBackTimeoutMs, () =>
      operators.read(),
    ).then(
      () => true,
      () => false,
    );
  }
}

/** Runs one soak; rejects if the fleet does not become ready. */
export const runSoak = (options: SoakOptions): Promise<SoakResult> => new Soak(options).run();
