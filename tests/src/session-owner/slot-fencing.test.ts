/** A slot opens only after a quorum of fences, with the newest items, and only while its ownership epoch is current. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Item } from '@tillerstair/state';
import {
  DelayedReply,
  emptyReply,
  failWith,
  listingReply,
  ReplicatorFixture,
  replyWith,
  silence,
  slotAt,
  type ReplicaReply,
} from '../support/fake-replicas.js';

const fencing = suite('fencing of a slot');

const item = (key: string, ownershipEpoch: number, seq: number, value: unknown): Item => ({
  key,
  ownershipEpoch,
  seq,
  value,
});

/** The fence of each replica returns that replica's items; other requests get the reply of a healthy replica. */
const fencesReturning =
  (items: Readonly<Record<string, readonly Item[]>>): ReplicaReply =>
  (request) =>
    request.kind === 'store/fence' ? replyWith(items[request.replica] ?? []) : emptyReply(request);

fencing(
  'one fence does not open a slot, whether the other replicas fail or are unresponsive',
  async () => {
    for (const others of [() => failWith('connection-refused'), silence]) {
      const fixture = new ReplicatorFixture();
      fixture.replicas.reply = (request) =>
        request.replica === 's2' ? emptyReply(request) : others(request);
      fixture.replicator.apply(slotAt(1));
      await fixture.clock.run(1000);
      assert.is(fixture.replicator.isOpen, false);
    }
  },
);

fencing('a quorum of fences opens a slot, also after earlier attempts failed', async () => {
  const fixture = new ReplicatorFixture();
  let allReachable = false;
  fixture.replicas.reply = (request) =>
    request.replica === 's2' || allReachable ? emptyReply(request) : failWith('connection-refused');
  fixture.replicator.apply(slotAt(1));
  await fixture.clock.run(200);
  assert.is(fixture.replicator.isOpen, false);
  allReachable = true;
  await fixture.clock.run(200);
  assert.is(fixture.replicator.isOpen, true);
});

fencing('without a cluster state no slot opens', async () => {
  const fixture = new ReplicatorFixture();
  fixture.compiledState = undefined;
  fixture.replicator.apply(slotAt(1));
  await fixture.clock.run(1000);
  assert.is(fixture.replicator.isOpen, false);
});

fencing(
  'the newest item by ownership epoch and sequence wins, whichever replica returns it',
  async () => {
    for (const [older, newer] of [
      [item('o/k', 1, 4, 'old'), item('o/k', 1, 5, 'new')],
      [item('o/k', 1, 9, 'old'), item('o/k', 2, 1, 'new')],
    ] as const)
      for (const [first, second] of [
        [older, newer],
        [newer, older],
      ]) {
        const fixture = new ReplicatorFixture();
        fixture.replicas.reply = fencesReturning({ s1: [first], s2: [second] });
        fixture.replicator.apply(slotAt(3));
        await fixture.clock.runReadyTasks();
        assert.is(fixture.replicator.isOpen, true);
        assert.is(fixture.replicator.get('o/k'), 'new');
      }
  },
);

fencing(
  'an item that only one replica stores is written to a quorum before the slot opens',
  async () => {
    const fixture = new ReplicatorFixture();
    const put = new DelayedReply();
    const onQuorum = item('o/even', 1, 1, 'even');
    const fences = fencesReturning({ s1: [onQuorum, item('o/odd', 1, 2, 'odd')], s2: [onQuorum] });
    fixture.replicas.reply = (request) =>
      request.kind === 'store/put' && request.replica !== 's1' ? put.wait() : fences(request);
    fixture.replicator.apply(slotAt(2));
    await fixture.clock.runReadyTasks();
    assert.is(fixture.replicator.isOpen, false);
    assert.equal(
      fixture.replicas.of('store/put').map(({ replica, items }) => [replica, items]),
      ['s1', 's2', 's3'].map((id) => [id, [item('o/odd', 2, 1, 'odd')]]),
    );
    put.accept();
    await fixture.clock.runReadyTasks();
    assert.is(fixture.replicator.isOpen, true);
    assert.is(fixture.replicator.get('o/odd'), 'odd');
    assert.is(fixture.replicator.get('o/even'), 'even');
  },
);

fencing('a slot whose items cannot be written to a quorum stays closed', async () => {
  const fixture = new ReplicatorFixture();
  const fences = fencesReturning({ s1: [item('o/odd', 1, 2, 'odd')] });
  fixture.replicas.reply = (request) =>
    request.kind === 'store/put' && request.replica !== 's1'
      ? failWith('connection-refused')
      : fences(request);
  fixture.replicator.apply(slotAt(2));
  await fixture.clock.run(1000);
  assert.is(fixture.replicator.isOpen, false);
});

fencing('a slot is not open while a newer ownership epoch is being fenced', async () => {
  const fixture = await ReplicatorFixture.open();
  assert.is(fixture.replicator.isOpen, true);
  fixture.replicas.reply = silence;
  fixture.replicator.apply(slotAt(2));
  await fixture.clock.runReadyTasks();
  assert.is(fixture.replicator.isOpen, false);
  assert.is(fixture.replicator.isAccepting, false);
  assert.is(fixture.replicas.of('store/put').length, 0);
  const put = fixture.put('o/k', 1);
  const confirmed = fixture.confirmMissing('o/k');
  await fixture.clock.runReadyTasks();
  assert.is(put.outcome, 'unavailable');
  assert.is(confirmed.outcome, 'unavailable');
  assert.is(fixture.replicas.of('store/put').length, 0);
  assert.is(fixture.replicas.of('store/read').length, 0);
});

fencing('an ownership epoch is fenced once, however often it is applied', async () => {
  const fixture = await ReplicatorFixture.open();
  const fences = fixture.replicas.of('store/fence').length;
  await fixture.replicator.put('o/k', 'value');
  fixture.replicator.apply(slotAt(1));
  await fixture.clock.run(1000);
  assert.is(fixture.replicas.of('store/fence').length, fences);
  assert.is(fixture.replicator.get('o/k'), 'value');
});

/** Opens ownership epoch 2 with a value of its own while replies to requests of epoch 1 are still pending. */
const openNewerEpoch = async (lateReply: DelayedReply, isLate: (kind: string) => boolean) => {
  const fixture = new ReplicatorFixture();
  const older = fencesReturning({ s1: [item('o/k', 1, 1, 'old')] });
  fixture.replicas.reply = (request) => (isLate(request.kind) ? lateReply.wait() : older(request));
  fixture.replicator.apply(slotAt(1));
  await fixture.clock.runReadyTasks();
  fixture.replicas.reply = fencesReturning({
    s1: [item('o/k', 1, 2, 'new')],
    s2: [item('o/k', 1, 2, 'new')],
  });
  fixture.replicator.apply(slotAt(2));
  await fixture.clock.runReadyTasks();
  assert.is(fixture.replicator.isOpen, true);
  return fixture;
};

fencing('late replies to fences of an earlier ownership epoch change nothing', async () => {
  const lateReply = new DelayedReply();
  const fixture = await openNewerEpoch(lateReply, (kind) => kind === 'store/fence');
  lateReply.accept({ items: [], next: '' });
  await fixture.clock.run(1000);
  assert.is(fixture.replicator.isOpen, true);
  assert.is(fixture.replicator.get('o/k'), 'new');
});

fencing('a rewrite of an earlier ownership epoch that completes late changes nothing', async () => {
  const lateReply = new DelayedReply();
  const fixture = await openNewerEpoch(lateReply, (kind) => kind === 'store/put');
  lateReply.accept();
  await fixture.clock.run(1000);
  assert.is(fixture.replicator.isOpen, true);
  assert.is(fixture.replicator.get('o/k'), 'new');
});

fencing('no further page is written under a superseded ownership epoch', async () => {
  const lateReply = new DelayedReply();
  const fixture = new ReplicatorFixture();
  const large = 'x'.repeat(200_000);
  const fences = fencesReturning({ s1: [item('o/a', 1, 1, large), item('o/b', 1, 2, large)] });
  fixture.replicas.reply = (request) =>
    request.kind === 'store/put' ? lateReply.wait() : fences(request);
  fixture.replicator.apply(slotAt(2));
  await fixture.clock.runReadyTasks();
  assert.is(fixture.replicas.of('store/put').length, 3);
  fixture.replicas.reply = silence;
  fixture.replicator.apply(slotAt(3));
  lateReply.accept();
  await fixture.clock.run(200);
  assert.is(fixture.replicas.of('store/put').length, 3);
});

fencing('a superseded ownership epoch is not fenced again', async () => {
  const fixture = new ReplicatorFixture();
  fixture.replicas.reply = () => failWith('connection-refused');
  fixture.replicator.apply(slotAt(1));
  await fixture.clock.runReadyTasks();
  fixture.replicas.reply = silence;
  fixture.replicator.apply(slotAt(2));
  await fixture.clock.run(1000);
  assert.equal(
    fixture.replicas
      .of('store/fence')
      .filter(({ ownershipEpoch }) => ownershipEpoch === 2)
      .map(({ replica }) => replica),
    ['s1', 's2', 's3'],
  );
});

fencing('replicas that were not needed to open a slot are also fenced', async () => {
  const fixture = await ReplicatorFixture.open();
  assert.equal(
    fixture.replicas.of('store/fence').map(({ replica }) => replica),
    ['s1', 's2', 's3'],
  );
});

// Guards against slots that stay closed for as long as their whole history is copied, at each change of their replicas.
fencing('only items that the owner lacks are fetched, each once', async () => {
  const fixture = new ReplicatorFixture();
  const stored = {
    s1: [item('o/a', 1, 1, 'a'), item('o/b', 1, 2, 'b')],
    s2: [item('o/a', 1, 1, 'a'), item('o/b', 1, 3, 'c')],
  };
  const fetchedKeys = (): readonly string[] =>
    fixture.replicas.requests.flatMap(({ keys }) => keys ?? []).sort();
  fixture.replicas.reply = (request) =>
    request.kind === 'store/fence'
      ? listingReply(request.replica === 's2' ? stored.s2 : stored.s1, request)
      : emptyReply(request);
  fixture.replicator.apply(slotAt(2));
  await fixture.clock.run(50);
  assert.is(fixture.replicator.isOpen, true);
  assert.equal(fetchedKeys(), ['o/a', 'o/b']);
  assert.is(fixture.replicator.get('o/b'), 'c');
  stored.s1.push(item('o/c', 2, 1, 'd'));
  fixture.replicator.apply(slotAt(3));
  await fixture.clock.run(50);
  assert.is(fixture.replicator.isOpen, true);
  assert.equal(fetchedKeys(), ['o/a', 'o/b', 'o/c']);
  assert.is(fixture.replicator.get('o/c'), 'd');
});

// Guards against slots that stay closed while a slow link loses one of many requests at each attempt.
fencing('what was fetched before a request failed is not fetched again', async () => {
  const fixture = new ReplicatorFixture();
  const large = 'x'.repeat(100_000);
  const stored = [item('o/a', 1, 1, large), item('o/b', 1, 2, large), item('o/c', 1, 3, large)];
  const asked: string[] = [];
  fixture.replicas.reply = (request) => {
    if (request.kind !== 'store/fence') return emptyReply(request);
    asked.push(...(request.keys ?? []));
    const isFirstAttempt = asked.length <= stored.length;
    return request.keys?.includes('o/a') === true && isFirstAttempt
      ? failWith('request-timeout')
      : listingReply(stored, request);
  };
  fixture.replicator.apply(slotAt(2));
  await fixture.clock.run(500);
  assert.is(fixture.replicator.isOpen, true);
  assert.equal(asked.sort(), ['o/a', 'o/a', 'o/b', 'o/c']);
});

// Guards against a slot that is closed for good and says so to nobody.
fencing('a slot that does not open is a warning, not at every attempt', async () => {
  const fixture = new ReplicatorFixture();
  fixture.replicas.reply = () => failWith('connection-refused');
  fixture.replicator.apply(slotAt(2));
  await fixture.clock.run(500);
  assert.equal(fixture.warnings, []);
  await fixture.clock.run(2500);
  assert.ok(fixture.warnings.length > 0 && fixture.warnings.length < 6, fixture.warnings.join());
  assert.match(fixture.warnings.at(-1) ?? '', /Slot 0 is not open yet: 0 of 3 .*retried for/);
});

fencing('a slot stays closed while a listed item is not returned', async () => {
  const fixture = new ReplicatorFixture();
  const stored = [item('o/a', 1, 1, 'a')];
  let isReturned = false;
  fixture.replicas.reply = (request) =>
    request.kind === 'store/fence'
      ? listingReply(stored, isReturned ? request : { ...request, keys: [] })
      : emptyReply(request);
  fixture.replicator.apply(slotAt(2));
  await fixture.clock.run(500);
  assert.is(fixture.replicator.isOpen, false);
  isReturned = true;
  await fixture.clock.run(500);
  assert.is(fixture.replicator.isOpen, true);
  assert.is(fixture.replicator.get('o/a'), 'a');
});

fencing.run();
