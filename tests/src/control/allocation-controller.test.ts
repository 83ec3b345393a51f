/** When the master allocates: whose loss it waits out, whose report it goes by, and who gets a vote. */
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

const without = (state: State, ...ids: readonly string[]): State => ({
  ...state,
  nodes: new Map([...state.nodes].filter(([id]) => !ids.includes(id))),
});

const started = (state: State, script: MasterScript = {}) => {
  const clock = new SimClock();
  const logged: string[] = [];
  const log = { ...silentLogger, info: (text: string) => void logged.push(text) };
  const allocation = new AllocationController(clock, bounds, log);
  const master = new ScriptedMaster(state, script);
  return { clock, allocation, master, logged };
};

const led = (state: State, script: MasterScript = {}) => {
  const parts = started(state, script);
  void parts.allocation.run(parts.master);
  return parts;
};

controller('nothing is allocated until fronts have had the time to join', async () => {
  const { clock, allocation, master } = led(sampleState(emptySlots(1)));
  assert.is(allocation.settle(master.state), master.state);
  await clock.run(100);
  assert.is(allocation.settle(master.state), master.state);
  await clock.run(100);
  assert.is(allocation.settle(master.state).slots[0]?.owner, 'f1');
});

controller('first replicas wait for all stores, or for the failure timeout', async () => {
  const state = without(sampleState(emptySlots(1)), 's3', 's4');
  const { clock, allocation } = started(state);
  allocation.settle(state);
  await clock.run(bounds.heartbeatInterval);
  assert.equal(allocation.settle(state).slots[0]?.replicas, []);
  await clock.run(bounds.failureTimeout);
  assert.equal(allocation.settle(state).slots[0]?.replicas, []);
  await clock.run(1);
  assert.is(allocation.settle(state).slots[0]?.replicas.length, 2);
});

const joiningOf = (state: State): readonly string[] => state.slots[0]?.joiningReplicas ?? [];

const twoSlots = [sampleSlot(), sampleSlot({ replicas: ['s2', 's3', 's4'] })];

controller('a silent store is replaced only after the time that is waited for it', async () => {
  const state = without(sampleState(twoSlots), 's1');
  let silence = bounds.replicaReplacementDelay;
  const { clock, allocation, master } = led(state, { unresponsiveFor: () => silence });
  allocation.settle(state);
  await clock.run(bounds.heartbeatInterval);
  assert.equal(joiningOf(allocation.settle(master.state)), []);
  silence = bounds.replicaReplacementDelay + 1;
  await clock.run(bounds.heartbeatInterval);
  assert.equal(joiningOf(allocation.settle(master.state)), ['s4']);
});

controller('a store that holds no slot takes over at once', async () => {
  const state = without(sampleState(), 's1');
  const { clock, allocation, master } = led(state);
  allocation.settle(state);
  await clock.run(bounds.heartbeatInterval);
  assert.equal(joiningOf(allocation.settle(master.state)), ['s4']);
});

controller('a store that is to be emptied stands by for nobody', async () => {
  const busy = sampleSlot({ replicas: ['s2', 's3', 's5'] });
  const full = sampleState([sampleSlot(), busy], { retiring: new Map([['s4', '']]) });
  const nodes = new Map(full.nodes).set('s5', sampleMember('s5', 'store'));
  const state = without({ ...full, nodes }, 's1');
  const { clock, allocation, master } = led(state);
  allocation.settle(state);
  await clock.run(bounds.heartbeatInterval);
  assert.equal(joiningOf(allocation.settle(master.state)), []);
});

controller('a store whose address another node holds has lost its disk', async () => {
  const state = sampleState(twoSlots);
  const { clock, allocation } = started(state);
  allocation.settle(state);
  await clock.run(bounds.heartbeatInterval);
  const lost = without(state, 's1');
  assert.equal(joiningOf(allocation.settle(lost)), []);
  const fresh = sampleMember('s9', 'store', { addr: 's1:1' });
  const replaced = { ...lost, nodes: new Map(lost.nodes).set('s9', fresh) };
  assert.equal(joiningOf(allocation.settle(replaced)), ['s9']);
});

const seen = (ok: boolean, url = 'u', pace?: number) => ({
  seen: [{ id: 'a', url, ok, ...(pace === undefined ? {} : { pace }) }],
  released: [],
});

const downOf = (master: ScriptedMaster): boolean | undefined => master.state.servers.get('a')?.down;

controller('a server is down when more fronts fail to reach it than reach it', async () => {
  const state = sampleState([], { servers: new Map([['a', server]]) });
  const { clock, allocation, master } = led(state);
  allocation.onReport('f1', seen(false));
  allocation.onReport('f2', seen(true));
  await clock.run(bounds.heartbeatInterval);
  assert.is(downOf(master), false);
  allocation.onReport('f2', seen(false));
  await clock.run(bounds.heartbeatInterval);
  assert.is(downOf(master), true);
});

controller(
  'reports that are old, of another URL or malformed say nothing of a server',
  async () => {
    const state = sampleState([], { servers: new Map([['a', server]]) });
    const { clock, allocation, master } = led(state);
    allocation.onReport('f1', seen(false, 'another'));
    allocation.onReport('f2', { seen: 'novel' });
    await clock.run(bounds.heartbeatInterval);
    assert.is(downOf(master), false);
    allocation.onReport('f1', seen(true));
    await clock.run(bounds.failureTimeout + 1);
    allocation.onReport('f2', seen(false));
    await clock.run(bounds.heartbeatInterval);
    assert.is(downOf(master), true, 'only the newer report counts');
  },
);

controller('the pace of a server is the median of what was reported of its URL', () => {
  const state = sampleState([], { servers: new Map([['a', server]]) });
  const { allocation } = started(state);
  assert.is(allocation.throughputs(state).size, 0);
  allocation.onReport('f1', seen(true, 'u', 3));
  allocation.onReport('f2', seen(true, 'u', 1));
  allocation.onReport('f3', seen(true, 'u', 2));
  allocation.onReport('f4', seen(true, 'another', 9));
  allocation.onReport('f5', seen(true));
  assert.equal([...allocation.throughputs(state)], [['a', 2]]);
});

controller('a slot that its owner released goes to the target', async () => {
  const { clock, allocation, master } = led(sampleState([sampleSlot({ transferTarget: 'f2' })]));
  allocation.onReport('f1', { seen: [], released: [[0, 3]] });
  await clock.run(1);
  assert.is(master.state.slots[0]?.owner, 'f2');
});

controller('a slot that is not released moves after four failure timeouts', async () => {
  const { clock, master } = led(sampleState([sampleSlot({ transferTarget: 'f2' })]));
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
const lostVoter = withSpare(without(sampleState([]), 'c2'));
const nextVoters = (state: State): readonly string[] => state.voters.next;

controller('the vote of a lost control passes to a spare that replies and is in sync', () => {
  const { allocation, master } = led(lostVoter);
  assert.equal(nextVoters(allocation.settle(master.state)), ['c1', 'c3', 'c4']);
});

controller('no vote passes to a spare that is silent or lacks the newest state', () => {
  for (const script of [{ responsiveNodes: ['c1'] }, { syncedNodes: ['c1'] }]) {
    const { allocation, master } = led(lostVoter, script);
    assert.equal(nextVoters(allocation.settle(master.state)), ['c1', 'c2', 'c3']);
  }
});

controller('no vote passes to a store, nor from a control that lives', () => {
  const noSpare = without(sampleState([]), 'c2');
  const first = led(noSpare);
  assert.equal(nextVoters(first.allocation.settle(noSpare)), ['c1', 'c2', 'c3']);
  const allLive = withSpare(sampleState([]));
  const second = led(allLive);
  assert.equal(nextVoters(second.allocation.settle(allLive)), ['c1', 'c2', 'c3']);
});

controller('no vote passes by a control that is not master, or is no longer', () => {
  const idle = started(lostVoter);
  assert.equal(nextVoters(idle.allocation.settle(lostVoter)), ['c1', 'c2', 'c3']);
  const deposed = led(lostVoter);
  deposed.master.steppedDown.abort();
  assert.equal(nextVoters(deposed.allocation.settle(lostVoter)), ['c1', 'c2', 'c3']);
});

controller('no vote passes while another change of voters is proposed or uncommitted', () => {
  const changing = { current: ['c1', 'c2', 'c3'], next: ['c1', 'c2'] };
  const proposed = { ...lostVoter, voters: changing };
  const first = led(lostVoter);
  assert.is(first.allocation.settle(proposed).voters, changing);
  assert.equal(first.logged, [], 'the reducer would refuse it, but the log would tell of it');
  const second = led(proposed);
  assert.is(second.allocation.settle(lostVoter).voters, lostVoter.voters);
});

controller.run();
