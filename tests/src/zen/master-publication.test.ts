/** What a master publishes, and when it may call a state committed. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { reduceState, type State, versionOf } from '@tillerstair/state';
import { ElectionError, UnavailableError } from '@tillerstair/wire';
import {
  bounds,
  isFull,
  MasterHarness,
  memberOf,
  newestVersion,
  noVersion,
  outcomeOf,
  roundTrip,
  stateWith,
  term,
  threeVoters,
} from './master-harness.js';

const publication = suite('publication of a master');

/** The version of the first state that the master publishes. */
const firstVersion = { term, version: newestVersion + 1 };

const addStore =
  (id: string) =>
  (state: State): State =>
    reduceState(state, { kind: 'join', member: memberOf(id, 'store') });

publication('a state accepted by a majority of the voters is committed and applied', async () => {
  const rig = await MasterHarness.elected();
  rig.peer('c').silent = true;
  assert.is(await rig.outcome(rig.begin()), 'done');
  assert.equal(versionOf(rig.master.committed), firstVersion);
  assert.equal(
    rig.applied.map((state) => state.version),
    [newestVersion + 1],
  );
});

publication(
  'a state without a majority is never committed, and the master steps down',
  async () => {
    const rig = await MasterHarness.elected();
    rig.peer('b').silent = true;
    rig.peer('c').silent = true;
    assert.is(await rig.outcome(rig.begin(), bounds.publishTimeout + 1), 'unknown unknown');
    assert.is(rig.master.committed, undefined);
    assert.ok(rig.master.lost.aborted);
    assert.is(rig.sentOf('zen/commit').length, 0);
  },
);

publication('a new voting configuration needs a majority of its own to be committed', async () => {
  const rig = await MasterHarness.started();
  rig.peer('d').silent = true;
  rig.peer('e').silent = true;
  const voters = { current: ['a', 'b', 'c'], next: ['a', 'd', 'e'] };
  const change = (state: State): State => ({
    ...state,
    voters,
    votingMembers: stateWith(voters).votingMembers,
  });
  assert.is(await rig.outcome(rig.master.submit(change)), 'unknown unknown');
  assert.equal(rig.master.committed?.voters, threeVoters);
});

publication(
  'a voting change is completed only with a majority of the old configuration',
  async () => {
    const voters = { current: ['a', 'b', 'c'], next: ['a', 'd', 'e'] };
    const rig = await MasterHarness.elected({ newest: stateWith(voters) });
    let accepted = 0;
    for (const id of ['b', 'c'])
      rig.peer(id).on('zen/publish', () => {
        if (++accepted > 2) throw new UnavailableError('unavailable', 'not synced');
        return { outcome: 'accepted' };
      });
    assert.is(await rig.outcome(rig.begin()), 'done');
    await rig.clock.run(bounds.publishTimeout + roundTrip);
    assert.equal(rig.master.committed?.voters, voters);
    assert.ok(rig.master.lost.aborted);
  },
);

publication('a voting change is completed after its commit', async () => {
  const voters = { current: ['a', 'b', 'c'], next: ['a', 'd', 'e'] };
  const rig = await MasterHarness.started({ newest: stateWith(voters) });
  await rig.clock.run(roundTrip * 2);
  assert.equal(rig.master.committed?.voters, { current: voters.next, next: voters.next });
});

publication('nothing is published once this control has voted in a later term', async () => {
  const rig = await MasterHarness.started();
  const before = rig.sentOf('zen/publish').length;
  await rig.electionStore.recordVote(term + 1, 'b');
  assert.is(await rig.outcome(rig.master.submit(addStore('s'))), 'unknown unknown');
  assert.is(rig.sentOf('zen/publish').length, before);
  assert.is(rig.electionStore.persisted.accepted?.version, newestVersion + 1);
});

publication('stepping down ends the publish under way with an unknown outcome', async () => {
  const rig = await MasterHarness.started();
  rig.peer('b').silent = true;
  rig.peer('c').silent = true;
  const work = outcomeOf(rig.master.submit(addStore('s')));
  await rig.clock.run(roundTrip);
  rig.master.stepDown('test');
  assert.is(await rig.clock.finish('the publish', work, roundTrip), 'unknown unknown');
});

publication('a commit is sent to nobody before a majority has accepted the state', async () => {
  const five = ['a', 'b', 'c', 'd', 'e'];
  const rig = await MasterHarness.elected({ newest: stateWith({ current: five, next: five }) });
  for (const [index, id] of ['b', 'c', 'd', 'e'].entries())
    rig.peer(id).delayMs = roundTrip * (index + 1);
  const began = rig.clock.now();
  await rig.outcome(rig.begin());
  await rig.clock.run(roundTrip * 8);
  const commits = rig.sentOf('zen/commit').slice(0, 4);
  assert.equal(
    commits.map(({ to, at }) => [to, at - began]),
    [
      ['b', roundTrip * 2],
      ['c', roundTrip * 2],
      ['d', roundTrip * 3],
      ['e', roundTrip * 4],
    ],
  );
});

publication('a voter that fails to accept is asked again, another node is not', async () => {
  const rig = await MasterHarness.elected({
    newest: stateWith(threeVoters, [memberOf('s', 'store')]),
  });
  rig.peer('b').silent = true;
  const asked = new Map<string, number>();
  for (const id of ['c', 's'])
    rig.peer(id).on('zen/publish', () => {
      asked.set(id, (asked.get(id) ?? 0) + 1);
      if (asked.get(id) === 1) throw new UnavailableError('unavailable', 'not synced');
      return { outcome: 'accepted' };
    });
  assert.is(await rig.outcome(rig.begin()), 'done');
  assert.is(asked.get('c'), 2);
  assert.is(rig.sentOf('zen/publish', 's').length, 1);
});

publication('a voter is not asked again once the state is committed without it', async () => {
  const rig = await MasterHarness.elected();
  rig.peer('c').applied = firstVersion;
  rig.peer('c').on('zen/publish', () => {
    throw new UnavailableError('unavailable', 'not synced');
  });
  await rig.outcome(rig.begin());
  const sent = rig.sentOf('zen/publish', 'c').length;
  await rig.clock.run(bounds.heartbeatInterval / 4);
  assert.is(rig.sentOf('zen/publish', 'c').length, sent);
});

publication('a peer that holds the base is sent the diff, any other the full state', async () => {
  const rig = await MasterHarness.started();
  assert.ok(rig.sentOf('zen/publish').every(isFull));
  rig.peer('c').on('zen/publish', () => {
    throw new UnavailableError('unavailable', 'not synced');
  });
  await rig.outcome(rig.master.submit(addStore('s')));
  await rig.clock.run(roundTrip * 2);
  rig.peer('c').on('zen/publish', () => ({ outcome: 'accepted' }));
  const before = rig.sent.length;
  await rig.outcome(rig.master.submit(addStore('t')));
  const later = rig.sent.slice(before).filter((m) => m.kind === 'zen/publish');
  assert.equal(new Map(later.map((m) => [m.to, isFull(m)])).get('b'), false);
  assert.equal(new Map(later.map((m) => [m.to, isFull(m)])).get('c'), true);
});

publication('a peer whose acceptance of the base is not known is sent the full state', async () => {
  const rig = await MasterHarness.started();
  rig.peer('c').delayMs = roundTrip * 20;
  assert.is(await rig.outcome(rig.master.submit(addStore('s'))), 'done');
  assert.not(rig.master.holdsCommitted('c'), 'an older state is not the committed one');
  const before = rig.sent.length;
  assert.is(await rig.outcome(rig.master.submit(addStore('t'))), 'done');
  const later = rig.sent.slice(before).filter((m) => m.kind === 'zen/publish');
  assert.equal(later.filter((m) => m.to === 'c').map(isFull), [true]);
});

publication('a peer that cannot use the diff is sent the full state', async () => {
  const rig = await MasterHarness.started();
  rig.peer('c').silent = true;
  rig
    .peer('b')
    .on('zen/publish', (message) => ({ outcome: isFull(message) ? 'accepted' : 'need-full' }));
  const before = rig.sent.length;
  assert.is(await rig.outcome(rig.master.submit(addStore('s'))), 'done');
  const toB = rig.sent.slice(before).filter((m) => m.kind === 'zen/publish' && m.to === 'b');
  assert.equal(toB.map(isFull), [false, true]);
});

publication('a peer that asks for the full state again has not accepted it', async () => {
  const rig = await MasterHarness.elected();
  for (const id of ['b', 'c']) rig.peer(id).on('zen/publish', () => ({ outcome: 'need-full' }));
  assert.is(await rig.outcome(rig.begin()), 'unknown unknown');
  assert.is(rig.master.committed, undefined);
});

publication('a peer that failed to apply a commit is sent the full state next', async () => {
  const rig = await MasterHarness.elected();
  rig.peer('b').applied = firstVersion;
  rig.peer('b').on('zen/commit', () => {
    throw new ElectionError('not-held', 'that state is not held');
  });
  await rig.outcome(rig.begin());
  await rig.clock.run(roundTrip * 2);
  assert.not(rig.master.holdsCommitted('b'));
  assert.ok(rig.master.holdsCommitted('c'));
  const before = rig.sent.length;
  await rig.outcome(rig.master.submit(addStore('s')));
  const later = rig.sent.slice(before).filter((m) => m.kind === 'zen/publish');
  assert.equal(
    later.filter((m) => m.to !== 's').map((m) => [m.to, isFull(m)]),
    [
      ['b', true],
      ['c', false],
    ],
  );
});

publication(
  'a peer that refuses the committed state is not taken to hold it any more',
  async () => {
    const rig = await MasterHarness.started();
    await rig.clock.run(bounds.heartbeatInterval / 2);
    assert.ok(rig.master.holdsCommitted('c'));
    rig.peer('c').applied = noVersion;
    rig.peer('c').on('zen/publish', () => {
      throw new UnavailableError('unavailable', 'not synced');
    });
    await rig.clock.run(bounds.heartbeatInterval + roundTrip * 3);
    assert.not(rig.master.holdsCommitted('c'));
  },
);

publication('an answer that tells of a vote in a later term ends the mastership', async () => {
  const rig = await MasterHarness.elected();
  rig.peer('b').on('zen/publish', () => {
    throw new ElectionError('stale-term', 'voted for another');
  });
  rig.peer('c').delayMs = roundTrip * 3;
  assert.is(await rig.outcome(rig.begin(), roundTrip * 2), 'unknown unknown');
  assert.ok(rig.master.lost.aborted);
  assert.is(rig.master.committed, undefined);
});

publication.run();
