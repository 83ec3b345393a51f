/** Majorities, versions and margins: what two groups of a joint change must both agree to, and what is still borne. */
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

const set = (...ids: readonly string[]): ReadonlySet<string> => new Set(ids);
const live =
  (...ids: readonly string[]) =>
  (id: string): boolean =>
    ids.includes(id);

quorum('a majority is more than half, and an empty group has none', () => {
  const group = ['a', 'b', 'c', 'd'];
  assert.ok(isMajority(group, set('a', 'b', 'c')));
  assert.not(isMajority(group, set('a', 'b')));
  assert.not(isMajority(group, set('a', 'x', 'y', 'z')));
  assert.not(isMajority([], set()));
});

quorum('while the voters change, a majority of both groups is needed', () => {
  const voters = { current: ['a', 'b', 'c'], next: ['c', 'd', 'e'] };
  assert.not(hasQuorum(voters, set('a', 'b')));
  assert.not(hasQuorum(voters, set('d', 'e')));
  assert.ok(hasQuorum(voters, set('a', 'c', 'd')));
});

quorum('versions are ordered by term first', () => {
  assert.ok(isNewerVersion({ term: 2, version: 1 }, { term: 1, version: 9 }));
  assert.not(isNewerVersion({ term: 1, version: 9 }, { term: 2, version: 1 }));
  assert.ok(isNewerVersion({ term: 1, version: 2 }, { term: 1, version: 1 }));
  assert.not(isNewerVersion({ term: 1, version: 1 }, { term: 1, version: 1 }));
  assert.not(isSameVersion({ term: 1, version: 1 }, { term: 2, version: 1 }));
  assert.ok(isNewerVersion(versionOf(sampleState()), versionOf(undefined)));
});

const joining = sampleSlot({ joiningReplicas: ['s4'], replacedReplica: 's1' });

quorum('a write goes to the replicas and the joining one, which then takes a place', () => {
  assert.equal(replicasToWrite(joining), ['s1', 's2', 's3', 's4']);
  assert.equal(replicasAfterJoin(joining), ['s2', 's3', 's4']);
  assert.equal(replicasAfterJoin(sampleSlot()), ['s1', 's2', 's3']);
});

quorum('a slot bears what the weaker of its two groups bears', () => {
  const state = sampleState([joining]);
  assert.is(slotMargin(state, joining, live('s1', 's2', 's3', 's4')), 1);
  assert.is(slotMargin(state, joining, live('s1', 's2', 's3')), 0);
  assert.is(slotMargin(state, joining, live('s2', 's4')), -1);
});

quorum('the voters bear what the weaker of the two groups bears', () => {
  const voters = { current: ['c1', 'c2', 'c3'], next: ['c1', 'c2', 'c3', 'c4'] };
  const state = sampleState([], { voters });
  assert.is(voterMargin(state, live('c1', 'c2', 'c3')), 0);
  assert.is(voterMargin(state, live('c1', 'c2', 'c3', 'c4')), 1);
  assert.is(voterMargin(state, live('c1', 'c4')), -1);
});

quorum('a node counts as live only if the state lists it and it was heard of', () => {
  const isLive = liveNodes(sampleState(), live('s1', 's9'));
  assert.ok(isLive('s1'));
  assert.not(isLive('s2'));
  assert.not(isLive('s9'));
});

quorum('all slots bear what their replication is meant for, or not', () => {
  const state = sampleState([sampleSlot(), joining]);
  assert.ok(allSlotsFullyReplicated(state, live('s1', 's2', 's3', 's4')));
  assert.not(allSlotsFullyReplicated(state, live('s1', 's2', 's3')));
  assert.is(marginReport(state, live('s1', 's2', 's3')).leastSlotMargin, 0);
  assert.is(marginReport(sampleState([]), live()).leastSlotMargin, null);
});

quorum.run();
