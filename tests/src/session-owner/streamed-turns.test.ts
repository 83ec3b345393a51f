/**
 * A streamed request is reserved before it is sent, and it is resumed at another server only if no part of the stream
 * can be repeated.
 */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { encodeBody, PassTurn, type PassRequest } from '@tillerstair/session-owner';
import {
  textOf,
  codeOf,
  declinedReply,
  gate,
  SessionOwnerFixture,
  statusOf,
  fullReply,
} from '../support/session-owner-fixture.js';
import { configuration, host } from '../support/session-owner-state.js';

const streams = suite('streamed turns');
const neverAborted = new AbortController().signal;
/** The key of the turn that `run` stores by default. */
const key = 'p/x-p/t/r1';

/** Runs a streamed request of program `p`. */
const run = (
  fixture: SessionOwnerFixture,
  change: Partial<PassRequest> = {},
  signal = neverAborted,
) =>
  fixture.owner.streams.runStream(
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
    fixture.emit,
    signal,
  );

const storedTurn = (fixture: SessionOwnerFixture, turnKey = key): PassTurn =>
  PassTurn.parse(fixture.stored(turnKey));

/** A finished turn with the given changes. */
const doneTurn = (change: Partial<PassTurn> = {}): PassTurn => ({
  t: 'pass',
  status: 'done',
  after: '',
  cost: 4,
  input: encodeBody(Buffer.from('before;')),
  output: 'said\n',
  ...change,
});

streams('a path without a route is an error, not a refusal', async () => {
  const fixture = await SessionOwnerFixture.opened();
  assert.is(await codeOf(() => run(fixture, { path: '/none/' })), 'route-unknown');
});

streams('the reservation is on a quorum before the request is sent', async () => {
  const fixture = await SessionOwnerFixture.opened();
  assert.is(textOf(await fixture.finish(run(fixture))), 'done 200');
  const sentAt = fixture.events.findIndex((line) => line.startsWith('send'));
  const before = fixture.events.slice(0, sentAt).filter((line) => line === `put ${key} reserved`);
  assert.ok(before.length >= 2, fixture.events.join(', '));
  assert.is(storedTurn(fixture).status, 'done');
  assert.is(storedTurn(fixture).output, 'one\n');
});

streams(
  'without a quorum for the reservation no request is sent, and the reservation does not stay counted',
  async () => {
    const fixture = await SessionOwnerFixture.opened();
    fixture.onPut = () => false;
    assert.is(
      textOf(await fixture.finish(run(fixture, { budget: 15 }))),
      'refused 503 unavailable',
    );
    assert.is(fixture.sent.length, 0);
    fixture.onPut = () => true;
    assert.is(
      textOf(await fixture.finish(run(fixture, { budget: 15, attempt: 'r2' }))),
      'done 200',
    );
  },
);

streams('a retained turn is done only once it is on a quorum', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.onPut = (_, status) => status !== 'done';
  assert.is(textOf(await fixture.finish(run(fixture))), 'unknown 504 unknown');
});

streams('an attempt that is in progress, or was started before, is not run again', async () => {
  const fixture = await SessionOwnerFixture.opened();
  const server = gate();
  fixture.reply = () => ({ ...fullReply, after: server.opened });
  const first = run(fixture);
  await fixture.clock.run(10);
  assert.is(textOf(await fixture.finish(run(fixture))), 'refused 409 running');
  server.open();
  await fixture.finish(first);
  assert.is(textOf(await fixture.finish(run(fixture))), 'unknown 504 unknown');
  for (const [status, expected] of [
    ['reserved', 'unknown 504 unknown'],
    ['failed', 'unknown 504 unknown'],
    ['void', 'done 200'],
  ] as const) {
    const later = await SessionOwnerFixture.opened();
    later.store(key, doneTurn({ status }));
    await later.transferAwayAndBack();
    assert.is(textOf(await later.finish(run(later))), expected, status);
  }
  assert.is(fixture.sent.length, 1);
});

streams(
  'the turn that a request continues must exist, be finished and have completed',
  async () => {
    for (const [status, expected] of [
      ['reserved', 'refused 503 not-finished'],
      ['failed', 'refused 404 missing-turn'],
      ['void', 'refused 404 missing-turn'],
      ['done', 'done 200'],
    ] as const) {
      const fixture = await SessionOwnerFixture.opened();
      fixture.store('p/x-p/t/r0', doneTurn({ status }));
      await fixture.transferAwayAndBack();
      assert.is(textOf(await fixture.finish(run(fixture, { after: 'r0' }))), expected, status);
      if (status === 'done') assert.is(fixture.sent[0]?.body, 'before;said\nin;');
      else assert.is(fixture.sent.length, 0);
    }
    const fixture = await SessionOwnerFixture.opened();
    assert.is(
      textOf(await fixture.finish(run(fixture, { after: 'r0' }))),
      'refused 404 missing-turn',
    );
    fixture.store('p/x-q/t/r9', doneTurn());
    assert.is(
      textOf(await fixture.finish(run(fixture, { after: 'r0' }))),
      'refused 404 missing-turn',
    );
  },
);

streams(
  'a turn of another program is copied to the program of the request at no cost',
  async () => {
    const fixture = await SessionOwnerFixture.opened();
    fixture.store('p/x-q/t/r0', doneTurn({ cost: 40 }));
    assert.is(textOf(await fixture.finish(run(fixture, { after: 'r0', budget: 12 }))), 'done 200');
    assert.equal(storedTurn(fixture, 'p/x-p/t/r0'), doneTurn({ cost: 0 }));
    assert.is(fixture.sent[0]?.body, 'before;said\nin;');
  },
);

streams('no reservation exceeds the budget of the program', async () => {
  const fixture = await SessionOwnerFixture.opened();
  assert.is(textOf(await fixture.finish(run(fixture, { budget: 9 }))), 'refused 402 budget-spent');
  assert.is(textOf(await fixture.finish(run(fixture, { budget: 10 }))), 'done 200');
  const cost = storedTurn(fixture).cost;
  assert.ok(cost > 0);
  const overBudget = { attempt: 'r2', budget: 10 + cost - 1 };
  assert.is(textOf(await fixture.finish(run(fixture, overBudget))), 'refused 402 budget-spent');
  assert.is(fixture.sent.length, 1);
});

streams('a reservation that is being written counts against the budget', async () => {
  const fixture = await SessionOwnerFixture.opened();
  const runs = [run(fixture, { budget: 10 }), run(fixture, { budget: 10, attempt: 'r2' })];
  const outcomes = [];
  for (const result of runs) outcomes.push(textOf(await fixture.finish(result)));
  assert.equal(outcomes.sort(), ['done 200', 'refused 402 budget-spent']);
});

streams('the budget is checked again after a request has waited for a server', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.removeServers('m2');
  fixture.configure({ ...configuration, bounds: { ...configuration.bounds, perServer: 1 } });
  const server = gate();
  fixture.reply = () => ({ ...fullReply, after: server.opened });
  const runs = [run(fixture, { program: 'q' })];
  await fixture.clock.run(10);
  runs.push(run(fixture, { budget: 10 }), run(fixture, { budget: 10, attempt: 'r2' }));
  await fixture.clock.run(10);
  server.open();
  const outcomes = [];
  for (const result of runs) outcomes.push(textOf(await fixture.finish(result)));
  assert.equal(outcomes, ['done 200', 'done 200', 'refused 402 budget-spent']);
  assert.is(fixture.sent.length, 2);
});

streams('attempts are limited by the route and by the deadline', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.reply = () => declinedReply;
  assert.is(
    textOf(await fixture.finish(run(fixture, { path: '/flow/' }))),
    'refused 503 no-server',
  );
  assert.is(fixture.sent.length, 1);
  assert.is(statusOf(fixture.stored(key)), 'void');
  assert.is(storedTurn(fixture).cost, 0);
  const expired = { attempt: 'r2', left: 0 };
  assert.is(textOf(await fixture.finish(run(fixture, expired))), 'refused 503 queue-timeout');
  assert.is(fixture.sent.length, 1);
});

streams('nothing is sent if the caller disconnects while the reservation is written', async () => {
  const fixture = await SessionOwnerFixture.opened();
  const caller = new AbortController();
  fixture.onPut = () => {
    caller.abort();
    return true;
  };
  assert.is(textOf(await fixture.finish(run(fixture, {}, caller.signal))), 'refused 503 gone');
  assert.is(fixture.sent.length, 0);
  assert.is(statusOf(fixture.stored(key)), 'void');
});

streams('an owner whose read lease expired sends nothing', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.onPut = () => {
    fixture.leaseMs = 0;
    return true;
  };
  assert.is(textOf(await fixture.finish(run(fixture))), 'refused 503 not-ready');
  assert.is(fixture.sent.length, 0);
});

streams(
  'a server that starts draining while the reservation is written gets no request',
  async () => {
    const fixture = await SessionOwnerFixture.opened();
    fixture.removeServers('m2');
    fixture.onPut = (_, status) => {
      if (status === 'reserved') fixture.changeServer('m1', { draining: true });
      return true;
    };
    assert.is(textOf(await fixture.finish(run(fixture))), 'refused 503 no-server');
    assert.is(fixture.sent.length, 0);
  },
);

streams('the preconditions are checked again right before the first byte', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.beforeSend = () => {
    fixture.leaseMs = 0;
  };
  assert.is((await fixture.finish(run(fixture))).outcome, 'refused');
  assert.is(fixture.sent.length, 0);
});

/** One complete event and an incomplete one, then the connection is lost. */
const cutOff = {
  bytes: ['id: 1\ndata: one\n\n', 'id: 2\ndata: tw'],
  ended: { kind: 'lost', text: 'cut' },
} as const;

streams('a resumable stream continues after its last complete event', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.reply = (n) => (n === 0 ? cutOff : { ...fullReply, bytes: ['id: 2\ndata: two\n\n'] });
  assert.is(textOf(await fixture.finish(run(fixture, { path: '/live/' }))), 'done 200');
  assert.is(fixture.sent[1]?.resume, '1');
  assert.is(fixture.emitted.slice(1).join(''), 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n');
});

streams('a stream that cannot be resumed is not sent again', async () => {
  for (const [path, reply] of [
    ['/turn/', cutOff],
    ['/live/', { ...cutOff, bytes: ['data: one\n\n'] }],
    ['/live/', { ...cutOff, contentType: 'text/plain', bytes: ['one'] }],
  ] as const) {
    const fixture = await SessionOwnerFixture.opened();
    fixture.reply = (n) => (n === 0 ? reply : fullReply);
    assert.is(textOf(await fixture.finish(run(fixture, { path }))), 'unknown 504 broken-off');
    assert.is(fixture.sent.length, 1);
    assert.is(statusOf(fixture.stored(key)), 'failed');
  }
});

streams(
  'a lost stream is not resumed beyond the allowed attempts or after its caller disconnected',
  async () => {
    const withoutAttempts = await SessionOwnerFixture.opened();
    withoutAttempts.reply = () => cutOff;
    assert.is(
      textOf(await withoutAttempts.finish(run(withoutAttempts, { path: '/live/' }))),
      'unknown 504 broken-off',
    );
    assert.is(withoutAttempts.sent.length, 2);
    const withoutCaller = await SessionOwnerFixture.opened();
    const caller = new AbortController();
    withoutCaller.reply = () => {
      caller.abort();
      return cutOff;
    };
    assert.is(
      textOf(await withoutCaller.finish(run(withoutCaller, { path: '/live/' }, caller.signal))),
      'unknown 504 broken-off',
    );
    assert.is(withoutCaller.sent.length, 1);
  },
);

streams(
  'the stream breaks off if the response of the resuming server is an error or not a stream of events',
  async () => {
    for (const reply of [
      { ...fullReply, contentType: 'text/plain', bytes: ['two'] },
      { ...fullReply, status: 500 },
    ]) {
      const fixture = await SessionOwnerFixture.opened();
      fixture.reply = (n) => (n === 0 ? cutOff : reply);
      assert.is(
        textOf(await fixture.finish(run(fixture, { path: '/live/' }))),
        'unknown 504 broken-off',
      );
      assert.is(fixture.emitted.slice(1).join(''), 'id: 1\ndata: one\n\n');
    }
  },
);

streams('a stream that ends within an event has broken off', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.reply = () => ({ ...cutOff, ended: { kind: 'done', code: 200, body: 0 } });
  assert.is(textOf(await fixture.finish(run(fixture))), 'unknown 504 broken-off');
});

streams('an error response of the server is forwarded, and its turn is not retained', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.reply = () => ({
    ...fullReply,
    status: 500,
    ended: { kind: 'done', code: 500, body: 0 },
  });
  assert.is(textOf(await fixture.finish(run(fixture))), 'done 200');
  await fixture.clock.run(1000);
  assert.is(storedTurn(fixture).status, 'failed');
  assert.is(storedTurn(fixture).output, '');
});

streams('a slot is not released while one of its streams is in progress', async () => {
  const fixture = await SessionOwnerFixture.opened();
  const server = gate();
  fixture.reply = () => ({ ...fullReply, after: server.opened });
  const running = run(fixture);
  await fixture.clock.run(10);
  fixture.changeSlot({ transferTarget: 'f2' });
  assert.equal(fixture.owner.releaseIdleSlots(), []);
  server.open();
  await fixture.finish(running);
  assert.equal(fixture.owner.releaseIdleSlots(), [[0, 1]]);
});

streams(
  'the disconnect of the caller aborts the request at the server, and the turn has broken off',
  async () => {
    const fixture = await SessionOwnerFixture.opened();
    const caller = new AbortController();
    fixture.reply = (_, sent) => {
      caller.abort();
      assert.is(sent.stop.aborted, true);
      return fullReply;
    };
    assert.is(
      textOf(await fixture.finish(run(fixture, {}, caller.signal))),
      'unknown 504 broken-off',
    );
  },
);

streams.run();
