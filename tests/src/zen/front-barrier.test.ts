/** How long a change waits for fronts that leave: at most for one read lease, however many of them leave. */
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

/** A master with several fronts, after the read lease of its election has run out. */
const masterWithFronts = async (): Promise<MasterHarness> => {
  const members = fronts.map((id) => memberOf(id, 'front'));
  const rig = await MasterHarness.started({ newest: stateWith(threeVoters, members) });
  await rig.clock.run(bounds.readLease);
  return rig;
};

barrier(
  'fronts that leave one after the other hold a change up for one read lease only',
  async () => {
    const rig = await masterWithFronts();
    const [first, ...others] = fronts;
    await rig.clock.finish('leave', rig.master.submit(leave(first)), bounds.publishTimeout);
    const change = rig.master.submit(addStore);
    const committed = await rig.clock.finish('change', change, bounds.publishTimeout);
    const from = rig.clock.now();
    const inForce = outcomeOf(rig.master.waitUntilInForce(committed));
    for (const id of others) {
      await rig.clock.run(leaveEveryMs);
      void rig.master.submit(leave(id)).catch(() => undefined);
    }
    assert.is(await rig.clock.finish('in force', inForce, roundTrip), 'done');
    assert.ok(rig.clock.now() - from >= bounds.readLease - roundTrip * 10);
  },
);

barrier(
  'a change is in force one read lease after its commit though fronts go on leaving',
  async () => {
    const rig = await masterWithFronts();
    const change = rig.master.submit(addStore);
    const committed = await rig.clock.finish('change', change, bounds.publishTimeout);
    const from = rig.clock.now();
    const tookMs = outcomeOf(rig.master.waitUntilInForce(committed)).then(
      () => rig.clock.now() - from,
    );
    for (const id of fronts) {
      void rig.master.submit(leave(id)).catch(() => undefined);
      await rig.clock.run(leaveEveryMs);
    }
    const took = await rig.clock.finish('in force', tookMs, bounds.readLease * fronts.length);
    assert.ok(took <= bounds.readLease + roundTrip * 2, `${took} ms`);
  },
);

barrier('a front that left without its lease holds nothing up; one that kept it does', async () => {
  for (const leaseReleased of [true, false]) {
    const rig = await masterWithFronts();
    const [first, ...others] = fronts;
    for (const id of others)
      await rig.clock.finish('leave', rig.master.submit(leave(id)), bounds.publishTimeout);
    await rig.clock.run(bounds.readLease);
    if (leaseReleased) rig.master.noteLeaseReleased(first);
    const left = rig.master.submit(leave(first));
    const committed = await rig.clock.finish('leave', left, bounds.publishTimeout);
    const from = rig.clock.now();
    await rig.clock.finish(
      'in force',
      rig.master.waitUntilInForce(committed),
      bounds.readLease * 2,
    );
    const took = rig.clock.now() - from;
    assert.is(took < roundTrip, leaseReleased, `${took} ms`);
  }
});

barrier.run();
