/** Pass routes: which servers are tried, and the outcome of queued requests. */
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

const attempts = suite('attempts and queues of pass routes');

const seeds = [11, 12, 13];

const shopServers = ['s1', 's2'];

attempts('a request that a server declines runs at the next server', async () => {
  for (const path of ['/keyed/x', '/once/x', '/again/x']) {
    const world = await passUp(11, small);
    world.servers.set('s1', { declines: true });
    for (let i = 0; i < 6; i++) {
      const reported = await passed(world, {
        path,
        key: path === '/keyed/x' ? `k${i}` : '',
        body: 'a',
      });
      assert.is(reported.reported, 'done', reported.errorCode);
      assert.is(runsOf(world, reported.attempt)[0]?.server, 's2');
    }
    assertNoBreach(recordsOf(world));
  }
});

attempts(
  'no more servers are tried than the route allows, and a request that none ran is refused and never runs',
  async () => {
    for (const path of ['/keyed/x', '/once/x', '/again/x', '/flow/x', '/turn/x']) {
      const world = await passUp(11, small);
      for (const id of ['s3', 's4'])
        await world.operate(
          'PUT',
          `/v1/servers/${id}`,
          JSON.stringify({ pool: 'shop', url: 'http://127.0.0.1:1' }),
        );
      for (const id of ['m3', 'm4'])
        await world.operate(
          'PUT',
          `/v1/servers/${id}`,
          JSON.stringify({ pool: 'models', url: 'http://127.0.0.1:1' }),
        );
      await world.clock.run(600);
      const serverIds = ['s1', 's2', 's3', 's4', 'm1', 'm2', 'm3', 'm4'];
      for (const id of serverIds) world.servers.set(id, { declines: true });
      const requestsBefore = world.servers.asked;
      const reported = await passed(world, {
        path,
        key: path === '/keyed/x' ? 'k' : '',
        body: 'a',
      });
      assert.is(reported.reported, 'refused');
      assert.is(reported.status, 503);
      assert.ok(reported.retryAfter > 0);
      assert.is(world.servers.asked - requestsBefore, 2, path);
      for (const id of serverIds) world.servers.set(id, { declines: false });
      await world.clock.run(15000);
      assert.is(runsOf(world, reported.attempt).length, 0);
      if (path === '/keyed/x')
        assert.is((await passed(world, { path, key: 'k', body: 'a' })).reported, 'done');
      assertNoBreach(recordsOf(world));
    }
  },
);

attempts('servers that cannot be reached do not count as attempts', async () => {
  for (const path of ['/keyed/x', '/once/x', '/again/x']) {
    const world = await passUp(11, small);
    for (const id of ['s3', 's4'])
      await world.operate(
        'PUT',
        `/v1/servers/${id}`,
        JSON.stringify({ pool: 'shop', url: 'http://127.0.0.1:1' }),
      );
    await world.clock.run(600);
    for (const id of ['s1', 's2', 's3']) world.servers.set(id, { refuses: true });
    const reported = await passed(world, { path, key: path === '/keyed/x' ? 'k' : '', body: 'a' });
    assert.is(reported.reported, 'done', reported.errorCode);
    assertNoBreach(recordsOf(world));
  }
});

attempts(
  'once: after a lost response the outcome is unknown and no other server is tried',
  async () => {
    for (const fault of [
      { loseEvery: 1 },
      { namesOtherAttempt: true },
      { cutEvery: 1 },
    ] satisfies Partial<ServerFaults>[]) {
      const world = await passUp(12, small);
      for (const id of shopServers) world.servers.set(id, fault);
      const reported = await passed(world, { path: '/once/x', body: 'a' });
      assert.is(reported.reported, 'unknown');
      await world.clock.run(5000);
      assert.is(runsOf(world, reported.attempt).length, 1);
      assertNoBreach(recordsOf(world));
    }
  },
);

attempts(
  'repeatable: after a lost response another server is tried, within the attempts of the route',
  async () => {
    const world = await passUp(13, small);
    world.servers.set('s1', { loseEvery: 1 });
    for (let i = 0; i < 6; i++) {
      const reported = await passed(world, { path: '/again/x', body: `${i}` });
      assert.is(reported.reported, 'done');
      assert.is(
        reported.body,
        runsOf(world, reported.attempt).find((run) => run.server === 's2')?.reply,
      );
    }
    world.servers.set('s2', { loseEvery: 1 });
    const reported = await passed(world, { path: '/again/x', body: 'b' });
    assert.is(reported.reported, 'unknown');
    assert.is(runsOf(world, reported.attempt).length, 2);
    assertNoBreach(recordsOf(world));
  },
);

attempts('a request that times out in the queue is refused and never runs', async () => {
  const world = await passUp(14, small, { bounds: { perServer: 1 } });
  for (const id of shopServers) world.servers.set(id, { slow: 100 });
  const front = world.of('front')[0];
  const queued = shopServers.map((id) =>
    passAt(world, { path: '/once/x', body: id, deadlineMs: 8000 }, front),
  );
  await world.clock.run(50);
  const late = await passed(world, { path: '/once/x', body: 'late', deadlineMs: 300 }, front);
  assert.is(late.reported, 'refused', late.errorCode);
  await world.clock.finish('queued', Promise.all(queued), 30000);
  await world.clock.run(5000);
  assert.is(runsOf(world, late.attempt).length, 0);
  assertNoBreach(recordsOf(world));
});

attempts(
  'a request queued for a pool that is removed from its route runs in the new pool of the route',
  async () => {
    for (const path of ['/keyed/x', '/once/x', '/turn/x', '/flow/x']) {
      const world = await passUp(15, small, { bounds: { perServer: 1 } });
      for (const id of [...shopServers, 'm1', 'm2']) world.servers.set(id, { slow: 60 });
      const slotKey = path === '/turn/x' ? 'p/x-pro' : opKeyOf('t', 'k');
      const front = ownerOf(world, slotKey);
      const queued = Array.from({ length: 8 }, (_, i) =>
        passAt(
          world,
          { path: path === '/keyed/x' ? '/once/x' : path, program: 'pro', body: `${i}` },
          front,
        ),
      );
      await world.clock.run(100);
      const waiting = passAt(
        world,
        { path, key: path === '/keyed/x' ? 'k' : '', program: 'pro', body: 'wait' },
        front,
      );
      await world.clock.run(100);
      assert.ok((front?.front?.owner.waiting ?? 0) > 0);
      assert.is(
        (
          await world.operate(
            'PUT',
            '/v1/config',
            passConfigText(1, 'others', 'mart', 'memo', { bounds: { perServer: 1 } }),
          )
        ).status,
        200,
      );
      const changedAt = world.clock.now();
      const reported = await world.clock.finish('wait', waiting, 30000);
      await world.clock.finish('queued', Promise.all(queued), 60000);
      assert.is(reported.reported, 'done', reported.errorCode);
      assert.ok(['others', 'mart'].includes(runsOf(world, reported.attempt)[0]?.pool ?? ''));
      assert.equal(
        world.servers.executed.filter(
          (run) => run.began > changedAt && ['models', 'shop'].includes(run.pool),
        ),
        [],
      );
    }
  },
);

const ConfigWithRoutes = z.looseObject({ routes: z.array(z.looseObject({ name: z.string() })) });

attempts('a request queued for a route that is removed is refused', async () => {
  const world = await passUp(16, small, { bounds: { perServer: 1 } });
  for (const id of shopServers) world.servers.set(id, { slow: 60 });
  const front = world.of('front')[0];
  const queued = Array.from({ length: 4 }, (_, i) =>
    passAt(world, { path: '/once/x', body: `${i}` }, front),
  );
  await world.clock.run(50);
  const text = ConfigWithRoutes.parse(
    JSON.parse(passConfigText(1, 'models', 'shop', 'memo', { bounds: { perServer: 1 } })),
  );
  const routes = text.routes.filter((route) => route.name !== 'pass-once');
  assert.is(
    (await world.operate('PUT', '/v1/config', JSON.stringify({ ...text, routes }))).status,
    200,
  );
  const reported = await world.clock.finish('queued', Promise.all(queued), 60000);
  assert.equal(reported.map((record) => record.reported).sort(), [
    'done',
    'done',
    'refused',
    'refused',
  ]);
  assertNoBreach(recordsOf(world));
  assert.is((await passed(world, { path: '/once/x' }, front)).status, 404);
});

attempts(
  'a stopping front hands over its slots and serves requests in flight, queued and new',
  async () => {
    for (const seed of seeds) {
      const world = await passUp(seed, fiveControls);
      const front = firstOf(world, 'front');
      const id = front.front?.id ?? '';
      const ownKeys = Array.from({ length: 60 }, (_, i) => `k${i}`).filter(
        (candidate) => ownerOf(world, opKeyOf('t', candidate)) === front,
      );
      assert.ok(ownKeys.length > 4);
      const inFlight = ownKeys
        .slice(0, 3)
        .map((key) => passAt(world, { path: '/keyed/x', key, body: 'a' }, front));
      const stream = passAt(
        world,
        { path: '/turn/x', program: 'pro', most: 10, budget: 50, body: 'go' },
        front,
      );
      await world.clock.run(4);
      const stopped = front.stopGracefully();
      const end = { reached: false };
      void stopped.then(() => {
        end.reached = true;
      });
      const laterRequests: ReturnType<typeof passAt>[] = [];
      for (let i = 0; i < 12; i++) {
        await world.clock.run(100);
        if (!end.reached)
          laterRequests.push(
            passAt(
              world,
              { path: i % 2 ? '/once/x' : '/keyed/x', key: i % 2 ? '' : `n${i}`, body: 'b' },
              front,
            ),
          );
      }
      await world.clock.finish('stopped', stopped, 20000);
      const reported = await world.clock.finish(
        'all',
        Promise.all([...inFlight, stream, ...laterRequests]),
        30000,
      );
      assert.equal(
        reported
          .filter((record) => record.reported !== 'done')
          .map((record) => `${record.path} ${record.reported} ${record.errorCode}`),
        [],
      );
      const committed = world.committed;
      assert.not.ok(committed?.slots.some((slot) => slot.owner === id));
      assert.not.ok(committed?.nodes.has(id));
      const key = ownKeys[3] ?? '';
      assert.ok(slotForKey(opKeyOf('t', key), world.slots) >= 0);
      assert.is((await passed(world, { path: '/keyed/x', key, body: 'a' })).reported, 'done');
      assertNoBreach(recordsOf(world));
    }
  },
);

attempts(
  'a front that cannot reach the controls refuses requests with 503 and runs nothing',
  async () => {
    const world = await passUp(17, small);
    const [front] = world.of('front');
    world.net.cutBoth(
      [front.addr],
      world.machines.filter((machine) => machine !== front).map((machine) => machine.addr),
    );
    await world.clock.run(4000);
    const executed = world.servers.executed.length;
    for (const path of ['/keyed/x', '/once/x', '/again/x', '/turn/x']) {
      const reported = await passed(
        world,
        { path, key: path === '/keyed/x' ? 'k' : '', body: 'a' },
        front,
      );
      assert.is(reported.reported, 'refused');
      assert.is(reported.status, 503);
    }
    assert.is(world.servers.executed.length, executed);
  },
);

attempts.run();
