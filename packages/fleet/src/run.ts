/** Runs a scenario under traffic and checks what came of it. */
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
import { poolOf, seeded } from './layout.js';
import { ask } from './operator.js';
import { Traffic } from './traffic.js';

/** What decides a run of a scenario. */
export interface RunSpec extends FleetSpec {
  readonly seed: number;
  readonly seconds: number;
  readonly chatsPerSecond: number;
  readonly operator?: boolean;
}

/** What came of a run: its records, and what the checker says of them. */
export interface RunResult {
  readonly records: Records;
  readonly results: readonly RuleResult[];
  readonly counts: ReadonlyMap<string, number>;
  readonly servingAfterMs: number;
  readonly notes: readonly string[];
  readonly prefixShare: number;
  readonly firstChunkMs: readonly number[];
}

const Current = z.object({ current: z.number() });
const Versioned = z.object({ version: z.number() });

/** One run of a scenario on a fleet of its own. */
export class Run {
  readonly fleet: Fleet;
  readonly traffic: Traffic;
  readonly rng;
  readonly configs: ConfigRecord[] = [];
  readonly drainings: DrainingRecord[] = [];
  readonly restarts: RestartRecord[] = [];
  readonly shares: SharesRecord[] = [];
  readonly notes: string[] = [];
  version = 0;
  private extra = 0;

  constructor(readonly spec: RunSpec) {
    this.fleet = new Fleet(spec);
    this.rng = seeded(spec.seed);
    this.traffic = new Traffic({
      house: spec.house,
      seed: spec.seed,
      chatsPerSecond: spec.chatsPerSecond,
      longChats: 5,
      fronts: () => this.fleet.fronts,
    });
  }

  note(text: string): void {
    this.notes.push(`${new Date().toISOString().slice(11, 23)} ${text}`);
  }

  pick<T>(from: readonly T[]): T {
    const got = from[Math.floor(this.rng() * from.length)];
    if (got === undefined) throw new Error('nothing to pick from');
    return got;
  }

  async put(grow: number, at?: string): Promise<number> {
    const { house } = this.spec;
    this.extra += grow;
    const base = this.version;
    const both = (pool: string): readonly string[] => [poolOf(pool, 0), poolOf(pool, 1)];
    const [a = '', b = ''] = both(house.modelPool);
    const turnPools = [[a, b], [a], [b]][base % 3] ?? [a];
    const callPools = base % 2 === 0 ? both(house.servicePool) : [poolOf(house.servicePool, 0)];
    const text = configFor(house, {
      base,
      turnPools,
      callPools,
      extraRoutes: this.extra,
      note: `version ${base + 1} by ${this.rng()}`,
      tuning: this.spec.tuning ?? true,
    });
    const row: ConfigRecord = {
      version: base + 1,
      text,
      turnPools,
      callPools,
      sentAt: Date.now(),
      reported: 'unknown',
      reportedAt: Infinity,
    };
    const n = this.configs.push(row) - 1;
    const r =
      at === undefined
        ? await this.fleet.operator.any('PUT', '/v1/config', text)
        : await ask('PUT', `http://${at}/v1/config`, text);
    const reported =
      r.status === 200 ? 'done' : r.status === 0 || r.status === 504 ? 'unknown' : 'refused';
    this.configs[n] = { ...row, reported, reportedAt: Date.now() };
    const current = Current.safeParse(r.body);
    if (reported === 'done') this.version = Math.max(this.version, base + 1);
    else if (current.success) this.version = Math.max(this.version, current.data.current);
    this.note(`configuration ${base + 1}: ${r.status}`);
    return r.status;
  }

  private async operate(load: Promise<void>): Promise<void> {
    const state = { loadEnded: false };
    void load.then(() => {
      state.loadEnded = true;
    });
    for (;;) {
      await Promise.race([load, new Promise((done) => setTimeout(done, 3000))]);
      if (state.loadEnded) return;
      await this.put(1);
      await this.resync();
    }
  }

  async resync(): Promise<void> {
    const got = Versioned.safeParse(await this.fleet.operator.config());
    if (got.success) this.version = Math.max(this.version, got.data.version);
  }

  async serving(within: number): Promise<number> {
    const { fleet } = this;
    return until(
      'serving',
      within,
      async () => (await fleet.ready('front')) && (await this.probe()),
    );
  }

  private async probe(): Promise<boolean> {
    const front = this.fleet.fronts[0] ?? '';
    const r = await ask('POST', `http://${front}/v1/programs`, '{"budget":1}', 1000);
    return r.status === 201;
  }

  async bringUp(): Promise<number> {
    const t0 = Date.now();
    await this.fleet.build();
    this.fleet.start();
    await until(
      'a master',
      30000,
      async () => (await this.fleet.operator.any('GET', '/v1/status')).status === 200,
    );
    await until('the first configuration', 20000, async () => (await this.put(0)) === 200);
    await this.fleet.register();
    await this.serving(30000);
    return Date.now() - t0;
  }

  async go(during: (run: Run) => Promise<void>): Promise<RunResult> {
    try {
      const servingAfterMs = await this.bringUp();
      this.note(`serving after ${servingAfterMs} ms`);
      const load = this.traffic.run(this.spec.seconds * 1000);
      const operator = this.spec.operator === false ? Promise.resolve() : this.operate(load);
      await during(this);
      await load;
      await operator;
      await this.traffic.finish(30000);
      let readBack = await this.fleet.operator.config();
      await until('a read-back', 20000, async () => {
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
      const turns = this.fleet.executions.all().filter((r) => r.kind === 'generate');
      const prompt = turns.reduce((n, r) => n + r.prompt, 0);
      return {
        records,
        results: checkRecords(records),
        counts: countByOutcome(this.traffic.reported),
        servingAfterMs,
        notes: this.notes,
        prefixShare: prompt === 0 ? 0 : turns.reduce((n, r) => n + r.cached, 0) / prompt,
        firstChunkMs: this.traffic.reported
          .filter((t) => t.kind === 'turn' && t.reported === 'done')
          .map((t) => t.firstMs)
          .sort((a, b) => a - b),
      };
    } finally {
      await this.fleet.close();
    }
  }
}
