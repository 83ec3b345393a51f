/** Time until a change is in force while fronts leave: at most one read lease, however many of them leave. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { reduceState, type State } from '@tillerstair/state';
import {
  bounds,
  MasterHarness,
  memberOf,
  outcomeOf,
  roundTrip,
  stateWith,
  threeVoters,
} from './master-harness.js';

const barrier = suite('changes while fronts leave');

const fronts = ['f', 'g', 'h', 'i', 'j', 'k'] as const;
const leaveEveryMs = bounds.readLease / 2;

const addStore = (state: State): State =>
  reduceState(state, { kind: 'join', member: memberOf('s', 'store') });
const leave =
  (id: string) =>
  (state: State): State =>
    reduceState(state, { kind: 'leave', id });

/** A master with several fronts, one read lease after its election. */
const masterWithFronts = async (): Promise<MasterHarness> => {
  const members = fronts.map((id) => memberOf(id, 'front'));
  const harness = await MasterHarness.started({ newest: stateWith(threeVoters, members) });
  await harness.clock.run(bounds.readLease);
  return harness;
};

barrier(
  'fronts that leave one after the other delay a change by at most one read lease',
  async () => {
    const harness = await masterWithFronts();
    const [first, ...others] = fronts;
    await harness.clock.finish('leave', harness.master.submit(leave(first)), bounds.publishTimeout);
    const change = harness.master.submit(addStore);
    const committed = await harness.clock.finish('change', change, bounds.publishTimeout);
    const committedAt = harness.clock.now();
    const inForce = outcomeOf(harness.master.waitUntilInForce(committed));
    for (const id of others) {
      await harness.clock.run(leaveEveryMs);
      void harness.master.submit(leave(id)).catch(() => undefined);
    }
    assert.is(await harness.clock.finish('in force', inForce, roundTrip), 'done');
    assert.ok(harness.clock.now() - committedAt >= bounds.readLease - roundTrip * 10);
  },
);

barrier(
  'a change is in force one read lease after its commit even if fronts keep leaving',
  async () => {
    const harness = await masterWithFronts();
    const change = harness.master.submit(addStore);
    const committed = await harness.clock.finish('change', change, bounds.publishTimeout);
    const committedAt = harness.clock.now();
    const tookMs = outcomeOf(harness.master.waitUntilInForce(committed)).then(
      () => harness.clock.now() - committedAt,
    );
    for (const id of fronts) {
      void harness.master.submit(leave(id)).catch(() => undefined);
      await harness.clock.run(leaveEveryMs);
    }
    const took = await harness.clock.finish('in force', tookMs, bounds.readLease * fronts.length);
    assert.ok(took <= bounds.readLease + roundTrip * 2, `${took} ms`);
  },
);

barrier(
  'a front that released its lease before leaving delays no change; one that kept it does',
  async () => {
    for (const leaseReleased of [true, false]) {
      const harness = await masterWithFronts();
      const [first, ...others] = fronts;
      for (const id of others)
        await harness.clock.finish(
          'leave',
          harness.master.submit(leave(id)),
          bounds.publishTimeout,
        );
      await harness.clock.run(bounds.readLease);
      if (leaseReleased) harness.master.noteLeaseReleased(first);
      const left = harness.master.submit(leave(first));
      const committed = await harness.clock.finish('leave', left, bounds.publishTimeout);
      const committedAt = harness.clock.now();
      await harness.clock.finish(
        'in force',
        harness.master.waitUntilInForce(committed),
        bounds.readLease * 2,
      );
      const took = harness.clock.now() - committedAt;
      assert.is(took < roundTrip, leaseReleased, `${took} ms`);
    }
  },
);

barrier.run();
