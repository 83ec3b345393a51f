/** How a master takes changes: in batches, with a proof of its mastership where the caller needs one. */
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

const withoutPeers = (rig: MasterHarness): void => {
  for (const id of ['b', 'c']) rig.peer(id).silent = true;
};

tasks('a change that comes after the step-down is refused', async () => {
  const rig = await MasterHarness.started();
  rig.master.stepDown('test');
  let called = false;
  const work = rig.master.submit((state) => {
    called = true;
    return state;
  });
  assert.is(await rig.outcome(work), 'not-master no');
  assert.not(called);
});

tasks('changes that wait for the publish under way are refused by a step-down', async () => {
  const rig = await MasterHarness.started();
  withoutPeers(rig);
  const first = outcomeOf(rig.master.submit(addStore('s')));
  await rig.clock.run(1);
  const second = outcomeOf(rig.master.submit(addStore('t')));
  await rig.clock.run(1);
  rig.master.stepDown('test');
  assert.is(await rig.clock.finish('first', first, roundTrip), 'unknown unknown');
  assert.is(await rig.clock.finish('second', second, roundTrip), 'not-master no');
});

tasks('changes that wait together are published together', async () => {
  const rig = await MasterHarness.started();
  const work = ['s', 't', 'u'].map((id) => rig.master.submit(addStore(id)));
  await rig.clock.finish('all', Promise.all(work), bounds.publishTimeout);
  await rig.clock.run(roundTrip * 2);
  assert.is(rig.master.committed?.version, newestVersion + 2);
  assert.equal(
    ['s', 't', 'u'].map((id) => rig.master.committed?.nodes.has(id)),
    [true, true, true],
  );
});

tasks('a change that refuses leaves the others of its batch alone', async () => {
  const rig = await MasterHarness.started();
  const refused = outcomeOf(rig.master.submit(refuse));
  const made = outcomeOf(rig.master.submit(addStore('s')));
  assert.equal(
    await rig.clock.finish('both', Promise.all([refused, made]), bounds.publishTimeout),
    ['refused no', 'done'],
  );
  assert.ok(rig.master.committed?.nodes.has('s'));
});

tasks('a refusal that rests on a batch without a majority is not told as a refusal', async () => {
  const rig = await MasterHarness.started();
  withoutPeers(rig);
  const made = outcomeOf(rig.master.submit(addStore('s')));
  const refused = outcomeOf(rig.master.submit(refuse));
  assert.equal(
    await rig.clock.finish('both', Promise.all([made, refused]), bounds.failureTimeout),
    ['unknown unknown', 'unavailable no'],
  );
});

tasks('a change that alters nothing publishes nothing', async () => {
  const rig = await MasterHarness.started();
  const before = rig.sent.length;
  assert.is(await rig.outcome(rig.master.submit(unchanged)), 'done');
  assert.is(rig.sent.length, before);
});

tasks('a refusal to decide is told only once a majority confirms this master', async () => {
  const rig = await MasterHarness.started();
  const before = rig.sent.length;
  assert.is(await rig.outcome(rig.master.submitConfirmed(refuse)), 'refused no');
  assert.ok(rig.sent.slice(before).some((m) => m.kind === 'zen/node-ping'));
  withoutPeers(rig);
  assert.is(await rig.outcome(rig.master.submitConfirmed(refuse)), 'unavailable no');
  assert.is(await rig.outcome(rig.master.submit(refuse)), 'refused no');
});

tasks(
  'a decision that alters nothing is told only once a majority confirms this master',
  async () => {
    const rig = await MasterHarness.started();
    assert.is(await rig.outcome(rig.master.submitConfirmed(unchanged)), 'done');
    withoutPeers(rig);
    assert.is(await rig.outcome(rig.master.submitConfirmed(unchanged)), 'unavailable no');
  },
);

tasks('a decision in a published batch needs no further round', async () => {
  const rig = await MasterHarness.started();
  const before = rig.sent.length;
  const made = outcomeOf(rig.master.submit(addStore('s')));
  const decided = outcomeOf(rig.master.submitConfirmed(refuse));
  assert.equal(await rig.clock.finish('both', Promise.all([made, decided]), roundTrip), [
    'done',
    'refused no',
  ]);
  const pinged = rig.sent.slice(before).filter((m) => m.kind === 'zen/node-ping' && m.to !== 's');
  assert.is(pinged.length, 0);
});

tasks('each batch is settled before it is published', async () => {
  const rig = await MasterHarness.started({ settle: addStore('settled') });
  assert.ok(rig.master.committed?.nodes.has('settled'));
});

const withFront = stateWith(threeVoters, [memberOf('f', 'front')]);

/** A master in whose state the front `f` is listed, after the read lease of its election has run out. */
const masterWithFront = async (): Promise<MasterHarness> => {
  const rig = await MasterHarness.started({ newest: withFront });
  await rig.clock.run(bounds.readLease);
  return rig;
};

const inForceAfter = async (
  rig: MasterHarness,
  change: (state: State) => State,
): Promise<number> => {
  const committed = await rig.clock.finish(
    'the commit',
    rig.master.submit(change),
    bounds.publishTimeout,
  );
  const from = rig.clock.now();
  await rig.clock.finish('in force', outcomeOf(rig.master.waitUntilInForce(committed)), 20000);
  return rig.clock.now() - from;
};

tasks('a state is in force once every front has applied it', async () => {
  const rig = await masterWithFront();
  const took = await inForceAfter(rig, addStore('s'));
  assert.ok(took > 0 && took <= roundTrip, `${took} ms`);
});

tasks('a state that a front has not applied is in force after the read lease', async () => {
  const rig = await masterWithFront();
  rig.peer('f').on('zen/commit', () => {
    throw new ElectionError('not-held', 'that state is not held');
  });
  const took = await inForceAfter(rig, addStore('s'));
  assert.ok(took >= bounds.readLease, `${took} ms`);
});

tasks('an older state that a front says it has applied does not count', async () => {
  const rig = await masterWithFront();
  rig.peer('f').on('zen/commit', () => {
    throw new ElectionError('not-held', 'that state is not held');
  });
  const before = rig.master.committed;
  const work = inForceAfter(rig, addStore('s'));
  rig.master.onMasterPing({
    from: memberOf('f', 'front'),
    term,
    applied: { term, version: before?.version ?? 0 },
    report: null,
  });
  assert.ok((await rig.clock.finish('in force', work, 20000)) >= bounds.readLease);
});

tasks('an old report of a front takes back nothing that it has applied', async () => {
  const rig = await masterWithFront();
  const before = rig.master.committed;
  const committed = await rig.clock.finish(
    'the commit',
    rig.master.submit(addStore('s')),
    bounds.publishTimeout,
  );
  await rig.clock.run(roundTrip);
  rig.master.onMasterPing({
    from: memberOf('f', 'front'),
    term,
    applied: { term, version: before?.version ?? 0 },
    report: null,
  });
  const from = rig.clock.now();
  await rig.clock.finish('in force', outcomeOf(rig.master.waitUntilInForce(committed)), 20000);
  assert.is(rig.clock.now(), from);
});

tasks('nothing is in force before the read lease since the election has passed', async () => {
  const rig = await MasterHarness.started();
  const took = await inForceAfter(rig, addStore('s'));
  assert.ok(took > bounds.readLease - roundTrip * 10, `${took} ms`);
});

tasks('a front that left may serve until the read lease has passed', async () => {
  const rig = await masterWithFront();
  const took = await inForceAfter(rig, (state) => reduceState(state, { kind: 'leave', id: 'f' }));
  assert.ok(took >= bounds.readLease, `${took} ms`);
});

tasks('nobody hears that a state is in force from a master that stepped down', async () => {
  const rig = await masterWithFront();
  const committed = await rig.clock.finish(
    'the commit',
    rig.master.submit(addStore('s')),
    bounds.publishTimeout,
  );
  const work = outcomeOf(rig.master.waitUntilInForce(committed));
  rig.master.stepDown('test');
  assert.is(await rig.clock.finish('the answer', work, roundTrip), 'unknown unknown');
});

tasks.run();
