/** When an elected control leads, and what makes a master step down. */
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
  const rig = await leadingHarness();
  assert.is(rig.node.leading?.term, 1);
  assert.is(rig.node.knownMaster?.id, 'a');
  assert.equal([rig.electionStore.persisted.term, rig.electionStore.persisted.votedFor], [1, 'a']);
  assert.is(rig.node.applied?.term, 1);
});

leads('raises no term before a majority has joined', async () => {
  const rig = await createHarness({ answers: followerAnswers });
  await rig.startFor(bounds.joinTimeout * 2);
  assert.is(rig.electionStore.persisted.term, 0);
  assert.is(rig.transport.count('zen/validate'), 0);
  assert.is(rig.node.leading, undefined);
});

leads('takes a term above that of every node that joins', async () => {
  const rig = await createHarness({ answers: followerAnswers });
  await rig.startFor(settleMs);
  void rig.join(b, { term: 7 }).catch(() => undefined);
  await rig.clock.run(settleMs);
  assert.is(rig.electionStore.persisted.term, 8);
});

leads('does not lead without the votes of a majority', async () => {
  const refused = () => Promise.reject(new ElectionError('stale-term', ''));
  const rig = await createHarness({ answers: { ...followerAnswers, 'zen/validate': refused } });
  await rig.startFor(settleMs);
  assert.is(
    await rig.clock.finish('join', outcomeOf(rig.join(b)), bounds.joinTimeout),
    'not-master',
  );
  assert.is(rig.transport.count('zen/publish'), 0);
});

/** Joins of `b` and a store, of which the named ones vote and hold a state with these voters. */
const publishesAfter = async (voter: string, state: State): Promise<number> => {
  const store = member('s', 'store');
  const validate = ({ to }: { to: string }): Promise<unknown> =>
    to === `${voter}:1`
      ? Promise.resolve({ accepted: { term: 0, version: 2 }, state: [...encodeState(state)] })
      : Promise.reject(new ElectionError('stale-term', ''));
  const rig = await createHarness({ answers: { ...followerAnswers, 'zen/validate': validate } });
  await rig.startFor(settleMs);
  void rig.join(store).catch(() => undefined);
  void rig.join(b).catch(() => undefined);
  await rig.clock.run(bounds.joinTimeout);
  return rig.transport.count('zen/publish');
};

leads('needs a majority of the voters of its own state', async () => {
  const mine = { current: ['a', 's'], next: ['a', 's'] };
  assert.is(await publishesAfter('s', stateAt(0, 2, { voters: mine })), 0);
});

leads('needs a majority of the voters of the newest state as well', async () => {
  const others = { current: ['a', 'c', 'd'], next: ['a', 'c', 'd'] };
  assert.is(await publishesAfter('b', stateAt(0, 2, { voters: others })), 0);
  const same = { current: ['a', 'b', 'c'], next: ['a', 'b', 'c'] };
  assert.ok((await publishesAfter('b', stateAt(0, 2, { voters: same }))) > 0);
});

leads('does not lead in a term after which it has voted in a later one', async () => {
  const rig = await createHarness({
    answers: {
      ...followerAnswers,
      'zen/validate': async () => {
        await rig.handle('zen/publish', publishOf(c, stateAt(9, 9), 'a'), c);
        return { accepted: { term: 0, version: 1 } };
      },
    },
  });
  await rig.startFor(settleMs);
  assert.is(
    await rig.clock.finish('join', outcomeOf(rig.join(b)), bounds.joinTimeout),
    'not-master',
  );
  assert.equal([rig.electionStore.persisted.term, rig.electionStore.persisted.votedFor], [9, 'c']);
});

const masters = suite('a master');

masters('steps down for a publish in a later term', async () => {
  const rig = await leadingHarness();
  await rig.handle('zen/publish', publishOf(c, stateAt(2, 9), 'a'), c);
  assert.is(rig.node.leading, undefined);
});

masters('steps down for a member that pings it in a later term', async () => {
  const rig = await leadingHarness();
  const ping = (term: number) => ({
    from: b,
    term,
    applied: { term: 1, version: 2 },
    report: null,
  });
  assert.match(JSON.stringify(await rig.handle('zen/master-ping', ping(1), b)), '"leading":true');
  assert.ok(rig.node.leading);
  const answer = JSON.stringify(await rig.handle('zen/master-ping', ping(2), b));
  assert.match(answer, '"leading":false');
  assert.match(answer, '"listed":false');
  assert.is(rig.node.leading, undefined);
});

masters('steps down for another master of its own cluster, not of another', async () => {
  const rig = await leadingHarness();
  const ping = (clusterId: string) => ({ from: c, to: 'a', term: 2, clusterId });
  await rig.handle('zen/node-ping', ping('y'), c);
  assert.ok(rig.node.leading);
  await rig.handle('zen/node-ping', ping('x'), c);
  assert.is(rig.node.leading, undefined);
});

masters('that stepped down validates no join', async () => {
  const rig = await leadingHarness();
  const before = rig.transport.count('zen/validate');
  const other = { from: c, to: 'a', term: 2, clusterId: 'x' };
  void rig.handle('zen/node-ping', other, c);
  const join = outcomeOf(rig.join(c));
  assert.is(await rig.clock.finish('join', join, bounds.joinTimeout), 'not-master');
  assert.is(rig.transport.count('zen/validate'), before);
});

masters('commits the leave of a node that says so', async () => {
  const rig = await leadingHarness();
  assert.ok(rig.node.applied?.nodes.has('b'));
  await rig.clock.finish('leave', rig.handle('zen/leave', { from: b }, b), bounds.joinTimeout);
  assert.not.ok(rig.node.applied?.nodes.has('b'));
});

masters('answers no peer of a join with another cluster', async () => {
  const rig = await leadingHarness({ answers: { 'zen/commit': answersWith({}) } });
  const before = rig.transport.count('zen/validate');
  assert.is(await outcomeOf(rig.join(c, { clusterId: 'y' })), 'other-cluster');
  assert.is(rig.transport.count('zen/validate'), before);
  assert.is(await rig.clock.finish('join', outcomeOf(rig.join(c)), bounds.joinTimeout), 'done');
  assert.ok(rig.node.applied?.nodes.has(c.id));
  assert.is(rig.node.knownMaster?.id, a.id);
});

leads.run();
masters.run();
