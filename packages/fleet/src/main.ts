#!/usr/bin/env node
/** `fleet`: scenarios on real processes, simulated storms, the model test and capacity sweeps. */
import { writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import cac from 'cac';
import { countFailures } from '@tillerstair/checker';
import { closeAsking } from './operator.js';
import { fullSizes, norway, seoul, smallSizes, type House, type Sizes } from './layout.js';
import { Run, type RunResult } from './run.js';
import { scenarios } from './scenarios.js';
import { listSweeps, runSweep, sweeps } from './capacity-run.js';
import { hollowFronts } from './capacity-sockets.js';
import { faultKinds, modelRules } from '@tillerstair/sim';
import { modelRuns } from './model.js';
import { soakSeeds, soakSizesOf } from './soak/soak-seeds.js';
import { stormSeeds, stormsInParallel } from './storms.js';

interface Choices {
  readonly house: House;
  readonly sizes: Sizes;
  readonly seed: number;
  readonly seconds: number;
  readonly dir: string;
  readonly affinity: boolean;
  readonly rate: number;
  readonly tuning: boolean;
}

class BadChoice extends Error {}

const numberOf = (name: string, v: unknown, def: number, findings: string[]): number => {
  if (v === undefined) return def;
  const n = Number(v);
  if (!Number.isFinite(n) || n < 0) findings.push(`--${name}: must be a number`);
  return n;
};

const choicesOf = (o: ReadonlyMap<string, unknown>, seconds: number): Choices => {
  const findings: string[] = [];
  const house = new Map([
    ['seoul', seoul],
    ['norway', norway],
  ]).get(textOf(o.get('house')) ?? 'seoul');
  const sizes = new Map([
    ['full', fullSizes],
    ['small', smallSizes],
  ]).get(textOf(o.get('sizes')) ?? 'full');
  if (!house) findings.push('--house: must be seoul or norway');
  if (!sizes) findings.push('--sizes: must be full or small');
  const seed = numberOf('seed', o.get('seed'), 1, findings);
  const long = numberOf('seconds', o.get('seconds'), seconds, findings);
  const rate = numberOf('rate', o.get('rate'), 12, findings);
  if (findings.length > 0 || !house || !sizes) throw new BadChoice(findings.join('\n'));
  const dir = textOf(o.get('dir')) ?? join(tmpdir(), `tillerstair-fleet-${process.pid}`);
  return {
    house,
    sizes,
    seed,
    seconds: long,
    dir,
    affinity: o.get('affinity') !== false,
    rate,
    tuning: o.get('tuning') !== false,
  };
};

/** The text of an option; numbers are given as numbers by the parser. */
const textOf = (value: unknown): string | undefined =>
  typeof value === 'string' || typeof value === 'number' ? String(value) : undefined;

const middle = (xs: readonly number[], q: number): number => xs[Math.floor(xs.length * q)] ?? 0;

const always = [
  'runs twice',
  'both run',
  'foreign',
  'reported missing',
  'skips',
  'never allowed',
  'read-back',
];

const print = (r: RunResult, aims: readonly string[]): boolean => {
  for (const n of r.notes) console.log(`  ${n}`);
  console.log(
    `  told: ${[...r.counts]
      .sort()
      .map(([k, n]) => `${k} ${n}`)
      .join(', ')}`,
  );
  const why = [...countFailures(r.records.reported)].sort().map(([k, n]) => `${k} ${n}`);
  if (why.length > 0) console.log(`  not done: ${why.join(', ')}`);
  console.log(
    `  prefix hit share ${r.prefixShare.toFixed(3)}, first chunk median ${middle(r.firstChunkMs, 0.5)} ms, 99th ${middle(r.firstChunkMs, 0.99)} ms`,
  );
  for (const v of r.results) {
    const state = v.breaches.length > 0 ? 'BREACHED' : v.checked === 0 ? 'unproven' : 'kept';
    console.log(`  ${state.padEnd(9)} ${v.rule} (${v.checked} checked)`);
    for (const b of v.breaches.slice(0, 10)) console.log(`            ${b}`);
  }
  const empty = [...always, ...aims].filter(
    (a) => !r.results.some((v) => v.rule.includes(a) && v.checked > 0),
  );
  for (const a of empty) console.log(`  UNPROVEN  the rule this scenario is for: ${a}`);
  return empty.length === 0 && r.results.every((v) => v.breaches.length === 0);
};

const runOne = async (name: string, c: Choices, json: unknown): Promise<boolean> => {
  const s = scenarios.get(name);
  if (!s) throw new BadChoice(`no scenario ${name}; see fleet list`);
  const run = new Run({
    ...c,
    cuts: s.cuts,
    log: 'info',
    chatsPerSecond: c.rate,
    operator: s.still !== true && name !== 'calm',
  });
  console.log(`${name}, ${c.house.name}, seed ${c.seed}: ${s.about}`);
  const result = await run.go((r) => s.during(r));
  if (typeof json === 'string')
    writeFileSync(json, JSON.stringify({ ...result, counts: [...result.counts] }));
  return print(result, s.aims ?? []);
};

const cli = cac('fleet');
const shared = (c: ReturnType<typeof cli.command>): ReturnType<typeof cli.command> =>
  c
    .option('--house <name>', 'seoul or norway')
    .option('--sizes <name>', 'full or small')
    .option('--seed <n>', 'Seed of callers and failures')
    .option('--seconds <n>', 'How long callers keep coming')
    .option('--rate <n>', 'Chats begun a second')
    .option('--no-affinity', 'Place turns without prefix affinity')
    .option('--no-tuning', 'Keep all weights alike')
    .option('--dir <folder>', 'Where settings, logs and data go');

const guarded = async (work: () => Promise<boolean>): Promise<void> => {
  try {
    process.exitCode = (await work()) ? 0 : 1;
  } catch (e) {
    process.stderr.write(`fleet: ${e instanceof Error ? e.message : String(e)}\n`);
    process.exitCode = e instanceof BadChoice ? 2 : 1;
  }
  await closeAsking();
  process.exit();
};

const opts = (o: object): ReadonlyMap<string, unknown> => new Map(Object.entries(o));

cli.command('list', 'Name the scenarios').action(() => {
  for (const [name, s] of scenarios) console.log(`${name.padEnd(18)} ${s.about}`);
});
shared(cli.command('run <scenario>', 'Run a scenario on a whole fleet and check the never-list'))
  .option('--json <file>', 'Write all records to a file')
  .action((name: string, o: object) =>
    guarded(() =>
      runOne(name, choicesOf(opts(o), scenarios.get(name)?.seconds ?? 10), opts(o).get('json')),
    ),
  );
shared(cli.command('all', 'Run every scenario')).action((o: object) =>
  guarded(async () => {
    const bad: string[] = [];
    for (const [name, s] of scenarios)
      if (
        !(await runOne(name, choicesOf(opts(o), s.seconds), undefined).catch(
          (e: unknown) => (console.log(`  failed: ${String(e)}`), false),
        ))
      )
        bad.push(name);
    console.log(
      bad.length === 0
        ? 'every scenario kept the never-list'
        : `breached or failed: ${bad.join(', ')}`,
    );
    return bad.length === 0;
  }),
);
cli
  .command('storms', 'Run simulated storms of every failure, many seeds at once')
  .option('--from <seed>', 'First seed', { default: 1 })
  .option('--count <n>', 'How many seeds', { default: 100 })
  .option('--ms <ms>', 'Simulated length of each', { default: 40000 })
  .option('--faults <kinds>', 'Only these kinds, by commas')
  .option('--jobs <n>', 'Processes at once', { default: 6 })
  .option('--cut', 'Cut a failing seed down to the failures that matter')
  .option('--every <n>', 'Only every n-th seed, one JSON line each, in this process')
  .action((o: object) =>
    guarded(async () => {
      const m = opts(o);
      const findings: string[] = [];
      const num = (name: string, def: number): number => numberOf(name, m.get(name), def, findings);
      const names = m.get('faults');
      const kinds = typeof names === 'string' ? names.split(',') : faultKinds;
      for (const k of kinds)
        if (!faultKinds.includes(k))
          findings.push(`--faults: no kind ${k}; there are ${faultKinds.join(', ')}`);
      const c = {
        from: num('from', 1),
        count: num('count', 100),
        ms: num('ms', 40000),
        kinds,
        cut: m.get('cut') === true,
      };
      const jobs = Math.max(1, num('jobs', 6));
      const every = num('every', 0);
      if (findings.length > 0) throw new BadChoice(findings.join('\n'));
      if (every > 0) {
        await stormSeeds(c, every, (line) => process.stdout.write(`${line}\n`));
        return true;
      }
      return stormsInParallel(c, jobs, (line) => console.log(line));
    }),
  );
cli
  .command(
    'model',
    'Run the model test of the controls: random requests and troubles, each statement checked',
  )
  .option('--runs <n>', 'How many runs', { default: 1000 })
  .option('--seed <n>', 'Seed of the first batch of runs', { default: 1 })
  .option('--longest <n>', 'The longest run, in actions', { default: 40 })
  .option('--except <rules>', 'Look past these rules, by commas')
  .action((o: object) =>
    guarded(async () => {
      const m = opts(o);
      const findings: string[] = [];
      const num = (name: string, def: number): number => numberOf(name, m.get(name), def, findings);
      const names = m.get('except');
      const except =
        typeof names === 'string' ? modelRules.filter((r) => names.split(',').includes(r)) : [];
      const choice = {
        runs: num('runs', 1000),
        seed: num('seed', 1),
        longest: num('longest', 40),
        except,
      };
      if (findings.length > 0) throw new BadChoice(findings.join('\n'));
      return modelRuns(choice, (line) => console.log(line));
    }),
  );
cli
  .command(
    'capacity <sweep>',
    'Sweep one count and fit what it costs; `list` names the sweeps, `all` runs each',
  )
  .option('--sizes <n,n,…>', "Other sizes than the sweep's own")
  .option('--out <folder>', 'Write <sweep>.json and <sweep>.svg there')
  .action((name: string, o: object) =>
    guarded(async () => {
      const m = opts(o);
      const say = (line: string): void => console.log(line);
      if (name === 'list') listSweeps().forEach(say);
      const names = name === 'list' ? [] : name === 'all' ? [...sweeps.keys()] : [name];
      const findings: string[] = [];
      const text = textOf(m.get('sizes'));
      const sizes =
        text === undefined ? [] : text.split(',').map((v) => numberOf('sizes', v, 0, findings));
      if (!names.every((n) => sweeps.has(n)))
        findings.push(`no sweep ${name}; see fleet capacity list`);
      if (findings.length > 0) throw new BadChoice(findings.join('\n'));
      for (const n of names)
        await runSweep({ name: n, sizes, out: textOf(m.get('out')) ?? '' }, say);
      return true;
    }),
  );
cli
  .command('hollow <count>', 'Keep hollow fronts in this process, for the sweeps on real sockets')
  .option('--seed <addr>', 'Address of the control they join')
  .action((count: string, o: object) =>
    guarded(async () => {
      await hollowFronts(Number(count), textOf(opts(o).get('seed')) ?? '');
      return true;
    }),
  );
cli
  .command('soak', 'Real processes that stop, reload and die while clients keep their connections')
  .option('--seed <n>', 'First seed', { default: 1 })
  .option('--count <n>', 'How many seeds', { default: 1 })
  .option('--seconds <n>', 'How long clients send requests', { default: 12 })
  .option('--fronts <n>', 'How many fronts; stores and controls follow', { default: 4 })
  .option('--dir <folder>', 'Where settings, logs and data go')
  .action((o: object) =>
    guarded(async () => {
      const m = opts(o);
      const findings: string[] = [];
      const num = (name: string, def: number): number => numberOf(name, m.get(name), def, findings);
      const choice = {
        seed: num('seed', 1),
        count: num('count', 1),
        sizes: soakSizesOf(num('fronts', 4), num('seconds', 12)),
        dir: textOf(m.get('dir')) ?? join(tmpdir(), `tillerstair-soak-${process.pid}`),
      };
      if (findings.length > 0) throw new BadChoice(findings.join('\n'));
      return soakSeeds(choice, (line) => console.log(line));
    }),
  );
shared(cli.command('up', 'Start a fleet and keep it until interrupted')).action((o: object) =>
  guarded(async () => {
    const c = choicesOf(opts(o), 0);
    const run = new Run({ ...c, cuts: false, log: 'info', chatsPerSecond: 1 });
    const ms = await run.bringUp();
    console.log(`serving after ${ms} ms`);
    for (const kind of ['control', 'store', 'front'] as const)
      for (const m of run.fleet.of(kind)) console.log(`${kind}-${m.n} ${m.addr} http ${m.http}`);
    console.log('ready');
    await new Promise<void>((done) => {
      process.once('SIGINT', done);
      process.once('SIGTERM', done);
    });
    await run.fleet.close();
    return true;
  }),
);
cli.help();
cli.version('0.1.0');
try {
  cli.parse();
  if (!cli.matchedCommand && !cli.options['help'] && !cli.options['version']) {
    process.stderr.write('fleet: name a command; see fleet --help\n');
    process.exitCode = 2;
  }
} catch (e) {
  process.stderr.write(`fleet: ${e instanceof Error ? e.message : String(e)}\n`);
  process.exitCode = 2;
}
