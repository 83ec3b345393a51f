/**
 * Majorities, versions and margins: what both groups of a joint change must agree to, and how many losses are
 * tolerated.
 */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  allSlotsFullyReplicated,
  hasQuorum,
  isMajority,
  isNewerVersion,
  isSameVersion,
  liveNodes,
  marginReport,
  replicasAfterJoin,
  replicasToWrite,
  slotMargin,
  versionOf,
  voterMargin,
} from '@tillerstair/state';
import { sampleSlot, sampleState } from '../support/sample-state.js';

const quorum = suite('quorums and margins');

const setOf = (...ids: readonly string[]): ReadonlySet<string> => new Set(ids);
const isOneOf =
  (...ids: readonly string[]) =>
  (id: string): boolean =>
    ids.includes(id);

quorum('a majority is more than half, and an empty group has none', () => {
  const group = ['a', 'b', 'c', 'd'];
  assert.ok(isMajority(group, setOf('a', 'b', 'c')));
  assert.not(isMajority(group, setOf('a', 'b')));
  assert.not(isMajority(group, setOf('a', 'x', 'y', 'z')));
  assert.not(isMajority([], setOf()));
});

quorum('while the voters change, a majority of both groups is needed', () => {
  const voters = { current: ['a', 'b', 'c'], next: ['c', 'd', 'e'] };
  assert.not(hasQuorum(voters, setOf('a', 'b')));
  assert.not(hasQuorum(voters, setOf('d', 'e')));
  assert.ok(hasQuorum(voters, setOf('a', 'c', 'd')));
});

quorum('versions are ordered by term first', () => {
  assert.ok(isNewerVersion({ term: 2, version: 1 }, { term: 1, version: 9 }));
  assert.not(isNewerVersion({ term: 1, version: 9 }, { term: 2, version: 1 }));
  assert.ok(isNewerVersion({ term: 1, version: 2 }, { term: 1, version: 1 }));
  assert.not(isNewerVersion({ term: 1, version: 1 }, { term: 1, version: 1 }));
  assert.not(isSameVersion({ term: 1, version: 1 }, { term: 2, version: 1 }));
  assert.ok(isNewerVersion(versionOf(sampleState()), versionOf(undefined)));
});

const slotWithJoiningReplica = sampleSlot({ joiningReplicas: ['s4'], replacedReplica: 's1' });

quorum('a write goes to the replicas and the joining one, which then replaces a replica', () => {
  assert.equal(replicasToWrite(slotWithJoiningReplica), ['s1', 's2', 's3', 's4']);
  assert.equal(replicasAfterJoin(slotWithJoiningReplica), ['s2', 's3', 's4']);
  assert.equal(replicasAfterJoin(sampleSlot()), ['s1', 's2', 's3']);
});

quorum('the margin of a slot is that of the weaker of its two groups', () => {
  const state = sampleState([slotWithJoiningReplica]);
  assert.is(slotMargin(state, slotWithJoiningReplica, isOneOf('s1', 's2', 's3', 's4')), 1);
  assert.is(slotMargin(state, slotWithJoiningReplica, isOneOf('s1', 's2', 's3')), 0);
  assert.is(slotMargin(state, slotWithJoiningReplica, isOneOf('s2', 's4')), -1);
});

quorum('the margin of the voters is that of the weaker of the two groups', () => {
  const voters = { current: ['c1', 'c2', 'c3'], next: ['c1', 'c2', 'c3', 'c4'] };
  const state = sampleState([], { voters });
  assert.is(voterMargin(state, isOneOf('c1', 'c2', 'c3')), 0);
  assert.is(voterMargin(state, isOneOf('c1', 'c2', 'c3', 'c4')), 1);
  assert.is(voterMargin(state, isOneOf('c1', 'c4')), -1);
});

quorum('a node counts as live only if the state lists it and it replied', () => {
  const isLive = liveNodes(sampleState(), isOneOf('s1', 's9'));
  assert.ok(isLive('s1'));
  assert.not(isLive('s2'));
  assert.not(isLive('s9'));
});

quorum(
  'all slots are fully replicated only if each tolerates the losses of its replication',
  () => {
    const state = sampleState([sampleSlot(), slotWithJoiningReplica]);
    assert.ok(allSlotsFullyReplicated(state, isOneOf('s1', 's2', 's3', 's4')));
    assert.not(allSlotsFullyReplicated(state, isOneOf('s1', 's2', 's3')));
    assert.is(marginReport(state, isOneOf('s1', 's2', 's3')).leastSlotMargin, 0);
    assert.is(marginReport(sampleState([]), isOneOf()).leastSlotMargin, null);
  },
);

quorum.run();
