/** How a node that stops, and a master that gave up, notify the others. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { leaveCluster, notifySteppedDown } from '@tillerstair/zen';
import {
  bounds,
  MasterHarness,
  memberOf,
  roundTrip,
  stateWith,
  threeVoters,
} from './master-harness.js';

const departures = suite('departures');

departures('a node that stops asks its master to take it off the list', async () => {
  const rig = await MasterHarness.elected();
  const parts = { me: memberOf('a'), clock: rig.clock, transport: rig.transport, bounds };
  await rig.clock.finish('leave', leaveCluster(parts, memberOf('b'), undefined), roundTrip);
  assert.equal(
    rig.sent.map(({ to, kind, body }) => ({ to, kind, body })),
    [{ to: 'b', kind: 'zen/leave', body: { from: memberOf('a') } }],
  );
});

departures('a master that stops commits its own leave first', async () => {
  const rig = await MasterHarness.started();
  const parts = { me: memberOf('a'), clock: rig.clock, transport: rig.transport, bounds };
  await rig.clock.finish('leave', leaveCluster(parts, undefined, rig.master), roundTrip);
  assert.not(rig.master.committed?.nodes.has('a'));
});

departures('a master that stops waits one heartbeat at most for its own leave', async () => {
  const rig = await MasterHarness.started();
  for (const id of ['b', 'c']) rig.peer(id).silent = true;
  const parts = { me: memberOf('a'), clock: rig.clock, transport: rig.transport, bounds };
  const outcome = await rig.outcome(
    leaveCluster(parts, undefined, rig.master),
    bounds.heartbeatInterval,
  );
  assert.is(outcome, 'request-timeout unknown');
});

departures('a master that gave up notifies all members but itself', async () => {
  const rig = await MasterHarness.elected({
    newest: stateWith(threeVoters, [memberOf('s', 'store')]),
  });
  rig.peer('b').refusing = true;
  notifySteppedDown({ localMember: memberOf('a'), transport: rig.transport, bounds }, rig.newest);
  await rig.clock.run(roundTrip);
  assert.equal(
    rig.sent.map(({ to, kind }) => [to, kind]),
    ['b', 'c', 's'].map((id) => [id, 'zen/stepped-down']),
  );
});

departures('a master that never committed a state notifies nobody', async () => {
  const rig = await MasterHarness.elected();
  notifySteppedDown({ localMember: memberOf('a'), transport: rig.transport, bounds }, undefined);
  await rig.clock.run(roundTrip);
  assert.is(rig.sent.length, 0);
});

departures.run();
