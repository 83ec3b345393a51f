/** All crowds at once against one front: whatever each may take, together they must fit. */
import { suite } from 'uvu';
import { outlastCrowds } from '../support/crowd.js';
import { startCrowdFixture, type CrowdFixture } from '../support/crowd-fixture.js';
import { mixedCrowdsAt } from '../support/mixed-crowds.js';

const mix = suite('all crowds at once');

let fixture: CrowdFixture;

mix.after.each(() => fixture.close());

// Guards against shares of one memory that add up to more than it.
mix('at one front', async () => {
  fixture = await startCrowdFixture();
  await outlastCrowds(fixture, mixedCrowdsAt(fixture, '127.0.0.1', 20));
});

// Guards against the same where half of what a front holds comes through another front.
mix('at two fronts', async () => {
  fixture = await startCrowdFixture({ frontCount: 2 });
  await outlastCrowds(fixture, [
    ...mixedCrowdsAt(fixture, '127.0.0.1', 12),
    ...mixedCrowdsAt(fixture, '127.0.0.5', 12),
  ]);
});

mix.run();
