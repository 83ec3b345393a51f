/** Servers get no new requests if they are draining, unhealthy, full, barred, unknown, or in a pool without a share. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  loadValidForMs,
  pollIntervalMs,
  PlacementFixture,
  maxInFlightPerServer,
  retryAfterMs,
  makeServer,
} from '../support/placement-fixture.js';

const eligibility = suite('eligibility of servers');

const serverA = makeServer('a');
const serverB = makeServer('b');

/** Asserts that server `a` gets no new request: it is not picked, not usable, and not allowed after a pick. */
const assertIneligible = (fixture: PlacementFixture): void => {
  assert.is(fixture.pick(), undefined);
  assert.is(fixture.hasUsableServer(), false);
  assert.is(fixture.placement.isAllowed(serverA, fixture.route), false);
};

eligibility('a healthy server that replied to a poll gets requests', async () => {
  const fixture = await PlacementFixture.createPolled([serverA]);
  assert.is(fixture.pick(), 'a');
  assert.is(fixture.hasUsableServer(), true);
  assert.is(fixture.placement.isAllowed(serverA, fixture.route), true);
});

eligibility('a server that the operator drains gets no new requests', async () => {
  const fixture = await PlacementFixture.createPolled([serverA]);
  fixture.list(makeServer('a', { draining: true }));
  assertIneligible(fixture);
});

eligibility('a server that reports draining gets no new requests', async () => {
  const fixture = await PlacementFixture.createPolled([serverA]);
  fixture.statuses.set('a', { busy: 0, draining: true });
  await fixture.placement.poll();
  assertIneligible(fixture);
});

eligibility('a barred server gets no new requests', async () => {
  const fixture = await PlacementFixture.createPolled([serverA]);
  fixture.placement.setBarred(new Set(['a']));
  assertIneligible(fixture);
  const unpolled = new PlacementFixture([serverA]);
  unpolled.placement.setBarred(new Set(['a']));
  assertIneligible(unpolled);
});

eligibility('a server whose last poll reply is too old gets no new requests', async () => {
  const fixture = await PlacementFixture.createPolled([serverA]);
  await fixture.clock.run(loadValidForMs);
  assert.is(fixture.pick(), 'a');
  await fixture.clock.run(1);
  assertIneligible(fixture);
});

eligibility(
  'a server that was never polled gets no requests, but its route is not refused yet',
  () => {
    const fixture = new PlacementFixture([serverA]);
    assert.is(fixture.pick(), undefined);
    assert.is(fixture.hasUsableServer(), true);
    fixture.recordFailures(serverA, 1);
    assert.is(fixture.hasUsableServer(), false);
  },
);

eligibility('servers need not have replied to a poll if polling is disabled', async () => {
  const fixture = new PlacementFixture([serverA], 0);
  await fixture.placement.poll();
  assert.is(fixture.pick(), 'a');
  assert.equal(fixture.polledServerIds, []);
});

eligibility(
  'a server that failed three times gets no requests and is tried again later',
  async () => {
    const fixture = new PlacementFixture([serverA], 0);
    fixture.recordFailures(serverA, 2);
    assert.is(fixture.pick(), 'a');
    fixture.recordFailures(serverA, 1);
    assert.is(fixture.pick(), undefined);
    assert.is(fixture.hasUsableServer(), false);
    await fixture.clock.run(retryAfterMs);
    assert.is(fixture.pick(), undefined);
    await fixture.clock.run(1);
    assert.is(fixture.pick(), 'a');
    assert.is(fixture.hasUsableServer(), true);
  },
);

eligibility(
  'a server that failed, or is down for all fronts, is picked only if no server is healthy',
  async () => {
    const fixture = await PlacementFixture.createPolled([serverA, serverB]);
    fixture.recordFailures(serverA, 1);
    assert.is(fixture.pick(), 'b');
    fixture.placement.begin(serverB, []);
    assert.is(fixture.pick(), 'b');
    const down = await PlacementFixture.createPolled([makeServer('a', { down: true }), serverB]);
    down.placement.begin(serverB, []);
    assert.is(down.pick(), 'b');
    assert.is(down.pick(['b']), 'a');
  },
);

eligibility('a full server gets no more requests', async () => {
  const fixture = await PlacementFixture.createPolled([serverA]);
  for (let i = 0; i < maxInFlightPerServer; i++) {
    assert.is(fixture.pick(), 'a');
    fixture.placement.begin(serverA, []);
  }
  assert.is(fixture.pick(), undefined);
  fixture.placement.end(serverA, true);
  assert.is(fixture.pick(), 'a');
});

eligibility('skipped servers and pools without a share get no requests', async () => {
  const unshared = makeServer('u', { pool: 'unshared' });
  const fixture = await PlacementFixture.createPolled([serverA, unshared]);
  assert.is(fixture.pick(['a']), undefined);
  assert.is(fixture.hasUsableServer(['a']), false);
  assert.is(fixture.placement.isAllowed(unshared, fixture.route), false);
  assert.is(fixture.placement.isAllowed(serverA, fixture.route), true);
});

eligibility(
  'a server that was removed or changed its address or pool after the pick is not allowed',
  async () => {
    for (const change of [{ url: 'http://127.0.0.1:2/a' }, { pool: 'second' }]) {
      const fixture = await PlacementFixture.createPolled([serverA]);
      fixture.list(makeServer('a', change));
      await fixture.placement.poll();
      assert.is(fixture.placement.isAllowed(serverA, fixture.route), false);
    }
    const fixture = await PlacementFixture.createPolled([serverA]);
    fixture.remove('a');
    assert.is(fixture.placement.isAllowed(serverA, fixture.route), false);
  },
);

eligibility(
  'observations of a server do not apply to another address with the same id',
  async () => {
    const fixture = await PlacementFixture.createPolled([serverA]);
    fixture.list(makeServer('a', { url: 'http://127.0.0.1:2/a' }));
    assert.is(fixture.pick(), undefined);
    fixture.recordFailures(serverA, 3);
    fixture.remove('a');
    await fixture.placement.poll();
    assert.is(fixture.placement.failuresOf('a'), 0);
    fixture.list(serverA);
    await fixture.placement.poll();
    assert.is(fixture.pick(), 'a');
  },
);

eligibility('a poll of new servers polls no others', async () => {
  const fixture = await PlacementFixture.createPolled([serverA]);
  fixture.list(serverB);
  fixture.statuses.set('b', { busy: 0, draining: false });
  await fixture.clock.run(pollIntervalMs);
  await fixture.placement.poll(true);
  assert.equal(fixture.polledServerIds, ['a', 'b']);
});

eligibility('a server is reported unhealthy from its third failure on', () => {
  const fixture = new PlacementFixture([serverA], 0);
  fixture.recordFailures(serverA, 2);
  assert.equal(
    fixture.placement.report().map(({ id, ok }) => [id, ok]),
    [['a', true]],
  );
  fixture.recordFailures(serverA, 1);
  assert.is(fixture.placement.report()[0]?.ok, false);
});

eligibility('the credit of a pool that could not be used is bounded', async () => {
  const second = makeServer('s', { pool: 'second', draining: true });
  const fixture = await PlacementFixture.createPolled([serverA, second]);
  for (let i = 0; i < 100; i++) assert.is(fixture.pick(), 'a');
  fixture.list(makeServer('s', { pool: 'second' }));
  const picked = Array.from({ length: 40 }, () => fixture.pick());
  assert.is(picked.indexOf('a'), 16);
});

eligibility(
  'the least recently sent prefixes are evicted beyond the size of the index',
  async () => {
    const fixture = await PlacementFixture.createPolled([serverA, serverB]);
    const prefix = (index: number) => [{ name: `p${index}`, tokens: 64 }];
    fixture.placement.begin(serverB, prefix(0));
    fixture.placement.end(serverB, true);
    const pick = (index: number) =>
      fixture.placement.pick(fixture.route, prefix(index), '', new Set())?.id;
    const pickedWithoutPrefix = pick(-1);
    const pickedWithPrefix = pick(0);
    assert.is(pickedWithPrefix, 'b');
    const otherBlocks = Array.from({ length: 20_000 }, (_, index) => prefix(index + 1)).flat();
    fixture.placement.begin(
      pickedWithoutPrefix === 'a' ? serverB : serverA,
      otherBlocks.slice(0, 19_999),
    );
    fixture.placement.end(pickedWithoutPrefix === 'a' ? serverB : serverA, true);
    assert.is(pick(0), 'b');
    fixture.placement.begin(
      pickedWithoutPrefix === 'a' ? serverB : serverA,
      otherBlocks.slice(19_999),
    );
    fixture.placement.end(pickedWithoutPrefix === 'a' ? serverB : serverA, true);
    assert.is(pick(0), pickedWithoutPrefix);
  },
);

eligibility('a cached block does not count after a block that is not cached', async () => {
  const fixture = await PlacementFixture.createPolled([serverA, serverB]);
  const blocks = [
    { name: 'p0', tokens: 10 },
    { name: 'p1', tokens: 10 },
    { name: 'p2', tokens: 980 },
  ];
  const sentBlocks = blocks.filter(({ name }) => name !== 'p1');
  const pick = (prompt: typeof blocks) =>
    fixture.placement.pick(fixture.route, prompt, '', new Set())?.id;
  fixture.placement.begin(serverB, sentBlocks);
  assert.is(pick(sentBlocks), 'b');
  assert.is(pick(blocks), 'a');
});

eligibility.run();
