/** Journals under disk faults: failed, stalled and unsynced writes. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Incarnation } from '@tillerstair/sim';
import { stateAt, createFixture, outcomeOf, item, keysOf } from './journal-fixture.js';

const faults = suite('journals under disk faults');

faults(
  'after a failed append nothing is taken, and after recovery disk and memory agree',
  async () => {
    for (let seed = 0; seed < 20; seed++) {
      const r = createFixture(seed);
      const replicaStore = await r.replicaStore();
      assert.is(await outcomeOf(r, replicaStore.write(1, 1, [item(0)])), 'done');
      r.platter.full = true;
      const both = await Promise.all([
        outcomeOf(r, replicaStore.write(1, 1, [item(1)])),
        outcomeOf(r, replicaStore.write(1, 1, [item(2)])),
      ]);
      assert.equal(both, ['unavailable', 'unavailable']);
      assert.is(await outcomeOf(r, replicaStore.write(1, 1, [item(3)])), 'unavailable');
      await r.clock.run(3000);
      assert.is(replicaStore.writable, false);
      r.platter.full = false;
      await r.clock.run(2 * r.timings.retryIntervalMs);
      assert.is(replicaStore.writable, true);
      assert.is(await outcomeOf(r, replicaStore.write(1, 1, [item(4)])), 'done');
      const held = keysOf(replicaStore);
      r.platter.powerLoss();
      assert.equal(keysOf(await r.replicaStore()), held);
      assert.ok(
        held.includes('o/t/0') && held.includes('o/t/4') && !held.includes('o/t/3'),
        held.join(),
      );
    }
  },
);

faults('power lost while a disk is full leaves all that was acknowledged', async () => {
  for (let seed = 0; seed < 40; seed++) {
    const r = createFixture(seed);
    const life = new Incarnation();
    const replicaStore = await r.replicaStore(life);
    assert.is(await outcomeOf(r, replicaStore.write(1, 1, [item(0)])), 'done');
    r.platter.full = true;
    assert.is(await outcomeOf(r, replicaStore.write(1, 1, [item(1)])), 'unavailable');
    await r.clock.run(seed * 50);
    life.dead = true;
    r.platter.powerLoss();
    const again = await r.replicaStore();
    assert.ok(keysOf(again).includes('o/t/0'));
    r.platter.full = false;
    assert.is(await outcomeOf(r, again.write(1, 1, [item(2)])), 'done');
  }
});

faults('a failed sync is not made good by a later one: the file is written anew', async () => {
  const r = createFixture(1);
  const replicaStore = await r.replicaStore();
  r.platter.failSyncs = true;
  assert.is(await outcomeOf(r, replicaStore.write(1, 1, [item(0)])), 'unavailable');
  r.platter.failSyncs = false;
  await r.clock.run(1000);
  assert.is(replicaStore.writable, true);
  r.platter.powerLoss();
  assert.equal(keysOf(await r.replicaStore()), ['o/t/0']);
});

faults(
  'a write that neither ends nor fails is answered in bounded time, and one at a time is under way',
  async () => {
    const r = createFixture(1);
    const replicaStore = await r.replicaStore();
    assert.is(await outcomeOf(r, replicaStore.write(1, 1, [item(0)])), 'done');
    r.platter.stalled = true;
    const t0 = r.clock.now();
    const first = outcomeOf(r, replicaStore.write(1, 1, [item(1)]));
    assert.is(await first, 'unavailable');
    assert.ok(r.clock.now() - t0 <= r.timings.syncTimeoutMs + 1, `${r.clock.now() - t0}`);
    const t1 = r.clock.now();
    assert.is(await outcomeOf(r, replicaStore.write(1, 1, [item(2)])), 'unavailable');
    assert.is(r.clock.now(), t1);
    const events = r.clock.events;
    await r.clock.run(60000);
    assert.ok(r.clock.events - events < 10, 'a stalled disk is not asked again and again');
    r.platter.stalled = false;
    await r.clock.run(500);
    assert.is(await outcomeOf(r, replicaStore.write(1, 1, [item(3)])), 'done');
    const held = keysOf(replicaStore);
    r.platter.powerLoss();
    assert.equal(keysOf(await r.replicaStore()), held);
  },
);

faults(
  'records that waited behind a stalled write are on disk after it, since their owner holds them',
  async () => {
    const r = createFixture(1);
    const replicaStore = await r.replicaStore();
    r.platter.stalled = true;
    const first = outcomeOf(r, replicaStore.write(1, 1, [item(0)]));
    await r.clock.run(10);
    const second = outcomeOf(r, replicaStore.write(1, 1, [item(1)]));
    assert.equal(await Promise.all([first, second]), ['unavailable', 'unavailable']);
    r.platter.stalled = false;
    await r.clock.run(500);
    assert.is(replicaStore.writable, true);
    assert.equal(keysOf(replicaStore), ['o/t/0', 'o/t/1']);
    r.platter.powerLoss();
    assert.equal(keysOf(await r.replicaStore()), ['o/t/0', 'o/t/1']);
  },
);

faults('a long failure is retried at the pace given', async () => {
  const r = createFixture(1);
  const replicaStore = await r.replicaStore();
  r.platter.full = true;
  await outcomeOf(r, replicaStore.write(1, 1, [item(0)]));
  const events = r.clock.events;
  await r.clock.run(25000);
  assert.ok(
    r.clock.events - events < 5 * (25000 / r.timings.retryIntervalMs),
    `${r.clock.events - events} events`,
  );
});

faults('a promise whose sync failed is not told and not taken back', async () => {
  for (let seed = 0; seed < 20; seed++) {
    const r = createFixture(seed);
    const electionStore = await r.electionStore();
    await r.clock.finish('promise', electionStore.recordVote(3, 'a'), 1000);
    r.platter.full = true;
    assert.is(await outcomeOf(r, electionStore.recordVote(4, 'b')), 'unavailable');
    assert.is(await outcomeOf(r, electionStore.synced()), 'unavailable');
    assert.is(await outcomeOf(r, electionStore.recordVote(5, 'c')), 'unavailable');
    assert.equal(
      [electionStore.persisted.term, electionStore.persisted.votedFor, electionStore.writable],
      [4, 'b', false],
    );
    r.platter.full = false;
    await r.clock.run(1000);
    assert.is(await outcomeOf(r, electionStore.synced()), 'done');
    r.platter.powerLoss();
    const { persisted } = await r.electionStore();
    assert.equal([persisted.id, persisted.term, persisted.votedFor], ['me', 4, 'b']);
  }
});

faults('a state whose sync failed stays accepted, and later ones follow it on disk', async () => {
  for (let seed = 0; seed < 20; seed++) {
    const r = createFixture(seed);
    const electionStore = await r.electionStore();
    await r.clock.finish('promise', electionStore.recordVote(3, 'a'), 1000);
    await r.clock.finish('accept', electionStore.accept(stateAt(3, 1)), 1000);
    r.platter.full = true;
    assert.is(await outcomeOf(r, electionStore.accept(stateAt(3, 2))), 'unavailable');
    assert.is(await outcomeOf(r, electionStore.accept(stateAt(3, 3))), 'unavailable');
    assert.is(electionStore.persisted.accepted?.version, 2);
    r.platter.full = false;
    await r.clock.run(1000);
    assert.is(await outcomeOf(r, electionStore.accept(stateAt(3, 3))), 'done');
    r.platter.powerLoss();
    const again = await r.electionStore();
    assert.equal([again.persisted.id, again.persisted.accepted?.version], ['me', 3]);
    assert.equal(
      r.warnings.filter((t) => t.includes('damaged')),
      [],
    );
  }
});

faults('a new member waits for a full disk before it has an id', async () => {
  const r = createFixture(1);
  r.platter.full = true;
  const opening = r.electionStore();
  await r.clock.run(2000);
  r.platter.full = false;
  const electionStore = await opening;
  assert.is(electionStore.persisted.id, 'me');
  r.platter.powerLoss();
  assert.is((await r.electionStore(new Incarnation(), 'other')).persisted.id, 'me');
});

faults.run();
