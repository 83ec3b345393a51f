/** All crowds at once against one front with the heap of the deploy file. */
import { suite } from 'uvu';
import { outlastCrowds } from '../support/crowd.js';
import { startCrowdFixture, type CrowdFixture } from '../support/crowd-fixture.js';
import { mixedCrowdsAt } from '../support/mixed-crowds.js';

const mix = suite('all crowds at once at the heap of the deploy file');

let fixture: CrowdFixture;

mix.after.each(() => fixture.close());

// Guards against data in the heap and buffers outside it that each fit, but not together.
mix('at a front with the heap of the deploy file', async () => {
  fixture = await startCrowdFixture({ machineMb: 310, heapMb: 200 });
  await outlastCrowds(fixture, mixedCrowdsAt(fixture, '127.0.0.1', 20));
});

mix.run();
