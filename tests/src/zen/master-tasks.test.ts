/** How a master processes changes: in batches, and confirmed by a majority where the caller asks for it. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { reduceState, type State } from '@tillerstair/state';
import { ElectionError, OperationError } from '@tillerstair/wire';
import {
  bounds,
  MasterHarness,
  memberOf,
  newestVersion,
  outcomeOf,
  roundTrip,
  stateWith,
  term,
  threeVoters,
} from './master-harness.js';

const tasks = suite('task queue of a master');

const addStore =
  (id: string) =>
  (state: State): State =>
    reduceState(state, { kind: 'join', member: memberOf(id, 'store') });
const refuse = (): State => {
  throw new OperationError('refused', 'refused by the change itself');
};
const unchanged = (state: State): State => state;

const silencePeers = (harness: MasterHarness): void => {
  for (const id of ['b', 'c']) harness.peer(id).silent = true;
};

tasks('a change submitted after the step-down is refused', async () => {
  const harness = await MasterHarness.started();
  harness.master.stepDown('test');
  let changeCalled = false;
  const work = harness.master.submit((state) => {
    changeCalled = true;
    return state;
  });
  assert.is(await harness.outcome(work), 'not-master no');
  assert.not(changeCalled);
});

tasks('changes that wait for the publish in flight are refused by a step-down', async () => {
  const harness = await MasterHarness.started();
  silencePeers(harness);
  const first = outcomeOf(harness.master.submit(addStore('s')));
  await harness.clock.run(1);
  const second = outcomeOf(harness.master.submit(addStore('t')));
  await harness.clock.run(1);
  harness.master.stepDown('test');
  assert.is(await harness.clock.finish('first', first, roundTrip), 'unknown unknown');
  assert.is(await harness.clock.finish('second', second, roundTrip), 'not-master no');
});

tasks('changes that are pending together are published together', async () => {
  const harness = await MasterHarness.started();
  const work = ['s', 't', 'u'].map((id) => harness.master.submit(addStore(id)));
  await harness.clock.finish('all', Promise.all(work), bounds.publishTimeout);
  await harness.clock.run(roundTrip * 2);
  assert.is(harness.master.committed?.version, newestVersion + 2);
  assert.equal(
    ['s', 't', 'u'].map((id) => harness.master.committed?.nodes.has(id)),
    [true, true, true],
  );
});

tasks('a refused change does not affect the others of its batch', async () => {
  const harness = await MasterHarness.started();
  const refused = outcomeOf(harness.master.submit(refuse));
  const made = outcomeOf(harness.master.submit(addStore('s')));
  assert.equal(
    await harness.clock.finish('both', Promise.all([refused, made]), bounds.publishTimeout),
    ['refused no', 'done'],
  );
  assert.ok(harness.master.committed?.nodes.has('s'));
});

tasks('a refusal is not reported if its batch is not accepted by a majority', async () => {
  const harness = await MasterHarness.started();
  silencePeers(harness);
  const made = outcomeOf(harness.master.submit(addStore('s')));
  const refused = outcomeOf(harness.master.submit(refuse));
  assert.equal(
    await harness.clock.finish('both', Promise.all([made, refused]), bounds.failureTimeout),
    ['unknown unknown', 'unavailable no'],
  );
});

tasks('a change that alters nothing publishes nothing', async () => {
  const harness = await MasterHarness.started();
  const before = harness.sent.length;
  assert.is(await harness.outcome(harness.master.submit(unchanged)), 'done');
  assert.is(harness.sent.length, before);
});

tasks('submitConfirmed reports a refusal only once a majority confirms this master', async () => {
  const harness = await MasterHarness.started();
  const before = harness.sent.length;
  assert.is(await harness.outcome(harness.master.submitConfirmed(refuse)), 'refused no');
  assert.ok(harness.sent.slice(before).some((message) => message.kind === 'zen/node-ping'));
  silencePeers(harness);
  assert.is(await harness.outcome(harness.master.submitConfirmed(refuse)), 'unavailable no');
  assert.is(await harness.outcome(harness.master.submit(refuse)), 'refused no');
});

tasks(
  'submitConfirmed reports an unaltered state only once a majority confirms this master',
  async () => {
    const harness = await MasterHarness.started();
    assert.is(await harness.outcome(harness.master.submitConfirmed(unchanged)), 'done');
    silencePeers(harness);
    assert.is(await harness.outcome(harness.master.submitConfirmed(unchanged)), 'unavailable no');
  },
);

tasks('submitConfirmed needs no quorum read in a published batch', async () => {
  const harness = await MasterHarness.started();
  const before = harness.sent.length;
  const made = outcomeOf(harness.master.submit(addStore('s')));
  const confirmed = outcomeOf(harness.master.submitConfirmed(refuse));
  assert.equal(await harness.clock.finish('both', Promise.all([made, confirmed]), roundTrip), [
    'done',
    'refused no',
  ]);
  const pinged = harness.sent
    .slice(before)
    .filter((message) => message.kind === 'zen/node-ping' && message.to !== 's');
  assert.is(pinged.length, 0);
});

tasks('the dependent parts of a state are derived before it is published', async () => {
  const harness = await MasterHarness.started({ settle: addStore('settled') });
  assert.ok(harness.master.committed?.nodes.has('settled'));
});

const withFront = stateWith(threeVoters, [memberOf('f', 'front')]);

/** A master that lists the front `f`, one read lease after its election. */
const masterWithFront = async (): Promise<MasterHarness> => {
  const harness = await MasterHarness.started({ newest: withFront });
  await harness.clock.run(bounds.readLease);
  return harness;
};

/** Submits a change; resolves with the time, in ms, from its commit until it is in force. */
const timeUntilInForce = async (
  harness: MasterHarness,
  change: (state: State) => State,
): Promise<number> => {
  const committed = await harness.clock.finish(
    'the commit',
    harness.master.submit(change),
    bounds.publishTimeout,
  );
  const committedAt = harness.clock.now();
  await harness.clock.finish(
    'in force',
    outcomeOf(harness.master.waitUntilInForce(committed)),
    20000,
  );
  return harness.clock.now() - committedAt;
};

tasks('a state is in force once every front has applied it', async () => {
  const harness = await masterWithFront();
  const took = await timeUntilInForce(harness, addStore('s'));
  assert.ok(took > 0 && took <= roundTrip, `${took} ms`);
});

tasks('a state that a front has not applied is in force after the read lease', async () => {
  const harness = await masterWithFront();
  harness.peer('f').on('zen/commit', () => {
    throw new ElectionError('not-held', 'that state was not accepted');
  });
  const took = await timeUntilInForce(harness, addStore('s'));
  assert.ok(took >= bounds.readLease, `${took} ms`);
});

tasks('a report that a front has applied an older state does not count', async () => {
  const harness = await masterWithFront();
  harness.peer('f').on('zen/commit', () => {
    throw new ElectionError('not-held', 'that state was not accepted');
  });
  const before = harness.master.committed;
  const work = timeUntilInForce(harness, addStore('s'));
  harness.master.onMasterPing({
    from: memberOf('f', 'front'),
    term,
    applied: { term, version: before?.version ?? 0 },
    report: null,
  });
  assert.ok((await harness.clock.finish('in force', work, 20000)) >= bounds.readLease);
});

tasks('an outdated report of a front does not revert its applied version', async () => {
  const harness = await masterWithFront();
  const before = harness.master.committed;
  const committed = await harness.clock.finish(
    'the commit',
    harness.master.submit(addStore('s')),
    bounds.publishTimeout,
  );
  await harness.clock.run(roundTrip);
  harness.master.onMasterPing({
    from: memberOf('f', 'front'),
    term,
    applied: { term, version: before?.version ?? 0 },
    report: null,
  });
  const waitingSince = harness.clock.now();
  await harness.clock.finish(
    'in force',
    outcomeOf(harness.master.waitUntilInForce(committed)),
    20000,
  );
  assert.is(harness.clock.now(), waitingSince);
});

tasks('no state is in force until one read lease after the election', async () => {
  const harness = await MasterHarness.started();
  const took = await timeUntilInForce(harness, addStore('s'));
  assert.ok(took > bounds.readLease - roundTrip * 10, `${took} ms`);
});

tasks('a front that left may serve until its read lease has expired', async () => {
  const harness = await masterWithFront();
  const took = await timeUntilInForce(harness, (state) =>
    reduceState(state, { kind: 'leave', id: 'f' }),
  );
  assert.ok(took >= bounds.readLease, `${took} ms`);
});

tasks('a master that stepped down reports no state as in force', async () => {
  const harness = await masterWithFront();
  const committed = await harness.clock.finish(
    'the commit',
    harness.master.submit(addStore('s')),
    bounds.publishTimeout,
  );
  const work = outcomeOf(harness.master.waitUntilInForce(committed));
  harness.master.stepDown('test');
  assert.is(await harness.clock.finish('the answer', work, roundTrip), 'unknown unknown');
});

tasks.run();
