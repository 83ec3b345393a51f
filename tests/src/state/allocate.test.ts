/** Allocation: when a slot gets replicas, when one is replaced, and when its owner changes. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { allocate, emptySlots, type AllocationLimits, type State } from '@tillerstair/state';
import { sampleMember, sampleSlot, sampleState } from '../support/sample-state.js';

const allocation = suite('allocation');

const bounds = (more: Partial<AllocationLimits> = {}): AllocationLimits => ({
  minStores: 3,
  maxMoves: 8,
  maxFills: 8,
  unresponsiveStores: new Set(),
  ...more,
});

const withoutNodes = (state: State, ...ids: readonly string[]): State => ({
  ...state,
  nodes: new Map([...state.nodes].filter(([id]) => !ids.includes(id))),
});

allocation('a slot gets no replicas before enough stores live', () => {
  const state = withoutNodes(sampleState(emptySlots(1)), 's3', 's4');
  assert.equal(allocate(state, bounds()).slots[0]?.replicas, []);
  assert.is(allocate(state, bounds({ minStores: 2 })).slots[0]?.replicas.length, 2);
});

allocation('a store that is being emptied gets no replicas', () => {
  const retiring = new Map([['s1', '']]);
  const state = sampleState(emptySlots(1), { retiring });
  assert.equal(allocate(state, bounds()).slots[0]?.replicas, ['s2', 's3', 's4']);
});

allocation('the replicas of a slot lie in as many zones as there are', () => {
  const zoned = ['a', 'a', 'a', 'b', 'c'].map((zone, n) =>
    sampleMember(`z${n}`, 'store', { zone }),
  );
  const state = sampleState(emptySlots(1), {
    nodes: new Map(zoned.map((member) => [member.id, member])),
  });
  assert.equal(allocate(state, bounds()).slots[0]?.replicas, ['z0', 'z3', 'z4']);
});

allocation('a slot without replicas gets no owner', () => {
  const state = withoutNodes(sampleState(emptySlots(1)), 's1', 's2', 's3', 's4');
  assert.is(allocate(state, bounds()).slots[0]?.owner, '');
});

allocation('a lost replica is replaced by a store that holds none, under a raised epoch', () => {
  const state = withoutNodes(sampleState(), 's1');
  const { slots } = allocate(state, bounds({ unresponsiveStores: new Set(['s1']) }));
  assert.equal(slots[0], {
    ...sampleSlot(),
    joiningReplicas: ['s4'],
    replacedReplica: 's1',
    ownershipEpoch: 4,
  });
});

allocation('a replica is not replaced while it may come back, nor while it lives', () => {
  const missing = withoutNodes(sampleState(), 's1');
  assert.is(allocate(missing, bounds()), missing);
  const back = sampleState();
  assert.is(allocate(back, bounds({ unresponsiveStores: new Set(['s1']) })), back);
});

allocation('no replica is replaced while fewer than a quorum of the others live', () => {
  const state = withoutNodes(sampleState(), 's1', 's2');
  assert.is(allocate(state, bounds({ unresponsiveStores: new Set(['s1', 's2']) })), state);
});

allocation('no more slots are filled at once than the bound says', () => {
  const state = withoutNodes(sampleState([sampleSlot(), sampleSlot(), sampleSlot()]), 's1');
  const { slots } = allocate(state, bounds({ maxFills: 2, unresponsiveStores: new Set(['s1']) }));
  assert.is(slots.filter((slot) => slot.joiningReplicas.length > 0).length, 2);
});

const filling = sampleSlot({ joiningReplicas: ['s4'], replacedReplica: 's1' });

allocation('a replica that is being filled is left to it while its store lives', () => {
  const state = withoutNodes(sampleState([filling]), 's1');
  assert.is(allocate(state, bounds({ unresponsiveStores: new Set(['s1']) })), state);
});

allocation('a joining replica whose store is lost is dropped under a raised epoch', () => {
  const state = withoutNodes(sampleState([filling]), 's4');
  assert.equal(allocate(state, bounds()).slots[0], { ...sampleSlot(), ownershipEpoch: 4 });
});

allocation('a joining replica whose store is to be emptied is dropped', () => {
  const state = sampleState([filling], { retiring: new Map([['s4', '']]) });
  assert.equal(allocate(state, bounds()).slots[0]?.joiningReplicas, []);
});

allocation('a slot with too few replicas gets one more and loses none', () => {
  const state = sampleState([sampleSlot({ replicas: ['s1', 's2'] })]);
  const slot = allocate(state, bounds()).slots.at(0);
  assert.equal([slot?.replicas, slot?.joiningReplicas], [['s1', 's2'], ['s3']]);
  assert.is(slot?.replacedReplica, '');
});

allocation('a slot whose owner is no member goes to another front at once', () => {
  const state = withoutNodes(sampleState(), 'f1');
  const slot = allocate(state, bounds()).slots.at(0);
  assert.equal([slot?.owner, slot?.ownershipEpoch, slot?.ownedSinceEpoch], ['f2', 4, 4]);
});

allocation('a slot whose owner lives is marked to move, not taken from it', () => {
  const state = sampleState([sampleSlot(), sampleSlot(), sampleSlot(), sampleSlot()]);
  const { slots } = allocate(state, bounds());
  assert.is(slots.filter((slot) => slot.transferTarget === 'f2').length, 2);
  assert.ok(slots.every((slot) => slot.owner === 'f1' && slot.ownershipEpoch === 3));
});

allocation('no more slots move at once than the bound says', () => {
  const slots = [sampleSlot({ transferTarget: 'f2' }), sampleSlot(), sampleSlot(), sampleSlot()];
  const state = sampleState(slots);
  assert.is(allocate(state, bounds({ maxMoves: 1 })), state);
});

allocation('a slot does not move while a replica of it is filled', () => {
  const state = sampleState([filling, filling, filling, filling]);
  assert.is(allocate(state, bounds()), state);
});

allocation('a mark to move to a front that is no member is taken back', () => {
  const state = sampleState([sampleSlot({ transferTarget: 'f9' })]);
  assert.is(allocate(state, bounds()).slots[0]?.transferTarget, '');
});

allocation('a drained front gets no slots while another front stays', () => {
  const state = withoutNodes(
    sampleState([sampleSlot({ owner: 'f9' })], { retiring: new Map([['f1', '']]) }),
  );
  assert.is(allocate(state, bounds()).slots[0]?.owner, 'f2');
  const alone = withoutNodes(state, 'f2');
  assert.is(allocate(alone, bounds()).slots[0]?.owner, 'f1');
});

allocation('a slot stays where it is when no front lives', () => {
  const state = withoutNodes(sampleState(), 'f1', 'f2');
  assert.is(allocate(state, bounds()), state);
});

allocation.run();
