/** An owner serves only with a state, a configuration and a read lease, and only the slots that it owns and takes. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { PassTurn } from '@tillerstair/session-owner';
import { codeOf, SessionOwnerRig } from '../support/session-owner-rig.js';

const readiness = suite('what an owner may serve');

const turn = (change: Partial<PassTurn> = {}): PassTurn => ({
  t: 'pass',
  status: 'done',
  after: '',
  cost: 4,
  input: '',
  output: '',
  ...change,
});

readiness('nothing is served without a state, a configuration and a read lease', async () => {
  const rig = new SessionOwnerRig();
  assert.is(await codeOf(() => rig.owner.requireLease()), 'not-ready');
  assert.is(await codeOf(() => rig.owner.slotFor('p/x')), 'not-ready');
  assert.is(await codeOf(() => rig.owner.findTurn('r0')), 'not-ready');
  rig.owner.renewLease(rig.clock.now());
  assert.is(await codeOf(() => rig.owner.requireLease()), 'not-ready');
  rig.change({ config: undefined });
  assert.is(await codeOf(() => rig.owner.requireLease()), 'not-ready');
  const opened = await SessionOwnerRig.opened();
  assert.is(await codeOf(() => opened.owner.requireLease()), 'no error');
  opened.leaseMs = 0;
  assert.is(await codeOf(() => opened.owner.requireLease()), 'not-ready');
});

readiness('readiness says what is missing', async () => {
  const rig = await SessionOwnerRig.opened();
  assert.is(rig.owner.readiness().ready, true);
  rig.change({ retiring: new Map([['f1', '']]) });
  assert.equal(rig.owner.readiness(), { ready: false, why: 'being drained' });
  rig.change({ nodes: new Map([...rig.current.nodes].filter(([id]) => id !== 'f1')) });
  assert.equal(rig.owner.readiness(), { ready: false, why: 'not listed in the cluster state' });
  rig.leaseMs = 0;
  assert.equal(rig.owner.readiness(), {
    ready: false,
    why: 'the control link is down and its read lease ran out',
  });
  const bare = new SessionOwnerRig();
  assert.equal(bare.owner.readiness(), { ready: false, why: 'no committed state yet' });
  bare.change({ config: undefined });
  assert.equal(bare.owner.readiness(), { ready: false, why: 'no configuration yet' });
});

readiness('a slot is served by its owner alone, once it is open and until it closes', async () => {
  const rig = new SessionOwnerRig();
  rig.down.add('a').add('b');
  rig.change({});
  await rig.clock.run(100);
  assert.is(await codeOf(() => rig.owner.replicator('p/x')), 'taking-over');
  rig.down.clear();
  await rig.waitForSlotOpen();
  rig.owner.stopAccepting();
  assert.is(await codeOf(() => rig.owner.replicator('p/x')), 'taking-over');
  const other = await SessionOwnerRig.opened();
  other.changeSlot({ owner: 'f2', ownershipEpoch: 2, ownedSinceEpoch: 2 });
  assert.is(await codeOf(() => other.owner.replicator('p/x')), 'not-owner');
});

readiness('an ownership that comes back begins with what the stores have', async () => {
  const rig = await SessionOwnerRig.opened();
  const before = rig.owner.replicator('p/x');
  rig.changeSlot({ ownershipEpoch: 2 });
  await rig.waitForSlotOpen();
  assert.is(rig.owner.replicator('p/x'), before);
  rig.changeSlot({ ownershipEpoch: 4, ownedSinceEpoch: 4 });
  await rig.waitForSlotOpen();
  assert.is.not(rig.owner.replicator('p/x'), before);
  assert.is(before.isOpen, false);
});

readiness('a lease is never moved back by an older renewal', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.owner.renewLease(-100000);
  assert.is(rig.owner.leaseValid, true);
});

readiness('who watches a front hears when it leaves the cluster', async () => {
  const rig = await SessionOwnerRig.opened();
  const watch = rig.owner.watch('a');
  rig.change({});
  assert.is(watch.lost.aborted, false);
  rig.change({ nodes: new Map([...rig.current.nodes].filter(([id]) => id !== 'a')) });
  assert.is(watch.lost.aborted, true);
});

readiness('a server may run only with lease, route and its place in the state', async () => {
  const rig = await SessionOwnerRig.opened();
  const server = rig.current.servers.get('m1');
  if (!server) throw new Error('no server');
  assert.is(rig.owner.mayRun(server, 'turn', '/chat'), true);
  assert.is(rig.owner.mayRun(server, 'turn', '/none'), false);
  assert.is(rig.owner.mayRun(server, 'call', '/act'), false);
  rig.leaseMs = 0;
  assert.is(rig.owner.mayRun(server, 'turn', '/chat'), false);
  rig.leaseMs = 60000;
  rig.changeServer('m1', { draining: true });
  assert.is(rig.owner.mayRun(server, 'turn', '/chat'), false);
});

readiness('no server is picked without a read lease or once none is usable', async () => {
  const rig = await SessionOwnerRig.opened();
  const never = new AbortController().signal;
  const place = () =>
    rig.owner.place({
      kind: 'turn',
      path: '/chat',
      promptParts: [],
      stickyPool: '',
      excluded: new Set(),
      timeoutMs: 300,
      signal: never,
    });
  rig.leaseMs = 0;
  assert.is(await codeOf(() => rig.finish(place())), 'queue-timeout');
  rig.leaseMs = 60000;
  assert.is(await codeOf(() => rig.finish(place())), 'no error');
  rig.removeServers('m1', 'm2');
  assert.is(await codeOf(() => rig.finish(place())), 'no-server');
});

readiness('a turn is missing only if no write quorum can hold it', async () => {
  const rig = await SessionOwnerRig.opened();
  assert.equal(await rig.finish(rig.owner.findTurn('r0')), []);
  rig.down.add('c');
  assert.equal(await rig.finish(rig.owner.findTurn('r0')), []);
  rig.down.add('b');
  assert.is(await codeOf(() => rig.finish(rig.owner.findTurn('r0'))), 'unavailable');
  rig.store('p/x-q/t/r0', turn());
  const found = await rig.finish(rig.owner.findTurn('r0'));
  assert.equal(
    found.map(({ attempt, turn: value }) => [attempt, value]),
    [['r0', turn()]],
  );
  rig.changeSlot({ replicas: [] });
  assert.is(await codeOf(() => rig.finish(rig.owner.findTurn('r1'))), 'unavailable');
});

readiness('a turn that is only reserved has not finished; a newer failure has', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.store('p/x-q/t/r0', turn({ status: 'reserved' }));
  assert.is(await codeOf(() => rig.finish(rig.owner.findTurn('r0'))), 'not-finished');
  rig.store('p/x-q/t/r0', turn({ status: 'failed' }), ['a']);
  rig.bumpSequence('p/x-q/t/r0', 'a');
  assert.equal(await rig.finish(rig.owner.findTurn('r0')), []);
});

readiness.run();
