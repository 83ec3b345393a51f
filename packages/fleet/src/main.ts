#!/usr/bin/env node
/** The `fleet` program: scenarios and soaks on real processes, simulated storms, the model test and capacity sweeps. */
import { writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import cac from 'cac';
import { countFailures } from '@tillerstair/checker';
import { closeHttpConnections } from './operator.js';
import { fullSizes, norway, seoul, smallSizes, type Site, type FleetSizes } from './layout.js';
import { ScenarioRun, type RunResult } from './run.js';
import { scenarios } from './scenarios.js';
import { listSweeps, runSweep, sweeps } from './capacity-run.js';
import { runIdleFronts } from './capacity-sockets.js';
import { faultKinds, modelRules } from '@tillerstair/sim';
import { modelRuns } from './model.js';
import { soakSeeds, soakSizesOf } from './soak/soak-seeds.js';
import { stormSeeds, stormsInParallel } from './storms.js';

/** The options that the commands on a whole fleet share. */
interface Choices {
  readonly house: Site;
  readonly sizes: FleetSizes;
  readonly seed: number;
  readonly seconds: number;
  readonly dir: string;
  readonly affinity: boolean;
  readonly rate: number;
  readonly tuning: boolean;
}

/** An invalid option or argument; the program exits with status 2. */
class InvalidOptionError extends Error {}

/** Parses a numeric option; a value that is not a number from 0 up is added to `findings`. */
const numberOf = (name: string, value: unknown, fallback: number, findings: string[]): number => {
  if (value === undefined) return fallback;
  const parsed = Number(value);
  if (!Number.isFinite(parsed) || parsed < 0) findings.push(`--${name}: must be a number`);
  return parsed;
};

const choicesOf = (options: ReadonlyMap<string, unknown>, seconds: number): Choices => {
  const findings: string[] = [];
  const house = new Map([
    ['seoul', seoul],
    ['norway', norway],
  ]).get(textOf(options.get('house')) ?? 'seoul');
  const sizes = new Map([
    ['full', fullSizes],
    ['small', smallSizes],
  ]).get(textOf(options.get('sizes')) ?? 'full');
  if (!house) findings.push('--house: must be seoul or norway');
  if (!sizes) findings.push('--sizes: must be full or small');
  const seed = numberOf('seed', options.get('seed'), 1, findings);
  const duration = numberOf('seconds', options.get('seconds'), seconds, findings);
  const rate = numberOf('rate', options.get('rate'), 12, findings);
  if (findings.length > 0 || !house || !sizes) throw new InvalidOptionError(findings.join('\n'));
  const dir = textOf(options.get('dir')) ?? join(tmpdir(), `tillerstair-fleet-${process.pid}`);
  return {
    house,
    sizes,
    seed,
    seconds: duration,
    dir,
    affinity: options.get('affinity') !== false,
    rate,
    tuning: options.get('tuning') !== false,
  };
};

/** The text of an option, which the parser has converted to a number if it looks like one. */
const textOf = (value: unknown): string | undefined =>
  typeof value === 'string' || typeof value === 'number' ? String(value) : undefined;

/** The value at the quantile `q` of an ascending list; 0 if it is empty. */
const quantile = (sorted: readonly number[], q: number): number =>
  sorted[Math.floor(sorted.length * q)] ?? 0;

/** Parts of the names of rules that every scenario must have checked. */
const alwaysRequired = [
  'runs twice',
  'both run',
  'foreign',
  'reported missing',
  'skips',
  'never allowed',
  'read-back',
];

/** Prints the notes, counts and rules of a run; returns whether every rule was kept and every required one checked. */
const printResult = (result: RunResult, requiredRules: readonly string[]): boolean => {
  for (const note of result.notes) console.log(`  ${note}`);
  console.log(
    `  outcomes: ${[...result.counts]
      .sort()
      .map(([name, count]) => `${name} ${count}`)
      .join(', ')}`,
  );
  const failures = [...countFailures(result.records.reported)]
    .sort()
    .map(([name, count]) => `${name} ${count}`);
  if (failures.length > 0) console.log(`  failures: ${failures.join(', ')}`);
  console.log(
    `  prefix hit share ${result.prefixShare.toFixed(3)}, first chunk median ${quantile(result.firstChunkMs, 0.5)} ms, 99th ${quantile(result.firstChunkMs, 0.99)} ms`,
  );
  for (const rule of result.results) {
    const status = rule.breaches.length > 0 ? 'BREACHED' : rule.checked === 0 ? 'unproven' : 'kept';
    console.log(`  ${status.padEnd(9)} ${rule.rule} (${rule.checked} checked)`);
    for (const breach of rule.breaches.slice(0, 10)) console.log(`            ${breach}`);
  }
  const unchecked = [...alwaysRequired, ...requiredRules].filter(
    (required) => !result.results.some((rule) => rule.rule.includes(required) && rule.checked > 0),
  );
  for (const required of unchecked)
    console.log(`  UNPROVEN  no record was checked against the required rule: ${required}`);
  return unchecked.length === 0 && result.results.every((rule) => rule.breaches.length === 0);
};

const runOne = async (name: string, choices: Choices, json: unknown): Promise<boolean> => {
  const scenario = scenarios.get(name);
  if (!scenario) throw new InvalidOptionError(`unknown scenario ${name}; see fleet list`);
  const run = new ScenarioRun({
    ...choices,
    withRelay: scenario.withRelay,
    log: 'info',
    chatsPerSecond: choices.rate,
    operator: scenario.keepsConfig !== true && name !== 'calm',
  });
  console.log(`${name}, ${choices.house.name}, seed ${choices.seed}: ${scenario.about}`);
  const result = await run.execute((r) => scenario.run(r));
  if (typeof json === 'string')
    writeFileSync(json, JSON.stringify({ ...result, counts: [...result.counts] }));
  return printResult(result, scenario.requiredRules ?? []);
};

const cli = cac('fleet');
const withFleetOptions = (
  command: ReturnType<typeof cli.command>,
): ReturnType<typeof cli.command> =>
  command
    .option('--house <name>', 'seoul or norway')
    .option('--sizes <name>', 'full or small')
    .option('--seed <n>', 'Seed of callers and faults')
    .option('--seconds <n>', 'How long callers start new chats')
    .option('--rate <n>', 'New chats per second')
    .option('--no-affinity', 'Place turns without prefix affinity')
    .option('--no-tuning', 'Do not tune server weights')
    .option('--dir <folder>', 'Folder for settings, logs and data');

const runCommand = async (work: () => Promise<boolean>): Promise<void> => {
  try {
    process.exitCode = (await work()) ? 0 : 1;
  } catch (error) {
    process.stderr.write(`fleet: ${error instanceof Error ? error.message : String(error)}\n`);
    process.exitCode = error instanceof InvalidOptionError ? 2 : 1;
  }
  await closeHttpConnections();
  process.exit();
};

const optionsOf = (options: object): ReadonlyMap<string, unknown> =>
  new Map(Object.entries(options));

cli.command('list', 'Name the scenarios').action(() => {
  for (const [name, scenario] of scenarios) console.log(`${name.padEnd(18)} ${scenario.about}`);
});
withFleetOptions(
  cli.command(
    'run <scenario>',
    'Run a scenario on a whole fleet and check the rules of the never-list',
  ),
)
  .option('--json <file>', 'Write all records to this file as JSON')
  .action((name: string, options: object) =>
    runCommand(() =>
      runOne(
        name,
        choicesOf(optionsOf(options), scenarios.get(name)?.seconds ?? 10),
        optionsOf(options).get('json'),
      ),
    ),
  );
withFleetOptions(cli.command('all', 'Run every scenario')).action((options: object) =>
  runCommand(async () => {
    const failed: string[] = [];
    for (const [name, scenario] of scenarios)
      if (
        !(await runOne(name, choicesOf(optionsOf(options), scenario.seconds), undefined).catch(
          (error: unknown) => (console.log(`  failed: ${String(error)}`), false),
        ))
      )
        failed.push(name);
    console.log(
      failed.length === 0
        ? 'every scenario kept the never-list'
        : `breached or failed: ${failed.join(', ')}`,
    );
    return failed.length === 0;
  }),
);
cli
  .command('storms', 'Run simulated storms of all kinds of faults, many seeds at once')
  .option('--from <seed>', 'First seed', { default: 1 })
  .option('--count <n>', 'How many seeds', { default: 100 })
  .option('--ms <ms>', 'Simulated length of each storm, in ms', { default: 40000 })
  .option('--faults <kinds>', 'Only these kinds of faults, separated by commas')
  .option('--jobs <n>', 'Number of parallel processes', { default: 6 })
  .option('--cut', 'Reduce a failing seed to the faults that the failure needs')
  .option('--every <n>', 'Run only every n-th seed, in this process, and print one JSON line each')
  .action((options: object) =>
    runCommand(async () => {
      const values = optionsOf(options);
      const findings: string[] = [];
      const numberOption = (name: string, fallback: number): number =>
        numberOf(name, values.get(name), fallback, findings);
      const names = values.get('faults');
      const kinds = typeof names === 'string' ? names.split(',') : faultKinds;
      for (const kind of kinds)
        if (!faultKinds.includes(kind))
          findings.push(`--faults: unknown kind ${kind}; the kinds are ${faultKinds.join(', ')}`);
      const choice = {
        from: numberOption('from', 1),
        count: numberOption('count', 100),
        ms: numberOption('ms', 40000),
        kinds,
        cut: values.get('cut') === true,
      };
      const jobs = Math.max(1, numberOption('jobs', 6));
      const every = numberOption('every', 0);
      if (findings.length > 0) throw new InvalidOptionError(findings.join('\n'));
      if (every > 0) {
        await stormSeeds(choice, every, (line) => process.stdout.write(`${line}\n`));
        return true;
      }
      return stormsInParallel(choice, jobs, (line) => console.log(line));
    }),
  );
cli
  .command(
    'model',
    'Run the model test of the controls: random requests and disturbances, each statement checked',
  )
  .option('--runs <n>', 'How many runs', { default: 1000 })
  .option('--seed <n>', 'Seed of the first batch of runs', { default: 1 })
  .option('--longest <n>', 'Length of the longest run, in actions', { default: 40 })
  .option('--except <rules>', 'Ignore these rules, separated by commas')
  .action((options: object) =>
    runCommand(async () => {
      const values = optionsOf(options);
      const findings: string[] = [];
      const numberOption = (name: string, fallback: number): number =>
        numberOf(name, values.get(name), fallback, findings);
      const names = values.get('except');
      const except =
        typeof names === 'string' ? modelRules.filter((r) => names.split(',').includes(r)) : [];
      const choice = {
        runs: numberOption('runs', 1000),
        seed: numberOption('seed', 1),
        longest: numberOption('longest', 40),
        except,
      };
      if (findings.length > 0) throw new InvalidOptionError(findings.join('\n'));
      return modelRuns(choice, (line) => console.log(line));
    }),
  );
cli
  .command(
    'capacity <sweep>',
    'Vary one count, measure the costs and fit a line to each; `list` names the sweeps, `all` runs each',
  )
  .option('--sizes <n,n,…>', "Sizes to run in place of the sweep's own")
  .option('--out <folder>', 'Write <sweep>.json and <sweep>.svg to this folder')
  .action((name: string, options: object) =>
    runCommand(async () => {
      const values = optionsOf(options);
      const report = (line: string): void => console.log(line);
      if (name === 'list') listSweeps().forEach(report);
      const names = name === 'list' ? [] : name === 'all' ? [...sweeps.keys()] : [name];
      const findings: string[] = [];
      const text = textOf(values.get('sizes'));
      const sizes =
        text === undefined ? [] : text.split(',').map((v) => numberOf('sizes', v, 0, findings));
      if (!names.every((sweep) => sweeps.has(sweep)))
        findings.push(`unknown sweep ${name}; see fleet capacity list`);
      if (findings.length > 0) throw new InvalidOptionError(findings.join('\n'));
      for (const sweep of names)
        await runSweep({ name: sweep, sizes, out: textOf(values.get('out')) ?? '' }, report);
      return true;
    }),
  );
cli
  .command(
    'hollow <count>',
    'Run fronts without traffic in this process, for the sweeps on real sockets',
  )
  .option('--seed <addr>', 'Address of the control that the fronts join')
  .action((count: string, options: object) =>
    runCommand(async () => {
      await runIdleFronts(Number(count), textOf(optionsOf(options).get('seed')) ?? '');
      return true;
    }),
  );
cli
  .command('soak', 'Stop, reload and kill real processes while clients keep their connections')
  .option('--seed <n>', 'First seed', { default: 1 })
  .option('--count <n>', 'How many seeds', { default: 1 })
  .option('--seconds <n>', 'How long clients send requests', { default: 12 })
  .option('--fronts <n>', 'How many fronts; the numbers of stores and controls depend on it', {
    default: 4,
  })
  .option('--dir <folder>', 'Folder for settings, logs and data')
  .action((options: object) =>
    runCommand(async () => {
      const values = optionsOf(options);
      const findings: string[] = [];
      const numberOption = (name: string, fallback: number): number =>
        numberOf(name, values.get(name), fallback, findings);
      const choice = {
        seed: numberOption('seed', 1),
        count: numberOption('count', 1),
        sizes: soakSizesOf(numberOption('fronts', 4), numberOption('seconds', 12)),
        dir: textOf(values.get('dir')) ?? join(tmpdir(), `tillerstair-soak-${process.pid}`),
      };
      if (findings.length > 0) throw new InvalidOptionError(findings.join('\n'));
      return soakSeeds(choice, (line) => console.log(line));
    }),
  );
withFleetOptions(cli.command('up', 'Start a fleet and keep it until interrupted')).action(
  (options: object) =>
    runCommand(async () => {
      const choices = choicesOf(optionsOf(options), 0);
      const run = new ScenarioRun({ ...choices, withRelay: false, log: 'info', chatsPerSecond: 1 });
      const elapsedMs = await run.startFleet();
      console.log(`serving after ${elapsedMs} ms`);
      for (const kind of ['control', 'store', 'front'] as const)
        for (const machine of run.fleet.machinesOf(kind))
          console.log(`${kind}-${machine.n} ${machine.addr} http ${machine.http}`);
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
} catch (error) {
  process.stderr.write(`fleet: ${error instanceof Error ? error.message : String(error)}\n`);
  process.exitCode = 2;
}
