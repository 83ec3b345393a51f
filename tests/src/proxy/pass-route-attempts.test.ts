/** Pass routes: which servers are tried, and what becomes of requests that wait. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { passAt, type ServerFaults } from '@tillerstair/sim';
import { slotForKey } from '@tillerstair/state';
import { opKeyOf } from '@tillerstair/session-owner';
import {
  assertNoBreach,
  fiveControls,
  passed,
  passConfigText,
  passUp,
  recordsOf,
  runsOf,
  small,
  ownerOf,
} from '../support/world-helpers.js';
import { firstOf } from '../support/machines.js';

const tries = suite('tries and queues of pass routes');

const seeds = [11, 12, 13];

const shops = ['s1', 's2'];

tries('who declines is passed over for the next server', async () => {
  for (const path of ['/keyed/x', '/once/x', '/again/x']) {
    const w = await passUp(11, small);
    w.servers.set('s1', { declines: true });
    for (let i = 0; i < 6; i++) {
      const reported = await passed(w, {
        path,
        key: path === '/keyed/x' ? `k${i}` : '',
        body: 'a',
      });
      assert.is(reported.reported, 'done', reported.errorCode);
      assert.is(runsOf(w, reported.attempt)[0]?.server, 's2');
    }
    assertNoBreach(recordsOf(w));
  }
});

tries(
  'no more servers are tried than the route says, and what none ran is refused and never runs',
  async () => {
    for (const path of ['/keyed/x', '/once/x', '/again/x', '/flow/x', '/turn/x']) {
      const w = await passUp(11, small);
      for (const id of ['s3', 's4'])
        await w.operate(
          'PUT',
          `/v1/servers/${id}`,
          JSON.stringify({ pool: 'shop', url: 'http://127.0.0.1:1' }),
        );
      for (const id of ['m3', 'm4'])
        await w.operate(
          'PUT',
          `/v1/servers/${id}`,
          JSON.stringify({ pool: 'models', url: 'http://127.0.0.1:1' }),
        );
      await w.clock.run(600);
      const all = ['s1', 's2', 's3', 's4', 'm1', 'm2', 'm3', 'm4'];
      for (const id of all) w.servers.set(id, { declines: true });
      const asked = w.servers.asked;
      const reported = await passed(w, { path, key: path === '/keyed/x' ? 'k' : '', body: 'a' });
      assert.is(reported.reported, 'refused');
      assert.is(reported.status, 503);
      assert.ok(reported.retryAfter > 0);
      assert.is(w.servers.asked - asked, 2, path);
      for (const id of all) w.servers.set(id, { declines: false });
      await w.clock.run(15000);
      assert.is(runsOf(w, reported.attempt).length, 0);
      if (path === '/keyed/x')
        assert.is((await passed(w, { path, key: 'k', body: 'a' })).reported, 'done');
      assertNoBreach(recordsOf(w));
    }
  },
);

tries('servers that cannot be reached do not count as tries', async () => {
  for (const path of ['/keyed/x', '/once/x', '/again/x']) {
    const w = await passUp(11, small);
    for (const id of ['s3', 's4'])
      await w.operate(
        'PUT',
        `/v1/servers/${id}`,
        JSON.stringify({ pool: 'shop', url: 'http://127.0.0.1:1' }),
      );
    await w.clock.run(600);
    for (const id of ['s1', 's2', 's3']) w.servers.set(id, { refuses: true });
    const reported = await passed(w, { path, key: path === '/keyed/x' ? 'k' : '', body: 'a' });
    assert.is(reported.reported, 'done', reported.errorCode);
    assertNoBreach(recordsOf(w));
  }
});

tries('once: a lost answer is unknown and not asked for elsewhere', async () => {
  for (const fault of [
    { loseEvery: 1 },
    { namesOtherAttempt: true },
    { cutEvery: 1 },
  ] satisfies Partial<ServerFaults>[]) {
    const w = await passUp(12, small);
    for (const id of shops) w.servers.set(id, fault);
    const reported = await passed(w, { path: '/once/x', body: 'a' });
    assert.is(reported.reported, 'unknown');
    await w.clock.run(5000);
    assert.is(runsOf(w, reported.attempt).length, 1);
    assertNoBreach(recordsOf(w));
  }
});

tries('repeatable: a lost answer is asked for at another server, within the tries', async () => {
  const w = await passUp(13, small);
  w.servers.set('s1', { loseEvery: 1 });
  for (let i = 0; i < 6; i++) {
    const reported = await passed(w, { path: '/again/x', body: `${i}` });
    assert.is(reported.reported, 'done');
    assert.is(reported.body, runsOf(w, reported.attempt).find((r) => r.server === 's2')?.reply);
  }
  w.servers.set('s2', { loseEvery: 1 });
  const reported = await passed(w, { path: '/again/x', body: 'b' });
  assert.is(reported.reported, 'unknown');
  assert.is(runsOf(w, reported.attempt).length, 2);
  assertNoBreach(recordsOf(w));
});

tries('a request whose time is over while it waits is refused and never runs', async () => {
  const w = await passUp(14, small, { bounds: { perServer: 1 } });
  for (const id of shops) w.servers.set(id, { slow: 100 });
  const at = w.of('front')[0];
  const held = shops.map((id) => passAt(w, { path: '/once/x', body: id, deadlineMs: 8000 }, at));
  await w.clock.run(50);
  const late = await passed(w, { path: '/once/x', body: 'late', deadlineMs: 300 }, at);
  assert.is(late.reported, 'refused', late.errorCode);
  await w.clock.finish('held', Promise.all(held), 30000);
  await w.clock.run(5000);
  assert.is(runsOf(w, late.attempt).length, 0);
  assertNoBreach(recordsOf(w));
});

tries(
  'what waits in line for a pool that its route leaves runs where the route leads now',
  async () => {
    for (const path of ['/keyed/x', '/once/x', '/turn/x', '/flow/x']) {
      const w = await passUp(15, small, { bounds: { perServer: 1 } });
      for (const id of [...shops, 'm1', 'm2']) w.servers.set(id, { slow: 60 });
      const slotKey = path === '/turn/x' ? 'p/x-pro' : opKeyOf('t', 'k');
      const at = ownerOf(w, slotKey);
      const held = Array.from({ length: 8 }, (_, i) =>
        passAt(
          w,
          { path: path === '/keyed/x' ? '/once/x' : path, program: 'pro', body: `${i}` },
          at,
        ),
      );
      await w.clock.run(100);
      const wait = passAt(
        w,
        { path, key: path === '/keyed/x' ? 'k' : '', program: 'pro', body: 'wait' },
        at,
      );
      await w.clock.run(100);
      assert.ok((at?.front?.owner.waiting ?? 0) > 0);
      assert.is(
        (
          await w.operate(
            'PUT',
            '/v1/config',
            passConfigText(1, 'others', 'mart', 'memo', { bounds: { perServer: 1 } }),
          )
        ).status,
        200,
      );
      const from = w.clock.now();
      const reported = await w.clock.finish('wait', wait, 30000);
      await w.clock.finish('held', Promise.all(held), 60000);
      assert.is(reported.reported, 'done', reported.errorCode);
      assert.ok(['others', 'mart'].includes(runsOf(w, reported.attempt)[0]?.pool ?? ''));
      assert.equal(
        w.servers.executed.filter((r) => r.began > from && ['models', 'shop'].includes(r.pool)),
        [],
      );
    }
  },
);

const ConfigWithRoutes = z.looseObject({ routes: z.array(z.looseObject({ name: z.string() })) });

tries('what waits in line for a route that is dropped is refused', async () => {
  const w = await passUp(16, small, { bounds: { perServer: 1 } });
  for (const id of shops) w.servers.set(id, { slow: 60 });
  const at = w.of('front')[0];
  const held = Array.from({ length: 4 }, (_, i) =>
    passAt(w, { path: '/once/x', body: `${i}` }, at),
  );
  await w.clock.run(50);
  const text = ConfigWithRoutes.parse(
    JSON.parse(passConfigText(1, 'models', 'shop', 'memo', { bounds: { perServer: 1 } })),
  );
  const routes = text.routes.filter((route) => route.name !== 'pass-once');
  assert.is(
    (await w.operate('PUT', '/v1/config', JSON.stringify({ ...text, routes }))).status,
    200,
  );
  const reported = await w.clock.finish('held', Promise.all(held), 60000);
  assert.equal(reported.map((t) => t.reported).sort(), ['done', 'done', 'refused', 'refused']);
  assertNoBreach(recordsOf(w));
  assert.is((await passed(w, { path: '/once/x' }, at)).status, 404);
});

tries(
  'a front told to stop hands its slots over and serves what is under way, kept waiting or new',
  async () => {
    for (const seed of seeds) {
      const w = await passUp(seed, fiveControls);
      const a = firstOf(w, 'front');
      const id = a.front?.id ?? '';
      const mine = Array.from({ length: 60 }, (_, i) => `k${i}`).filter(
        (k) => ownerOf(w, opKeyOf('t', k)) === a,
      );
      assert.ok(mine.length > 4);
      const going = mine
        .slice(0, 3)
        .map((key) => passAt(w, { path: '/keyed/x', key, body: 'a' }, a));
      const stream = passAt(
        w,
        { path: '/turn/x', program: 'pro', most: 10, budget: 50, body: 'go' },
        a,
      );
      await w.clock.run(4);
      const stopped = a.stopGracefully();
      const end = { reached: false };
      void stopped.then(() => {
        end.reached = true;
      });
      const more: ReturnType<typeof passAt>[] = [];
      for (let i = 0; i < 12; i++) {
        await w.clock.run(100);
        if (!end.reached)
          more.push(
            passAt(
              w,
              { path: i % 2 ? '/once/x' : '/keyed/x', key: i % 2 ? '' : `n${i}`, body: 'b' },
              a,
            ),
          );
      }
      await w.clock.finish('stopped', stopped, 20000);
      const reported = await w.clock.finish('all', Promise.all([...going, stream, ...more]), 30000);
      assert.equal(
        reported
          .filter((t) => t.reported !== 'done')
          .map((t) => `${t.path} ${t.reported} ${t.errorCode}`),
        [],
      );
      const s = w.committed;
      assert.not.ok(s?.slots.some((x) => x.owner === id));
      assert.not.ok(s?.nodes.has(id));
      const key = mine[3] ?? '';
      assert.ok(slotForKey(opKeyOf('t', key), w.slots) >= 0);
      assert.is((await passed(w, { path: '/keyed/x', key, body: 'a' })).reported, 'done');
      assertNoBreach(recordsOf(w));
    }
  },
);

tries(
  'a front that cannot reach the controls tells callers to come back and runs nothing',
  async () => {
    const w = await passUp(17, small);
    const [a] = w.of('front');
    w.net.cutBoth(
      [a.addr],
      w.machines.filter((m) => m !== a).map((m) => m.addr),
    );
    await w.clock.run(4000);
    const executed = w.servers.executed.length;
    for (const path of ['/keyed/x', '/once/x', '/again/x', '/turn/x']) {
      const reported = await passed(w, { path, key: path === '/keyed/x' ? 'k' : '', body: 'a' }, a);
      assert.is(reported.reported, 'refused');
      assert.is(reported.status, 503);
    }
    assert.is(w.servers.executed.length, executed);
  },
);

tries.run();
