/** Runs simulated storms of many seeds, in this process or in several. */
import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { checkRecords } from '@tillerstair/checker';
import { deploymentOf, faultKinds, faultPlanFor, Storm, type PlannedFault } from '@tillerstair/sim';
import split2 from 'split2';
import { z } from 'zod';

/** The storms to run. */
export interface StormChoice {
  /** The first seed. */
  readonly from: number;
  readonly count: number;
  /** Simulated length of each storm, in ms. */
  readonly ms: number;
  /** The kinds of faults that are injected. */
  readonly kinds: readonly string[];
  /** Whether the plan of a failing seed is reduced to the faults that are needed for the failure. */
  readonly cut: boolean;
}

/** The outcome of one storm. */
interface StormResult {
  readonly seed: number;
  /** The first broken rules, or the error that ended the storm; empty if every rule was kept. */
  readonly breach: string;
  readonly log: readonly string[];
  /** Number of records that each rule checked. */
  readonly checked: ReadonlyMap<string, number>;
  /** The kinds of faults that took effect. */
  readonly injectedFaults: readonly string[];
}

/**
 * A line of JSON that `storms --every` prints for each seed. `few` are the faults that a failure needs, `struck` the
 * kinds of faults that took effect.
 */
const Row = z.object({
  seed: z.number(),
  breach: z.string(),
  log: z.array(z.string()),
  few: z.array(z.string()),
  struck: z.array(z.string()),
  checked: z.array(z.tuple([z.string(), z.number()])),
});

/** Runs one storm; never throws: an error is reported as its breach. */
const stormOnce = async (
  seed: number,
  ms: number,
  plan: readonly PlannedFault[],
): Promise<StormResult> => {
  const storm = new Storm({
    seed,
    sizes: deploymentOf(seed),
    ms,
    plan,
    concurrentChats: seed % 10 === 0 ? 80 : 40,
  });
  try {
    const results = checkRecords(await storm.run());
    const breach = results
      .flatMap((result) => result.breaches.map((text) => `${result.rule}: ${text}`))
      .slice(0, 3)
      .join('; ');
    return {
      seed,
      breach,
      log: storm.log,
      checked: new Map(results.map((result) => [result.rule, result.checked])),
      injectedFaults: [...storm.appliedFaults],
    };
  } catch (error) {
    return {
      seed,
      breach: error instanceof Error ? error.message : String(error),
      log: storm.log,
      checked: new Map(),
      injectedFaults: [],
    };
  }
};

/**
 * Removes parts of a failing plan, of half its size down to single faults, as long as the storm still fails; returns
 * the rest. The pause before a removed fault is added to the next one's, so that the others keep their times.
 */
const cutDown = async (
  seed: number,
  ms: number,
  plan: readonly PlannedFault[],
): Promise<readonly PlannedFault[]> => {
  let remaining = plan;
  for (
    let size = Math.ceil(remaining.length / 2);
    size >= 1;
    size = size === 1 ? 0 : Math.ceil(size / 2)
  ) {
    for (let start = 0; start < remaining.length;) {
      const removedGap = remaining
        .slice(start, start + size)
        .reduce((total, fault) => total + fault.gap, 0);
      const after = remaining
        .slice(start + size)
        .map((fault, i) => (i === 0 ? { ...fault, gap: fault.gap + removedGap } : fault));
      const shorterPlan = [...remaining.slice(0, start), ...after];
      if (
        shorterPlan.length < remaining.length &&
        (await stormOnce(seed, ms, shorterPlan)).breach !== ''
      )
        remaining = shorterPlan;
      else start += size;
    }
  }
  return remaining;
};

/** Runs every n-th seed (`every`) in this process, and reports a line of JSON for each. */
export const stormSeeds = async (
  choice: StormChoice,
  every: number,
  report: (line: string) => void,
): Promise<void> => {
  for (let seed = choice.from; seed < choice.from + choice.count; seed += every) {
    const plan = faultPlanFor(seed, choice.ms, choice.kinds);
    const result = await stormOnce(seed, choice.ms, plan);
    const neededFaults =
      result.breach !== '' && choice.cut ? await cutDown(seed, choice.ms, plan) : [];
    report(
      JSON.stringify({
        seed,
        breach: result.breach,
        log: result.breach === '' ? [] : result.log,
        few: neededFaults.map((fault) => `${fault.index}:${fault.fault}`),
        struck: result.injectedFaults,
        checked: [...result.checked],
      }),
    );
  }
};

/** The program that the child processes run. */
const main = fileURLToPath(new URL('main.js', import.meta.url));

/** Runs all seeds in `jobs` child processes; resolves with whether every seed kept every rule. */
export const stormsInParallel = async (
  choice: StormChoice,
  jobs: number,
  report: (line: string) => void,
): Promise<boolean> => {
  const checked = new Map<string, number>();
  const faultCounts = new Map<string, number>();
  let keptSeeds = 0;
  let failures = 0;
  await Promise.all(
    Array.from({ length: jobs }, (_, job) => {
      if (job >= choice.count) return Promise.resolve();
      const args = [
        main,
        'storms',
        '--from',
        String(choice.from + job),
        '--count',
        String(choice.count - job),
        '--ms',
        String(choice.ms),
        '--faults',
        choice.kinds.join(','),
        '--every',
        String(jobs),
      ];
      const child = spawn(process.execPath, [...args, ...(choice.cut ? ['--cut'] : [])], {
        stdio: ['ignore', 'pipe', 'inherit'],
      });
      child.stdout.pipe(split2()).on('data', (line: string) => {
        const row = Row.parse(JSON.parse(line));
        for (const [rule, count] of row.checked)
          checked.set(rule, (checked.get(rule) ?? 0) + count);
        for (const fault of row.struck) faultCounts.set(fault, (faultCounts.get(fault) ?? 0) + 1);
        if (row.breach === '') {
          keptSeeds++;
          return;
        }
        failures++;
        report(
          `seed ${row.seed}: ${row.breach}\n  ${row.log.join(' | ')}${row.few.length > 0 ? `\n  faults needed: ${row.few.join(', ')}` : ''}`,
        );
      });
      return new Promise<void>((done) => {
        child.on('close', (code) => {
          if (code !== 0) failures++;
          done();
        });
      });
    }),
  );
  for (const [rule, count] of checked) report(`  ${String(count).padStart(8)} checked: ${rule}`);
  report(
    `  faults that took effect: ${faultKinds.map((fault) => `${fault} ${faultCounts.get(fault) ?? 0}`).join(', ')}`,
  );
  report(`${keptSeeds} of ${choice.count} seeds kept every rule`);
  return failures === 0 && keptSeeds === choice.count;
};
