/** Seeded storms in worker threads: no breach of the never-list, every rule checked, every fault applied. */
import { Worker } from 'node:worker_threads';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { faultKinds } from '@tillerstair/sim';

const storms = suite('storms of all faults, by seed');
const threads = 4;

const StormsResult = z.object({
  checkedRules: z.array(z.string()),
  appliedFaults: z.array(z.string()),
});
type StormsResult = z.infer<typeof StormsResult>;

/** Runs the storms of some seeds in a worker thread; rejects at the first breach. */
const runInThread = (seeds: readonly number[]): Promise<StormsResult> =>
  new Promise((done, fail) => {
    const worker = new Worker(new URL('./storm-worker.js', import.meta.url), { workerData: seeds });
    worker.once('message', (message) => done(StormsResult.parse(message)));
    worker.once('error', fail);
    worker.once('exit', (code) =>
      fail(
        new Error(
          `seeds ${seeds.join(', ')}: the worker exited with code ${code} and without a result`,
        ),
      ),
    );
  });

const addStormTest = (name: string, seeds: readonly number[]): void => {
  storms(name, async () => {
    const seedsByThread = Array.from({ length: Math.min(threads, seeds.length) }, (_, thread) =>
      seeds.filter((_seed, i) => i % threads === thread),
    );
    const results = await Promise.all(seedsByThread.map(runInThread));
    if (seeds.length < 10) return;
    const checkedRules = new Set(results.flatMap((result) => result.checkedRules));
    const appliedFaults = new Set(results.flatMap((result) => result.appliedFaults));
    assert.is(checkedRules.size, 22);
    assert.equal(
      faultKinds.filter((fault) => !appliedFaults.has(fault)),
      [],
    );
  });
};

addStormTest(
  'seeded storms keep the never-list, check every rule and apply every fault',
  Array.from({ length: 25 }, (_, i) => i + 1),
);
addStormTest('eight fronts', [100]);

storms.run();
