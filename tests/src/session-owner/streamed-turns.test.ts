/** A streamed request is reserved before it is sent, and goes on at another server only where nothing can be told twice. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { encodeBody, PassTurn, type PassRequest } from '@tillerstair/session-owner';
import {
  brief,
  codeOf,
  declinedReply,
  gate,
  SessionOwnerRig,
  statusOf,
  wholeReply,
} from '../support/session-owner-rig.js';
import { configuration, host } from '../support/session-owner-state.js';

const streams = suite('streamed turns');
const never = new AbortController().signal;
const key = 'p/x-p/t/r1';

const run = (rig: SessionOwnerRig, change: Partial<PassRequest> = {}, stop = never) =>
  rig.owner.streams.runStream(
    {
      tenant: 't',
      host,
      method: 'POST',
      path: '/turn/',
      headers: [],
      attempt: 'r1',
      key: '',
      left: 8000,
      program: 'p',
      budget: null,
      most: 10,
      parts: [],
      after: '',
      resume: '',
      ...change,
      body: encodeBody(Buffer.from(change.body ?? 'in;')),
    },
    rig.emit,
    stop,
  );

const turnAt = (rig: SessionOwnerRig, at = key): PassTurn => PassTurn.parse(rig.stored(at));

const stored = (change: Partial<PassTurn> = {}): PassTurn => ({
  t: 'pass',
  status: 'done',
  after: '',
  cost: 4,
  input: encodeBody(Buffer.from('before;')),
  output: 'said\n',
  ...change,
});

streams('a path without a route is another error than a refusal', async () => {
  const rig = await SessionOwnerRig.opened();
  assert.is(await codeOf(() => run(rig, { path: '/none/' })), 'route-unknown');
});

streams('the reservation is on a quorum before the request is sent', async () => {
  const rig = await SessionOwnerRig.opened();
  assert.is(brief(await rig.finish(run(rig))), 'done 200');
  const sentAt = rig.events.findIndex((line) => line.startsWith('send'));
  const before = rig.events.slice(0, sentAt).filter((line) => line === `put ${key} reserved`);
  assert.ok(before.length >= 2, rig.events.join(', '));
  assert.is(turnAt(rig).status, 'done');
  assert.is(turnAt(rig).output, 'one\n');
});

streams('without a quorum for the reservation nothing is sent, nor counted for ever', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.onPut = () => false;
  assert.is(brief(await rig.finish(run(rig, { budget: 15 }))), 'refused 503 unavailable');
  assert.is(rig.sent.length, 0);
  rig.onPut = () => true;
  assert.is(brief(await rig.finish(run(rig, { budget: 15, attempt: 'r2' }))), 'done 200');
});

streams('a kept turn is done only once it is on a quorum', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.onPut = (_, status) => status !== 'done';
  assert.is(brief(await rig.finish(run(rig))), 'unknown 504 unknown');
});

streams('an attempt that is under way, or was before, is not run again', async () => {
  const rig = await SessionOwnerRig.opened();
  const server = gate();
  rig.reply = () => ({ ...wholeReply, after: server.opened });
  const first = run(rig);
  await rig.clock.run(10);
  assert.is(brief(await rig.finish(run(rig))), 'refused 409 running');
  server.open();
  await rig.finish(first);
  assert.is(brief(await rig.finish(run(rig))), 'unknown 504 unknown');
  for (const [status, expected] of [
    ['reserved', 'unknown 504 unknown'],
    ['failed', 'unknown 504 unknown'],
    ['void', 'done 200'],
  ] as const) {
    const later = await SessionOwnerRig.opened();
    later.store(key, stored({ status }));
    await later.transferAwayAndBack();
    assert.is(brief(await later.finish(run(later))), expected, status);
  }
  assert.is(rig.sent.length, 1);
});

streams('what it goes on from must be there, readable, finished and whole', async () => {
  for (const [status, expected] of [
    ['reserved', 'refused 503 not-finished'],
    ['failed', 'refused 404 missing-turn'],
    ['void', 'refused 404 missing-turn'],
    ['done', 'done 200'],
  ] as const) {
    const rig = await SessionOwnerRig.opened();
    rig.store('p/x-p/t/r0', stored({ status }));
    await rig.transferAwayAndBack();
    assert.is(brief(await rig.finish(run(rig, { after: 'r0' }))), expected, status);
    if (status === 'done') assert.is(rig.sent[0]?.body, 'before;said\nin;');
    else assert.is(rig.sent.length, 0);
  }
  const rig = await SessionOwnerRig.opened();
  assert.is(brief(await rig.finish(run(rig, { after: 'r0' }))), 'refused 404 missing-turn');
  rig.store('p/x-q/t/r9', stored());
  assert.is(brief(await rig.finish(run(rig, { after: 'r0' }))), 'refused 404 missing-turn');
});

streams("another program's turn is copied into this one's and costs it nothing", async () => {
  const rig = await SessionOwnerRig.opened();
  rig.store('p/x-q/t/r0', stored({ cost: 40 }));
  assert.is(brief(await rig.finish(run(rig, { after: 'r0', budget: 12 }))), 'done 200');
  assert.equal(turnAt(rig, 'p/x-p/t/r0'), stored({ cost: 0 }));
  assert.is(rig.sent[0]?.body, 'before;said\nin;');
});

streams('no request is reserved beyond its budget', async () => {
  const rig = await SessionOwnerRig.opened();
  assert.is(brief(await rig.finish(run(rig, { budget: 9 }))), 'refused 402 budget-spent');
  assert.is(brief(await rig.finish(run(rig, { budget: 10 }))), 'done 200');
  const cost = turnAt(rig).cost;
  assert.ok(cost > 0);
  const second = { attempt: 'r2', budget: 10 + cost - 1 };
  assert.is(brief(await rig.finish(run(rig, second))), 'refused 402 budget-spent');
  assert.is(rig.sent.length, 1);
});

streams('a reservation that is being written counts against the budget', async () => {
  const rig = await SessionOwnerRig.opened();
  const works = [run(rig, { budget: 10 }), run(rig, { budget: 10, attempt: 'r2' })];
  const outcomes = [];
  for (const work of works) outcomes.push(brief(await rig.finish(work)));
  assert.equal(outcomes.sort(), ['done 200', 'refused 402 budget-spent']);
});

streams('a request that waited in line looks at the budget again', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.removeServers('m2');
  rig.configure({ ...configuration, bounds: { ...configuration.bounds, perServer: 1 } });
  const server = gate();
  rig.reply = () => ({ ...wholeReply, after: server.opened });
  const works = [run(rig, { program: 'q' })];
  await rig.clock.run(10);
  works.push(run(rig, { budget: 10 }), run(rig, { budget: 10, attempt: 'r2' }));
  await rig.clock.run(10);
  server.open();
  const outcomes = [];
  for (const work of works) outcomes.push(brief(await rig.finish(work)));
  assert.equal(outcomes, ['done 200', 'done 200', 'refused 402 budget-spent']);
  assert.is(rig.sent.length, 2);
});

streams('no more attempts are made than the route allows, nor any after the time', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.reply = () => declinedReply;
  assert.is(brief(await rig.finish(run(rig, { path: '/flow/' }))), 'refused 503 no-server');
  assert.is(rig.sent.length, 1);
  assert.is(statusOf(rig.stored(key)), 'void');
  assert.is(turnAt(rig).cost, 0);
  const late = { attempt: 'r2', left: 0 };
  assert.is(brief(await rig.finish(run(rig, late))), 'refused 503 queue-timeout');
  assert.is(rig.sent.length, 1);
});

streams('a caller that goes while the reservation is written gets nothing run', async () => {
  const rig = await SessionOwnerRig.opened();
  const caller = new AbortController();
  rig.onPut = () => {
    caller.abort();
    return true;
  };
  assert.is(brief(await rig.finish(run(rig, {}, caller.signal))), 'refused 503 gone');
  assert.is(rig.sent.length, 0);
  assert.is(statusOf(rig.stored(key)), 'void');
});

streams('an owner whose read lease ran out sends nothing', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.onPut = () => {
    rig.leaseMs = 0;
    return true;
  };
  assert.is(brief(await rig.finish(run(rig))), 'refused 503 not-ready');
  assert.is(rig.sent.length, 0);
});

streams('a server that drains meanwhile gets nothing', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.removeServers('m2');
  rig.onPut = (_, status) => {
    if (status === 'reserved') rig.changeServer('m1', { draining: true });
    return true;
  };
  assert.is(brief(await rig.finish(run(rig))), 'refused 503 no-server');
  assert.is(rig.sent.length, 0);
});

streams('whether it may go is asked again just before the first byte', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.beforeSend = () => {
    rig.leaseMs = 0;
  };
  assert.is((await rig.finish(run(rig))).outcome, 'refused');
  assert.is(rig.sent.length, 0);
});

/** Two events, the second torn, then the connection is lost. */
const torn = {
  bytes: ['id: 1\ndata: one\n\n', 'id: 2\ndata: tw'],
  ended: { kind: 'lost', text: 'cut' },
} as const;

streams('a resumable stream goes on behind its last whole event', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.reply = (n) => (n === 0 ? torn : { ...wholeReply, bytes: ['id: 2\ndata: two\n\n'] });
  assert.is(brief(await rig.finish(run(rig, { path: '/live/' }))), 'done 200');
  assert.is(rig.sent[1]?.resume, '1');
  assert.is(rig.emitted.slice(1).join(''), 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n');
});

streams('a stream that cannot be resumed is not sent again', async () => {
  for (const [path, reply] of [
    ['/turn/', torn],
    ['/live/', { ...torn, bytes: ['data: one\n\n'] }],
    ['/live/', { ...torn, contentType: 'text/plain', bytes: ['one'] }],
  ] as const) {
    const rig = await SessionOwnerRig.opened();
    rig.reply = (n) => (n === 0 ? reply : wholeReply);
    assert.is(brief(await rig.finish(run(rig, { path }))), 'unknown 504 broken-off');
    assert.is(rig.sent.length, 1);
    assert.is(statusOf(rig.stored(key)), 'failed');
  }
});

streams('a lost stream is not resumed beyond attempts, time and caller', async () => {
  const attempts = await SessionOwnerRig.opened();
  attempts.reply = () => torn;
  assert.is(
    brief(await attempts.finish(run(attempts, { path: '/live/' }))),
    'unknown 504 broken-off',
  );
  assert.is(attempts.sent.length, 2);
  const left = await SessionOwnerRig.opened();
  const caller = new AbortController();
  left.reply = () => {
    caller.abort();
    return torn;
  };
  assert.is(
    brief(await left.finish(run(left, { path: '/live/' }, caller.signal))),
    'unknown 504 broken-off',
  );
  assert.is(left.sent.length, 1);
});

streams('a resumed stream that is no stream of events, or an error, breaks off', async () => {
  for (const reply of [
    { ...wholeReply, contentType: 'text/plain', bytes: ['two'] },
    { ...wholeReply, status: 500 },
  ]) {
    const rig = await SessionOwnerRig.opened();
    rig.reply = (n) => (n === 0 ? torn : reply);
    assert.is(brief(await rig.finish(run(rig, { path: '/live/' }))), 'unknown 504 broken-off');
    assert.is(rig.emitted.slice(1).join(''), 'id: 1\ndata: one\n\n');
  }
});

streams('a stream that stops within an event has broken off', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.reply = () => ({ ...torn, ended: { kind: 'done', code: 200, body: 0 } });
  assert.is(brief(await rig.finish(run(rig))), 'unknown 504 broken-off');
});

streams('an error of the server is passed on and no turn is kept of it', async () => {
  const rig = await SessionOwnerRig.opened();
  rig.reply = () => ({ ...wholeReply, status: 500, ended: { kind: 'done', code: 500, body: 0 } });
  assert.is(brief(await rig.finish(run(rig))), 'done 200');
  await rig.clock.run(1000);
  assert.is(turnAt(rig).status, 'failed');
  assert.is(turnAt(rig).output, '');
});

streams('a slot is not released while one of its streams is under way', async () => {
  const rig = await SessionOwnerRig.opened();
  const server = gate();
  rig.reply = () => ({ ...wholeReply, after: server.opened });
  const work = run(rig);
  await rig.clock.run(10);
  rig.changeSlot({ transferTarget: 'f2' });
  assert.equal(rig.owner.releaseIdleSlots(), []);
  server.open();
  await rig.finish(work);
  assert.equal(rig.owner.releaseIdleSlots(), [[0, 1]]);
});

streams('a caller that goes stops the server, and the turn has broken off', async () => {
  const rig = await SessionOwnerRig.opened();
  const caller = new AbortController();
  rig.reply = (_, sent) => {
    caller.abort();
    assert.is(sent.stop.aborted, true);
    return wholeReply;
  };
  assert.is(brief(await rig.finish(run(rig, {}, caller.signal))), 'unknown 504 broken-off');
});

streams.run();
