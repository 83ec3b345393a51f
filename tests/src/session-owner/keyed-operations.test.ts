/** A keyed operation is never run twice, and what is reported of it is what is known of it. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { opKeyOf, OpValue, encodeBody } from '@tillerstair/session-owner';
import {
  brief,
  codeOf,
  declinedReply,
  gate,
  lostReply,
  SessionOwnerRig,
  statusOf,
  wholeReply,
} from '../support/session-owner-rig.js';
import { configuration, host } from '../support/session-owner-state.js';

const operations = suite('keyed operations');
const never = new AbortController().signal;
const key = opKeyOf('t', 'k');

const call = (rig: SessionOwnerRig, change: { path?: string; key?: string; body?: string } = {}) =>
  rig.owner.calls.runCall(
    { tenant: 't', path: '/act', key: 'k', body: '1', requestId: '', ...change },
    never,
  );

const pass = (
  rig: SessionOwnerRig,
  change: { path?: string; key?: string; body?: string; left?: number } = {},
  stop = never,
) =>
  rig.owner.calls.runPass(
    {
      tenant: 't',
      host,
      method: 'POST',
      path: '/keyed/',
      headers: [],
      attempt: 'r1',
      key: 'k',
      left: 8000,
      program: '',
      budget: null,
      most: 0,
      parts: [],
      after: '',
      resume: '',
      ...change,
      body: encodeBody(Buffer.from(change.body ?? 'b')),
    },
    stop,
  );

operations('a call without a route is refused', async () => {
  const rig = await SessionOwnerRig.opened();
  assert.is(brief(await rig.finish(call(rig, { path: '/none' }))), 'refused 404 no-route');
  assert.is(await codeOf(() => rig.finish(pass(rig, { path: '/none/' }))), 'route-unknown');
});

operations('an acting call and a keyed pass need a key', async () => {
  const rig = await SessionOwnerRig.opened();
  assert.is(brief(await rig.finish(call(rig, { key: '' }))), 'refused 400 no-key');
  assert.is(brief(await rig.finish(pass(rig, { key: '' }))), 'refused 400 no-key');
  assert.is(rig.sent.length, 0);
  assert.is(brief(await rig.finish(call(rig, { key: '', path: '/look' }))), 'done 200');
});

operations('the intent is on a quorum before the operation is sent', async () => {
  const rig = await SessionOwnerRig.opened();
  assert.is(brief(await rig.finish(call(rig))), 'done 200');
  const sentAt = rig.events.findIndex((line) => line.startsWith('send'));
  const before = rig.events.slice(0, sentAt).filter((line) => line === `put ${key} intent`);
  assert.ok(before.length >= 2, rig.events.join(', '));
  assert.is(statusOf(rig.stored(key)), 'done');
});

operations('without a quorum for the intent nothing is sent', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.down.add('a').add('b');
  assert.is(brief(await rig.finish(call(rig))), 'refused 503 unavailable');
  assert.is(rig.sent.length, 0);
});

operations('an operation that is done is answered from its record', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.reply = () => ({ ended: { kind: 'done', code: 201, body: 'first' } });
  const first = await rig.finish(call(rig));
  const second = await rig.finish(call(rig));
  assert.equal(second, first);
  assert.is(rig.sent.length, 1);
});

operations('a key used with another body is refused, at work and afterwards', async () => {
  const rig = await SessionOwnerRig.opened();
  const server = gate();
  rig.reply = () => ({ ended: { kind: 'done', code: 200, body: 1 }, after: server.opened });
  const first = call(rig);
  await rig.clock.run(10);
  assert.is(brief(await rig.finish(call(rig, { body: '2' }))), 'refused 422 other-body');
  server.open();
  assert.is(brief(await rig.finish(first)), 'done 200');
  assert.is(brief(await rig.finish(call(rig, { body: '2' }))), 'refused 422 other-body');
  assert.is(rig.sent.length, 1);
});

operations(
  'a second request for a key at work shares its outcome, or hears that it runs',
  async () => {
    const rig = await SessionOwnerRig.opened();
    const server = gate();
    rig.reply = () => ({ ended: { kind: 'done', code: 200, body: 1 }, after: server.opened });
    const first = pass(rig);
    await rig.clock.run(10);
    const joined = pass(rig);
    const before = rig.clock.now();
    assert.is(brief(await rig.finish(pass(rig, { left: 50 }))), 'refused 409 running');
    assert.is(rig.clock.now() - before, 50);
    server.open();
    assert.equal(await rig.finish(joined), await rig.finish(first));
    assert.is(rig.sent.length, 1);
  },
);

operations('an operation of an earlier ownership is not run again', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.reply = () => ({ ended: { kind: 'lost', text: 'cut' }, after: new Promise<void>(() => 0) });
  void call(rig);
  await rig.clock.run(10);
  assert.is(statusOf(rig.stored(key)), 'intent');
  const later = await SessionOwnerRig.opened();
  later.store(key, rig.stored(key));
  await later.transferAwayAndBack();
  assert.is(brief(await later.finish(call(later))), 'unknown 504 unknown');
  assert.is(later.sent.length, 0);
});

operations(
  'an operation of an earlier ownership runs again only where servers record keys',
  async () => {
    for (const [recorded, pools, expected] of [
      [true, ['memo'], 'done 200'],
      [false, ['memo'], 'unknown 504 unknown'],
      [true, ['memo', 'shop'], 'unknown 504 unknown'],
    ] as const) {
      const rig = await SessionOwnerRig.opened();
      const request = { path: '/recorded/' };
      rig.reply = () => ({ ended: { kind: 'done', code: 200, body: 1 } });
      await rig.finish(pass(rig, request));
      const stored = rig.stored(key);
      if (stored === null || typeof stored !== 'object') throw new Error('nothing stored');
      rig.store(key, { ...stored, status: 'intent', recorded });
      rig.configure({
        ...configuration,
        routes: configuration.routes.map((route) =>
          route.name === 'pass-recorded'
            ? { ...route, shares: pools.map((pool) => ({ pool, share: 1 })) }
            : route,
        ),
      });
      await rig.transferAwayAndBack();
      const before = rig.sent.length;
      assert.is(brief(await rig.finish(pass(rig, request))), expected);
      assert.is(rig.sent.length - before, expected === 'done 200' ? 1 : 0);
    }
  },
);

operations(
  'an operation that may have run is not called void when no server takes it',
  async () => {
    const rig = await SessionOwnerRig.opened();
    const request = { path: '/recorded/' };
    await rig.finish(pass(rig, request));
    const stored = rig.stored(key);
    if (stored === null || typeof stored !== 'object') throw new Error('nothing stored');
    rig.store(key, { ...stored, status: 'intent', recorded: true });
    await rig.transferAwayAndBack();
    rig.reply = () => declinedReply;
    assert.is((await rig.finish(pass(rig, request))).outcome, 'refused');
    assert.is(statusOf(rig.stored(key)), 'unknown');
    const fresh = { path: '/recorded/', key: 'fresh' };
    assert.is((await rig.finish(pass(rig, fresh))).outcome, 'refused');
    assert.is(statusOf(rig.stored(opKeyOf('t', 'fresh'))), 'void');
  },
);

operations('lost on the way it is unknown, and is not sent to another server', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.reply = () => lostReply;
  assert.is(brief(await rig.finish(call(rig))), 'unknown 504 unknown');
  assert.is(rig.sent.length, 1);
  assert.is(statusOf(rig.stored(key)), 'unknown');
  assert.is(brief(await rig.finish(call(rig))), 'unknown 504 unknown');
  assert.is(rig.sent.length, 1);
});

operations('lost, a repeatable request and one of recorded keys go to another server', async () => {
  for (const path of ['/again/', '/recorded/']) {
    const rig = await SessionOwnerRig.opened();
    rig.reply = (n) => (n === 0 ? lostReply : { ended: { kind: 'done', code: 200, body: 1 } });
    assert.is((await rig.finish(pass(rig, { path }))).outcome, 'done');
    assert.is(new Set(rig.sent.map((sent) => sent.server)).size, 2);
  }
});

operations(
  'lost at a server without record it is not repeated, whatever the route names since',
  async () => {
    const rig = await SessionOwnerRig.opened();
    rig.reply = () => {
      rig.configure({
        ...configuration,
        routes: configuration.routes.map((route) =>
          route.name === 'pass-keyed' ? { ...route, shares: [{ pool: 'memo', share: 1 }] } : route,
        ),
      });
      return lostReply;
    };
    assert.is(brief(await rig.finish(pass(rig))), 'unknown 504 unknown');
    assert.is(rig.sent.length, 1);
  },
);

operations('no more attempts are made than the route allows', async () => {
  for (const [path, reply, expected] of [
    ['/again/', lostReply, 'unknown 504 unknown'],
    ['/keyed/', declinedReply, 'refused 503 no-server'],
  ] as const) {
    const rig = await SessionOwnerRig.opened();
    rig.configure({
      ...configuration,
      routes: configuration.routes.map((route) =>
        'pass' in route ? { ...route, pass: { ...route.pass, tries: 1 } } : route,
      ),
    });
    rig.reply = () => reply;
    assert.is(brief(await rig.finish(pass(rig, { path }))), expected);
    assert.is(rig.sent.length, 1);
  }
});

operations('lost, it is not tried again for a caller that is gone', async () => {
  const rig = await SessionOwnerRig.opened();
  const caller = new AbortController();
  rig.reply = () => {
    caller.abort();
    return lostReply;
  };
  assert.is((await rig.finish(pass(rig, { path: '/again/' }, caller.signal))).outcome, 'unknown');
  assert.is(rig.sent.length, 1);
});

operations('lost once, it stays unknown when the time is over or no server is there', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.reply = () => {
    rig.removeServers('k1', 'k2');
    return lostReply;
  };
  const outcome = await rig.finish(pass(rig, { path: '/recorded/' }));
  assert.is(brief(outcome), 'unknown 504 unknown');
});

operations('a server error is final but for a repeatable request', async () => {
  for (const [path, sends] of [
    ['/again/', 2],
    ['/recorded/', 1],
    ['/keyed/', 1],
  ] as const) {
    const rig = await SessionOwnerRig.opened();
    rig.reply = () => ({
      ...lostReply,
      status: 500,
      bytes: [],
      ended: { kind: 'done', code: 500, body: 1 },
    });
    assert.is(brief(await rig.finish(pass(rig, { path }))), 'done 500');
    assert.is(rig.sent.length, sends, path);
  }
});

operations('done but not on a quorum it is unknown', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.onPut = (_, status) => status !== 'done';
  assert.is(brief(await rig.finish(call(rig))), 'unknown 504 unknown');
  assert.is(rig.sent.length, 1);
});

operations('a server that may not be used any more gets nothing', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.onPut = () => {
    rig.changeServer('s1', { draining: true });
    rig.changeServer('s2', { draining: true });
    return true;
  };
  assert.is((await rig.finish(call(rig))).outcome, 'refused');
  assert.is(rig.sent.length, 0);
  assert.is(statusOf(rig.stored(key)), 'void');
});

operations('an owner whose read lease ran out sends nothing', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.onPut = () => {
    rig.leaseMs = 0;
    return true;
  };
  const outcome = await rig.finish(call(rig));
  assert.is(brief(outcome), 'refused 503 no-server');
  assert.is(outcome.text, 'the control link is down');
  assert.is(rig.sent.length, 0);
});

operations('whether it may go is asked again just before the first byte', async () => {
  for (const path of ['/act', '/keyed/']) {
    const rig = await SessionOwnerRig.opened();
    rig.beforeSend = () => {
      rig.leaseMs = 0;
    };
    const work = path === '/act' ? call(rig) : pass(rig, { path });
    assert.is((await rig.finish(work)).outcome, 'refused');
    assert.is(rig.sent.length, 0);
  }
});

operations(
  'the intent is written anew before it goes to a server that records no keys',
  async () => {
    const rig = await SessionOwnerRig.opened();
    rig.configure({
      ...configuration,
      routes: configuration.routes.map((route) =>
        route.name === 'pass-recorded'
          ? {
              ...route,
              shares: [
                { pool: 'memo', share: 1000 },
                { pool: 'shop', share: 1 },
              ],
            }
          : route,
      ),
    });
    rig.removeServers('k2');
    rig.reply = (n) => (n === 0 ? declinedReply : lostReply);
    const recordedWhenSent: boolean[] = [];
    const reply = rig.reply;
    rig.reply = (n, sent) => {
      recordedWhenSent.push(OpValue.parse(rig.stored(key)).recorded);
      return reply(n, sent);
    };
    assert.is((await rig.finish(pass(rig, { path: '/recorded/' }))).outcome, 'unknown');
    assert.is(rig.sent[0]?.server, 'k1');
    assert.equal(recordedWhenSent, [true, false]);
  },
);

operations('a slot is not released while one of its operations is under way', async () => {
  const rig = await SessionOwnerRig.opened();
  const server = gate();
  rig.reply = () => ({ ended: { kind: 'done', code: 200, body: 1 }, after: server.opened });
  const work = call(rig);
  await rig.clock.run(10);
  rig.changeSlot({ transferTarget: 'f2' });
  assert.equal(rig.owner.releaseIdleSlots(), []);
  server.open();
  await rig.finish(work);
  assert.equal(rig.owner.releaseIdleSlots(), [[0, 1]]);
  assert.is(await codeOf(() => rig.finish(call(rig, { key: 'next' }))), 'taking-over');
});

operations('a request that waits in line longer than it may is refused as not run', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.removeServers('s2');
  rig.configure({ ...configuration, bounds: { ...configuration.bounds, perServer: 1 } });
  const server = gate();
  rig.reply = () => ({ ended: { kind: 'done', code: 200, body: 1 }, after: server.opened });
  const busy = call(rig);
  await rig.clock.run(10);
  const outcome = await rig.finish(pass(rig, { key: 'next', left: 300 }));
  assert.is(brief(outcome), 'refused 503 queue-timeout');
  assert.is(brief(await rig.finish(pass(rig, { key: 'late', left: 0 }))), 'refused 503 no-server');
  server.open();
  await rig.finish(busy);
  assert.is(rig.sent.length, 1);
});

operations('a server is free for the next request, whatever became of the one before', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.removeServers('s2');
  rig.configure({ ...configuration, bounds: { ...configuration.bounds, perServer: 1 } });
  const replies = [declinedReply, lostReply, wholeReply];
  rig.reply = (n) => replies[n] ?? wholeReply;
  const outcomes = [];
  for (const name of ['first', 'second', 'third', 'fourth'])
    outcomes.push((await rig.finish(call(rig, { key: name }))).outcome);
  assert.equal(outcomes, ['refused', 'unknown', 'done', 'done']);
});

operations.run();
