import { Worker } from 'node:worker_threads';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { faultKinds } from '@tillerstair/sim';

const storms = suite('storms of every failure, by seed');
const threads = 4;

const StormsResult = z.object({ proven: z.array(z.string()), struck: z.array(z.string()) });
type StormsResult = z.infer<typeof StormsResult>;

/** Runs the storms of some seeds in a thread of its own; fails with the first breach. */
const runInThread = (seeds: readonly number[]): Promise<StormsResult> =>
  new Promise((done, fail) => {
    const worker = new Worker(new URL('./storm-worker.js', import.meta.url), { workerData: seeds });
    worker.once('message', (message) => done(StormsResult.parse(message)));
    worker.once('error', fail);
    worker.once('exit', (code) =>
      fail(new Error(`seeds ${seeds.join(', ')}: the thread ended with ${code} and no result`)),
    );
  });

const part = (name: string, seeds: readonly number[]): void => {
  storms(name, async () => {
    const shares = Array.from({ length: Math.min(threads, seeds.length) }, (_, t) =>
      seeds.filter((_seed, i) => i % threads === t),
    );
    const results = await Promise.all(shares.map(runInThread));
    if (seeds.length < 10) return;
    const proven = new Set(results.flatMap((r) => r.proven));
    const struck = new Set(results.flatMap((r) => r.struck));
    assert.is(proven.size, 21);
    assert.equal(
      faultKinds.filter((f) => !struck.has(f)),
      [],
    );
  });
};

part(
  'the never-list is kept in seeded storms, every rule is checked, every failure struck',
  Array.from({ length: 24 }, (_, i) => i + 1),
);
part('eight fronts', [100]);

storms.run();
