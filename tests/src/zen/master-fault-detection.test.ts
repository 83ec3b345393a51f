/** Nodes fault detection: how a master tracks its members, and when it steps down. */
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
  const harness = await MasterHarness.started({ newest: withStore });
  harness.peer('s').refusing = true;
  await harness.clock.run(bounds.heartbeatInterval);
  assert.ok(harness.master.committed?.nodes.has('s'), 'after one refusal');
  await harness.clock.run(bounds.heartbeatInterval / 10 + roundTrip * 2);
  assert.not(harness.master.committed?.nodes.has('s'));
});

faults('refusals with an answer between them do not add up', async () => {
  const harness = await MasterHarness.started({ newest: withStore });
  for (let i = 0; i < 3; i++) {
    const pingsBefore = harness.sentOf('zen/node-ping', 's').length;
    harness.peer('s').refusing = true;
    await harness.clock.until(
      'a refused ping',
      () => harness.sentOf('zen/node-ping', 's').length > pingsBefore,
      bounds.heartbeatInterval * 2,
    );
    harness.peer('s').refusing = false;
    await harness.clock.run(bounds.heartbeatInterval / 2);
  }
  assert.ok(harness.master.committed?.nodes.has('s'));
});

faults('another node at the address of a member counts as its failure', async () => {
  const harness = await MasterHarness.started({ newest: withStore });
  harness.peer('s').on('zen/node-ping', () => {
    throw new ElectionError('other-node', 'this is another node');
  });
  await harness.clock.run(bounds.heartbeatInterval * 2);
  assert.not(harness.master.committed?.nodes.has('s'));
});

faults(
  'a member that does not reply is removed from the list after the failure timeout',
  async () => {
    const harness = await MasterHarness.started({ newest: withStore });
    harness.peer('s').silent = true;
    await harness.clock.run(bounds.failureTimeout);
    assert.ok(harness.master.committed?.nodes.has('s'));
    await harness.clock.run(bounds.failureTimeout + bounds.heartbeatInterval);
    assert.not(harness.master.committed?.nodes.has('s'));
    const pingsBefore = harness.sentOf('zen/node-ping', 's').length;
    await harness.clock.run(bounds.failureTimeout * 2);
    assert.is(
      harness.sentOf('zen/node-ping', 's').length,
      pingsBefore,
      'a removed store is no longer pinged',
    );
  },
);

faults('a voter removed from the list is still pinged, and is not removed again', async () => {
  const harness = await MasterHarness.started();
  harness.peer('c').refusing = true;
  await harness.clock.run(bounds.heartbeatInterval * 2);
  assert.not(harness.master.committed?.nodes.has('c'));
  const version = harness.master.committed?.version;
  const pingsBefore = harness.sentOf('zen/node-ping', 'c').length;
  await harness.clock.run(bounds.failureTimeout * 2);
  assert.is(harness.master.committed?.version, version);
  assert.ok(harness.sentOf('zen/node-ping', 'c').length > pingsBefore);
});

faults('a member whose connection is lost is pinged immediately', async () => {
  const harness = await MasterHarness.started({ newest: withStore });
  await harness.clock.run(roundTrip * 2);
  const pingsBefore = harness.sentOf('zen/node-ping', 's').length;
  harness.master.onConnectionLost('s');
  await harness.clock.run(roundTrip);
  assert.is(harness.sentOf('zen/node-ping', 's').length, pingsBefore + 1);
});

faults('a member that applied an older state is sent the committed one', async () => {
  const harness = await MasterHarness.started({ newest: withStore });
  harness.peer('s').applied = noVersion;
  await harness.clock.run(bounds.heartbeatInterval + roundTrip * 3);
  const laterPublishes = harness.sentOf('zen/publish', 's').slice(1);
  assert.ok(laterPublishes.length > 0);
  assert.ok(laterPublishes.every(isFull));
  assert.ok(harness.sentOf('zen/commit', 's').length > 1);
});

faults('a member that applied the committed state is not sent it again', async () => {
  const harness = await MasterHarness.elected({ newest: withStore });
  for (const id of ['b', 'c', 's']) harness.peer(id).applied = { term, version: newestVersion + 1 };
  await harness.outcome(harness.begin());
  await harness.clock.run(bounds.heartbeatInterval * 3);
  assert.is(harness.sentOf('zen/publish', 's').length, 1);
});

faults('a member in a later term ends the mastership', async () => {
  const harness = await MasterHarness.started({ newest: withStore });
  harness.peer('s').term = term + 1;
  await harness.clock.run(bounds.heartbeatInterval + roundTrip);
  assert.ok(harness.master.lost.aborted);
});

faults('a master whose disk accepts no writes steps down', async () => {
  const harness = await MasterHarness.started();
  harness.electionStore.writable = false;
  await harness.clock.run(bounds.heartbeatInterval / 4);
  assert.ok(harness.master.lost.aborted);
});

faults('a master without replies of a majority for the failure timeout steps down', async () => {
  const harness = await MasterHarness.started();
  await harness.clock.run(bounds.heartbeatInterval * 4);
  harness.peer('b').silent = true;
  await harness.clock.run(bounds.failureTimeout * 2);
  assert.not(harness.master.lost.aborted, 'one voter still replies');
  harness.peer('c').silent = true;
  await harness.clock.run(bounds.failureTimeout - bounds.heartbeatInterval);
  assert.not(harness.master.lost.aborted);
  await harness.clock.run(bounds.heartbeatInterval * 2);
  assert.ok(harness.master.lost.aborted);
});

for (const silentGroup of ['current', 'next'] as const)
  faults(
    `during a voting change a majority of the ${silentGroup} voters has to reply as well`,
    async () => {
      const voters = { current: ['a', 'b', 'c'], next: ['a', 'd', 'e'] };
      const harness = await MasterHarness.elected({ newest: stateWith(voters) });
      await harness.outcome(harness.begin());
      // The publish that completes the change waits for the silent voters, so the change stays joint.
      for (const id of voters[silentGroup]) harness.peer(id).silent = true;
      const silentFor = bounds.heartbeatInterval * 1.2;
      await harness.clock.run(silentFor);
      assert.equal(harness.master.committed?.voters, voters);
      assert.ok(harness.master.onMasterPing(pingOf('f')).age >= silentFor);
    },
  );

faults('a member that joins with a later term ends the mastership', async () => {
  const harness = await MasterHarness.started();
  assert.is(await harness.outcome(harness.master.onJoin(joinOf('s', term + 1))), 'not-master no');
  assert.ok(harness.master.lost.aborted);
  assert.not(harness.master.committed?.nodes.has('s'));
});

faults('a node that does not validate its join is not listed', async () => {
  const harness = await MasterHarness.started();
  harness.peer('s').on('zen/validate', () => {
    throw new ElectionError('not-joining', 'this node is not joining that master');
  });
  assert.is(await harness.outcome(harness.master.onJoin(joinOf('s'))), 'not-joining no');
  assert.not(harness.master.committed?.nodes.has('s'));
});

faults(
  'a node that joins is listed and sent the full state before its join is answered',
  async () => {
    const harness = await MasterHarness.started();
    assert.is(await harness.outcome(harness.master.onJoin(joinOf('s'))), 'done');
    assert.ok(harness.master.committed?.nodes.has('s'));
    assert.ok(harness.sentOf('zen/publish', 's').every(isFull));
    assert.ok(harness.sentOf('zen/commit', 's').length > 0);
  },
);

faults('only reports of listed members are passed on', async () => {
  const harness = await MasterHarness.started({ newest: stateWith(threeVoters, [front]) });
  harness.reports.length = 0;
  assert.is(harness.master.onMasterPing(pingOf('unlisted')).listed, false);
  assert.equal(harness.reports, []);
  assert.is(harness.master.onMasterPing(pingOf('f')).listed, true);
  assert.equal(harness.reports, ['f']);
});

faults('a master that stepped down tells its followers and ignores their reports', async () => {
  const harness = await MasterHarness.started({ newest: stateWith(threeVoters, [front]) });
  harness.master.stepDown('test');
  harness.reports.length = 0;
  assert.is(harness.master.onMasterPing(pingOf('f')).leading, false);
  assert.equal(harness.reports, []);
});

faults('the age sent to followers is the time since the last contact with a majority', async () => {
  const harness = await MasterHarness.started({ newest: stateWith(threeVoters, [front]) });
  harness.peer('b').silent = true;
  harness.peer('c').silent = true;
  const ageBefore = harness.master.onMasterPing(pingOf('f')).age;
  await harness.clock.run(bounds.heartbeatInterval);
  const ageAfter = harness.master.onMasterPing(pingOf('f')).age;
  assert.ok(
    ageAfter >= ageBefore + bounds.heartbeatInterval,
    `${ageBefore} ms, then ${ageAfter} ms`,
  );
});

faults('a ping of another master ends the mastership only in a later term', async () => {
  const harness = await MasterHarness.started();
  harness.master.onPingFromAnotherMaster(term, 'b');
  harness.master.onPingFromAnotherMaster(term - 1, 'b');
  assert.not(harness.master.lost.aborted);
  harness.master.onPingFromAnotherMaster(term + 1, 'b');
  assert.ok(harness.master.lost.aborted);
});

faults('a member is responsive for two heartbeats after its last reply', async () => {
  const harness = await MasterHarness.started();
  assert.ok(harness.master.isResponsive('a'));
  assert.not(harness.master.isResponsive('nobody'));
  await harness.clock.run(bounds.heartbeatInterval);
  assert.ok(harness.master.isResponsive('b'));
  harness.peer('b').silent = true;
  await harness.clock.run(bounds.heartbeatInterval * 3);
  assert.not(harness.master.isResponsive('b'));
  assert.ok(harness.master.isResponsive('a'));
});

faults(
  'the time without a reply counts from the last reply, or else from the election',
  async () => {
    const harness = await MasterHarness.started();
    const sinceElection = harness.master.unresponsiveFor('nobody');
    await harness.clock.run(bounds.heartbeatInterval);
    assert.is(harness.master.unresponsiveFor('nobody'), sinceElection + bounds.heartbeatInterval);
    assert.ok(harness.master.unresponsiveFor('b') <= bounds.heartbeatInterval);
  },
);

faults(
  'a member counts as synced only while it is known to have the committed state on disk',
  async () => {
    const harness = await MasterHarness.started();
    assert.ok(harness.master.holdsCommitted('a'));
    assert.ok(harness.master.holdsCommitted('b'));
    assert.not(harness.master.holdsCommitted('nobody'));
    harness.peer('b').on('zen/publish', () => {
      throw new UnavailableError('unavailable', 'not synced');
    });
    await harness.outcome(
      harness.master.submit((state) => reduceState(state, { kind: 'join', member: store })),
    );
    assert.not(harness.master.holdsCommitted('b'));
  },
);

faults('only members that reply in the term of the master count as reached', async () => {
  const harness = await MasterHarness.started();
  harness.peer('c').term = term - 1;
  harness.peer('d').silent = true;
  const reached = await harness.clock.finish(
    'the pings',
    harness.master.pingPeers(['a', 'b', 'c', 'd'].map((id) => memberOf(id))),
    bounds.heartbeatInterval + roundTrip,
  );
  assert.equal([...reached], ['a', 'b']);
});

faults('a mastership ends once', async () => {
  const harness = await MasterHarness.started();
  harness.master.stepDown('first reason');
  harness.master.stepDown('second reason');
  assert.is(harness.warnings.length, 1);
  assert.match(harness.warnings[0] ?? '', 'first reason');
});

faults('a master that stepped down no longer pings its members', async () => {
  const harness = await MasterHarness.started({ newest: withStore });
  harness.master.stepDown('test');
  await harness.clock.run(roundTrip);
  const sentBefore = harness.sent.length;
  await harness.clock.run(bounds.failureTimeout * 2);
  assert.is(harness.sent.length, sentBefore);
  assert.is(await outcomeOf(harness.master.submit((state) => state)), 'not-master no');
});

faults.run();
