/** A keyed operation never runs twice, and its reported outcome agrees with what is known about its execution. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { opKeyOf, OpValue, encodeBody } from '@tillerstair/session-owner';
import {
  textOf,
  codeOf,
  declinedReply,
  gate,
  lostReply,
  SessionOwnerFixture,
  statusOf,
  fullReply,
} from '../support/session-owner-fixture.js';
import { configuration, host } from '../support/session-owner-state.js';

const operations = suite('keyed operations');
const neverAborted = new AbortController().signal;
/** The key of the record of an operation with the idempotency key `k`. */
const recordKey = opKeyOf('t', 'k');

/** Runs a tool call with the key `k`. */
const call = (
  fixture: SessionOwnerFixture,
  overrides: { path?: string; key?: string; body?: string } = {},
) =>
  fixture.owner.calls.runCall(
    { tenant: 't', path: '/act', key: 'k', body: '1', requestId: '', ...overrides },
    neverAborted,
  );

/** Runs a request of a pass route with the key `k`. */
const pass = (
  fixture: SessionOwnerFixture,
  overrides: { path?: string; key?: string; body?: string; left?: number } = {},
  signal = neverAborted,
) =>
  fixture.owner.calls.runPass(
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
      ...overrides,
      body: encodeBody(Buffer.from(overrides.body ?? 'b')),
    },
    signal,
  );

operations('a path without a route is refused', async () => {
  const fixture = await SessionOwnerFixture.opened();
  assert.is(textOf(await fixture.finish(call(fixture, { path: '/none' }))), 'refused 404 no-route');
  assert.is(await codeOf(() => fixture.finish(pass(fixture, { path: '/none/' }))), 'route-unknown');
});

operations('an acting call and a request of a keyed pass route require a key', async () => {
  const fixture = await SessionOwnerFixture.opened();
  assert.is(textOf(await fixture.finish(call(fixture, { key: '' }))), 'refused 400 no-key');
  assert.is(textOf(await fixture.finish(pass(fixture, { key: '' }))), 'refused 400 no-key');
  assert.is(fixture.sent.length, 0);
  assert.is(textOf(await fixture.finish(call(fixture, { key: '', path: '/look' }))), 'done 200');
});

operations('the intent is on a quorum before the operation is sent', async () => {
  const fixture = await SessionOwnerFixture.opened();
  assert.is(textOf(await fixture.finish(call(fixture))), 'done 200');
  const sentAt = fixture.events.findIndex((line) => line.startsWith('send'));
  const puts = fixture.events.slice(0, sentAt).filter((line) => line === `put ${recordKey} intent`);
  assert.ok(puts.length >= 2, fixture.events.join(', '));
  assert.is(statusOf(fixture.stored(recordKey)), 'done');
});

operations('without a quorum for the intent nothing is sent', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.down.add('a').add('b');
  assert.is(textOf(await fixture.finish(call(fixture))), 'refused 503 unavailable');
  assert.is(fixture.sent.length, 0);
});

operations('an operation that is done is answered from its record', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.reply = () => ({ ended: { kind: 'done', code: 201, body: 'first' } });
  const first = await fixture.finish(call(fixture));
  const second = await fixture.finish(call(fixture));
  assert.equal(second, first);
  assert.is(fixture.sent.length, 1);
});

operations('a key used with another body is refused, in progress and afterwards', async () => {
  const fixture = await SessionOwnerFixture.opened();
  const replyGate = gate();
  fixture.reply = () => ({ ended: { kind: 'done', code: 200, body: 1 }, after: replyGate.opened });
  const first = call(fixture);
  await fixture.clock.run(10);
  assert.is(textOf(await fixture.finish(call(fixture, { body: '2' }))), 'refused 422 other-body');
  replyGate.open();
  assert.is(textOf(await fixture.finish(first)), 'done 200');
  assert.is(textOf(await fixture.finish(call(fixture, { body: '2' }))), 'refused 422 other-body');
  assert.is(fixture.sent.length, 1);
});

operations('a second request with a key in progress shares its outcome or is refused', async () => {
  const fixture = await SessionOwnerFixture.opened();
  const replyGate = gate();
  fixture.reply = () => ({ ended: { kind: 'done', code: 200, body: 1 }, after: replyGate.opened });
  const first = pass(fixture);
  await fixture.clock.run(10);
  const joined = pass(fixture);
  const startedAt = fixture.clock.now();
  assert.is(textOf(await fixture.finish(pass(fixture, { left: 50 }))), 'refused 409 running');
  assert.is(fixture.clock.now() - startedAt, 50);
  replyGate.open();
  assert.equal(await fixture.finish(joined), await fixture.finish(first));
  assert.is(fixture.sent.length, 1);
});

operations('an operation started under an earlier ownership is not run again', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.reply = () => ({
    ended: { kind: 'lost', text: 'cut' },
    after: new Promise<void>(() => 0),
  });
  void call(fixture);
  await fixture.clock.run(10);
  assert.is(statusOf(fixture.stored(recordKey)), 'intent');
  const nextOwner = await SessionOwnerFixture.opened();
  nextOwner.store(recordKey, fixture.stored(recordKey));
  await nextOwner.transferAwayAndBack();
  assert.is(textOf(await nextOwner.finish(call(nextOwner))), 'unknown 504 unknown');
  assert.is(nextOwner.sent.length, 0);
});

operations('an operation that may have run is not stored as void if it is declined', async () => {
  const fixture = await SessionOwnerFixture.opened();
  const request = { path: '/recorded/' };
  await fixture.finish(pass(fixture, request));
  const stored = fixture.stored(recordKey);
  if (stored === null || typeof stored !== 'object') throw new Error('operation is not stored');
  fixture.store(recordKey, { ...stored, status: 'intent', recordedBy: 'memo' });
  await fixture.transferAwayAndBack();
  fixture.reply = () => declinedReply;
  assert.is((await fixture.finish(pass(fixture, request))).outcome, 'refused');
  assert.is(statusOf(fixture.stored(recordKey)), 'unknown');
  const fresh = { path: '/recorded/', key: 'fresh' };
  assert.is((await fixture.finish(pass(fixture, fresh))).outcome, 'refused');
  assert.is(statusOf(fixture.stored(opKeyOf('t', 'fresh'))), 'void');
});

// A record of a later version may have a form that this one does not know.
operations('an operation whose record does not parse may have run', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.store(recordKey, { t: 'op', status: 'sent to two', digest: '' });
  await fixture.transferAwayAndBack();
  assert.is(textOf(await fixture.finish(call(fixture))), 'unknown 504 unknown');
  assert.is(fixture.sent.length, 0);
});

operations('a lost operation is unknown and is not sent to another server', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.reply = () => lostReply;
  assert.is(textOf(await fixture.finish(call(fixture))), 'unknown 504 unknown');
  assert.is(fixture.sent.length, 1);
  assert.is(statusOf(fixture.stored(recordKey)), 'unknown');
  assert.is(textOf(await fixture.finish(call(fixture))), 'unknown 504 unknown');
  assert.is(fixture.sent.length, 1);
});

operations('a lost request is retried if it is repeatable or servers record keys', async () => {
  for (const path of ['/again/', '/recorded/']) {
    const fixture = await SessionOwnerFixture.opened();
    fixture.reply = (n) => (n === 0 ? lostReply : { ended: { kind: 'done', code: 200, body: 1 } });
    assert.is((await fixture.finish(pass(fixture, { path }))).outcome, 'done');
    assert.is(new Set(fixture.sent.map((sent) => sent.server)).size, 2);
  }
});

operations('loss at a server without key records is final even if the route changes', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.reply = () => {
    fixture.configure({
      ...configuration,
      routes: configuration.routes.map((route) =>
        route.name === 'pass-keyed' ? { ...route, shares: [{ pool: 'memo', share: 1 }] } : route,
      ),
    });
    return lostReply;
  };
  assert.is(textOf(await fixture.finish(pass(fixture))), 'unknown 504 unknown');
  assert.is(fixture.sent.length, 1);
});

operations('attempts are limited by the route', async () => {
  for (const [path, reply, expected] of [
    ['/again/', lostReply, 'unknown 504 unknown'],
    ['/keyed/', declinedReply, 'refused 503 no-server'],
  ] as const) {
    const fixture = await SessionOwnerFixture.opened();
    fixture.configure({
      ...configuration,
      routes: configuration.routes.map((route) =>
        'pass' in route ? { ...route, pass: { ...route.pass, tries: 1 } } : route,
      ),
    });
    fixture.reply = () => reply;
    assert.is(textOf(await fixture.finish(pass(fixture, { path }))), expected);
    assert.is(fixture.sent.length, 1);
  }
});

operations('a lost request is not retried if its caller has disconnected', async () => {
  const fixture = await SessionOwnerFixture.opened();
  const caller = new AbortController();
  fixture.reply = () => {
    caller.abort();
    return lostReply;
  };
  assert.is(
    (await fixture.finish(pass(fixture, { path: '/again/' }, caller.signal))).outcome,
    'unknown',
  );
  assert.is(fixture.sent.length, 1);
});

operations('once lost, an operation stays unknown if no other server is available', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.reply = () => {
    fixture.removeServers('k1', 'k2');
    return lostReply;
  };
  const outcome = await fixture.finish(pass(fixture, { path: '/recorded/' }));
  assert.is(textOf(outcome), 'unknown 504 unknown');
});

operations('a server error is final unless the request is repeatable', async () => {
  for (const [path, attempts] of [
    ['/again/', 2],
    ['/recorded/', 1],
    ['/keyed/', 1],
  ] as const) {
    const fixture = await SessionOwnerFixture.opened();
    fixture.reply = () => ({
      ...lostReply,
      status: 500,
      bytes: [],
      ended: { kind: 'done', code: 500, body: 1 },
    });
    assert.is(textOf(await fixture.finish(pass(fixture, { path }))), 'done 500');
    assert.is(fixture.sent.length, attempts, path);
  }
});

operations('an operation that ran but whose result is not on a quorum is unknown', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.onPut = (_, status) => status !== 'done';
  assert.is(textOf(await fixture.finish(call(fixture))), 'unknown 504 unknown');
  assert.is(fixture.sent.length, 1);
});

operations('servers that start draining while the intent is written get no request', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.onPut = () => {
    fixture.changeServer('s1', { draining: true });
    fixture.changeServer('s2', { draining: true });
    return true;
  };
  assert.is((await fixture.finish(call(fixture))).outcome, 'refused');
  assert.is(fixture.sent.length, 0);
  assert.is(statusOf(fixture.stored(recordKey)), 'void');
});

operations('an owner whose read lease expired sends nothing', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.onPut = () => {
    fixture.leaseMs = 0;
    return true;
  };
  const outcome = await fixture.finish(call(fixture));
  assert.is(textOf(outcome), 'refused 503 no-server');
  assert.is(outcome.text, 'the read lease of this front has expired');
  assert.is(fixture.sent.length, 0);
});

operations('the preconditions are checked again right before the first byte', async () => {
  for (const path of ['/act', '/keyed/']) {
    const fixture = await SessionOwnerFixture.opened();
    fixture.beforeSend = () => {
      fixture.leaseMs = 0;
    };
    const running = path === '/act' ? call(fixture) : pass(fixture, { path });
    assert.is((await fixture.finish(running)).outcome, 'refused');
    assert.is(fixture.sent.length, 0);
  }
});

operations('the intent is stored again for a server that does not record keys', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.configure({
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
  fixture.removeServers('k2');
  fixture.reply = (index) => (index === 0 ? declinedReply : lostReply);
  const recordedWhenSent: string[] = [];
  const replyInTurn = fixture.reply;
  fixture.reply = (index, sent) => {
    recordedWhenSent.push(OpValue.parse(fixture.stored(recordKey)).recordedBy);
    return replyInTurn(index, sent);
  };
  assert.is((await fixture.finish(pass(fixture, { path: '/recorded/' }))).outcome, 'unknown');
  assert.is(fixture.sent[0]?.server, 'k1');
  assert.equal(recordedWhenSent, ['memo', '']);
});

operations('a slot is not released while one of its operations is in progress', async () => {
  const fixture = await SessionOwnerFixture.opened();
  const replyGate = gate();
  fixture.reply = () => ({ ended: { kind: 'done', code: 200, body: 1 }, after: replyGate.opened });
  const running = call(fixture);
  await fixture.clock.run(10);
  fixture.changeSlot({ transferTarget: 'f2' });
  assert.equal(fixture.owner.releaseIdleSlots(), []);
  replyGate.open();
  await fixture.finish(running);
  assert.equal(fixture.owner.releaseIdleSlots(), [[0, 1]]);
  assert.is(await codeOf(() => fixture.finish(call(fixture, { key: 'next' }))), 'taking-over');
});

operations('a request that exceeds its timeout in the queue is refused as not run', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.removeServers('s2');
  fixture.configure({ ...configuration, bounds: { ...configuration.bounds, perServer: 1 } });
  const replyGate = gate();
  fixture.reply = () => ({ ended: { kind: 'done', code: 200, body: 1 }, after: replyGate.opened });
  const running = call(fixture);
  await fixture.clock.run(10);
  const outcome = await fixture.finish(pass(fixture, { key: 'next', left: 300 }));
  assert.is(textOf(outcome), 'refused 503 queue-timeout');
  assert.is(
    textOf(await fixture.finish(pass(fixture, { key: 'late', left: 0 }))),
    'refused 503 no-server',
  );
  replyGate.open();
  await fixture.finish(running);
  assert.is(fixture.sent.length, 1);
});

operations('a server is free for the next request whatever the previous outcome', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.removeServers('s2');
  fixture.configure({ ...configuration, bounds: { ...configuration.bounds, perServer: 1 } });
  const replies = [declinedReply, lostReply, fullReply];
  fixture.reply = (index) => replies[index] ?? fullReply;
  const outcomes = [];
  for (const idempotencyKey of ['first', 'second', 'third', 'fourth'])
    outcomes.push((await fixture.finish(call(fixture, { key: idempotencyKey }))).outcome);
  assert.equal(outcomes, ['refused', 'unknown', 'done', 'done']);
});

operations.run();
