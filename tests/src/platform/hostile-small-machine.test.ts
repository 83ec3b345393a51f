/** All crowds at once against a front whose heap may take more memory than its machine has. */
import { suite } from 'uvu';
import { outlastCrowds } from '../support/crowd.js';
import { startCrowdFixture, type CrowdFixture } from '../support/crowd-fixture.js';
import { mixedCrowdsAt } from '../support/mixed-crowds.js';

const small = suite('all crowds at once at a small machine');

let fixture: CrowdFixture;

small.after.each(() => fixture.close());

// Guards against a heap that grows with its garbage beyond a machine that has less memory than the heap's limit.
small('the front stays within its machine', async () => {
  fixture = await startCrowdFixture({ machineMb: 168, heapMb: 200 });
  await outlastCrowds(fixture, mixedCrowdsAt(fixture, '127.0.0.1', 20));
});

small.run();
