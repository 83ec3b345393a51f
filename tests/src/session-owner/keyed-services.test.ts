/**
 * A keyed operation that may have run at a service is sent to that service alone, which has it in its record of keys:
 * no other service knows the key and would run the operation again.
 */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { OpValue } from '@tillerstair/session-owner';
import {
  declinedReply,
  gate,
  lostReply,
  SessionOwnerFixture,
  statusOf,
  textOf,
} from '../support/session-owner-fixture.js';
import {
  afterLostTry,
  answerOf,
  configurationWith,
  recordKey,
  RecordingServices,
  send,
  sendAndWait,
  unknownOutcome,
} from '../support/recording-services.js';
import { configuration } from '../support/session-owner-state.js';

const services = suite('keyed operations of routes with several services');

// Guards against review/1: the attempt after a lost answer went to the other service of the route, which ran it too.
services('the attempt after a lost answer goes to the service that ran the operation', async () => {
  for (const path of ['/split/', '/recorded/']) {
    const fixture = await SessionOwnerFixture.opened();
    const recording = new RecordingServices();
    fixture.reply = recording.reply;
    assert.match(await sendAndWait(fixture, { path }), /^run 0 at /);
    assert.is(recording.runs.length, 1, `${path} ran at ${recording.runs.join(', ')}`);
  }
});

// Guards against the fault of review/1 on a client's next try: each try chose its service anew.
services('each later try with the key gets the answer of the first run', async () => {
  const [fixture, recording] = await afterLostTry();
  const [service = ''] = recording.runs;
  for (let n = 0; n < 6; n++) assert.is(await sendAndWait(fixture), `run 0 at ${service}`);
  assert.equal(recording.runs, [service]);
});

// Guards against the fault of review/1 after a restart or a move: the record did not say which service has the run.
services('the next owner of the slot asks the service that may have the run', async () => {
  for (const status of ['intent', 'unknown'])
    for (const service of ['memo', 'ledger']) {
      const [before, recording] = await afterLostTry({ [service]: 1 });
      const stored = before.stored(recordKey);
      if (stored === null || typeof stored !== 'object') throw new Error('nothing is stored');
      const next = await SessionOwnerFixture.opened();
      next.store(recordKey, { ...stored, status });
      await next.transferAwayAndBack();
      next.reply = recording.reply;
      assert.is(await sendAndWait(next), `run 0 at ${service}`);
      assert.equal(recording.runs, [service]);
    }
});

services('an operation of an earlier ownership reruns only where its key is recorded', async () => {
  for (const [recordedBy, pools, expected] of [
    ['memo', ['memo'], 'done 200'],
    ['', ['memo'], 'unknown 504 unknown'],
    ['memo', ['memo', 'shop'], 'done 200'],
    ['memo', ['memo', 'ledger'], 'done 200'],
    ['memo', ['ledger'], 'unknown 504 unknown'],
    ['memo', ['shop'], 'unknown 504 unknown'],
  ] as const) {
    const fixture = await SessionOwnerFixture.opened();
    const request = { path: '/recorded/' };
    fixture.reply = () => ({ ended: { kind: 'done', code: 200, body: 1 } });
    await fixture.finish(send(fixture, request));
    const stored = fixture.stored(recordKey);
    if (stored === null || typeof stored !== 'object') throw new Error('operation is not stored');
    fixture.store(recordKey, { ...stored, status: 'intent', recordedBy });
    fixture.configure({
      ...configuration,
      routes: configuration.routes.map((route) =>
        route.name === 'pass-recorded'
          ? { ...route, shares: pools.map((pool) => ({ pool, share: 1 })) }
          : route,
      ),
    });
    await fixture.transferAwayAndBack();
    const sentBefore = fixture.sent.length;
    assert.is(textOf(await fixture.finish(send(fixture, request))), expected);
    const servers = fixture.sent.slice(sentBefore).map(({ server }) => server);
    assert.is(servers.length, expected === 'done 200' ? 1 : 0);
    assert.ok(
      servers.every((server) => ['k1', 'k2'].includes(server)),
      servers.join(', '),
    );
  }
});

// Guards against the fault of review/1 after a change of configuration: the route's services of today were asked.
services(
  'a changed route still asks the service that may have the run, if it leads there',
  async () => {
    for (const [before, after, expected] of [
      [{ memo: 1 }, { memo: 1, ledger: 1000 }, 'run 0 at memo'],
      [{ ledger: 1 }, { memo: 1000, ledger: 1 }, 'run 0 at ledger'],
      [{ memo: 1 }, { memo: 1, shop: 1000 }, 'run 0 at memo'],
      [{ memo: 1 }, { ledger: 1 }, unknownOutcome],
      [{ memo: 1 }, { memo: 0, ledger: 1 }, unknownOutcome],
      [{ memo: 1 }, { shop: 1 }, unknownOutcome],
    ] as const) {
      const [fixture, recording] = await afterLostTry(before);
      const sentBefore = fixture.sent.length;
      fixture.configure(configurationWith(after));
      assert.is(await sendAndWait(fixture), expected, JSON.stringify([before, after]));
      assert.is(fixture.sent.length - sentBefore, expected === unknownOutcome ? 0 : 1);
      assert.is(recording.runs.length, 1);
      fixture.configure(configurationWith(before));
      assert.match(await sendAndWait(fixture), /^run 0 at /, 'the route leads there again');
      assert.is(recording.runs.length, 1);
    }
  },
);

// Guards against the fault of review/1 while an attempt is on its way: the route moves before the answer is lost.
services('a route that moves during an attempt does not take the operation along', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.configure(configurationWith({ memo: 1 }));
  const recording = new RecordingServices(() => {
    fixture.configure(configurationWith({ ledger: 1 }));
    return lostReply;
  });
  fixture.reply = recording.reply;
  assert.is(await sendAndWait(fixture), unknownOutcome);
  assert.equal(recording.runs, ['memo']);
});

services('a service that no longer records keys is not asked', async () => {
  const [fixture, recording] = await afterLostTry({ memo: 1 });
  const sentBefore = fixture.sent.length;
  fixture.configure(configurationWith({ memo: 1 }, ['ledger']));
  assert.is(await sendAndWait(fixture), unknownOutcome);
  assert.is(fixture.sent.length, sentBefore);
  assert.equal(recording.runs, ['memo']);
});

// The stored intent must be true when the first byte is sent, or a later try would ask a service without a record.
services(
  'a service that stops recording keys before the first byte gets a new intent',
  async () => {
    const fixture = await SessionOwnerFixture.opened();
    fixture.configure(configurationWith({ memo: 1 }));
    fixture.beforeSend = () => {
      fixture.beforeSend = undefined;
      fixture.configure(configurationWith({ memo: 1 }, ['ledger']));
    };
    const recordedBy: string[] = [];
    fixture.reply = () => {
      recordedBy.push(OpValue.parse(fixture.stored(recordKey)).recordedBy);
      return lostReply;
    };
    assert.is(await sendAndWait(fixture), unknownOutcome);
    fixture.configure(configurationWith({ memo: 1 }));
    assert.is(await sendAndWait(fixture), unknownOutcome);
    assert.equal(recordedBy, ['']);
  },
);

services(
  'a service that stops recording keys while an operation waits for it is not asked',
  async () => {
    const [fixture, recording] = await afterLostTry({ memo: 1 });
    const onlyOne = { bounds: { ...configuration.bounds, perServer: 1 } };
    fixture.removeServers('k2');
    fixture.configure({ ...configurationWith({ memo: 1 }), ...onlyOne });
    const busy = gate();
    fixture.reply = () => ({ ended: { kind: 'done', code: 200, body: null }, after: busy.opened });
    const other = send(fixture, { key: 'other' });
    await fixture.clock.run(10);
    const sentBefore = fixture.sent.length;
    const waiting = send(fixture);
    await fixture.clock.run(10);
    fixture.configure({ ...configurationWith({ memo: 1 }, ['ledger']), ...onlyOne });
    busy.open();
    await fixture.finish(other);
    assert.is(textOf(await fixture.finish(waiting)), unknownOutcome);
    assert.is(fixture.sent.length, sentBefore);
    assert.equal(recording.runs, ['memo']);
  },
);

services('a run at a service that did not record keys is never repeated', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.configure(configurationWith({ memo: 1 }, []));
  fixture.reply = () => lostReply;
  assert.is(await sendAndWait(fixture), unknownOutcome);
  fixture.configure(configurationWith({ memo: 1, ledger: 1 }));
  assert.is(await sendAndWait(fixture), unknownOutcome);
  assert.is(fixture.sent.length, 1);
});

// A service that records keys keeps its promise whatever the route's other services do.
services(
  'a run at a recording service is repeated though another of the route records no keys',
  async () => {
    const fixture = await SessionOwnerFixture.opened();
    fixture.removeServers('s1', 's2');
    const recording = new RecordingServices();
    fixture.reply = recording.reply;
    assert.is(await sendAndWait(fixture, { path: '/mixed/' }), 'run 0 at memo');
    assert.equal(recording.runs, ['memo']);
  },
);

services(
  'an operation that a service declined may run at another, which the intent then names',
  async () => {
    const fixture = await SessionOwnerFixture.opened();
    const recording = new RecordingServices(() => undefined);
    const recordedBy: string[] = [];
    fixture.reply = (index, sent) => {
      recordedBy.push(OpValue.parse(fixture.stored(recordKey)).recordedBy);
      return index === 0 ? declinedReply : recording.reply(index, sent);
    };
    fixture.removeServers('k2', 'l2');
    assert.match(await sendAndWait(fixture), /^run 0 at /);
    assert.equal(recordedBy.sort(), ['ledger', 'memo']);
    assert.is(fixture.sent.length, 2);
  },
);

services('a service with a single server is asked again after a lost answer', async () => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.removeServers('k2', 'l2');
  const recording = new RecordingServices();
  fixture.reply = recording.reply;
  assert.match(await sendAndWait(fixture), /^run 0 at /);
  assert.is(recording.runs.length, 1);
  assert.is(new Set(fixture.sent.map(({ server }) => server)).size, 1);
});

services('without a usable server of its service an operation waits for a later try', async () => {
  const [fixture, recording] = await afterLostTry({ memo: 1 });
  fixture.configure(configurationWith({ memo: 1, ledger: 1 }));
  const { servers } = fixture.current;
  fixture.removeServers('k1', 'k2');
  assert.is((await fixture.finish(send(fixture))).outcome, 'refused');
  assert.is(statusOf(fixture.stored(recordKey)), 'unknown');
  fixture.change({ servers });
  assert.is(await sendAndWait(fixture), 'run 0 at memo');
  assert.equal(recording.runs, ['memo']);
});

// Silence in place of a reset: the first try ends at its deadline without an answer.
services('a try that joined a silent one asks the service in its own time left', async () => {
  const fixture = await SessionOwnerFixture.opened();
  const deadline = gate();
  const recording = new RecordingServices(() => ({ ...lostReply, after: deadline.opened }));
  fixture.reply = recording.reply;
  const first = send(fixture, { left: 1000 });
  await fixture.clock.run(500);
  const second = send(fixture, { left: 4000 });
  await fixture.clock.run(500);
  deadline.open();
  assert.is(textOf(await fixture.finish(first)), unknownOutcome);
  assert.match(answerOf(await fixture.finish(second)), /^run 0 at /);
  assert.is(recording.runs.length, 1);
});

// Records of the version before say that servers record keys, but not which service has the run.
services('a record that names no service is not sent again', async () => {
  const [before, recording] = await afterLostTry({ memo: 1 });
  const { digest } = OpValue.parse(before.stored(recordKey));
  for (const status of ['intent', 'unknown']) {
    const fixture = await SessionOwnerFixture.opened();
    fixture.store(recordKey, { t: 'op', status, digest, code: 0, body: null, recorded: true });
    await fixture.transferAwayAndBack();
    fixture.reply = recording.reply;
    for (const path of ['/split/', '/recorded/'])
      assert.is((await fixture.finish(send(fixture, { path }))).outcome === 'done', false, path);
    assert.is(fixture.sent.length, 0);
  }
});

// A program of the version before sends an operation again to any service if its record says `recorded`.
services(
  'a record does not tell the version before that any service may run the operation',
  async () => {
    const [fixture] = await afterLostTry({ memo: 1 });
    const stored = fixture.stored(recordKey);
    if (stored === null || typeof stored !== 'object') throw new Error('nothing is stored');
    assert.is('recorded' in stored, false);
  },
);

// An error of the service is its answer, also when it answers a repeat.
services('a server error in answer to a repeat is final', async () => {
  const [fixture] = await afterLostTry({ memo: 1 });
  const sentBefore = fixture.sent.length;
  fixture.reply = () => ({
    status: 500,
    bytes: [],
    ended: { kind: 'done', code: 500, body: null },
  });
  assert.is((await fixture.finish(send(fixture))).outcome, 'done');
  assert.is(fixture.sent.length - sentBefore, 1);
});

services.run();
