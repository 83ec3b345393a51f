/** What must hold before a slot opens: a quorum of fences, the newest items, and an epoch that still counts. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Item } from '@tillerstair/state';
import {
  DelayedReply,
  emptyReply,
  failWith,
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

/** Each replica's fence hands over its own items; all else is answered as by a healthy replica. */
const fencesWith =
  (items: Readonly<Record<string, readonly Item[]>>): ReplicaReply =>
  (request) =>
    request.kind === 'store/fence' ? replyWith(items[request.replica] ?? []) : emptyReply(request);

fencing('one fence does not open a slot, whether the others fail or are silent', async () => {
  for (const others of [() => failWith('connection-refused'), silence]) {
    const fixture = new ReplicatorFixture();
    fixture.replicas.reply = (request) =>
      request.replica === 's2' ? emptyReply(request) : others(request);
    fixture.replicator.apply(slotAt(1));
    await fixture.clock.run(1000);
    assert.is(fixture.replicator.isOpen, false);
  }
});

fencing('a quorum of fences opens a slot, also where the first attempts failed', async () => {
  const fixture = new ReplicatorFixture();
  let up = false;
  fixture.replicas.reply = (request) =>
    request.replica === 's2' || up ? emptyReply(request) : failWith('connection-refused');
  fixture.replicator.apply(slotAt(1));
  await fixture.clock.run(200);
  assert.is(fixture.replicator.isOpen, false);
  up = true;
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
  'the newest item by ownership epoch and sequence is taken, whoever hands it over',
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
        fixture.replicas.reply = fencesWith({ s1: [first], s2: [second] });
        fixture.replicator.apply(slotAt(3));
        await fixture.clock.runReadyTasks();
        assert.is(fixture.replicator.isOpen, true);
        assert.is(fixture.replicator.get('o/k'), 'new');
      }
  },
);

fencing('an item that is on one replica is written to a quorum before the slot opens', async () => {
  const fixture = new ReplicatorFixture();
  const put = new DelayedReply();
  const even = item('o/even', 1, 1, 'even');
  const fences = fencesWith({ s1: [even, item('o/odd', 1, 2, 'odd')], s2: [even] });
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
});

fencing('a slot whose items cannot be written to a quorum stays closed', async () => {
  const fixture = new ReplicatorFixture();
  const fences = fencesWith({ s1: [item('o/odd', 1, 2, 'odd')] });
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

/** Ownership epoch 2 is open with its own value while replies to epoch 1 are still under way. */
const overtaken = async (late: DelayedReply, isLate: (kind: string) => boolean) => {
  const fixture = new ReplicatorFixture();
  const old = fencesWith({ s1: [item('o/k', 1, 1, 'old')] });
  fixture.replicas.reply = (request) => (isLate(request.kind) ? late.wait() : old(request));
  fixture.replicator.apply(slotAt(1));
  await fixture.clock.runReadyTasks();
  fixture.replicas.reply = fencesWith({
    s1: [item('o/k', 1, 2, 'new')],
    s2: [item('o/k', 1, 2, 'new')],
  });
  fixture.replicator.apply(slotAt(2));
  await fixture.clock.runReadyTasks();
  assert.is(fixture.replicator.isOpen, true);
  return fixture;
};

fencing('fences of an earlier ownership epoch that reply late change nothing', async () => {
  const late = new DelayedReply();
  const fixture = await overtaken(late, (kind) => kind === 'store/fence');
  late.accept({ items: [], next: '' });
  await fixture.clock.run(1000);
  assert.is(fixture.replicator.isOpen, true);
  assert.is(fixture.replicator.get('o/k'), 'new');
});

fencing('a rewrite of an earlier ownership epoch that ends late changes nothing', async () => {
  const late = new DelayedReply();
  const fixture = await overtaken(late, (kind) => kind === 'store/put');
  late.accept();
  await fixture.clock.run(1000);
  assert.is(fixture.replicator.isOpen, true);
  assert.is(fixture.replicator.get('o/k'), 'new');
});

fencing('no further page is written under an ownership epoch that has passed', async () => {
  const late = new DelayedReply();
  const fixture = new ReplicatorFixture();
  const large = 'x'.repeat(200_000);
  const fences = fencesWith({ s1: [item('o/a', 1, 1, large), item('o/b', 1, 2, large)] });
  fixture.replicas.reply = (request) =>
    request.kind === 'store/put' ? late.wait() : fences(request);
  fixture.replicator.apply(slotAt(2));
  await fixture.clock.runReadyTasks();
  assert.is(fixture.replicas.of('store/put').length, 3);
  fixture.replicas.reply = silence;
  fixture.replicator.apply(slotAt(3));
  late.accept();
  await fixture.clock.run(200);
  assert.is(fixture.replicas.of('store/put').length, 3);
});

fencing('an ownership epoch that has passed is not fenced again', async () => {
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

fencing('replicas that were not needed to open a slot are fenced too', async () => {
  const fixture = await ReplicatorFixture.open();
  assert.equal(
    fixture.replicas.of('store/fence').map(({ replica }) => replica),
    ['s1', 's2', 's3'],
  );
});

fencing.run();
