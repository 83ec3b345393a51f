/** Long series of runs of the model test, in batches of seeds; every failing batch prints its least run. */
import { checkControlModel, type ModelCheckOptions } from '@tillerstair/sim';

const batchSize = 100;

/** Makes all runs of a choice, goes on after a failing one, and returns whether none failed. */
export const modelRuns = async (
  choice: ModelCheckOptions,
  say: (line: string) => void,
): Promise<boolean> => {
  let made = 0;
  let checked = 0;
  let failed = 0;
  for (let seed = choice.seed; made < choice.runs; seed++) {
    const runs = Math.min(batchSize, choice.runs - made);
    const result = await checkControlModel({ ...choice, seed, runs });
    made += runs;
    checked += result.checked;
    if (!result.failed) continue;
    failed++;
    say(`seed ${seed}: ${result.failed.findings.map((f) => `${f.rule}: ${f.text}`).join('; ')}`);
    say(`  least run: ${JSON.stringify(result.failed.run)}`);
  }
  say(`${made} runs, ${checked} statements checked, ${failed} batches of seeds with a broken rule`);
  return failed === 0;
};
