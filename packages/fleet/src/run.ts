/** Runs a scenario under traffic and checks the records of the run. */
import {
  checkRecords,
  countByOutcome,
  emptyRecords,
  type ConfigRecord,
  type DrainingRecord,
  type Records,
  type RestartRecord,
  type RuleResult,
  type SharesRecord,
} from '@tillerstair/checker';
import { z } from 'zod';
import { configFor } from './configs.js';
import { Fleet, until, type FleetSpec } from './fleet.js';
import { poolOf, seededRandom } from './layout.js';
import { ask } from './operator.js';
import { Traffic } from './traffic.js';

/** The options of a scenario run. */
export interface RunSpec extends FleetSpec {
  /** The seed of the callers and of the machines that the scenario picks. */
  readonly seed: number;
  /** How long callers send requests. */
  readonly seconds: number;
  readonly chatsPerSecond: number;
  /** Whether an operator changes the configuration during the traffic; true by default. */
  readonly operator?: boolean;
}

/** The outcome of a run: its records, the results of the checker's rules, and the measured times. */
export interface RunResult {
  readonly records: Records;
  readonly results: readonly RuleResult[];
  /** Number of requests by outcome. */
  readonly counts: ReadonlyMap<string, number>;
  /** Time from the start of the fleet until it served requests. */
  readonly servingAfterMs: number;
  /** What the scenario did, with the time of day (UTC) of each step. */
  readonly notes: readonly string[];
  /** Share of the prompts that servers took from their prefix caches, from 0 to 1. */
  readonly prefixShare: number;
  /** Times to the first chunk of the finished turns, ascending. */
  readonly firstChunkMs: readonly number[];
}

/** The body of a rejected configuration that was based on another version than the current one. */
const CurrentVersion = z.object({ current: z.number() });
/** The version of a configuration that was read. */
const ReadVersion = z.object({ version: z.number() });

/** One run of a scenario; it starts its own fleet and closes it at the end. */
export class ScenarioRun {
  readonly fleet: Fleet;
  readonly traffic: Traffic;
  readonly rng;
  readonly configs: ConfigRecord[] = [];
  readonly drainings: DrainingRecord[] = [];
  readonly restarts: RestartRecord[] = [];
  readonly shares: SharesRecord[] = [];
  readonly notes: string[] = [];
  /** The newest configuration version known to the operator. */
  version = 0;
  private extraRoutes = 0;

  constructor(readonly spec: RunSpec) {
    this.fleet = new Fleet(spec);
    this.rng = seededRandom(spec.seed);
    this.traffic = new Traffic({
      house: spec.house,
      seed: spec.seed,
      chatsPerSecond: spec.chatsPerSecond,
      longChats: 5,
      fronts: () => this.fleet.fronts,
    });
  }

  /** Adds a note with the current time of day. */
  note(text: string): void {
    this.notes.push(`${new Date().toISOString().slice(11, 23)} ${text}`);
  }

  /** Returns a random element; throws if there is none. */
  pick<T>(from: readonly T[]): T {
    const item = from[Math.floor(this.rng() * from.length)];
    if (item === undefined) throw new Error('cannot pick an element of an empty list');
    return item;
  }

  /**
   * Submits a configuration with `addedRoutes` more routes than the last one, to the control at the address `control`
   * or to the first control that replies. Records it, and returns the status of the reply (0 for none).
   */
  async put(addedRoutes: number, control?: string): Promise<number> {
    const { house } = this.spec;
    this.extraRoutes += addedRoutes;
    const base = this.version;
    const poolsOf = (pool: string): readonly string[] => [poolOf(pool, 0), poolOf(pool, 1)];
    const [firstPool = '', secondPool = ''] = poolsOf(house.modelPool);
    const turnPools = [[firstPool, secondPool], [firstPool], [secondPool]][base % 3] ?? [firstPool];
    const callPools = base % 2 === 0 ? poolsOf(house.servicePool) : [poolOf(house.servicePool, 0)];
    const text = configFor(house, {
      base,
      turnPools,
      callPools,
      extraRoutes: this.extraRoutes,
      note: `version ${base + 1} by ${this.rng()}`,
      tuning: this.spec.tuning ?? true,
    });
    const record: ConfigRecord = {
      version: base + 1,
      text,
      turnPools,
      callPools,
      sentAt: Date.now(),
      reported: 'unknown',
      reportedAt: Infinity,
    };
    const recordIndex = this.configs.push(record) - 1;
    const reply =
      control === undefined
        ? await this.fleet.operator.request('PUT', '/v1/config', text)
        : await ask('PUT', `http://${control}/v1/config`, text);
    const reported =
      reply.status === 200
        ? 'done'
        : reply.status === 0 || reply.status === 504
          ? 'unknown'
          : 'refused';
    this.configs[recordIndex] = { ...record, reported, reportedAt: Date.now() };
    const current = CurrentVersion.safeParse(reply.body);
    if (reported === 'done') this.version = Math.max(this.version, base + 1);
    else if (current.success) this.version = Math.max(this.version, current.data.current);
    this.note(`configuration version ${base + 1}: status ${reply.status}`);
    return reply.status;
  }

  /** Submits a new configuration every 3 s until the traffic has ended. */
  private async changeConfigDuring(traffic: Promise<void>): Promise<void> {
    const progress = { trafficEnded: false };
    void traffic.then(() => {
      progress.trafficEnded = true;
    });
    for (;;) {
      await Promise.race([traffic, new Promise((done) => setTimeout(done, 3000))]);
      if (progress.trafficEnded) return;
      await this.put(1);
      await this.readConfigVersion();
    }
  }

  /** Reads the current configuration version from the controls; keeps the known one if none replies. */
  async readConfigVersion(): Promise<void> {
    const config = ReadVersion.safeParse(await this.fleet.operator.config());
    if (config.success) this.version = Math.max(this.version, config.data.version);
  }

  /**
   * Waits up to `within` ms until all fronts are ready and a program can be created; returns the time it took in ms.
   */
  async serving(within: number): Promise<number> {
    const { fleet } = this;
    return until(
      'serving',
      within,
      async () => (await fleet.ready('front')) && (await this.canCreateProgram()),
    );
  }

  private async canCreateProgram(): Promise<boolean> {
    const front = this.fleet.fronts[0] ?? '';
    const reply = await ask('POST', `http://${front}/v1/programs`, '{"budget":1}', 1000);
    return reply.status === 201;
  }

  /** Starts the fleet with a first configuration and its servers; returns the time until it serves, in ms. */
  async startFleet(): Promise<number> {
    const startedAt = Date.now();
    await this.fleet.build();
    this.fleet.start();
    await until(
      'a master',
      30000,
      async () => (await this.fleet.operator.request('GET', '/v1/status')).status === 200,
    );
    await until(
      'the first configuration to be accepted',
      20000,
      async () => (await this.put(0)) === 200,
    );
    await this.fleet.register();
    await this.serving(30000);
    return Date.now() - startedAt;
  }

  /** Starts the fleet, runs the scenario under traffic, checks all records, and closes the fleet. */
  async execute(scenario: (run: ScenarioRun) => Promise<void>): Promise<RunResult> {
    try {
      const servingAfterMs = await this.startFleet();
      this.note(`serving after ${servingAfterMs} ms`);
      const traffic = this.traffic.run(this.spec.seconds * 1000);
      const operator =
        this.spec.operator === false ? Promise.resolve() : this.changeConfigDuring(traffic);
      await scenario(this);
      await traffic;
      await operator;
      await this.traffic.finish(30000);
      let readBack = await this.fleet.operator.config();
      await until('a control to return the configuration', 20000, async () => {
        readBack = await this.fleet.operator.config();
        return readBack !== undefined;
      });
      const records: Records = {
        ...emptyRecords,
        reported: this.traffic.reported,
        executed: this.fleet.executions.all(),
        configs: this.configs,
        drainings: this.drainings,
        restarts: this.restarts,
        shares: this.shares,
        readBack,
        perTurn: 64,
      };
      const turnRecords = this.fleet.executions
        .all()
        .filter((record) => record.kind === 'generate');
      const promptTotal = turnRecords.reduce((total, record) => total + record.prompt, 0);
      return {
        records,
        results: checkRecords(records),
        counts: countByOutcome(this.traffic.reported),
        servingAfterMs,
        notes: this.notes,
        prefixShare:
          promptTotal === 0
            ? 0
            : turnRecords.reduce((total, record) => total + record.cached, 0) / promptTotal,
        firstChunkMs: this.traffic.reported
          .filter((record) => record.kind === 'turn' && record.reported === 'done')
          .map((record) => record.firstMs)
          .sort((left, right) => left - right),
      };
    } finally {
      await this.fleet.close();
    }
  }
}
