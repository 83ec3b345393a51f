/** The reducer: outdated actions change nothing, and the effects of a member that joins. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { reduceState, completeVotingChange } from '@tillerstair/state';
import { sampleMember, sampleSlot, sampleState } from '../support/sample-state.js';

const reducing = suite('reducer');

reducing('a member that joins again unchanged changes nothing', () => {
  const state = sampleState();
  const member = sampleMember('f1', 'front');
  assert.is(reduceState(state, { kind: 'join', member }), state);
});

reducing('a member replaces an earlier one at its address', () => {
  const member = sampleMember('f9', 'front', { addr: 'f1:1' });
  const { nodes } = reduceState(sampleState(), { kind: 'join', member });
  assert.not(nodes.has('f1'));
  assert.ok(nodes.has('f9') && nodes.has('f2'));
});

reducing('only a voting member is copied to the voting members', () => {
  const movedControl = sampleMember('c1', 'control', { addr: 'c1:9' });
  const spare = sampleMember('c4', 'control');
  const state = reduceState(reduceState(sampleState(), { kind: 'join', member: movedControl }), {
    kind: 'join',
    member: spare,
  });
  assert.is(state.votingMembers.get('c1')?.addr, 'c1:9');
  assert.not(state.votingMembers.has('c4'));
});

reducing('a store that comes back with another disk inherits the order to empty its name', () => {
  const retiring = new Map([['s1', 's1-name']]);
  const state = sampleState(undefined, { retiring });
  const returning = sampleMember('s9', 'store', { name: 's1-name' });
  assert.ok(reduceState(state, { kind: 'join', member: returning }).retiring.has('s9'));
});

reducing('neither a front of that name nor a store without a name inherits the order', () => {
  const retiring = new Map([
    ['s1', 's1-name'],
    ['s2', ''],
  ]);
  const state = sampleState(undefined, { retiring });
  for (const member of [
    sampleMember('f9', 'front', { name: 's1-name' }),
    sampleMember('s9', 'store', { name: '' }),
  ])
    assert.not(reduceState(state, { kind: 'join', member }).retiring.has(member.id));
});

reducing(
  'the order to drain a front ends when it leaves, the order to empty a store does not',
  () => {
    const retiring = new Map([
      ['f1', 'f1-name'],
      ['s1', 's1-name'],
    ]);
    const state = sampleState(undefined, { retiring });
    const afterLeaving = reduceState(reduceState(state, { kind: 'leave', id: 'f1' }), {
      kind: 'leave',
      id: 's1',
    });
    assert.equal([...afterLeaving.retiring.keys()], ['s1']);
    assert.is(reduceState(afterLeaving, { kind: 'leave', id: 's1' }), afterLeaving);
  },
);

reducing('cancelling an order to empty cancels it for every node of that name', () => {
  const retiring = new Map([
    ['s1', 'twin'],
    ['s2', 'twin'],
    ['s3', 's3-name'],
    ['f1', ''],
    ['f2', ''],
  ]);
  const state = sampleState(undefined, { retiring });
  const cancelled = reduceState(state, { kind: 'retire', id: 's1', on: false });
  assert.equal([...cancelled.retiring.keys()], ['s3', 'f1', 'f2']);
  const withoutName = reduceState(state, { kind: 'retire', id: 'f1', on: false });
  assert.ok(withoutName.retiring.has('f2'));
});

reducing('a repeated order to empty changes nothing', () => {
  const state = sampleState(undefined, { retiring: new Map([['s1', 's1-name']]) });
  assert.is(reduceState(state, { kind: 'retire', id: 's1', on: true }), state);
});

reducing('the voters are not changed while another change of voters is in progress', () => {
  const voters = { current: ['c1', 'c2', 'c3'], next: ['c1', 'c2'] };
  const state = sampleState(undefined, { voters });
  const spare = sampleMember('c4', 'control');
  assert.is(reduceState(state, { kind: 'voters', out: 'c1', in: spare }), state);
});

reducing('the last voter is not removed', () => {
  const voters = { current: ['c1'], next: ['c1'] };
  const state = sampleState(undefined, { voters });
  assert.is(reduceState(state, { kind: 'voters', out: 'c1', in: undefined }), state);
});

reducing('a control that already has a vote is not counted twice', () => {
  const member = sampleMember('c1', 'control');
  const { voters } = reduceState(sampleState(), { kind: 'voters', out: '', in: member });
  assert.equal(voters.next, ['c1', 'c2', 'c3']);
});

reducing('completing a change of voters keeps only the next voters and their members', () => {
  const voters = { current: ['c1', 'c2', 'c3'], next: ['c1', 'c2'] };
  const settled = completeVotingChange(sampleState(undefined, { voters }));
  assert.equal(settled.voters, { current: ['c1', 'c2'], next: ['c1', 'c2'] });
  assert.equal([...settled.votingMembers.keys()], ['c1', 'c2']);
  assert.is(completeVotingChange(settled), settled);
});

const slotWithJoiningReplica = sampleSlot({ joiningReplicas: ['s4'], replacedReplica: 's1' });

reducing('a filled replica becomes a full one under a raised ownership epoch', () => {
  const state = reduceState(sampleState([slotWithJoiningReplica]), {
    kind: 'filled',
    store: 's4',
    slot: 0,
    ownershipEpoch: 3,
  });
  assert.equal(state.slots[0]?.replicas, ['s2', 's3', 's4']);
  assert.is(state.slots[0]?.ownershipEpoch, 4);
  assert.is(state.slots[0]?.ownedSinceEpoch, 2);
});

reducing('a replica filled under another ownership epoch is ignored', () => {
  const state = sampleState([slotWithJoiningReplica]);
  assert.is(reduceState(state, { kind: 'filled', store: 's4', slot: 0, ownershipEpoch: 2 }), state);
});

reducing('a filled report of a store that is not joining is ignored', () => {
  const state = sampleState([slotWithJoiningReplica]);
  assert.is(reduceState(state, { kind: 'filled', store: 's2', slot: 0, ownershipEpoch: 3 }), state);
});

const slotToMove = sampleSlot({ transferTarget: 'f2' });

reducing(
  'a slot that is released moves to its transfer target under a raised ownership epoch',
  () => {
    const state = reduceState(sampleState([slotToMove]), {
      kind: 'transferred',
      slot: 0,
      ownershipEpoch: 3,
    });
    assert.equal(state.slots[0], {
      ...slotToMove,
      owner: 'f2',
      ownershipEpoch: 4,
      ownedSinceEpoch: 4,
      transferTarget: '',
    });
  },
);

reducing('a release of another ownership epoch moves nothing', () => {
  const state = sampleState([slotToMove]);
  assert.is(reduceState(state, { kind: 'transferred', slot: 0, ownershipEpoch: 2 }), state);
});

reducing('a slot does not move to a front that is not a member', () => {
  for (const slot of [sampleSlot({ transferTarget: 'f9' }), sampleSlot()]) {
    const state = sampleState([slot]);
    assert.is(reduceState(state, { kind: 'transferred', slot: 0, ownershipEpoch: 3 }), state);
  }
});

reducing('omitted marks of a server stay, and an unknown server gets none', () => {
  const server = { id: 'a', pool: 'p', url: 'u', draining: true, down: false, zone: '', places: 0 };
  const state = sampleState(undefined, { servers: new Map([['a', server]]) });
  const down = reduceState(state, { kind: 'server-mark', id: 'a', down: true });
  assert.equal(down.servers.get('a'), { ...server, down: true });
  assert.is(reduceState(state, { kind: 'server-mark', id: 'b', down: true }), state);
  assert.is(reduceState(state, { kind: 'server-mark', id: 'a', draining: true }), state);
  assert.is(reduceState(state, { kind: 'server-removed', id: 'b' }), state);
});

reducing.run();
