/** Pass routes answered whole: a key runs once, whatever fails. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { passAt, type World, type ServerFaults } from '@tillerstair/sim';
import { opKeyOf } from '@tillerstair/session-owner';
import {
  assertNoBreach,
  passed,
  passConfigText,
  passUp,
  recordsOf,
  restart,
  runsOf,
  small,
  ownerOf,
} from '../support/world-helpers.js';

const pass = suite('pass routes answered whole');

const seeds = [11, 12, 13];

const shops = ['s1', 's2'];

const runs = (w: World, key: string): number =>
  w.servers.executed.filter((r) => r.key === key).length;

pass('a key at two fronts at once runs once and both get the same bytes', async () => {
  for (const seed of seeds) {
    const w = await passUp(seed, small);
    const both = await w.clock.finish(
      'both',
      Promise.all(
        w.of('front').map((m) => passAt(w, { path: '/keyed/x', key: 'twin', body: 'a' }, m)),
      ),
      30000,
    );
    assert.equal(
      both.map((t) => t.reported),
      ['done', 'done'],
    );
    assert.is(runs(w, 'twin'), 1);
    assert.is(both[0]?.body, w.servers.executed.find((r) => r.key === 'twin')?.reply);
    assert.is(both[0]?.body, both[1]?.body);
    assertNoBreach(recordsOf(w));
  }
});

pass('a key used with another body is refused and not run', async () => {
  const w = await passUp(11, small);
  assert.is((await passed(w, { path: '/keyed/x', key: 'k', body: 'a' })).reported, 'done');
  assert.is((await passed(w, { path: '/keyed/x', key: 'k', body: 'b' })).status, 422);
  assert.is(runs(w, 'k'), 1);
});

pass('a key whose owner dies between intent and answer is unknown for good', async () => {
  for (const seed of seeds) {
    const w = await passUp(seed, small);
    const owner = ownerOf(w, opKeyOf('t', 'k'));
    const other = w.of('front').find((m) => m !== owner);
    const first = passAt(w, { path: '/keyed/x', key: 'k', body: 'a' }, other);
    await w.clock.until('it is sent', () => w.servers.asked > 0, 5000);
    owner?.kill();
    assert.is((await w.clock.finish('first', first, 30000)).reported, 'unknown');
    for (let i = 0; i < 5; i++) {
      await w.clock.run(900);
      assert.is(
        (await passed(w, { path: '/keyed/x', key: 'k', body: 'a' }, other)).reported,
        'unknown',
      );
    }
    assert.ok(runs(w, 'k') <= 1);
    assertNoBreach(recordsOf(w));
  }
});

pass(
  'what an owner that left may have run is never told as refused while the next one cannot look',
  async () => {
    const w = await passUp(11, small);
    for (const id of shops) w.servers.set(id, { slow: 300 });
    const owner = ownerOf(w, opKeyOf('t', 'k'));
    const other = w.of('front').find((m) => m !== owner);
    const first = passAt(w, { path: '/keyed/x', key: 'k', body: 'a' }, other);
    await w.clock.until('it is sent', () => w.servers.asked > 0, 5000);
    for (const m of w.of('store').slice(0, 2)) m.kill('power');
    owner?.killAgent();
    const reported = await w.clock.finish('first', first, 30000);
    await w.clock.run(15000);
    assert.is(reported.reported, 'unknown');
    assert.is(runs(w, 'k'), 1);
  },
);

pass(
  'a key whose answer was lost is unknown and never run again, over a full stop too',
  async () => {
    for (const fault of [
      { loseEvery: 1 },
      { namesOtherAttempt: true },
      { cutEvery: 1 },
    ] satisfies Partial<ServerFaults>[]) {
      const w = await passUp(11, small);
      for (const id of shops) w.servers.set(id, fault);
      assert.is((await passed(w, { path: '/keyed/x', key: 'k', body: 'a' })).reported, 'unknown');
      for (const id of shops)
        w.servers.set(id, { loseEvery: 0, namesOtherAttempt: false, cutEvery: 0 });
      assert.is((await passed(w, { path: '/keyed/x', key: 'k', body: 'a' })).reported, 'unknown');
      await restart(w);
      assert.is((await passed(w, { path: '/keyed/x', key: 'k', body: 'a' })).reported, 'unknown');
      assert.is(runs(w, 'k'), 1);
      assertNoBreach(recordsOf(w));
    }
  },
);

pass('a lost answer is asked for again where servers keep a record of keys', async () => {
  const w = await passUp(11, small);
  for (const id of ['k1', 'k2']) w.servers.set(id, { loseEvery: 1 });
  const lost = await passed(w, { path: '/own/x', key: 'k', body: 'a' });
  assert.is(lost.reported, 'unknown');
  assert.is(runsOf(w, lost.attempt).length, 2);
  for (const id of ['k1', 'k2']) w.servers.set(id, { loseEvery: 0 });
  assert.is((await passed(w, { path: '/own/x', key: 'k', body: 'a' })).reported, 'done');
});

pass(
  'a key lost at servers without a record of keys is not run by those that keep one',
  async () => {
    const w = await passUp(11, small);
    for (const id of shops) w.servers.set(id, { loseEvery: 1 });
    assert.is((await passed(w, { path: '/keyed/x', key: 'k', body: 'a' })).reported, 'unknown');
    assert.is(
      (await w.operate('PUT', '/v1/config', passConfigText(1, 'models', 'memo'))).status,
      200,
    );
    await w.clock.run(1500);
    assert.is((await passed(w, { path: '/keyed/x', key: 'k', body: 'a' })).reported, 'unknown');
    assert.is(runs(w, 'k'), 1);
  },
);

pass('a key that may have run stays so though a later try was declined', async () => {
  const w = await passUp(11, small);
  for (const id of ['k1', 'k2']) w.servers.set(id, { loseEvery: 1 });
  assert.is((await passed(w, { path: '/own/x', key: 'k', body: 'a' })).reported, 'unknown');
  const before = runs(w, 'k');
  for (const id of ['k1', 'k2']) w.servers.set(id, { loseEvery: 0, declines: true });
  assert.is.not((await passed(w, { path: '/own/x', key: 'k', body: 'a' })).reported, 'done');
  assert.is(
    (await w.operate('PUT', '/v1/config', passConfigText(1, 'models', 'shop', 'shop'))).status,
    200,
  );
  await w.clock.run(1500);
  assert.is((await passed(w, { path: '/own/x', key: 'k', body: 'a' })).reported, 'unknown');
  assert.is(runs(w, 'k'), before);
});

pass('the answer of a key is kept though two stores lose power in that moment', async () => {
  for (const seed of seeds) {
    const w = await passUp(seed, small);
    const first = await passed(w, { path: '/keyed/x', key: 'k', body: 'a' });
    for (const m of w.of('store').slice(seed % 2, (seed % 2) + 2)) m.kill('power');
    ownerOf(w, opKeyOf('t', 'k'))?.kill('power');
    w.start(w.machines.filter((m) => !m.up));
    await w.clock.until(
      'serving',
      () => w.readyFronts().length === 2 && w.slotsReplicated(),
      20000,
    );
    await w.clock.run(500);
    const again = await passed(w, { path: '/keyed/x', key: 'k', body: 'a' });
    assert.is(again.reported, 'done', again.errorCode);
    assert.is(again.body, first.body);
    assert.is(runs(w, 'k'), 1);
    assertNoBreach(recordsOf(w));
  }
});

pass.run();
