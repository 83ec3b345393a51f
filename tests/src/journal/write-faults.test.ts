/** Journals on a faulty disk: failed, stalled and unsynced writes. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Incarnation } from '@tillerstair/sim';
import { stateAt, createFixture, outcomeOf, item, keysOf } from './journal-fixture.js';

const faults = suite('disk faults');

faults(
  'after a failed append writes are rejected, and after the recovery disk and memory agree',
  async () => {
    for (let seed = 0; seed < 20; seed++) {
      const fixture = createFixture(seed);
      const replicaStore = await fixture.replicaStore();
      assert.is(await outcomeOf(fixture, replicaStore.write(1, 1, [item(0)])), 'done');
      fixture.drive.full = true;
      const outcomes = await Promise.all([
        outcomeOf(fixture, replicaStore.write(1, 1, [item(1)])),
        outcomeOf(fixture, replicaStore.write(1, 1, [item(2)])),
      ]);
      assert.equal(outcomes, ['unavailable', 'unavailable']);
      assert.is(await outcomeOf(fixture, replicaStore.write(1, 1, [item(3)])), 'unavailable');
      await fixture.clock.run(3000);
      assert.is(replicaStore.writable, false);
      fixture.drive.full = false;
      await fixture.clock.run(2 * fixture.pace.retryIntervalMs);
      assert.is(replicaStore.writable, true);
      assert.is(await outcomeOf(fixture, replicaStore.write(1, 1, [item(4)])), 'done');
      const keysInMemory = keysOf(replicaStore);
      fixture.drive.powerLoss();
      assert.equal(keysOf(await fixture.replicaStore()), keysInMemory);
      assert.ok(
        keysInMemory.includes('o/t/0') &&
          keysInMemory.includes('o/t/4') &&
          !keysInMemory.includes('o/t/3'),
        keysInMemory.join(),
      );
    }
  },
);

faults('a power loss while the disk is full loses no acknowledged write', async () => {
  for (let seed = 0; seed < 40; seed++) {
    const fixture = createFixture(seed);
    const incarnation = new Incarnation();
    const replicaStore = await fixture.replicaStore(incarnation);
    assert.is(await outcomeOf(fixture, replicaStore.write(1, 1, [item(0)])), 'done');
    fixture.drive.full = true;
    assert.is(await outcomeOf(fixture, replicaStore.write(1, 1, [item(1)])), 'unavailable');
    await fixture.clock.run(seed * 50);
    incarnation.dead = true;
    fixture.drive.powerLoss();
    const reopened = await fixture.replicaStore();
    assert.ok(keysOf(reopened).includes('o/t/0'));
    fixture.drive.full = false;
    assert.is(await outcomeOf(fixture, reopened.write(1, 1, [item(2)])), 'done');
  }
});

faults('after a failed sync the file is rewritten instead of synced again', async () => {
  const fixture = createFixture(1);
  const replicaStore = await fixture.replicaStore();
  fixture.drive.failSyncs = true;
  assert.is(await outcomeOf(fixture, replicaStore.write(1, 1, [item(0)])), 'unavailable');
  fixture.drive.failSyncs = false;
  await fixture.clock.run(1000);
  assert.is(replicaStore.writable, true);
  fixture.drive.powerLoss();
  assert.equal(keysOf(await fixture.replicaStore()), ['o/t/0']);
});

faults(
  'a stalled write is rejected after its timeout, and only one write is in flight',
  async () => {
    const fixture = createFixture(1);
    const replicaStore = await fixture.replicaStore();
    assert.is(await outcomeOf(fixture, replicaStore.write(1, 1, [item(0)])), 'done');
    fixture.drive.stalled = true;
    const startedAt = fixture.clock.now();
    const first = outcomeOf(fixture, replicaStore.write(1, 1, [item(1)]));
    assert.is(await first, 'unavailable');
    assert.ok(
      fixture.clock.now() - startedAt <= fixture.pace.syncTimeoutMs + 1,
      `${fixture.clock.now() - startedAt}`,
    );
    const rejectedAt = fixture.clock.now();
    assert.is(await outcomeOf(fixture, replicaStore.write(1, 1, [item(2)])), 'unavailable');
    assert.is(fixture.clock.now(), rejectedAt);
    const eventsBefore = fixture.clock.events;
    await fixture.clock.run(60000);
    assert.ok(fixture.clock.events - eventsBefore < 10, 'a stalled disk is polled repeatedly');
    fixture.drive.stalled = false;
    await fixture.clock.run(500);
    assert.is(await outcomeOf(fixture, replicaStore.write(1, 1, [item(3)])), 'done');
    const keysInMemory = keysOf(replicaStore);
    fixture.drive.powerLoss();
    assert.equal(keysOf(await fixture.replicaStore()), keysInMemory);
  },
);

faults(
  'records pending behind a stalled write are on disk after it, since their owner holds them',
  async () => {
    const fixture = createFixture(1);
    const replicaStore = await fixture.replicaStore();
    fixture.drive.stalled = true;
    const first = outcomeOf(fixture, replicaStore.write(1, 1, [item(0)]));
    await fixture.clock.run(10);
    const second = outcomeOf(fixture, replicaStore.write(1, 1, [item(1)]));
    assert.equal(await Promise.all([first, second]), ['unavailable', 'unavailable']);
    fixture.drive.stalled = false;
    await fixture.clock.run(500);
    assert.is(replicaStore.writable, true);
    assert.equal(keysOf(replicaStore), ['o/t/0', 'o/t/1']);
    fixture.drive.powerLoss();
    assert.equal(keysOf(await fixture.replicaStore()), ['o/t/0', 'o/t/1']);
  },
);

faults('a lasting failure is retried at the given interval', async () => {
  const fixture = createFixture(1);
  const replicaStore = await fixture.replicaStore();
  fixture.drive.full = true;
  await outcomeOf(fixture, replicaStore.write(1, 1, [item(0)]));
  const eventsBefore = fixture.clock.events;
  await fixture.clock.run(25000);
  assert.ok(
    fixture.clock.events - eventsBefore < 5 * (25000 / fixture.pace.retryIntervalMs),
    `${fixture.clock.events - eventsBefore} events`,
  );
});

faults('a vote whose sync failed is neither reported nor revoked', async () => {
  for (let seed = 0; seed < 20; seed++) {
    const fixture = createFixture(seed);
    const electionStore = await fixture.electionStore();
    await fixture.clock.finish('vote', electionStore.recordVote(3, 'a'), 1000);
    fixture.drive.full = true;
    assert.is(await outcomeOf(fixture, electionStore.recordVote(4, 'b')), 'unavailable');
    assert.is(await outcomeOf(fixture, electionStore.synced()), 'unavailable');
    assert.is(await outcomeOf(fixture, electionStore.recordVote(5, 'c')), 'unavailable');
    assert.equal(
      [electionStore.persisted.term, electionStore.persisted.votedFor, electionStore.writable],
      [4, 'b', false],
    );
    fixture.drive.full = false;
    await fixture.clock.run(1000);
    assert.is(await outcomeOf(fixture, electionStore.synced()), 'done');
    fixture.drive.powerLoss();
    const { persisted } = await fixture.electionStore();
    assert.equal([persisted.id, persisted.term, persisted.votedFor], ['me', 4, 'b']);
  }
});

faults('a state whose sync failed stays accepted, and later states follow it on disk', async () => {
  for (let seed = 0; seed < 20; seed++) {
    const fixture = createFixture(seed);
    const electionStore = await fixture.electionStore();
    await fixture.clock.finish('vote', electionStore.recordVote(3, 'a'), 1000);
    await fixture.clock.finish('accept', electionStore.accept(stateAt(3, 1)), 1000);
    fixture.drive.full = true;
    assert.is(await outcomeOf(fixture, electionStore.accept(stateAt(3, 2))), 'unavailable');
    assert.is(await outcomeOf(fixture, electionStore.accept(stateAt(3, 3))), 'unavailable');
    assert.is(electionStore.persisted.accepted?.version, 2);
    fixture.drive.full = false;
    await fixture.clock.run(1000);
    assert.is(await outcomeOf(fixture, electionStore.accept(stateAt(3, 3))), 'done');
    fixture.drive.powerLoss();
    const reopened = await fixture.electionStore();
    assert.equal([reopened.persisted.id, reopened.persisted.accepted?.version], ['me', 3]);
    assert.equal(
      fixture.said.filter((warning) => warning.includes('damaged')),
      [],
    );
  }
});

faults('a new member has no id before its full disk accepts writes', async () => {
  const fixture = createFixture(1);
  fixture.drive.full = true;
  const opening = fixture.electionStore();
  await fixture.clock.run(2000);
  fixture.drive.full = false;
  const electionStore = await opening;
  assert.is(electionStore.persisted.id, 'me');
  fixture.drive.powerLoss();
  assert.is((await fixture.electionStore(new Incarnation(), 'other')).persisted.id, 'me');
});

faults.run();
