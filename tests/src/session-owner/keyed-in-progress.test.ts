/**
 * A service that records keys and is running an operation declines a repeat of it. The owner asks it again until it has
 * the answer, and never says that the operation has not run.
 */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  SessionOwnerFixture,
  statusOf,
  textOf,
  type ServerReply,
} from '../support/session-owner-fixture.js';
import {
  afterLostTry,
  configurationWith,
  recordKey,
  RecordingServices,
  send,
  sendAndWait,
} from '../support/recording-services.js';

const inProgress = suite('keyed operations that their service is running');

/** The service declines the request, since it is running one with the same key. */
const runningReply: ServerReply = {
  ended: { kind: 'declined', text: 'running', keyInProgress: true },
};
const memoServers: readonly string[] = ['k1', 'k2'];

const serversOf = (fixture: SessionOwnerFixture, from = 0): readonly string[] =>
  fixture.sent.slice(from).map(({ server }) => server);

// Guards against a half-safe end: the tries of the route were used up while the first run was still going on.
inProgress('a repeat gets the answer of the first run once that has ended', async () => {
  const [fixture, recording] = await afterLostTry({ memo: 1 });
  fixture.configure(configurationWith({ memo: 1, ledger: 100 }));
  const sentBefore = fixture.sent.length;
  fixture.reply = (index, sent) =>
    index < sentBefore + 5 ? runningReply : recording.reply(index, sent);
  const startedAt = fixture.clock.now();
  assert.is(await sendAndWait(fixture), 'run 0 at memo');
  assert.ok(fixture.clock.now() - startedAt >= 500, 'the service is not asked in a tight loop');
  assert.is(fixture.sent.length - sentBefore, 6);
  assert.ok(serversOf(fixture, sentBefore).every((server) => memoServers.includes(server)));
});

inProgress('a run that outlasts the request is reported as running, not as refused', async () => {
  const [fixture] = await afterLostTry({ memo: 1 });
  fixture.reply = () => runningReply;
  const outcome = await fixture.finish(send(fixture, { left: 1000 }));
  assert.is(textOf(outcome), 'unknown 409 running');
  assert.ok((outcome.retryAfter ?? 0) > 0);
  assert.is(statusOf(fixture.stored(recordKey)), 'intent');
});

// The service may have a run of which this owner has no record, for example one past the retention of the stores.
inProgress(
  'a key that a service is running without our record of it is asked for there alone',
  async () => {
    const fixture = await SessionOwnerFixture.opened();
    const recording = new RecordingServices(() => undefined);
    fixture.reply = (index, sent) => (index < 3 ? runningReply : recording.reply(index, sent));
    assert.match(await sendAndWait(fixture), /^run 0 at /);
    const pools = new Set(serversOf(fixture).map((server) => memoServers.includes(server)));
    assert.is(pools.size, 1, serversOf(fixture).join(', '));
  },
);

inProgress(
  'the same answer of a service without a record of keys is an ordinary refusal',
  async () => {
    const fixture = await SessionOwnerFixture.opened();
    fixture.reply = () => runningReply;
    const outcome = await fixture.finish(send(fixture, { path: '/keyed/' }));
    assert.is(textOf(outcome), 'refused 503 no-server');
    assert.is(fixture.sent.length, 2);
    assert.is(statusOf(fixture.stored(recordKey)), 'void');
  },
);

inProgress.run();
