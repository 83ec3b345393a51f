/** Which requests a node sends while it looks for a master, how it answers pings, and which requests it rejects. */
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
  const harness = await createHarness(options);
  return PingResponse.parse(
    await harness.handle('zen/ping', { from: c, known: [], clusterId: '' }, c),
  );
};
const unwritableStore = (): TogglableElectionStore => {
  const electionStore = new TogglableElectionStore('a');
  electionStore.writable = false;
  return electionStore;
};

replies('states that a voter with a state can win', async () => {
  const { eligible, canWin, joinedBefore, clusterId } = await replyOf({});
  assert.equal([eligible, canWin, joinedBefore, clusterId], [true, true, false, 'x']);
  assert.is((await replyOf({ state: stateAt(1, 2) })).joinedBefore, true);
});

replies('states that a spare, and a control without a state, cannot win', async () => {
  assert.is((await replyOf({ me: member('d') })).canWin, false);
  assert.is((await replyOf({ state: undefined })).canWin, false);
  const becomesVoter = { ...bootstrapped, voters: { current: ['b'], next: ['a'] } };
  assert.is((await replyOf({ state: becomesVoter })).canWin, true);
});

replies(
  'states that a control whose disk accepts no writes is not eligible and cannot win',
  async () => {
    const { eligible, canWin } = await replyOf({ electionStore: unwritableStore() });
    assert.equal([eligible, canWin], [false, false]);
  },
);

replies('states that a store is not eligible', async () => {
  assert.is((await replyOf({ me: member('s', 'store') })).eligible, false);
});

const searches = suite('a node that looks for a master');

searches('does not join a master of another cluster', async () => {
  const harness = await createHarness({
    me: b,
    answers: {
      'zen/ping': answersPings(
        pingResponse(a, { clusterId: 'y', joinedBefore: true }),
        pingResponse(c),
      ),
    },
  });
  await harness.startFor(bounds.joinTimeout / 2);
  assert.is(harness.transport.count('zen/join'), 0);
  assert.equal(
    harness.transport.sent.filter((request) => request.kind !== 'zen/ping'),
    [],
  );
});

const blankAnswers = {
  'zen/ping': answersPings(blankPingResponse(b), blankPingResponse(c)),
  'zen/bootstrap': answersWith({ yes: true }),
};
const countBootstrapRequests = async (options: HarnessOptions): Promise<number> => {
  const harness = await createHarness({ answers: blankAnswers, ...options });
  await harness.startFor(bounds.bootstrapStablePeriod * 3);
  return harness.transport.count('zen/bootstrap');
};

searches('bootstraps only if it is a blank control and may bootstrap', async () => {
  assert.is(await countBootstrapRequests({ state: undefined }), 2);
  assert.is(
    await countBootstrapRequests({ state: undefined, overrides: { mayBootstrap: false } }),
    0,
  );
  assert.is(await countBootstrapRequests({}), 0);
  assert.is(await countBootstrapRequests({ state: undefined, me: member('a', 'store') }), 0);
});

searches('logs nothing about bootstrapping once it has accepted a state', async () => {
  const texts: string[] = [];
  const log = { ...silentLogger, info: (text: string) => texts.push(text) };
  const harness = await createHarness({ answers: followerAnswers, overrides: { log } });
  await harness.startFor(settleMs);
  assert.equal(
    texts.map((text) => text.includes('ootstrapp')),
    [false],
  );
});

searches('sends no requests and queues no joins while its disk accepts no writes', async () => {
  const electionStore = unwritableStore();
  const harness = await createHarness({ electionStore, answers: followerAnswers });
  await harness.startFor(bounds.heartbeatInterval * 2);
  assert.is(harness.transport.sent.length, 0);
  assert.is(await outcomeOf(harness.join(b)), 'not-master');
  electionStore.writable = true;
  await harness.clock.run(bounds.diskRetryInterval);
  assert.ok(harness.transport.count('zen/ping') > 0);
});

searches('rejects the queued joins when its disk stops accepting writes', async () => {
  const electionStore = new TogglableElectionStore('a');
  const harness = await createHarness({
    electionStore,
    answers: { 'zen/ping': ({ to }) => Promise.reject(new ConnectionRefusedError(to)) },
  });
  await harness.startFor(settleMs);
  const join = outcomeOf(harness.join(b));
  electionStore.writable = false;
  await harness.clock.run(bounds.heartbeatInterval);
  assert.is(await join, 'not-master');
});

searches('queues only the latest join of a node', async () => {
  const harness = await createHarness({ answers: followerAnswers });
  await harness.startFor(settleMs);
  const earlier = outcomeOf(harness.join(member('d')));
  const later = harness.join(member('d'));
  void later.catch(() => undefined);
  assert.is(await earlier, 'superseded');
});

searches('refuses joins of another cluster, and joins before its search begins', async () => {
  const harness = await createHarness({ answers: followerAnswers });
  assert.is(await outcomeOf(harness.join(b)), 'not-master');
  await harness.startFor(settleMs);
  assert.is(await outcomeOf(harness.join(b, { clusterId: 'y' })), 'other-cluster');
});

searches('as a store queues no joins', async () => {
  const harness = await createHarness({ me: member('s', 'store'), answers: {} });
  await harness.startFor(settleMs);
  assert.is(await outcomeOf(harness.join(b)), 'not-master');
});

searches('refuses a request of an unknown kind, or for another node', async () => {
  const harness = await createHarness();
  assert.is(await outcomeOf(harness.handle('zen/what', {})), 'unknown-kind');
  const ping = (to: Member): object => ({ from: c, to: to.id, term: 1, clusterId: 'x' });
  assert.is(await outcomeOf(harness.handle('zen/node-ping', ping(b), c)), 'other-node');
  assert.is(await outcomeOf(harness.handle('zen/node-ping', ping(a), c)), 'done');
});

replies.run();
searches.run();
