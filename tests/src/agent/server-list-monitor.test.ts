/** What an agent makes of readings of the list of servers: how fresh they are, and who is barred by them. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { ServerListMonitor } from '@tillerstair/agent';
import { SimClock } from '@tillerstair/sim';
import { MemoryElectionStore, ZenNode, zenBounds } from '@tillerstair/zen';
import { bootstrapState, Member, Server, type State } from '@tillerstair/state';
import { silentLogger } from '@tillerstair/wire';
import { ScriptedTransport } from '../support/front-fixture.js';

const monitoring = suite('readings of the list of servers at an agent');

const bounds = zenBounds({
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 500,
  failureTimeout: 1800,
});

const control = (id: string): Member =>
  Member.parse({ id, kind: 'control', addr: `${id}:1`, http: '', zone: '', data: '' });

const stateWith = (servers: readonly (readonly [string, boolean])[]): State => ({
  ...bootstrapState('c', [control('a'), control('b')], 1),
  servers: new Map(
    servers.map(([id, draining]) => [
      id,
      Server.parse({ id, pool: 'p', url: 'u', draining, down: false }),
    ]),
  ),
});

/** A monitor whose controls reply what `reply` says, on a node that has applied `state` and knows no master. */
const monitorRig = async (state: State, reply: () => unknown) => {
  const clock = new SimClock();
  const transport = new ScriptedTransport();
  transport.answer = () => Promise.resolve(reply());
  const monitor = new ServerListMonitor(clock, transport, bounds, silentLogger, 'f');
  const zen = new ZenNode({
    me: Member.parse({ id: 'f', kind: 'front', addr: 'f:1', http: '', zone: '', data: '' }),
    seeds: [],
    clock,
    transport: new ScriptedTransport(),
    bounds,
    log: silentLogger,
    electionStore: new MemoryElectionStore('f'),
    slots: 0,
    onApplied: () => Promise.resolve(),
  });
  Object.defineProperty(zen, 'applied', { get: () => state });
  void monitor.run(zen);
  await clock.runReadyTasks();
  return { clock, monitor, transport };
};

const bothOpen = stateWith([
  ['s1', false],
  ['s2', false],
]);
const age = (ms: number) => ({ age: ms, readAge: ms });

monitoring('nothing is said of barred servers before the list was read', async () => {
  const { monitor } = await monitorRig(bothOpen, () => ({}));
  assert.is(monitor.barredServers(bothOpen), undefined);
  monitor.applyReport({ age: 0, readAge: null }, 1000);
  assert.is(monitor.barredServers(bothOpen), undefined);
  monitor.applyReport(age(0), 1000);
  assert.equal(monitor.barredServers(bothOpen), []);
  assert.is(monitor.barredServers(undefined), undefined);
  monitor.applyReport(undefined, 1000);
  assert.is(monitor.barredServers(bothOpen), undefined);
  monitor.stop();
});

monitoring('freshness counts from the reading, and is none while it is not known', async () => {
  const { monitor } = await monitorRig(bothOpen, () => ({}));
  assert.is(monitor.leaseRenewedAt, -Infinity);
  monitor.applyReport({ age: 300, readAge: 400 }, 1000);
  assert.is(monitor.leaseRenewedAt, 700);
  monitor.applyReport({ age: 900, readAge: 900 }, 1200);
  assert.is(monitor.leaseRenewedAt, 700);
  monitor.applyReport(null, 1300);
  assert.is(monitor.leaseRenewedAt, Infinity);
  monitor.stop();
});

/** A monitor that knows of a list, has no master and reads it at the controls. */
const readingRig = async (
  state: State,
  replies: readonly { reported: unknown; open: string[]; draining: string[] }[],
) => {
  let asked = 0;
  const rig = await monitorRig(state, () => replies[Math.min(asked++, replies.length - 1)]);
  rig.monitor.applyReport(age(0), rig.clock.now());
  return rig;
};

monitoring('a reading of a control bars what drains and what is not listed', async () => {
  const state = stateWith([
    ['s1', false],
    ['s2', false],
    ['s3', false],
  ]);
  const reply = { reported: age(0), open: ['s1'], draining: ['s2'] };
  const { clock, monitor, transport } = await readingRig(state, [reply]);
  assert.equal(monitor.barredServers(state), []);
  await clock.run(bounds.listReadInterval * 3);
  assert.ok(transport.calls.every(({ kind }) => kind === 'control/list'));
  assert.equal([...(monitor.barredServers(state) ?? [])].sort(), ['s2', 's3']);
  monitor.stop();
});

monitoring(
  'once the master has read later, only what the state does not show as draining stays barred',
  async () => {
    const state = stateWith([
      ['s1', false],
      ['s2', false],
    ]);
    const reply = { reported: age(0), open: [], draining: ['s2'] };
    const { clock, monitor } = await readingRig(state, [reply]);
    await clock.run(bounds.listReadInterval * 3);
    const drained = stateWith([
      ['s1', false],
      ['s2', true],
    ]);
    assert.equal([...(monitor.barredServers(drained) ?? [])].sort(), ['s1', 's2']);
    monitor.stop();
    monitor.applyReport(age(0), clock.now() + 1);
    assert.equal(monitor.barredServers(state), ['s2'], 'the state lags behind');
    assert.equal(monitor.barredServers(drained), []);
    assert.equal(monitor.barredServers(state), []);
  },
);

monitoring('an older reading of another control does not replace a newer one', async () => {
  const state = stateWith([
    ['s1', false],
    ['s2', false],
  ]);
  const newer = { reported: age(0), open: ['s1'], draining: [] };
  const older = {
    reported: { age: 0, readAge: bounds.listReadInterval * 4 },
    open: ['s1', 's2'],
    draining: [],
  };
  const { clock, monitor, transport } = await readingRig(state, [newer, older]);
  await clock.until('two readings', () => transport.calls.length >= 2, 60000);
  await clock.runReadyTasks();
  monitor.stop();
  assert.equal(monitor.barredServers(state), ['s2']);
});

monitoring.run();
