/** When a candidate becomes master, and what makes a master step down. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { encodeState, type State } from '@tillerstair/state';
import { ElectionError } from '@tillerstair/wire';
import {
  answersWith,
  followerAnswers,
  leadingHarness,
  createHarness,
  settleMs,
} from '../support/zen-node-harness.js';
import { a, b, bounds, c, member, outcomeOf, publishOf, stateAt } from '../support/zen-fixtures.js';

const leads = suite('a candidate');

leads('leads in a new term once a majority has joined and voted', async () => {
  const harness = await leadingHarness();
  assert.is(harness.node.leading?.term, 1);
  assert.is(harness.node.knownMaster?.id, 'a');
  assert.equal(
    [harness.electionStore.persisted.term, harness.electionStore.persisted.votedFor],
    [1, 'a'],
  );
  assert.is(harness.node.applied?.term, 1);
});

leads('does not raise the term before a majority has joined', async () => {
  const harness = await createHarness({ answers: followerAnswers });
  await harness.startFor(bounds.joinTimeout * 2);
  assert.is(harness.electionStore.persisted.term, 0);
  assert.is(harness.transport.count('zen/validate'), 0);
  assert.is(harness.node.leading, undefined);
});

leads('chooses a term above that of every node that joins', async () => {
  const harness = await createHarness({ answers: followerAnswers });
  await harness.startFor(settleMs);
  void harness.join(b, { term: 7 }).catch(() => undefined);
  await harness.clock.run(settleMs);
  assert.is(harness.electionStore.persisted.term, 8);
});

leads('does not lead without the votes of a majority', async () => {
  const refused = () => Promise.reject(new ElectionError('stale-term', ''));
  const harness = await createHarness({ answers: { ...followerAnswers, 'zen/validate': refused } });
  await harness.startFor(settleMs);
  assert.is(
    await harness.clock.finish('join', outcomeOf(harness.join(b)), bounds.joinTimeout),
    'not-master',
  );
  assert.is(harness.transport.count('zen/publish'), 0);
});

/** Number of publishes after `b` and a store join, where only `voter` votes and has accepted `state`. */
const publishesAfterJoins = async (voter: string, state: State): Promise<number> => {
  const store = member('s', 'store');
  const validate = ({ to }: { to: string }): Promise<unknown> =>
    to === `${voter}:1`
      ? Promise.resolve({ accepted: { term: 0, version: 2 }, state: [...encodeState(state)] })
      : Promise.reject(new ElectionError('stale-term', ''));
  const harness = await createHarness({
    answers: { ...followerAnswers, 'zen/validate': validate },
  });
  await harness.startFor(settleMs);
  void harness.join(store).catch(() => undefined);
  void harness.join(b).catch(() => undefined);
  await harness.clock.run(bounds.joinTimeout);
  return harness.transport.count('zen/publish');
};

leads('needs a majority of the voters of its own state', async () => {
  const ownVoters = { current: ['a', 's'], next: ['a', 's'] };
  assert.is(await publishesAfterJoins('s', stateAt(0, 2, { voters: ownVoters })), 0);
});

leads('needs a majority of the voters of the newest state as well', async () => {
  const otherVoters = { current: ['a', 'c', 'd'], next: ['a', 'c', 'd'] };
  assert.is(await publishesAfterJoins('b', stateAt(0, 2, { voters: otherVoters })), 0);
  const sameVoters = { current: ['a', 'b', 'c'], next: ['a', 'b', 'c'] };
  assert.ok((await publishesAfterJoins('b', stateAt(0, 2, { voters: sameVoters }))) > 0);
});

leads('does not lead in its term once it has voted in a later one', async () => {
  const harness = await createHarness({
    answers: {
      ...followerAnswers,
      'zen/validate': async () => {
        await harness.handle('zen/publish', publishOf(c, stateAt(9, 9), 'a'), c);
        return { accepted: { term: 0, version: 1 } };
      },
    },
  });
  await harness.startFor(settleMs);
  assert.is(
    await harness.clock.finish('join', outcomeOf(harness.join(b)), bounds.joinTimeout),
    'not-master',
  );
  assert.equal(
    [harness.electionStore.persisted.term, harness.electionStore.persisted.votedFor],
    [9, 'c'],
  );
});

const masters = suite('a master');

masters('steps down for a publish in a later term', async () => {
  const harness = await leadingHarness();
  await harness.handle('zen/publish', publishOf(c, stateAt(2, 9), 'a'), c);
  assert.is(harness.node.leading, undefined);
});

masters('steps down for a member that pings it in a later term', async () => {
  const harness = await leadingHarness();
  const ping = (term: number) => ({
    from: b,
    term,
    applied: { term: 1, version: 2 },
    report: null,
  });
  assert.match(
    JSON.stringify(await harness.handle('zen/master-ping', ping(1), b)),
    '"leading":true',
  );
  assert.ok(harness.node.leading);
  const response = JSON.stringify(await harness.handle('zen/master-ping', ping(2), b));
  assert.match(response, '"leading":false');
  assert.match(response, '"listed":false');
  assert.is(harness.node.leading, undefined);
});

masters('steps down for another master of its own cluster, not of another', async () => {
  const harness = await leadingHarness();
  const ping = (clusterId: string) => ({ from: c, to: 'a', term: 2, clusterId });
  await harness.handle('zen/node-ping', ping('y'), c);
  assert.ok(harness.node.leading);
  await harness.handle('zen/node-ping', ping('x'), c);
  assert.is(harness.node.leading, undefined);
});

masters('that stepped down validates no join', async () => {
  const harness = await leadingHarness();
  const before = harness.transport.count('zen/validate');
  const other = { from: c, to: 'a', term: 2, clusterId: 'x' };
  void harness.handle('zen/node-ping', other, c);
  const join = outcomeOf(harness.join(c));
  assert.is(await harness.clock.finish('join', join, bounds.joinTimeout), 'not-master');
  assert.is(harness.transport.count('zen/validate'), before);
});

masters('commits the leave of a node that announces it', async () => {
  const harness = await leadingHarness();
  assert.ok(harness.node.applied?.nodes.has('b'));
  await harness.clock.finish(
    'leave',
    harness.handle('zen/leave', { from: b }, b),
    bounds.joinTimeout,
  );
  assert.not.ok(harness.node.applied?.nodes.has('b'));
});

masters('refuses a join with the id of another cluster', async () => {
  const harness = await leadingHarness({ answers: { 'zen/commit': answersWith({}) } });
  const before = harness.transport.count('zen/validate');
  assert.is(await outcomeOf(harness.join(c, { clusterId: 'y' })), 'other-cluster');
  assert.is(harness.transport.count('zen/validate'), before);
  assert.is(
    await harness.clock.finish('join', outcomeOf(harness.join(c)), bounds.joinTimeout),
    'done',
  );
  assert.ok(harness.node.applied?.nodes.has(c.id));
  assert.is(harness.node.knownMaster?.id, a.id);
});

leads.run();
masters.run();
