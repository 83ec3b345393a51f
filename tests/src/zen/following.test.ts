/** When a node trusts the master that it follows, and when it looks for another. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type Member } from '@tillerstair/state';
import { ConnectionRefusedError, RequestTimeoutError } from '@tillerstair/wire';
import {
  answersPings,
  answersWith,
  followingHarness,
  masterAnswers,
  masterPingResponse,
  type HarnessOptions,
  createHarness,
  settleMs,
} from '../support/zen-node-harness.js';
import {
  a,
  b,
  bounds,
  c,
  member,
  outcomeOf,
  pingResponse,
  publishOf,
  stateAt,
} from '../support/zen-fixtures.js';

const follows = suite('a node that follows a master');

/** Whether the node has lost its master after so much time with these answers to its pings. */
const hasLostMaster = async (
  masterPing: () => Promise<unknown>,
  ms: number,
  more: HarnessOptions = {},
): Promise<boolean> => {
  let pings = 0;
  const rig = await followingHarness({
    ...more,
    answers: {
      'zen/ping': (request) => {
        pings++;
        return answersPings(pingResponse(a, { master: a }), pingResponse(c))(request);
      },
      'zen/master-ping': masterPing,
    },
  });
  const joinedWith = pings;
  await rig.clock.run(ms);
  return pings > joinedWith;
};
const isLostAfter = (answer: object, ms: number, more?: HarnessOptions): Promise<boolean> =>
  hasLostMaster(() => Promise.resolve({ ...masterPingResponse, ...answer }), ms, more);
const severalPings = bounds.heartbeatInterval * 5;

follows('keeps it while it leads and lists the node', async () => {
  assert.is(await isLostAfter({}, severalPings), false);
});

follows('leaves it once it leads no more', async () => {
  assert.is(await isLostAfter({ leading: false }, bounds.heartbeatInterval / 2), true);
});

follows('leaves it if it is in a lower term than the node has voted in', async () => {
  const voted = await createHarness({ me: b });
  await voted.electionStore.recordVote(3, 'a');
  const { electionStore } = voted;
  assert.is(await isLostAfter({ term: 2 }, settleMs, { electionStore }), true);
  const again = await createHarness({ me: b });
  await again.electionStore.recordVote(3, 'a');
  assert.is(
    await isLostAfter({ term: 3 }, settleMs, { electionStore: again.electionStore }),
    false,
  );
});

follows('leaves it if it is not listed twice in a row', async () => {
  assert.is(await isLostAfter({ listed: false }, bounds.heartbeatInterval / 2), false);
  assert.is(await isLostAfter({ listed: false }, bounds.heartbeatInterval * 1.5), true);
  let pings = 0;
  const isListedInBetween = (): Promise<unknown> =>
    Promise.resolve({ ...masterPingResponse, listed: pings++ % 2 === 1 });
  assert.is(await hasLostMaster(isListedInBetween, severalPings), false);
});

follows('leaves it after two refused connections, or the failure timeout', async () => {
  const refuses = () => Promise.reject(new ConnectionRefusedError(a.addr));
  assert.is(await hasLostMaster(refuses, bounds.heartbeatInterval / 20), false);
  assert.is(await hasLostMaster(refuses, bounds.heartbeatInterval / 2), true);
  const isSilent = () => Promise.reject(new RequestTimeoutError(a.addr));
  assert.is(
    await hasLostMaster(isSilent, bounds.failureTimeout - bounds.heartbeatInterval / 2),
    false,
  );
  assert.is(await hasLostMaster(isSilent, bounds.failureTimeout + severalPings), true);
});

follows('renews its read lease only while it is listed and has the newest state', async () => {
  const renewalsWith = async (answer: object): Promise<number> => {
    let renewals = 0;
    const rig = await followingHarness({
      answers: { 'zen/master-ping': answersWith({ ...masterPingResponse, ...answer }) },
      overrides: { onListReport: () => renewals++ },
    });
    await rig.clock.run(settleMs);
    assert.is(rig.node.leaseRenewedAt > 0, renewals > 0);
    return renewals;
  };
  assert.ok((await renewalsWith({})) > 0);
  assert.is(await renewalsWith({ listed: false }), 0);
  assert.is(await renewalsWith({ committed: { term: 1, version: 2 } }), 0);
});

follows('dates its read lease back to the last contact of the master with a majority', async () => {
  const rig = await followingHarness({
    answers: { 'zen/master-ping': answersWith({ ...masterPingResponse, age: 700 }) },
  });
  assert.ok(rig.node.leaseRenewedAt <= rig.clock.now() - 700);
});

follows('refuses joins', async () => {
  const rig = await followingHarness();
  assert.is(await outcomeOf(rig.join(c)), 'not-master');
});

follows('looks again at once only if its own master says that it stepped down', async () => {
  const rig = await followingHarness();
  const count = () => rig.transport.count('zen/master-ping');
  const before = count();
  await rig.handle('zen/stepped-down', { from: c }, c);
  await rig.clock.run(settleMs);
  assert.is(count(), before);
  await rig.handle('zen/stepped-down', { from: a }, a);
  await rig.clock.run(settleMs);
  assert.is(count(), before + 1);
});

const joining = suite('a node that joins a master');

const neverAnswers = (): Promise<unknown> => new Promise(() => undefined);
const validateBy = (from: Member): object => ({
  from,
  to: 'b',
  term: 1,
  clusterId: 'x',
  have: { term: 0, version: 1 },
});

joining('votes for this one and for nobody else', async () => {
  const rig = await followingHarness({ answers: { 'zen/join': neverAnswers } });
  assert.is(await outcomeOf(rig.handle('zen/validate', validateBy(c), c)), 'not-joining');
  assert.is(await outcomeOf(rig.handle('zen/validate', validateBy(a), a)), 'done');
  assert.equal([rig.electionStore.persisted.term, rig.electionStore.persisted.votedFor], [1, 'a']);
});

joining('votes no more once it has joined', async () => {
  const rig = await followingHarness();
  assert.is(await outcomeOf(rig.handle('zen/validate', validateBy(a), a)), 'not-joining');
});

joining('takes a first state from the master it joins or follows alone', async () => {
  const publish = (from: Member) => publishOf(from, stateAt(1, 2), 'b');
  const joins = await followingHarness({ state: undefined, answers: { 'zen/join': neverAnswers } });
  assert.is(await outcomeOf(joins.handle('zen/publish', publish(c), c)), 'other-cluster');
  assert.is(await outcomeOf(joins.handle('zen/publish', publish(a), a)), 'done');
  const followsA = await followingHarness({ state: undefined });
  assert.is(await outcomeOf(followsA.handle('zen/publish', publish(c), c)), 'other-cluster');
  assert.is(await outcomeOf(followsA.handle('zen/publish', publish(a), a)), 'done');
});

joining('drops the joins of others that it queued while it looked for a master', async () => {
  const rig = await createHarness({ me: b, answers: masterAnswers });
  rig.node.start();
  const join = outcomeOf(rig.join(member('d')));
  await rig.clock.run(settleMs);
  assert.is(await join, 'not-master');
});

follows.run();
joining.run();
