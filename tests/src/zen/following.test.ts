/** When a node keeps following its master, and when it looks for another. */
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

/** Whether the node, given these replies to its pings, looks for another master within `ms`. */
const hasLostMaster = async (
  masterPing: () => Promise<unknown>,
  ms: number,
  options: HarnessOptions = {},
): Promise<boolean> => {
  let pings = 0;
  const harness = await followingHarness({
    ...options,
    answers: {
      'zen/ping': (request) => {
        pings++;
        return answersPings(pingResponse(a, { master: a }), pingResponse(c))(request);
      },
      'zen/master-ping': masterPing,
    },
  });
  const pingsToJoin = pings;
  await harness.clock.run(ms);
  return pings > pingsToJoin;
};
const isLostAfter = (response: object, ms: number, options?: HarnessOptions): Promise<boolean> =>
  hasLostMaster(() => Promise.resolve({ ...masterPingResponse, ...response }), ms, options);
const severalPings = bounds.heartbeatInterval * 5;

follows('keeps following it while it leads and lists the node', async () => {
  assert.is(await isLostAfter({}, severalPings), false);
});

follows('stops following it once it no longer leads', async () => {
  assert.is(await isLostAfter({ leading: false }, bounds.heartbeatInterval / 2), true);
});

follows('stops following it if its term is lower than the one the node voted in', async () => {
  const voted = await createHarness({ me: b });
  await voted.electionStore.recordVote(3, 'a');
  const { electionStore } = voted;
  assert.is(await isLostAfter({ term: 2 }, settleMs, { electionStore }), true);
  const votedAgain = await createHarness({ me: b });
  await votedAgain.electionStore.recordVote(3, 'a');
  assert.is(
    await isLostAfter({ term: 3 }, settleMs, { electionStore: votedAgain.electionStore }),
    false,
  );
});

follows('stops following it after two responses in a row that do not list the node', async () => {
  assert.is(await isLostAfter({ listed: false }, bounds.heartbeatInterval / 2), false);
  assert.is(await isLostAfter({ listed: false }, bounds.heartbeatInterval * 1.5), true);
  let pings = 0;
  const listedEverySecondTime = (): Promise<unknown> =>
    Promise.resolve({ ...masterPingResponse, listed: pings++ % 2 === 1 });
  assert.is(await hasLostMaster(listedEverySecondTime, severalPings), false);
});

follows('stops following it after two refused connections or the failure timeout', async () => {
  const refuses = () => Promise.reject(new ConnectionRefusedError(a.addr));
  assert.is(await hasLostMaster(refuses, bounds.heartbeatInterval / 20), false);
  assert.is(await hasLostMaster(refuses, bounds.heartbeatInterval / 2), true);
  const timesOut = () => Promise.reject(new RequestTimeoutError(a.addr));
  assert.is(
    await hasLostMaster(timesOut, bounds.failureTimeout - bounds.heartbeatInterval / 2),
    false,
  );
  assert.is(await hasLostMaster(timesOut, bounds.failureTimeout + severalPings), true);
});

follows('renews its read lease only while it is listed and has the newest state', async () => {
  const renewalsWith = async (response: object): Promise<number> => {
    let renewals = 0;
    const harness = await followingHarness({
      answers: { 'zen/master-ping': answersWith({ ...masterPingResponse, ...response }) },
      overrides: { onListReport: () => renewals++ },
    });
    await harness.clock.run(settleMs);
    assert.is(harness.node.leaseRenewedAt > 0, renewals > 0);
    return renewals;
  };
  assert.ok((await renewalsWith({})) > 0);
  assert.is(await renewalsWith({ listed: false }), 0);
  assert.is(await renewalsWith({ committed: { term: 1, version: 2 } }), 0);
});

follows('renews its read lease as of the last contact of the master with a majority', async () => {
  const harness = await followingHarness({
    answers: { 'zen/master-ping': answersWith({ ...masterPingResponse, age: 700 }) },
  });
  assert.ok(harness.node.leaseRenewedAt <= harness.clock.now() - 700);
});

follows('refuses joins', async () => {
  const harness = await followingHarness();
  assert.is(await outcomeOf(harness.join(c)), 'not-master');
});

follows('pings immediately only if its own master announces its step-down', async () => {
  const harness = await followingHarness();
  const masterPings = () => harness.transport.count('zen/master-ping');
  const before = masterPings();
  await harness.handle('zen/stepped-down', { from: c }, c);
  await harness.clock.run(settleMs);
  assert.is(masterPings(), before);
  await harness.handle('zen/stepped-down', { from: a }, a);
  await harness.clock.run(settleMs);
  assert.is(masterPings(), before + 1);
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

joining('votes for that master and for no other', async () => {
  const harness = await followingHarness({ answers: { 'zen/join': neverAnswers } });
  assert.is(await outcomeOf(harness.handle('zen/validate', validateBy(c), c)), 'not-joining');
  assert.is(await outcomeOf(harness.handle('zen/validate', validateBy(a), a)), 'done');
  assert.equal(
    [harness.electionStore.persisted.term, harness.electionStore.persisted.votedFor],
    [1, 'a'],
  );
});

joining('does not vote once it has joined', async () => {
  const harness = await followingHarness();
  assert.is(await outcomeOf(harness.handle('zen/validate', validateBy(a), a)), 'not-joining');
});

joining('accepts its first state only from the master it joins or follows', async () => {
  const publish = (from: Member) => publishOf(from, stateAt(1, 2), 'b');
  const joiner = await followingHarness({
    state: undefined,
    answers: { 'zen/join': neverAnswers },
  });
  assert.is(await outcomeOf(joiner.handle('zen/publish', publish(c), c)), 'other-cluster');
  assert.is(await outcomeOf(joiner.handle('zen/publish', publish(a), a)), 'done');
  const follower = await followingHarness({ state: undefined });
  assert.is(await outcomeOf(follower.handle('zen/publish', publish(c), c)), 'other-cluster');
  assert.is(await outcomeOf(follower.handle('zen/publish', publish(a), a)), 'done');
});

joining('refuses the joins that it queued while it looked for a master', async () => {
  const harness = await createHarness({ me: b, answers: masterAnswers });
  harness.node.start();
  const join = outcomeOf(harness.join(member('d')));
  await harness.clock.run(settleMs);
  assert.is(await join, 'not-master');
});

follows.run();
joining.run();
