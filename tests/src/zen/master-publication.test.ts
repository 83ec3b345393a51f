/** What a master publishes to whom, and when a state counts as committed. */
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
  const harness = await MasterHarness.elected();
  harness.peer('c').silent = true;
  assert.is(await harness.outcome(harness.begin()), 'done');
  assert.equal(versionOf(harness.master.committed), firstVersion);
  assert.equal(
    harness.applied.map((state) => state.version),
    [newestVersion + 1],
  );
});

publication(
  'a state without a majority is never committed, and the master steps down',
  async () => {
    const harness = await MasterHarness.elected();
    harness.peer('b').silent = true;
    harness.peer('c').silent = true;
    assert.is(await harness.outcome(harness.begin(), bounds.publishTimeout + 1), 'unknown unknown');
    assert.is(harness.master.committed, undefined);
    assert.ok(harness.master.lost.aborted);
    assert.is(harness.sentOf('zen/commit').length, 0);
  },
);

publication('a new voting configuration needs a majority of its own to be committed', async () => {
  const harness = await MasterHarness.started();
  harness.peer('d').silent = true;
  harness.peer('e').silent = true;
  const voters = { current: ['a', 'b', 'c'], next: ['a', 'd', 'e'] };
  const change = (state: State): State => ({
    ...state,
    voters,
    votingMembers: stateWith(voters).votingMembers,
  });
  assert.is(await harness.outcome(harness.master.submit(change)), 'unknown unknown');
  assert.equal(harness.master.committed?.voters, threeVoters);
});

publication(
  'a voting change is completed only with a majority of the old configuration',
  async () => {
    const voters = { current: ['a', 'b', 'c'], next: ['a', 'd', 'e'] };
    const harness = await MasterHarness.elected({ newest: stateWith(voters) });
    let accepted = 0;
    for (const id of ['b', 'c'])
      harness.peer(id).on('zen/publish', () => {
        if (++accepted > 2) throw new UnavailableError('unavailable', 'not synced');
        return { outcome: 'accepted' };
      });
    assert.is(await harness.outcome(harness.begin()), 'done');
    await harness.clock.run(bounds.publishTimeout + roundTrip);
    assert.equal(harness.master.committed?.voters, voters);
    assert.ok(harness.master.lost.aborted);
  },
);

publication('a voting change is completed after its commit', async () => {
  const voters = { current: ['a', 'b', 'c'], next: ['a', 'd', 'e'] };
  const harness = await MasterHarness.started({ newest: stateWith(voters) });
  await harness.clock.run(roundTrip * 2);
  assert.equal(harness.master.committed?.voters, { current: voters.next, next: voters.next });
});

publication('nothing is published once this control has voted in a later term', async () => {
  const harness = await MasterHarness.started();
  const before = harness.sentOf('zen/publish').length;
  await harness.electionStore.recordVote(term + 1, 'b');
  assert.is(await harness.outcome(harness.master.submit(addStore('s'))), 'unknown unknown');
  assert.is(harness.sentOf('zen/publish').length, before);
  assert.is(harness.electionStore.persisted.accepted?.version, newestVersion + 1);
});

publication('stepping down ends the publish in flight with an unknown outcome', async () => {
  const harness = await MasterHarness.started();
  harness.peer('b').silent = true;
  harness.peer('c').silent = true;
  const work = outcomeOf(harness.master.submit(addStore('s')));
  await harness.clock.run(roundTrip);
  harness.master.stepDown('test');
  assert.is(await harness.clock.finish('the publish', work, roundTrip), 'unknown unknown');
});

publication('no commit is sent before a majority has accepted the state', async () => {
  const five = ['a', 'b', 'c', 'd', 'e'];
  const harness = await MasterHarness.elected({ newest: stateWith({ current: five, next: five }) });
  for (const [index, id] of ['b', 'c', 'd', 'e'].entries())
    harness.peer(id).delayMs = roundTrip * (index + 1);
  const beganAt = harness.clock.now();
  await harness.outcome(harness.begin());
  await harness.clock.run(roundTrip * 8);
  const commits = harness.sentOf('zen/commit').slice(0, 4);
  assert.equal(
    commits.map(({ to, at }) => [to, at - beganAt]),
    [
      ['b', roundTrip * 2],
      ['c', roundTrip * 2],
      ['d', roundTrip * 3],
      ['e', roundTrip * 4],
    ],
  );
});

publication(
  'a state is sent again to a voter that fails to accept it, not to another node',
  async () => {
    const harness = await MasterHarness.elected({
      newest: stateWith(threeVoters, [memberOf('s', 'store')]),
    });
    harness.peer('b').silent = true;
    const publishesTo = new Map<string, number>();
    for (const id of ['c', 's'])
      harness.peer(id).on('zen/publish', () => {
        publishesTo.set(id, (publishesTo.get(id) ?? 0) + 1);
        if (publishesTo.get(id) === 1) throw new UnavailableError('unavailable', 'not synced');
        return { outcome: 'accepted' };
      });
    assert.is(await harness.outcome(harness.begin()), 'done');
    assert.is(publishesTo.get('c'), 2);
    assert.is(harness.sentOf('zen/publish', 's').length, 1);
  },
);

publication(
  'a state is not sent again to a voter once it is committed without that voter',
  async () => {
    const harness = await MasterHarness.elected();
    harness.peer('c').applied = firstVersion;
    harness.peer('c').on('zen/publish', () => {
      throw new UnavailableError('unavailable', 'not synced');
    });
    await harness.outcome(harness.begin());
    const sent = harness.sentOf('zen/publish', 'c').length;
    await harness.clock.run(bounds.heartbeatInterval / 4);
    assert.is(harness.sentOf('zen/publish', 'c').length, sent);
  },
);

publication(
  'a peer that has accepted the base is sent the diff, any other the full state',
  async () => {
    const harness = await MasterHarness.started();
    assert.ok(harness.sentOf('zen/publish').every(isFull));
    harness.peer('c').on('zen/publish', () => {
      throw new UnavailableError('unavailable', 'not synced');
    });
    await harness.outcome(harness.master.submit(addStore('s')));
    await harness.clock.run(roundTrip * 2);
    harness.peer('c').on('zen/publish', () => ({ outcome: 'accepted' }));
    const before = harness.sent.length;
    await harness.outcome(harness.master.submit(addStore('t')));
    const later = harness.sent.slice(before).filter((message) => message.kind === 'zen/publish');
    assert.equal(new Map(later.map((message) => [message.to, isFull(message)])).get('b'), false);
    assert.equal(new Map(later.map((message) => [message.to, isFull(message)])).get('c'), true);
  },
);

publication('a peer whose acceptance of the base is not known is sent the full state', async () => {
  const harness = await MasterHarness.started();
  harness.peer('c').delayMs = roundTrip * 20;
  assert.is(await harness.outcome(harness.master.submit(addStore('s'))), 'done');
  assert.not(harness.master.holdsCommitted('c'), 'an older state is not the committed one');
  const before = harness.sent.length;
  assert.is(await harness.outcome(harness.master.submit(addStore('t'))), 'done');
  const later = harness.sent.slice(before).filter((message) => message.kind === 'zen/publish');
  assert.equal(later.filter((message) => message.to === 'c').map(isFull), [true]);
});

publication('a peer that cannot use the diff is sent the full state', async () => {
  const harness = await MasterHarness.started();
  harness.peer('c').silent = true;
  harness
    .peer('b')
    .on('zen/publish', (message) => ({ outcome: isFull(message) ? 'accepted' : 'need-full' }));
  const before = harness.sent.length;
  assert.is(await harness.outcome(harness.master.submit(addStore('s'))), 'done');
  const publishesToB = harness.sent
    .slice(before)
    .filter((message) => message.kind === 'zen/publish' && message.to === 'b');
  assert.equal(publishesToB.map(isFull), [false, true]);
});

publication(
  'a peer that requests the full state after having been sent it has not accepted it',
  async () => {
    const harness = await MasterHarness.elected();
    for (const id of ['b', 'c'])
      harness.peer(id).on('zen/publish', () => ({ outcome: 'need-full' }));
    assert.is(await harness.outcome(harness.begin()), 'unknown unknown');
    assert.is(harness.master.committed, undefined);
  },
);

publication('a peer that failed to apply a commit is sent the full state next', async () => {
  const harness = await MasterHarness.elected();
  harness.peer('b').applied = firstVersion;
  harness.peer('b').on('zen/commit', () => {
    throw new ElectionError('not-held', 'that state was not accepted');
  });
  await harness.outcome(harness.begin());
  await harness.clock.run(roundTrip * 2);
  assert.not(harness.master.holdsCommitted('b'));
  assert.ok(harness.master.holdsCommitted('c'));
  const before = harness.sent.length;
  await harness.outcome(harness.master.submit(addStore('s')));
  const later = harness.sent.slice(before).filter((message) => message.kind === 'zen/publish');
  assert.equal(
    later.filter((message) => message.to !== 's').map((message) => [message.to, isFull(message)]),
    [
      ['b', true],
      ['c', false],
    ],
  );
});

publication('a peer that refuses the committed state no longer counts as having it', async () => {
  const harness = await MasterHarness.started();
  await harness.clock.run(bounds.heartbeatInterval / 2);
  assert.ok(harness.master.holdsCommitted('c'));
  harness.peer('c').applied = noVersion;
  harness.peer('c').on('zen/publish', () => {
    throw new UnavailableError('unavailable', 'not synced');
  });
  await harness.clock.run(bounds.heartbeatInterval + roundTrip * 3);
  assert.not(harness.master.holdsCommitted('c'));
});

publication('a reply that reports a vote in a later term ends the mastership', async () => {
  const harness = await MasterHarness.elected();
  harness.peer('b').on('zen/publish', () => {
    throw new ElectionError('stale-term', 'voted for another');
  });
  harness.peer('c').delayMs = roundTrip * 3;
  assert.is(await harness.outcome(harness.begin(), roundTrip * 2), 'unknown unknown');
  assert.ok(harness.master.lost.aborted);
  assert.is(harness.master.committed, undefined);
});

publication.run();
