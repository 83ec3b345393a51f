/** Runs the storms of some seeds in a worker thread; posts the checked rules and the applied faults. Fails at a breach. */
import { parentPort, workerData } from 'node:worker_threads';
import { z } from 'zod';
import { deploymentOf, faultKinds, faultPlanFor, Storm } from '@tillerstair/sim';
import { checkRecords } from '@tillerstair/checker';
import { assertNoBreach } from '../support/world-helpers.js';

const stormMs = 40000;

const runSeed = async (
  seed: number,
  checkedRules: Set<string>,
  appliedFaults: Set<string>,
): Promise<void> => {
  const storm = new Storm({
    seed,
    sizes: deploymentOf(seed),
    ms: stormMs,
    plan: faultPlanFor(seed, stormMs, faultKinds),
    concurrentChats: 40,
  });
  try {
    const records = await storm.run();
    assertNoBreach(records);
    for (const result of checkRecords(records))
      if (result.checked > 0) checkedRules.add(result.rule);
    for (const fault of storm.appliedFaults) appliedFaults.add(fault);
  } catch (error) {
    throw new Error(`seed ${seed}: ${storm.log.join(' | ')}\n${String(error)}`);
  }
};

const checkedRules = new Set<string>();
const appliedFaults = new Set<string>();
for (const seed of z.array(z.number()).parse(workerData))
  await runSeed(seed, checkedRules, appliedFaults);
parentPort?.postMessage({ checkedRules: [...checkedRules], appliedFaults: [...appliedFaults] });
