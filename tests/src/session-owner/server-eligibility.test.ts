/** Which servers get nothing new: draining, unhealthy, full, barred, unknown, or outside the route's shares. */
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

const eligibility = suite('servers that may get work');

const a = makeServer('a');
const b = makeServer('b');

/** Nothing new goes to server `a`, neither picked, nor counted usable, nor allowed after a pick. */
const assertNothingNew = (fixture: PlacementFixture): void => {
  assert.is(fixture.pick(), undefined);
  assert.is(fixture.hasUsableServer(), false);
  assert.is(fixture.placement.isAllowed(a, fixture.route), false);
};

eligibility('a healthy server that replied gets work', async () => {
  const fixture = await PlacementFixture.createPolled([a]);
  assert.is(fixture.pick(), 'a');
  assert.is(fixture.hasUsableServer(), true);
  assert.is(fixture.placement.isAllowed(a, fixture.route), true);
});

eligibility('a server that the operator drains gets nothing new', async () => {
  const fixture = await PlacementFixture.createPolled([a]);
  fixture.list(makeServer('a', { draining: true }));
  assertNothingNew(fixture);
});

eligibility('a server that says itself that it drains gets nothing new', async () => {
  const fixture = await PlacementFixture.createPolled([a]);
  fixture.statuses.set('a', { busy: 0, draining: true });
  await fixture.placement.poll();
  assertNothingNew(fixture);
});

eligibility('a server that its list bars gets nothing new', async () => {
  const fixture = await PlacementFixture.createPolled([a]);
  fixture.placement.setBarred(new Set(['a']));
  assertNothingNew(fixture);
  const unpolled = new PlacementFixture([a]);
  unpolled.placement.setBarred(new Set(['a']));
  assertNothingNew(unpolled);
});

eligibility('a server whose last reply is too old gets nothing new', async () => {
  const fixture = await PlacementFixture.createPolled([a]);
  await fixture.clock.run(loadValidForMs);
  assert.is(fixture.pick(), 'a');
  await fixture.clock.run(1);
  assertNothingNew(fixture);
});

eligibility('a server that was never polled gets nothing, but its route is not refused yet', () => {
  const fixture = new PlacementFixture([a]);
  assert.is(fixture.pick(), undefined);
  assert.is(fixture.hasUsableServer(), true);
  fixture.recordFailures(a, 1);
  assert.is(fixture.hasUsableServer(), false);
});

eligibility('servers need not reply where none is polled', async () => {
  const fixture = new PlacementFixture([a], 0);
  await fixture.placement.poll();
  assert.is(fixture.pick(), 'a');
  assert.equal(fixture.polledServerIds, []);
});

eligibility('a server that failed three times gets nothing, and is tried again later', async () => {
  const fixture = new PlacementFixture([a], 0);
  fixture.recordFailures(a, 2);
  assert.is(fixture.pick(), 'a');
  fixture.recordFailures(a, 1);
  assert.is(fixture.pick(), undefined);
  assert.is(fixture.hasUsableServer(), false);
  await fixture.clock.run(retryAfterMs);
  assert.is(fixture.pick(), undefined);
  await fixture.clock.run(1);
  assert.is(fixture.pick(), 'a');
  assert.is(fixture.hasUsableServer(), true);
});

eligibility('a server that failed, or is down for all, comes after every healthy one', async () => {
  const fixture = await PlacementFixture.createPolled([a, b]);
  fixture.recordFailures(a, 1);
  assert.is(fixture.pick(), 'b');
  fixture.placement.begin(b, []);
  assert.is(fixture.pick(), 'b');
  const down = await PlacementFixture.createPolled([makeServer('a', { down: true }), b]);
  down.placement.begin(b, []);
  assert.is(down.pick(), 'b');
  assert.is(down.pick(['b']), 'a');
});

eligibility('a full server gets nothing more', async () => {
  const fixture = await PlacementFixture.createPolled([a]);
  for (let n = 0; n < maxInFlightPerServer; n++) {
    assert.is(fixture.pick(), 'a');
    fixture.placement.begin(a, []);
  }
  assert.is(fixture.pick(), undefined);
  fixture.placement.end(a, true);
  assert.is(fixture.pick(), 'a');
});

eligibility('servers to be skipped and pools without a share get nothing', async () => {
  const unshared = makeServer('u', { pool: 'unshared' });
  const fixture = await PlacementFixture.createPolled([a, unshared]);
  assert.is(fixture.pick(['a']), undefined);
  assert.is(fixture.hasUsableServer(['a']), false);
  assert.is(fixture.placement.isAllowed(unshared, fixture.route), false);
  assert.is(fixture.placement.isAllowed(a, fixture.route), true);
});

eligibility('a server that is removed, or moved since the pick, is not allowed', async () => {
  for (const change of [{ url: 'http://127.0.0.1:2/a' }, { pool: 'second' }]) {
    const fixture = await PlacementFixture.createPolled([a]);
    fixture.list(makeServer('a', change));
    await fixture.placement.poll();
    assert.is(fixture.placement.isAllowed(a, fixture.route), false);
  }
  const fixture = await PlacementFixture.createPolled([a]);
  fixture.remove('a');
  assert.is(fixture.placement.isAllowed(a, fixture.route), false);
});

eligibility('nothing that was seen of a server counts for another at its id', async () => {
  const fixture = await PlacementFixture.createPolled([a]);
  fixture.list(makeServer('a', { url: 'http://127.0.0.1:2/a' }));
  assert.is(fixture.pick(), undefined);
  fixture.recordFailures(a, 3);
  fixture.remove('a');
  await fixture.placement.poll();
  assert.is(fixture.placement.failuresOf('a'), 0);
  fixture.list(a);
  await fixture.placement.poll();
  assert.is(fixture.pick(), 'a');
});

eligibility('a poll of new servers alone asks no other', async () => {
  const fixture = await PlacementFixture.createPolled([a]);
  fixture.list(b);
  fixture.statuses.set('b', { busy: 0, draining: false });
  await fixture.clock.run(pollIntervalMs);
  await fixture.placement.poll(true);
  assert.equal(fixture.polledServerIds, ['a', 'b']);
});

eligibility('a server is reported unhealthy from its third failure on', () => {
  const fixture = new PlacementFixture([a], 0);
  fixture.recordFailures(a, 2);
  assert.equal(
    fixture.placement.report().map(({ id, ok }) => [id, ok]),
    [['a', true]],
  );
  fixture.recordFailures(a, 1);
  assert.is(fixture.placement.report()[0]?.ok, false);
});

eligibility('the credit of a pool that was closed for long is bounded', async () => {
  const second = makeServer('s', { pool: 'second', draining: true });
  const fixture = await PlacementFixture.createPolled([a, second]);
  for (let n = 0; n < 100; n++) assert.is(fixture.pick(), 'a');
  fixture.list(makeServer('s', { pool: 'second' }));
  const picked = Array.from({ length: 40 }, () => fixture.pick());
  assert.is(picked.indexOf('a'), 16);
});

eligibility('the oldest prefixes are dropped beyond the bound of the index', async () => {
  const fixture = await PlacementFixture.createPolled([a, b]);
  const prefix = (n: number) => [{ name: `p${n}`, tokens: 64 }];
  fixture.placement.begin(b, prefix(0));
  fixture.placement.end(b, true);
  const pick = (n: number) => fixture.placement.pick(fixture.route, prefix(n), '', new Set())?.id;
  const unknown = pick(-1);
  const warm = pick(0);
  assert.is(warm, 'b');
  const many = Array.from({ length: 20_000 }, (_, n) => prefix(n + 1)).flat();
  fixture.placement.begin(unknown === 'a' ? b : a, many.slice(0, 19_999));
  fixture.placement.end(unknown === 'a' ? b : a, true);
  assert.is(pick(0), 'b');
  fixture.placement.begin(unknown === 'a' ? b : a, many.slice(19_999));
  fixture.placement.end(unknown === 'a' ? b : a, true);
  assert.is(pick(0), unknown);
});

eligibility('a block behind one that a server was not sent counts for nothing', async () => {
  const fixture = await PlacementFixture.createPolled([a, b]);
  const blocks = [
    { name: 'p0', tokens: 10 },
    { name: 'p1', tokens: 10 },
    { name: 'p2', tokens: 980 },
  ];
  const sent = blocks.filter(({ name }) => name !== 'p1');
  const pick = (prompt: typeof blocks) =>
    fixture.placement.pick(fixture.route, prompt, '', new Set())?.id;
  fixture.placement.begin(b, sent);
  assert.is(pick(sent), 'b');
  assert.is(pick(blocks), 'a');
});

eligibility.run();
