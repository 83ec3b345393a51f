/** Runs the model test in batches, one seed each; a failing batch prints its smallest failing run. */
import { checkControlModel, type ModelCheckOptions } from '@tillerstair/sim';

const batchSize = 100;

/** Makes all runs of a choice, continues after a failing batch, and resolves with whether none failed. */
export const modelRuns = async (
  choice: ModelCheckOptions,
  say: (line: string) => void,
): Promise<boolean> => {
  let runsMade = 0;
  let checked = 0;
  let failedBatches = 0;
  for (let seed = choice.seed; runsMade < choice.runs; seed++) {
    const runs = Math.min(batchSize, choice.runs - runsMade);
    const result = await checkControlModel({ ...choice, seed, runs });
    runsMade += runs;
    checked += result.checked;
    if (!result.failed) continue;
    failedBatches++;
    say(
      `seed ${seed}: ${result.failed.findings.map((finding) => `${finding.rule}: ${finding.text}`).join('; ')}`,
    );
    say(`  smallest failing run: ${JSON.stringify(result.failed.run)}`);
  }
  say(
    `${runsMade} runs, ${checked} statements checked, ${failedBatches} batches with a broken rule`,
  );
  return failedBatches === 0;
};
