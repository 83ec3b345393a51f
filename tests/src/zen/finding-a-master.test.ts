/** What a node tells and asks while it looks for a master, and what it refuses meanwhile. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type Member } from '@tillerstair/state';
import { ConnectionRefusedError, silentLogger } from '@tillerstair/wire';
import { PingResponse } from '@tillerstair/zen';
import {
  answersPings,
  answersWith,
  followerAnswers,
  type HarnessOptions,
  createHarness,
  settleMs,
  TogglableElectionStore,
} from '../support/zen-node-harness.js';
import {
  a,
  b,
  blankPingResponse,
  bootstrapped,
  bounds,
  c,
  member,
  outcomeOf,
  pingResponse,
  stateAt,
} from '../support/zen-fixtures.js';

const replies = suite('the reply to a ping');

const replyOf = async (options: HarnessOptions): Promise<PingResponse> => {
  const rig = await createHarness(options);
  return PingResponse.parse(await rig.handle('zen/ping', { from: c, known: [], clusterId: '' }, c));
};
const unwritable = (): TogglableElectionStore => {
  const electionStore = new TogglableElectionStore('a');
  electionStore.writable = false;
  return electionStore;
};

replies('says that a voter with a state can win', async () => {
  const { eligible, canWin, joinedBefore, clusterId } = await replyOf({});
  assert.equal([eligible, canWin, joinedBefore, clusterId], [true, true, false, 'x']);
  assert.is((await replyOf({ state: stateAt(1, 2) })).joinedBefore, true);
});

replies('says that a spare, and a control without a state, cannot win', async () => {
  assert.is((await replyOf({ me: member('d') })).canWin, false);
  assert.is((await replyOf({ state: undefined })).canWin, false);
  const becomesVoter = { ...bootstrapped, voters: { current: ['b'], next: ['a'] } };
  assert.is((await replyOf({ state: becomesVoter })).canWin, true);
});

replies('says that a control whose disk takes no writes neither counts nor wins', async () => {
  const { eligible, canWin } = await replyOf({ electionStore: unwritable() });
  assert.equal([eligible, canWin], [false, false]);
});

replies('says that a store is not eligible', async () => {
  assert.is((await replyOf({ me: member('s', 'store') })).eligible, false);
});

const searches = suite('a node that looks for a master');

searches('does not join a master of another cluster', async () => {
  const rig = await createHarness({
    me: b,
    answers: {
      'zen/ping': answersPings(
        pingResponse(a, { clusterId: 'y', joinedBefore: true }),
        pingResponse(c),
      ),
    },
  });
  await rig.startFor(bounds.joinTimeout / 2);
  assert.is(rig.transport.count('zen/join'), 0);
  assert.equal(
    rig.transport.sent.filter((request) => request.kind !== 'zen/ping'),
    [],
  );
});

const blank = {
  'zen/ping': answersPings(blankPingResponse(b), blankPingResponse(c)),
  'zen/bootstrap': answersWith({ yes: true }),
};
const bootstrapRequests = async (options: HarnessOptions): Promise<number> => {
  const rig = await createHarness({ answers: blank, ...options });
  await rig.startFor(bounds.bootstrapStablePeriod * 3);
  return rig.transport.count('zen/bootstrap');
};

searches('bootstraps only as a blank control that may', async () => {
  assert.is(await bootstrapRequests({ state: undefined }), 2);
  assert.is(await bootstrapRequests({ state: undefined, overrides: { mayBootstrap: false } }), 0);
  assert.is(await bootstrapRequests({}), 0);
  assert.is(await bootstrapRequests({ state: undefined, me: member('a', 'store') }), 0);
});

searches('does not speak of bootstrapping once it has accepted a state', async () => {
  const texts: string[] = [];
  const log = { ...silentLogger, info: (text: string) => texts.push(text) };
  const rig = await createHarness({ answers: followerAnswers, overrides: { log } });
  await rig.startFor(settleMs);
  assert.equal(
    texts.map((text) => text.includes('ootstrapp')),
    [false],
  );
});

searches('asks nobody and queues no joins while its disk takes no writes', async () => {
  const electionStore = unwritable();
  const rig = await createHarness({ electionStore, answers: followerAnswers });
  await rig.startFor(bounds.heartbeatInterval * 2);
  assert.is(rig.transport.sent.length, 0);
  assert.is(await outcomeOf(rig.join(b)), 'not-master');
  electionStore.writable = true;
  await rig.clock.run(bounds.diskRetryInterval);
  assert.ok(rig.transport.count('zen/ping') > 0);
});

searches('drops the joins that it queued when its disk stops taking writes', async () => {
  const electionStore = new TogglableElectionStore('a');
  const rig = await createHarness({
    electionStore,
    answers: { 'zen/ping': ({ to }) => Promise.reject(new ConnectionRefusedError(to)) },
  });
  await rig.startFor(settleMs);
  const join = outcomeOf(rig.join(b));
  electionStore.writable = false;
  await rig.clock.run(bounds.heartbeatInterval);
  assert.is(await join, 'not-master');
});

searches('queues one join of a node, the latest', async () => {
  const rig = await createHarness({ answers: followerAnswers });
  await rig.startFor(settleMs);
  const earlier = outcomeOf(rig.join(member('d')));
  const later = rig.join(member('d'));
  void later.catch(() => undefined);
  assert.is(await earlier, 'superseded');
});

searches('refuses joins of another cluster, and those before it looks', async () => {
  const rig = await createHarness({ answers: followerAnswers });
  assert.is(await outcomeOf(rig.join(b)), 'not-master');
  await rig.startFor(settleMs);
  assert.is(await outcomeOf(rig.join(b, { clusterId: 'y' })), 'other-cluster');
});

searches('as a store queues no joins', async () => {
  const rig = await createHarness({ me: member('s', 'store'), answers: {} });
  await rig.startFor(settleMs);
  assert.is(await outcomeOf(rig.join(b)), 'not-master');
});

searches('refuses a request of an unknown kind, or for another node', async () => {
  const rig = await createHarness();
  assert.is(await outcomeOf(rig.handle('zen/what', {})), 'unknown-kind');
  const ping = (to: Member): object => ({ from: c, to: to.id, term: 1, clusterId: 'x' });
  assert.is(await outcomeOf(rig.handle('zen/node-ping', ping(b), c)), 'other-node');
  assert.is(await outcomeOf(rig.handle('zen/node-ping', ping(a), c)), 'done');
});

replies.run();
searches.run();
