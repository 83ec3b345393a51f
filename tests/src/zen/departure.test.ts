/** How a node that stops, and a master that has stepped down, notify the other nodes. */
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

departures('a node that stops asks its master to remove it from the nodes', async () => {
  const harness = await MasterHarness.elected();
  const options = { me: memberOf('a'), clock: harness.clock, transport: harness.transport, bounds };
  await harness.clock.finish('leave', leaveCluster(options, memberOf('b'), undefined), roundTrip);
  assert.equal(
    harness.sent.map(({ to, kind, body }) => ({ to, kind, body })),
    [{ to: 'b', kind: 'zen/leave', body: { from: memberOf('a') } }],
  );
});

departures('a master that stops commits its own leave first', async () => {
  const harness = await MasterHarness.started();
  const options = { me: memberOf('a'), clock: harness.clock, transport: harness.transport, bounds };
  await harness.clock.finish('leave', leaveCluster(options, undefined, harness.master), roundTrip);
  assert.not(harness.master.committed?.nodes.has('a'));
});

departures('a master that stops waits one heartbeat at most for its own leave', async () => {
  const harness = await MasterHarness.started();
  for (const id of ['b', 'c']) harness.peer(id).silent = true;
  const options = { me: memberOf('a'), clock: harness.clock, transport: harness.transport, bounds };
  const outcome = await harness.outcome(
    leaveCluster(options, undefined, harness.master),
    bounds.heartbeatInterval,
  );
  assert.is(outcome, 'request-timeout unknown');
});

departures('a master that stepped down notifies all members but itself', async () => {
  const harness = await MasterHarness.elected({
    newest: stateWith(threeVoters, [memberOf('s', 'store')]),
  });
  harness.peer('b').refusing = true;
  notifySteppedDown(
    { localMember: memberOf('a'), transport: harness.transport, bounds },
    harness.newest,
  );
  await harness.clock.run(roundTrip);
  assert.equal(
    harness.sent.map(({ to, kind }) => [to, kind]),
    ['b', 'c', 's'].map((id) => [id, 'zen/stepped-down']),
  );
});

departures('a master that never committed a state notifies nobody', async () => {
  const harness = await MasterHarness.elected();
  notifySteppedDown(
    { localMember: memberOf('a'), transport: harness.transport, bounds },
    undefined,
  );
  await harness.clock.run(roundTrip);
  assert.is(harness.sent.length, 0);
});

departures.run();
