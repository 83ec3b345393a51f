/**
 * The allocation controller: waits before allocation, server health from reports of fronts, slot transfers, voter
 * replacement.
 */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { AllocationController } from '@tillerstair/control';
import { SimClock } from '@tillerstair/sim';
import { emptySlots, type State } from '@tillerstair/state';
import { silentLogger } from '@tillerstair/wire';
import { zenBounds } from '@tillerstair/zen';
import { sampleMember, sampleSlot, sampleState } from '../support/sample-state.js';
import { ScriptedMaster, type MasterScript } from '../support/scripted-master.js';

const controller = suite('allocation controller');

const bounds = zenBounds({
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 1000,
  failureTimeout: 3000,
});

const server = { id: 'a', pool: 'p', url: 'u', draining: false, down: false, zone: '', places: 0 };

const withoutNodes = (state: State, ...ids: readonly string[]): State => ({
  ...state,
  nodes: new Map([...state.nodes].filter(([id]) => !ids.includes(id))),
});

const setUpController = (state: State, script: MasterScript = {}) => {
  const clock = new SimClock();
  const logged: string[] = [];
  const log = { ...silentLogger, info: (text: string) => void logged.push(text) };
  const allocation = new AllocationController(clock, bounds, log);
  const master = new ScriptedMaster(state, script);
  return { clock, allocation, master, logged };
};

const setUpMaster = (state: State, script: MasterScript = {}) => {
  const setup = setUpController(state, script);
  void setup.allocation.run(setup.master);
  return setup;
};

controller('no slot is allocated before the wait for further fronts is over', async () => {
  const { clock, allocation, master } = setUpMaster(sampleState(emptySlots(1)));
  assert.is(allocation.settle(master.state), master.state);
  await clock.run(100);
  assert.is(allocation.settle(master.state), master.state);
  await clock.run(100);
  assert.is(allocation.settle(master.state).slots[0]?.owner, 'f1');
});

controller(
  'first replicas are placed once all stores have joined, or after the failure timeout',
  async () => {
    const state = withoutNodes(sampleState(emptySlots(1)), 's3', 's4');
    const { clock, allocation } = setUpController(state);
    allocation.settle(state);
    await clock.run(bounds.heartbeatInterval);
    assert.equal(allocation.settle(state).slots[0]?.replicas, []);
    await clock.run(bounds.failureTimeout);
    assert.equal(allocation.settle(state).slots[0]?.replicas, []);
    await clock.run(1);
    assert.is(allocation.settle(state).slots[0]?.replicas.length, 2);
  },
);

const joiningReplicas = (state: State): readonly string[] => state.slots[0]?.joiningReplicas ?? [];

const twoSlots = [sampleSlot(), sampleSlot({ replicas: ['s2', 's3', 's4'] })];

controller('an unresponsive store is replaced only after the replacement delay', async () => {
  const state = withoutNodes(sampleState(twoSlots), 's1');
  let unresponsiveMs = bounds.replicaReplacementDelay;
  const { clock, allocation, master } = setUpMaster(state, {
    unresponsiveFor: () => unresponsiveMs,
  });
  allocation.settle(state);
  await clock.run(bounds.heartbeatInterval);
  assert.equal(joiningReplicas(allocation.settle(master.state)), []);
  unresponsiveMs = bounds.replicaReplacementDelay + 1;
  await clock.run(bounds.heartbeatInterval);
  assert.equal(joiningReplicas(allocation.settle(master.state)), ['s4']);
});

controller('an absent store is replaced immediately by a store without slots', async () => {
  const state = withoutNodes(sampleState(), 's1');
  const { clock, allocation, master } = setUpMaster(state);
  allocation.settle(state);
  await clock.run(bounds.heartbeatInterval);
  assert.equal(joiningReplicas(allocation.settle(master.state)), ['s4']);
});

controller('a store being emptied replaces no other store', async () => {
  const otherSlot = sampleSlot({ replicas: ['s2', 's3', 's5'] });
  const allStores = sampleState([sampleSlot(), otherSlot], { retiring: new Map([['s4', '']]) });
  const nodes = new Map(allStores.nodes).set('s5', sampleMember('s5', 'store'));
  const state = withoutNodes({ ...allStores, nodes }, 's1');
  const { clock, allocation, master } = setUpMaster(state);
  allocation.settle(state);
  await clock.run(bounds.heartbeatInterval);
  assert.equal(joiningReplicas(allocation.settle(master.state)), []);
});

controller('a store has lost its disk if another node joined at its address', async () => {
  const state = sampleState(twoSlots);
  const { clock, allocation } = setUpController(state);
  allocation.settle(state);
  await clock.run(bounds.heartbeatInterval);
  const withoutStore = withoutNodes(state, 's1');
  assert.equal(joiningReplicas(allocation.settle(withoutStore)), []);
  const replacement = sampleMember('s9', 'store', { addr: 's1:1' });
  const withReplacement = {
    ...withoutStore,
    nodes: new Map(withoutStore.nodes).set('s9', replacement),
  };
  assert.equal(joiningReplicas(allocation.settle(withReplacement)), ['s9']);
});

const frontReport = (ok: boolean, url = 'u', pace?: number) => ({
  seen: [{ id: 'a', url, ok, ...(pace === undefined ? {} : { pace }) }],
  released: [],
});

const isServerDown = (master: ScriptedMaster): boolean | undefined =>
  master.state.servers.get('a')?.down;

controller('a server is down when more fronts fail to reach it than reach it', async () => {
  const state = sampleState([], { servers: new Map([['a', server]]) });
  const { clock, allocation, master } = setUpMaster(state);
  allocation.onReport('f1', frontReport(false));
  allocation.onReport('f2', frontReport(true));
  await clock.run(bounds.heartbeatInterval);
  assert.is(isServerDown(master), false);
  allocation.onReport('f2', frontReport(false));
  await clock.run(bounds.heartbeatInterval);
  assert.is(isServerDown(master), true);
});

controller('reports that are old, of another URL or malformed are ignored', async () => {
  const state = sampleState([], { servers: new Map([['a', server]]) });
  const { clock, allocation, master } = setUpMaster(state);
  allocation.onReport('f1', frontReport(false, 'another'));
  allocation.onReport('f2', { seen: 'malformed' });
  await clock.run(bounds.heartbeatInterval);
  assert.is(isServerDown(master), false);
  allocation.onReport('f1', frontReport(true));
  await clock.run(bounds.failureTimeout + 1);
  allocation.onReport('f2', frontReport(false));
  await clock.run(bounds.heartbeatInterval);
  assert.is(isServerDown(master), true, 'only the newer report counts');
});

controller('the throughput of a server is the median of the values reported for its URL', () => {
  const state = sampleState([], { servers: new Map([['a', server]]) });
  const { allocation } = setUpController(state);
  assert.is(allocation.throughputs(state).size, 0);
  allocation.onReport('f1', frontReport(true, 'u', 3));
  allocation.onReport('f2', frontReport(true, 'u', 1));
  allocation.onReport('f3', frontReport(true, 'u', 2));
  allocation.onReport('f4', frontReport(true, 'another', 9));
  allocation.onReport('f5', frontReport(true));
  assert.equal([...allocation.throughputs(state)], [['a', 2]]);
});

controller('a slot that its owner released moves to its transfer target', async () => {
  const { clock, allocation, master } = setUpMaster(
    sampleState([sampleSlot({ transferTarget: 'f2' })]),
  );
  allocation.onReport('f1', { seen: [], released: [[0, 3]] });
  await clock.run(1);
  assert.is(master.state.slots[0]?.owner, 'f2');
});

controller('a slot that is not released moves after four failure timeouts', async () => {
  const { clock, master } = setUpMaster(sampleState([sampleSlot({ transferTarget: 'f2' })]));
  await clock.run(4 * bounds.failureTimeout);
  assert.is(master.state.slots[0]?.owner, 'f1');
  await clock.run(bounds.heartbeatInterval);
  assert.is(master.state.slots[0]?.owner, 'f2');
});

const spare = sampleMember('c4', 'control');
const withSpare = (state: State): State => ({
  ...state,
  nodes: new Map(state.nodes).set('c4', spare),
});
const stateWithLostVoter = withSpare(withoutNodes(sampleState([]), 'c2'));
const nextVoters = (state: State): readonly string[] => state.voters.next;

controller(
  'the vote of a lost control moves to a spare that responds and has the newest state',
  () => {
    const { allocation, master } = setUpMaster(stateWithLostVoter);
    assert.equal(nextVoters(allocation.settle(master.state)), ['c1', 'c3', 'c4']);
  },
);

controller('no vote moves to a spare that is unresponsive or lacks the newest state', () => {
  for (const script of [{ responsiveNodes: ['c1'] }, { syncedNodes: ['c1'] }]) {
    const { allocation, master } = setUpMaster(stateWithLostVoter, script);
    assert.equal(nextVoters(allocation.settle(master.state)), ['c1', 'c2', 'c3']);
  }
});

controller('no vote moves to a store, nor from a live control', () => {
  const noSpare = withoutNodes(sampleState([]), 'c2');
  const first = setUpMaster(noSpare);
  assert.equal(nextVoters(first.allocation.settle(noSpare)), ['c1', 'c2', 'c3']);
  const allLive = withSpare(sampleState([]));
  const second = setUpMaster(allLive);
  assert.equal(nextVoters(second.allocation.settle(allLive)), ['c1', 'c2', 'c3']);
});

controller('a control that is not master, or has stepped down, moves no vote', () => {
  const notMaster = setUpController(stateWithLostVoter);
  assert.equal(nextVoters(notMaster.allocation.settle(stateWithLostVoter)), ['c1', 'c2', 'c3']);
  const formerMaster = setUpMaster(stateWithLostVoter);
  formerMaster.master.steppedDown.abort();
  assert.equal(nextVoters(formerMaster.allocation.settle(stateWithLostVoter)), ['c1', 'c2', 'c3']);
});

controller('no vote moves while another change of voters is proposed or uncommitted', () => {
  const changingVoters = { current: ['c1', 'c2', 'c3'], next: ['c1', 'c2'] };
  const proposed = { ...stateWithLostVoter, voters: changingVoters };
  const first = setUpMaster(stateWithLostVoter);
  assert.is(first.allocation.settle(proposed).voters, changingVoters);
  assert.equal(
    first.logged,
    [],
    'the reducer would refuse the change, but it would have been logged',
  );
  const second = setUpMaster(proposed);
  assert.is(second.allocation.settle(stateWithLostVoter).voters, stateWithLostVoter.voters);
});

controller.run();
