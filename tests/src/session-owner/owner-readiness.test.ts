/**
 * A session owner serves only with a state, a configuration and a read lease, and only slots that it owns, that are
 * open and for which it accepts requests.
 */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { PassTurn } from '@tillerstair/session-owner';
import { codeOf, SessionOwnerFixture } from '../support/session-owner-fixture.js';

const readiness = suite('readiness of the session owner');

const turn = (change: Partial<PassTurn> = {}): PassTurn => ({
  t: 'pass',
  status: 'done',
  after: '',
  cost: 4,
  input: '',
  output: '',
  ...change,
});

readiness('no request is served without a state, a configuration and a read lease', async () => {
  const fixture = new SessionOwnerFixture();
  assert.is(await codeOf(() => fixture.owner.requireLease()), 'not-ready');
  assert.is(await codeOf(() => fixture.owner.slotFor('p/x')), 'not-ready');
  assert.is(await codeOf(() => fixture.owner.findTurn('r0')), 'not-ready');
  fixture.owner.renewLease(fixture.clock.now());
  assert.is(await codeOf(() => fixture.owner.requireLease()), 'not-ready');
  fixture.change({ config: undefined });
  assert.is(await codeOf(() => fixture.owner.requireLease()), 'not-ready');
  const served = await SessionOwnerFixture.opened();
  assert.is(await codeOf(() => served.owner.requireLease()), 'no error');
  served.leaseMs = 0;
  assert.is(await codeOf(() => served.owner.requireLease()), 'not-ready');
});

readiness('readiness gives the reason why the owner is not ready', async () => {
  const fixture = await SessionOwnerFixture.opened();
  assert.is(fixture.owner.readiness().ready, true);
  fixture.change({ retiring: new Map([['f1', '']]) });
  assert.equal(fixture.owner.readiness(), { ready: false, why: 'being drained' });
  fixture.change({ nodes: new Map([...fixture.current.nodes].filter(([id]) => id !== 'f1')) });
  assert.equal(fixture.owner.readiness(), { ready: false, why: 'not listed in the cluster state' });
  fixture.leaseMs = 0;
  assert.equal(fixture.owner.readiness(), {
    ready: false,
    why: 'the control link is down and its read lease ran out',
  });
  const withoutState = new SessionOwnerFixture();
  assert.equal(withoutState.owner.readiness(), { ready: false, why: 'no committed state yet' });
  withoutState.change({ config: undefined });
  assert.equal(withoutState.owner.readiness(), { ready: false, why: 'no configuration yet' });
});

readiness(
  'a slot is served only by its owner, from when it is open until the owner stops accepting requests',
  async () => {
    const fixture = new SessionOwnerFixture();
    fixture.down.add('a').add('b');
    fixture.change({});
    await fixture.clock.run(100);
    assert.is(await codeOf(() => fixture.owner.replicator('p/x')), 'taking-over');
    fixture.down.clear();
    await fixture.waitForSlotOpen();
    fixture.owner.stopAccepting();
    assert.is(await codeOf(() => fixture.owner.replicator('p/x')), 'taking-over');
    const other = await SessionOwnerFixture.opened();
    other.changeSlot({ owner: 'f2', ownershipEpoch: 2, ownedSinceEpoch: 2 });
    assert.is(await codeOf(() => other.owner.replicator('p/x')), 'not-owner');
  },
);

readiness('an owner that lost a slot and regains it opens it again from the stores', async () => {
  const fixture = await SessionOwnerFixture.opened();
  const replicator = fixture.owner.replicator('p/x');
  fixture.changeSlot({ ownershipEpoch: 2 });
  await fixture.waitForSlotOpen();
  assert.is(fixture.owner.replicator('p/x'), replicator);
  fixture.changeSlot({ ownershipEpoch: 4, ownedSinceEpoch: 4 });
  await fixture.waitForSlotOpen();
  assert.is.not(fixture.owner.replicator('p/x'), replicator);
  assert.is(replicator.isOpen, false);
});

readiness('an older renewal does not shorten the lease', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.owner.renewLease(-100000);
  assert.is(fixture.owner.leaseValid, true);
});

readiness('the watch of a node is aborted when the node leaves the cluster', async () => {
  const fixture = await SessionOwnerFixture.opened();
  const watch = fixture.owner.watch('a');
  fixture.change({});
  assert.is(watch.lost.aborted, false);
  fixture.change({ nodes: new Map([...fixture.current.nodes].filter(([id]) => id !== 'a')) });
  assert.is(watch.lost.aborted, true);
});

readiness(
  'a request may run at a server only with a lease, a route and a listed server that is not draining',
  async () => {
    const fixture = await SessionOwnerFixture.opened();
    const server = fixture.current.servers.get('m1');
    if (!server) throw new Error('server m1 is not listed');
    assert.is(fixture.owner.mayRun(server, 'turn', '/chat'), true);
    assert.is(fixture.owner.mayRun(server, 'turn', '/none'), false);
    assert.is(fixture.owner.mayRun(server, 'call', '/act'), false);
    fixture.leaseMs = 0;
    assert.is(fixture.owner.mayRun(server, 'turn', '/chat'), false);
    fixture.leaseMs = 60000;
    fixture.changeServer('m1', { draining: true });
    assert.is(fixture.owner.mayRun(server, 'turn', '/chat'), false);
  },
);

readiness('no server is assigned without a read lease or without a usable server', async () => {
  const fixture = await SessionOwnerFixture.opened();
  const neverAborted = new AbortController().signal;
  const place = () =>
    fixture.owner.place({
      kind: 'turn',
      path: '/chat',
      promptParts: [],
      stickyPool: '',
      requiredPool: '',
      excluded: new Set(),
      timeoutMs: 300,
      signal: neverAborted,
    });
  fixture.leaseMs = 0;
  assert.is(await codeOf(() => fixture.finish(place())), 'queue-timeout');
  fixture.leaseMs = 60000;
  assert.is(await codeOf(() => fixture.finish(place())), 'no error');
  fixture.removeServers('m1', 'm2');
  assert.is(await codeOf(() => fixture.finish(place())), 'no-server');
});

readiness('a turn is reported missing only if no write quorum can have stored it', async () => {
  const fixture = await SessionOwnerFixture.opened();
  assert.equal(await fixture.finish(fixture.owner.findTurn('r0')), []);
  fixture.down.add('c');
  assert.equal(await fixture.finish(fixture.owner.findTurn('r0')), []);
  fixture.down.add('b');
  assert.is(await codeOf(() => fixture.finish(fixture.owner.findTurn('r0'))), 'unavailable');
  fixture.store('p/x-q/t/r0', turn());
  const found = await fixture.finish(fixture.owner.findTurn('r0'));
  assert.equal(
    found.map(({ attempt, turn: foundTurn }) => [attempt, foundTurn]),
    [['r0', turn()]],
  );
  fixture.changeSlot({ replicas: [] });
  assert.is(await codeOf(() => fixture.finish(fixture.owner.findTurn('r1'))), 'unavailable');
});

readiness(
  'a reserved turn has not finished; a newer failed record of it means that there is no turn',
  async () => {
    const fixture = await SessionOwnerFixture.opened();
    fixture.store('p/x-q/t/r0', turn({ status: 'reserved' }));
    assert.is(await codeOf(() => fixture.finish(fixture.owner.findTurn('r0'))), 'not-finished');
    fixture.store('p/x-q/t/r0', turn({ status: 'failed' }), ['a']);
    fixture.bumpSequence('p/x-q/t/r0', 'a');
    assert.equal(await fixture.finish(fixture.owner.findTurn('r0')), []);
  },
);

readiness.run();
