/** Nodes fault detection: how a master tracks its members, and when it gives its mastership up. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { reduceState } from '@tillerstair/state';
import { ElectionError, UnavailableError } from '@tillerstair/wire';
import {
  bounds,
  isFull,
  MasterHarness,
  memberOf,
  newestVersion,
  noVersion,
  outcomeOf,
  roundTrip,
  stateWith,
  term,
  threeVoters,
} from './master-harness.js';

const faults = suite('fault detection of a master');

const store = memberOf('s', 'store');
const front = memberOf('f', 'front');
const withStore = stateWith(threeVoters, [store]);

const joinOf = (id: string, joinTerm = term) => ({
  from: memberOf(id, 'store'),
  term: joinTerm,
  accepted: noVersion,
  clusterId: 'cluster',
});

const pingOf = (id: string) => ({
  from: memberOf(id, 'front'),
  term,
  applied: { term, version: newestVersion + 1 },
  report: null,
});

faults('a member that refuses its connection twice in a row has failed', async () => {
  const rig = await MasterHarness.started({ newest: withStore });
  rig.peer('s').refusing = true;
  await rig.clock.run(bounds.heartbeatInterval);
  assert.ok(rig.master.committed?.nodes.has('s'), 'after one refusal');
  await rig.clock.run(bounds.heartbeatInterval / 10 + roundTrip * 2);
  assert.not(rig.master.committed?.nodes.has('s'));
});

faults('refusals with an answer between them do not add up', async () => {
  const rig = await MasterHarness.started({ newest: withStore });
  for (let i = 0; i < 3; i++) {
    const pinged = rig.sentOf('zen/node-ping', 's').length;
    rig.peer('s').refusing = true;
    await rig.clock.until(
      'a refused ping',
      () => rig.sentOf('zen/node-ping', 's').length > pinged,
      bounds.heartbeatInterval * 2,
    );
    rig.peer('s').refusing = false;
    await rig.clock.run(bounds.heartbeatInterval / 2);
  }
  assert.ok(rig.master.committed?.nodes.has('s'));
});

faults('another node at the address of a member counts as its failure', async () => {
  const rig = await MasterHarness.started({ newest: withStore });
  rig.peer('s').on('zen/node-ping', () => {
    throw new ElectionError('other-node', 'this is another node');
  });
  await rig.clock.run(bounds.heartbeatInterval * 2);
  assert.not(rig.master.committed?.nodes.has('s'));
});

faults('a silent member is kept for the failure timeout, then taken off the list', async () => {
  const rig = await MasterHarness.started({ newest: withStore });
  rig.peer('s').silent = true;
  await rig.clock.run(bounds.failureTimeout);
  assert.ok(rig.master.committed?.nodes.has('s'));
  await rig.clock.run(bounds.failureTimeout + bounds.heartbeatInterval);
  assert.not(rig.master.committed?.nodes.has('s'));
  const pinged = rig.sentOf('zen/node-ping', 's').length;
  await rig.clock.run(bounds.failureTimeout * 2);
  assert.is(rig.sentOf('zen/node-ping', 's').length, pinged, 'it is not watched any more');
});

faults('a voter that is off the list is watched on, and not taken off again', async () => {
  const rig = await MasterHarness.started();
  rig.peer('c').refusing = true;
  await rig.clock.run(bounds.heartbeatInterval * 2);
  assert.not(rig.master.committed?.nodes.has('c'));
  const version = rig.master.committed?.version;
  const pinged = rig.sentOf('zen/node-ping', 'c').length;
  await rig.clock.run(bounds.failureTimeout * 2);
  assert.is(rig.master.committed?.version, version);
  assert.ok(rig.sentOf('zen/node-ping', 'c').length > pinged);
});

faults('a lost connection is followed by a ping at once', async () => {
  const rig = await MasterHarness.started({ newest: withStore });
  await rig.clock.run(roundTrip * 2);
  const pinged = rig.sentOf('zen/node-ping', 's').length;
  rig.master.onConnectionLost('s');
  await rig.clock.run(roundTrip);
  assert.is(rig.sentOf('zen/node-ping', 's').length, pinged + 1);
});

faults('a member that applied an older state is sent the committed one', async () => {
  const rig = await MasterHarness.started({ newest: withStore });
  rig.peer('s').applied = noVersion;
  await rig.clock.run(bounds.heartbeatInterval + roundTrip * 3);
  const later = rig.sentOf('zen/publish', 's').slice(1);
  assert.ok(later.length > 0);
  assert.ok(later.every(isFull));
  assert.ok(rig.sentOf('zen/commit', 's').length > 1);
});

faults('a member that applied the committed state is sent nothing', async () => {
  const rig = await MasterHarness.elected({ newest: withStore });
  for (const id of ['b', 'c', 's']) rig.peer(id).applied = { term, version: newestVersion + 1 };
  await rig.outcome(rig.begin());
  await rig.clock.run(bounds.heartbeatInterval * 3);
  assert.is(rig.sentOf('zen/publish', 's').length, 1);
});

faults('a member in a later term ends the mastership', async () => {
  const rig = await MasterHarness.started({ newest: withStore });
  rig.peer('s').term = term + 1;
  await rig.clock.run(bounds.heartbeatInterval + roundTrip);
  assert.ok(rig.master.lost.aborted);
});

faults('a master whose own disk takes no writes steps down', async () => {
  const rig = await MasterHarness.started();
  rig.electionStore.writable = false;
  await rig.clock.run(bounds.heartbeatInterval / 4);
  assert.ok(rig.master.lost.aborted);
});

faults('a master that hears no majority for the failure timeout steps down', async () => {
  const rig = await MasterHarness.started();
  await rig.clock.run(bounds.heartbeatInterval * 4);
  rig.peer('b').silent = true;
  await rig.clock.run(bounds.failureTimeout * 2);
  assert.not(rig.master.lost.aborted, 'one voter still replies');
  rig.peer('c').silent = true;
  await rig.clock.run(bounds.failureTimeout - bounds.heartbeatInterval);
  assert.not(rig.master.lost.aborted);
  await rig.clock.run(bounds.heartbeatInterval * 2);
  assert.ok(rig.master.lost.aborted);
});

for (const silentGroup of ['current', 'next'] as const)
  faults(
    `during a voting change the ${silentGroup} voters have to be heard of as well`,
    async () => {
      const voters = { current: ['a', 'b', 'c'], next: ['a', 'd', 'e'] };
      const rig = await MasterHarness.elected({ newest: stateWith(voters) });
      await rig.outcome(rig.begin());
      // The publish that completes the change waits for the silent voters, so that the change stays joint.
      for (const id of voters[silentGroup]) rig.peer(id).silent = true;
      const silentFor = bounds.heartbeatInterval * 1.2;
      await rig.clock.run(silentFor);
      assert.equal(rig.master.committed?.voters, voters);
      assert.ok(rig.master.onMasterPing(pingOf('f')).age >= silentFor);
    },
  );

faults('a member that joins with a later term ends the mastership', async () => {
  const rig = await MasterHarness.started();
  assert.is(await rig.outcome(rig.master.onJoin(joinOf('s', term + 1))), 'not-master no');
  assert.ok(rig.master.lost.aborted);
  assert.not(rig.master.committed?.nodes.has('s'));
});

faults('a node that does not validate its join is not listed', async () => {
  const rig = await MasterHarness.started();
  rig.peer('s').on('zen/validate', () => {
    throw new ElectionError('not-joining', 'this node is not joining you');
  });
  assert.is(await rig.outcome(rig.master.onJoin(joinOf('s'))), 'not-joining no');
  assert.not(rig.master.committed?.nodes.has('s'));
});

faults('a node that joins is listed and sent the full state before it is told', async () => {
  const rig = await MasterHarness.started();
  assert.is(await rig.outcome(rig.master.onJoin(joinOf('s'))), 'done');
  assert.ok(rig.master.committed?.nodes.has('s'));
  assert.ok(rig.sentOf('zen/publish', 's').every(isFull));
  assert.ok(rig.sentOf('zen/commit', 's').length > 0);
});

faults('only what a listed member reports counts', async () => {
  const rig = await MasterHarness.started({ newest: stateWith(threeVoters, [front]) });
  rig.reports.length = 0;
  assert.is(rig.master.onMasterPing(pingOf('unlisted')).listed, false);
  assert.equal(rig.reports, []);
  assert.is(rig.master.onMasterPing(pingOf('f')).listed, true);
  assert.equal(rig.reports, ['f']);
});

faults('a master that stepped down says so to its followers and takes no reports', async () => {
  const rig = await MasterHarness.started({ newest: stateWith(threeVoters, [front]) });
  rig.master.stepDown('test');
  rig.reports.length = 0;
  assert.is(rig.master.onMasterPing(pingOf('f')).leading, false);
  assert.equal(rig.reports, []);
});

faults('the age told to followers is that of the last contact with a majority', async () => {
  const rig = await MasterHarness.started({ newest: stateWith(threeVoters, [front]) });
  rig.peer('b').silent = true;
  rig.peer('c').silent = true;
  const before = rig.master.onMasterPing(pingOf('f')).age;
  await rig.clock.run(bounds.heartbeatInterval);
  const after = rig.master.onMasterPing(pingOf('f')).age;
  assert.ok(after >= before + bounds.heartbeatInterval, `${before} ms, then ${after} ms`);
});

faults('a ping of another master counts only with a later term', async () => {
  const rig = await MasterHarness.started();
  rig.master.onPingFromAnotherMaster(term, 'b');
  rig.master.onPingFromAnotherMaster(term - 1, 'b');
  assert.not(rig.master.lost.aborted);
  rig.master.onPingFromAnotherMaster(term + 1, 'b');
  assert.ok(rig.master.lost.aborted);
});

faults('a member counts as heard of for two heartbeats', async () => {
  const rig = await MasterHarness.started();
  assert.ok(rig.master.isResponsive('a'));
  assert.not(rig.master.isResponsive('nobody'));
  await rig.clock.run(bounds.heartbeatInterval);
  assert.ok(rig.master.isResponsive('b'));
  rig.peer('b').silent = true;
  await rig.clock.run(bounds.heartbeatInterval * 3);
  assert.not(rig.master.isResponsive('b'));
  assert.ok(rig.master.isResponsive('a'));
});

faults('a member is unresponsive since its last answer, or else since the election', async () => {
  const rig = await MasterHarness.started();
  const sinceElection = rig.master.unresponsiveFor('nobody');
  await rig.clock.run(bounds.heartbeatInterval);
  assert.is(rig.master.unresponsiveFor('nobody'), sinceElection + bounds.heartbeatInterval);
  assert.ok(rig.master.unresponsiveFor('b') <= bounds.heartbeatInterval);
});

faults('a member is synced only while it is known to hold the committed state', async () => {
  const rig = await MasterHarness.started();
  assert.ok(rig.master.holdsCommitted('a'));
  assert.ok(rig.master.holdsCommitted('b'));
  assert.not(rig.master.holdsCommitted('nobody'));
  rig.peer('b').on('zen/publish', () => {
    throw new UnavailableError('unavailable', 'not synced');
  });
  await rig.outcome(
    rig.master.submit((state) => reduceState(state, { kind: 'join', member: store })),
  );
  assert.not(rig.master.holdsCommitted('b'));
});

faults('only members that reply in the term of the master are reached', async () => {
  const rig = await MasterHarness.started();
  rig.peer('c').term = term - 1;
  rig.peer('d').silent = true;
  const reached = await rig.clock.finish(
    'the pings',
    rig.master.pingPeers(['a', 'b', 'c', 'd'].map((id) => memberOf(id))),
    bounds.heartbeatInterval + roundTrip,
  );
  assert.equal([...reached], ['a', 'b']);
});

faults('a mastership ends once', async () => {
  const rig = await MasterHarness.started();
  rig.master.stepDown('first reason');
  rig.master.stepDown('second reason');
  assert.is(rig.warnings.length, 1);
  assert.match(rig.warnings[0] ?? '', 'first reason');
});

faults('a master that stepped down pings no member any more', async () => {
  const rig = await MasterHarness.started({ newest: withStore });
  rig.master.stepDown('test');
  await rig.clock.run(roundTrip);
  const sent = rig.sent.length;
  await rig.clock.run(bounds.failureTimeout * 2);
  assert.is(rig.sent.length, sent);
  assert.is(await outcomeOf(rig.master.submit((state) => state)), 'not-master no');
});

faults.run();
