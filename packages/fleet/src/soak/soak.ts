/**
 * A soak of real processes: clients that keep using open connections, operators that race, and machines that are told to
 * stop, reload or are killed in series that overlap. All of it follows from a seed; how processes run does not.
 */
import { join } from 'node:path';
import { ExecutionLog, PassServer } from '@tillerstair/stand-ins';
import { delay, hostClock } from '@tillerstair/wire';
import { Fleet, until, type Machine } from '../fleet.js';
import { freePorts, seoul } from '../layout.js';
import { runSoakClients } from './soak-clients.js';
import { SoakOperators } from './soak-operators.js';
import { soakPlan, type SoakPlan, type SoakSizes, type TimedStep } from './soak-plan.js';
import { checkSoak, type SoakBounds, type SoakEvent, type SoakRecords } from './soak-rules.js';
import type { RuleResult } from '@tillerstair/checker';

/** What decides a soak. */
export interface SoakOptions {
  readonly seed: number;
  readonly sizes: SoakSizes;
  /** Where settings, logs and data go. */
  readonly dir: string;
}

/** What came of a soak. */
export interface SoakResult {
  readonly results: readonly RuleResult[];
  readonly records: SoakRecords;
  readonly plan: SoakPlan;
}

/** The bounds of the users' small sites, with a shorter grace. */
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
const secondSignalMs = 100;
/** A process that is ended by SIGHUP within this time of its start had not loaded yet, in ms. */
const loadingMs = 1000;
/** A process that ended is started again after so long, in ms. */
const restartMs = 500;
const readyTimeoutMs = 30000;
const readBackTimeoutMs = 15000;
const pool = { streams: 'models', bodies: 'shop' };
const streamServers = 4;
const bodyServers = 2;

/** One soak on a fleet of its own. */
class Soak {
  private readonly fleet: Fleet;
  private readonly executions = new ExecutionLog();
  private readonly events: SoakEvent[] = [];
  private readonly servers: PassServer[] = [];
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
      onExit: (name, signal, ranMs) => this.noteExit(name, signal, ranMs),
    });
  }

  async run(): Promise<SoakResult> {
    try {
      const operators = await this.bringUp();
      const startedAt = hostClock.now();
      const endsAt = startedAt + this.options.sizes.trafficMs;
      const { seed, sizes } = this.options;
      const clients = { seed, clients: sizes.clients, fronts: this.fleet.fronts };
      const [requests] = await Promise.all([
        runSoakClients(clients, endsAt),
        operators.run(endsAt),
        this.carryOut(startedAt),
      ]);
      const configReadBack = await this.readBack(operators);
      const records = {
        requests,
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

  private async bringUp(): Promise<SoakOperators> {
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
    await until('the first configuration', readyTimeoutMs, () => operators.putFirst());
    operators.orders.length = 0;
    await this.startServers();
    await until('all fronts', readyTimeoutMs, () => fleet.ready('front'));
    return operators;
  }

  private async startServers(): Promise<void> {
    const ports = await freePorts(streamServers + bodyServers);
    for (const [n, port] of ports.entries()) {
      const options = {
        id: `server-${n}`,
        pool: n < streamServers ? pool.streams : pool.bodies,
        addr: `127.0.0.1:${port}`,
        bodyMs: 20,
        eventMs: 60,
        fewestEvents: 4,
        eventRange: 24,
      };
      const server = new PassServer(options, this.executions);
      this.servers.push(server);
      await server.start();
      await this.fleet.registerOne(options.id, options.pool, options.addr);
    }
  }

  /** Does each step of the plan at its time; resolves once all machines that were stopped run again. */
  private async carryOut(startedAt: number): Promise<void> {
    await Promise.all(
      this.plan.steps.map(async (timed) => {
        await delay(hostClock, startedAt + timed.at - hostClock.now());
        const machine = this.fleet.machinesOf(timed.machine).at(timed.index);
        if (machine) await this.doStep(machine, timed);
      }),
    );
  }

  private async doStep(machine: Machine, { step }: TimedStep): Promise<void> {
    if (step.kind === 'reload') {
      this.note(machine, 'reload');
      for (const proc of machine.processes) proc.signal('SIGHUP');
      return;
    }
    // A machine that is stopped or frozen already is left alone: the platform stops it once.
    if (this.busy.has(machine)) return;
    this.busy.add(machine);
    if (step.kind === 'roll') await this.roll(machine, step.again);
    else if (step.kind === 'kill') await this.kill(machine);
    else await this.freeze(machine, step.forMs);
    this.busy.delete(machine);
  }

  private async roll(machine: Machine, again: boolean): Promise<void> {
    this.note(machine, 'term');
    if (again)
      void delay(hostClock, secondSignalMs).then(() => {
        for (const proc of machine.processes) proc.signal('SIGTERM');
      });
    const { graceMs } = soakBounds;
    const killed = await Promise.all(machine.processes.map((proc) => proc.end('SIGTERM', graceMs)));
    machine.processes.forEach((proc, n) => {
      if (killed[n]) this.note(machine, 'overdue', `${proc.name} was killed after its grace`);
    });
    this.note(machine, 'ended');
    await this.startAgain(machine);
  }

  private async kill(machine: Machine): Promise<void> {
    this.note(machine, 'killed');
    await this.fleet.stop([machine]);
    await this.startAgain(machine);
  }

  private async freeze(machine: Machine, forMs: number): Promise<void> {
    this.note(machine, 'frozen');
    for (const proc of machine.processes) proc.freeze();
    await delay(hostClock, forMs);
    for (const proc of machine.processes) proc.resume();
    this.note(machine, 'frozen', 'woken');
  }

  private async startAgain(machine: Machine): Promise<void> {
    await delay(hostClock, restartMs);
    if (this.closing) return;
    this.fleet.start([machine]);
    this.note(machine, 'started');
  }

  private note(machine: Machine, kind: SoakEvent['kind'], text = ''): void {
    const { http: address } = machine;
    this.events.push({ at: hostClock.now(), machine: machine.kind, address, kind, text });
  }

  /**
   * A SIGHUP ends a process whose first line has not run yet; nothing in it can prevent that. The users' pages allow for
   * a second after a start (RULES, "Own ends"), so it is noted, and only a later end, or one by itself, is judged.
   */
  private noteExit(name: string, signal: NodeJS.Signals | null, ranMs: number): void {
    const machine = [
      ...this.fleet.machinesOf('control'),
      ...this.fleet.machinesOf('store'),
      ...this.fleet.machinesOf('front'),
    ].find(({ processes: procs }) => procs.some((proc) => proc.name === name));
    if (this.closing || !machine || this.busy.has(machine)) return;
    const isLoading = signal === 'SIGHUP' && ranMs < loadingMs;
    const text = `${name} ended after ${ranMs} ms by ${signal ?? 'itself'}`;
    this.note(machine, isLoading ? 'reloadedWhileLoading' : 'exited', text);
    if (isLoading) void this.startAgain(machine);
  }

  private async readBack(operators: SoakOperators): Promise<boolean> {
    return until('a read-back', readBackTimeoutMs, () => operators.read()).then(
      () => true,
      () => false,
    );
  }
}

/** Runs one soak; rejects where the fleet does not come up. */
export const runSoak = (options: SoakOptions): Promise<SoakResult> => new Soak(options).run();
