/** Storms of many seeds. */
import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { checkRecords } from '@tillerstair/checker';
import { deploymentOf, faultKinds, faultPlanFor, Storm, type PlannedFault } from '@tillerstair/sim';
import split2 from 'split2';
import { z } from 'zod';

/** Which storms to run: seeds, length in ms, kinds of faults, and whether a failing one is cut down. */
export interface StormChoice {
  readonly from: number;
  readonly count: number;
  readonly ms: number;
  readonly kinds: readonly string[];
  readonly cut: boolean;
}

/** What came of one storm; `breach` is empty if it kept every rule. */
interface StormResult {
  readonly seed: number;
  readonly breach: string;
  readonly log: readonly string[];
  readonly checked: ReadonlyMap<string, number>;
  readonly struck: readonly string[];
}

const Row = z.object({
  seed: z.number(),
  breach: z.string(),
  log: z.array(z.string()),
  few: z.array(z.string()),
  struck: z.array(z.string()),
  checked: z.array(z.tuple([z.string(), z.number()])),
});

/** Runs one storm; never throws. */
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
      .flatMap((v) => v.breaches.map((b) => `${v.rule}: ${b}`))
      .slice(0, 3)
      .join('; ');
    return {
      seed,
      breach,
      log: storm.log,
      checked: new Map(results.map((v) => [v.rule, v.checked])),
      struck: [...storm.appliedFaults],
    };
  } catch (e) {
    return {
      seed,
      breach: e instanceof Error ? e.message : String(e),
      log: storm.log,
      checked: new Map(),
      struck: [],
    };
  }
};

/** The faults of a plan without which the storm no longer fails. */
const cutDown = async (
  seed: number,
  ms: number,
  plan: readonly PlannedFault[],
): Promise<readonly PlannedFault[]> => {
  let left = plan;
  for (
    let size = Math.ceil(left.length / 2);
    size >= 1;
    size = size === 1 ? 0 : Math.ceil(size / 2)
  ) {
    for (let i = 0; i < left.length;) {
      const out = left.slice(i, i + size).reduce((n, p) => n + p.gap, 0);
      const rest = left.slice(i + size).map((p, k) => (k === 0 ? { ...p, gap: p.gap + out } : p));
      const fewer = [...left.slice(0, i), ...rest];
      if (fewer.length < left.length && (await stormOnce(seed, ms, fewer)).breach !== '')
        left = fewer;
      else i += size;
    }
  }
  return left;
};

/** Runs every n-th seed in this process, a line of JSON for each. */
export const stormSeeds = async (
  c: StormChoice,
  every: number,
  say: (line: string) => void,
): Promise<void> => {
  for (let seed = c.from; seed < c.from + c.count; seed += every) {
    const plan = faultPlanFor(seed, c.ms, c.kinds);
    const v = await stormOnce(seed, c.ms, plan);
    const few = v.breach !== '' && c.cut ? await cutDown(seed, c.ms, plan) : [];
    say(
      JSON.stringify({
        seed,
        breach: v.breach,
        log: v.breach === '' ? [] : v.log,
        few: few.map((p) => `${p.index}:${p.fault}`),
        struck: v.struck,
        checked: [...v.checked],
      }),
    );
  }
};

const main = fileURLToPath(new URL('main.js', import.meta.url));

/** Runs all seeds in several processes; true if every rule was kept. */
export const stormsInParallel = async (
  c: StormChoice,
  jobs: number,
  say: (line: string) => void,
): Promise<boolean> => {
  const checked = new Map<string, number>();
  const struck = new Map<string, number>();
  let kept = 0;
  let broken = 0;
  await Promise.all(
    Array.from({ length: jobs }, (_, k) => {
      if (k >= c.count) return Promise.resolve();
      const args = [
        main,
        'storms',
        '--from',
        String(c.from + k),
        '--count',
        String(c.count - k),
        '--ms',
        String(c.ms),
        '--faults',
        c.kinds.join(','),
        '--every',
        String(jobs),
      ];
      const child = spawn(process.execPath, [...args, ...(c.cut ? ['--cut'] : [])], {
        stdio: ['ignore', 'pipe', 'inherit'],
      });
      child.stdout.pipe(split2()).on('data', (line: string) => {
        const v = Row.parse(JSON.parse(line));
        for (const [r, n] of v.checked) checked.set(r, (checked.get(r) ?? 0) + n);
        for (const f of v.struck) struck.set(f, (struck.get(f) ?? 0) + 1);
        if (v.breach === '') {
          kept++;
          return;
        }
        broken++;
        say(
          `seed ${v.seed}: ${v.breach}\n  ${v.log.join(' | ')}${v.few.length > 0 ? `\n  what matters: ${v.few.join(', ')}` : ''}`,
        );
      });
      return new Promise<void>((done) => {
        child.on('close', (code) => {
          if (code !== 0) broken++;
          done();
        });
      });
    }),
  );
  for (const [r, n] of checked) say(`  ${String(n).padStart(8)} checked: ${r}`);
  say(`  struck: ${faultKinds.map((f) => `${f} ${struck.get(f) ?? 0}`).join(', ')}`);
  say(`${kept} of ${c.count} seeds kept every rule`);
  return broken === 0 && kept === c.count;
};
