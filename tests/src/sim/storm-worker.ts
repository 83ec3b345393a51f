/** Runs storms for some seeds in a thread of its own and posts what was proven and struck, or the first breach. */
import { parentPort, workerData } from 'node:worker_threads';
import { z } from 'zod';
import { deploymentOf, faultKinds, faultPlanFor, Storm } from '@tillerstair/sim';
import { checkRecords } from '@tillerstair/checker';
import { assertNoBreach } from '../support/world-helpers.js';

const stormMs = 40000;

const runSeed = async (seed: number, proven: Set<string>, struck: Set<string>): Promise<void> => {
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
    for (const v of checkRecords(records)) if (v.checked > 0) proven.add(v.rule);
    for (const f of storm.appliedFaults) struck.add(f);
  } catch (e) {
    throw new Error(`seed ${seed}: ${storm.log.join(' | ')}\n${String(e)}`);
  }
};

const proven = new Set<string>();
const struck = new Set<string>();
for (const seed of z.array(z.number()).parse(workerData)) await runSeed(seed, proven, struck);
parentPort?.postMessage({ proven: [...proven], struck: [...struck] });
