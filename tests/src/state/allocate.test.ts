/** Allocation: when a slot gets replicas, when one is replaced, and when its owner changes. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { allocate, emptySlots, type AllocationLimits, type State } from '@tillerstair/state';
import { sampleMember, sampleSlot, sampleState } from '../support/sample-state.js';

const allocation = suite('allocation');

const limits = (overrides: Partial<AllocationLimits> = {}): AllocationLimits => ({
  minStores: 3,
  maxMoves: 8,
  maxFills: 8,
  unresponsiveStores: new Set(),
  ...overrides,
});

const withoutNodes = (state: State, ...ids: readonly string[]): State => ({
  ...state,
  nodes: new Map([...state.nodes].filter(([id]) => !ids.includes(id))),
});

allocation('a slot gets no replicas before enough stores are live', () => {
  const state = withoutNodes(sampleState(emptySlots(1)), 's3', 's4');
  assert.equal(allocate(state, limits()).slots[0]?.replicas, []);
  assert.is(allocate(state, limits({ minStores: 2 })).slots[0]?.replicas.length, 2);
});

allocation('a store that is being emptied gets no replicas', () => {
  const retiring = new Map([['s1', '']]);
  const state = sampleState(emptySlots(1), { retiring });
  assert.equal(allocate(state, limits()).slots[0]?.replicas, ['s2', 's3', 's4']);
});

allocation('the replicas of a slot are spread over as many zones as possible', () => {
  const stores = ['a', 'a', 'a', 'b', 'c'].map((zone, index) =>
    sampleMember(`z${index}`, 'store', { zone }),
  );
  const state = sampleState(emptySlots(1), {
    nodes: new Map(stores.map((member) => [member.id, member])),
  });
  assert.equal(allocate(state, limits()).slots[0]?.replicas, ['z0', 'z3', 'z4']);
});

allocation('a slot without replicas gets no owner', () => {
  const state = withoutNodes(sampleState(emptySlots(1)), 's1', 's2', 's3', 's4');
  assert.is(allocate(state, limits()).slots[0]?.owner, '');
});

allocation('a lost replica is replaced by a store that has none, under a raised epoch', () => {
  const state = withoutNodes(sampleState(), 's1');
  const { slots } = allocate(state, limits({ unresponsiveStores: new Set(['s1']) }));
  assert.equal(slots[0], {
    ...sampleSlot(),
    joiningReplicas: ['s4'],
    replacedReplica: 's1',
    ownershipEpoch: 4,
  });
});

allocation('a replica is not replaced while it may come back, nor while it is live', () => {
  const missing = withoutNodes(sampleState(), 's1');
  assert.is(allocate(missing, limits()), missing);
  const returned = sampleState();
  assert.is(allocate(returned, limits({ unresponsiveStores: new Set(['s1']) })), returned);
});

allocation('no replica is replaced while fewer than a quorum of the others are live', () => {
  const state = withoutNodes(sampleState(), 's1', 's2');
  assert.is(allocate(state, limits({ unresponsiveStores: new Set(['s1', 's2']) })), state);
});

allocation('no more slots have a joining replica at once than the limit', () => {
  const state = withoutNodes(sampleState([sampleSlot(), sampleSlot(), sampleSlot()]), 's1');
  const { slots } = allocate(state, limits({ maxFills: 2, unresponsiveStores: new Set(['s1']) }));
  assert.is(slots.filter((slot) => slot.joiningReplicas.length > 0).length, 2);
});

const slotWithJoiningReplica = sampleSlot({ joiningReplicas: ['s4'], replacedReplica: 's1' });

allocation('a joining replica is kept while its store is live', () => {
  const state = withoutNodes(sampleState([slotWithJoiningReplica]), 's1');
  assert.is(allocate(state, limits({ unresponsiveStores: new Set(['s1']) })), state);
});

allocation('a joining replica whose store is lost is dropped under a raised epoch', () => {
  const state = withoutNodes(sampleState([slotWithJoiningReplica]), 's4');
  assert.equal(allocate(state, limits()).slots[0], { ...sampleSlot(), ownershipEpoch: 4 });
});

allocation('a joining replica whose store is to be emptied is dropped', () => {
  const state = sampleState([slotWithJoiningReplica], { retiring: new Map([['s4', '']]) });
  assert.equal(allocate(state, limits()).slots[0]?.joiningReplicas, []);
});

allocation('a slot with too few replicas gets one more and loses none', () => {
  const state = sampleState([sampleSlot({ replicas: ['s1', 's2'] })]);
  const slot = allocate(state, limits()).slots.at(0);
  assert.equal([slot?.replicas, slot?.joiningReplicas], [['s1', 's2'], ['s3']]);
  assert.is(slot?.replacedReplica, '');
});

allocation('a slot whose owner is not a member gets another owner immediately', () => {
  const state = withoutNodes(sampleState(), 'f1');
  const slot = allocate(state, limits()).slots.at(0);
  assert.equal([slot?.owner, slot?.ownershipEpoch, slot?.ownedSinceEpoch], ['f2', 4, 4]);
});

allocation('a slot whose owner is live is only marked to move', () => {
  const state = sampleState([sampleSlot(), sampleSlot(), sampleSlot(), sampleSlot()]);
  const { slots } = allocate(state, limits());
  assert.is(slots.filter((slot) => slot.transferTarget === 'f2').length, 2);
  assert.ok(slots.every((slot) => slot.owner === 'f1' && slot.ownershipEpoch === 3));
});

allocation('no more slots move at once than the limit', () => {
  const slots = [sampleSlot({ transferTarget: 'f2' }), sampleSlot(), sampleSlot(), sampleSlot()];
  const state = sampleState(slots);
  assert.is(allocate(state, limits({ maxMoves: 1 })), state);
});

allocation('a slot does not move while it has a joining replica', () => {
  const state = sampleState([
    slotWithJoiningReplica,
    slotWithJoiningReplica,
    slotWithJoiningReplica,
    slotWithJoiningReplica,
  ]);
  assert.is(allocate(state, limits()), state);
});

allocation('a transfer target that is not a member is cleared', () => {
  const state = sampleState([sampleSlot({ transferTarget: 'f9' })]);
  assert.is(allocate(state, limits()).slots[0]?.transferTarget, '');
});

allocation('a draining front gets no slots while another front is eligible', () => {
  const state = withoutNodes(
    sampleState([sampleSlot({ owner: 'f9' })], { retiring: new Map([['f1', '']]) }),
  );
  assert.is(allocate(state, limits()).slots[0]?.owner, 'f2');
  const oneFront = withoutNodes(state, 'f2');
  assert.is(allocate(oneFront, limits()).slots[0]?.owner, 'f1');
});

allocation('a slot keeps its owner if no front is live', () => {
  const state = withoutNodes(sampleState(), 'f1', 'f2');
  assert.is(allocate(state, limits()), state);
});

allocation.run();
