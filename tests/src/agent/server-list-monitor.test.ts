/** Readings of the server list at an agent: the age of the last reading, and the servers that it bars. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { ServerListMonitor } from '@tillerstair/agent';
import { SimClock } from '@tillerstair/sim';
import { MemoryElectionStore, ZenNode, zenBounds } from '@tillerstair/zen';
import { bootstrapState, Member, Server, type State } from '@tillerstair/state';
import { silentLogger } from '@tillerstair/wire';
import { ScriptedTransport } from '../support/front-fixture.js';

const monitoring = suite('readings of the server list at an agent');

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

/** Starts a monitor whose controls reply with `reply()`, on a node that has applied `state` and knows no master. */
const createMonitorFixture = async (state: State, reply: () => unknown) => {
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
const readingOfAge = (ms: number) => ({ age: ms, readAge: ms });

monitoring('barred servers are unknown before the first reading', async () => {
  const { monitor } = await createMonitorFixture(bothOpen, () => ({}));
  assert.is(monitor.barredServers(bothOpen), undefined);
  monitor.applyReport({ age: 0, readAge: null }, 1000);
  assert.is(monitor.barredServers(bothOpen), undefined);
  monitor.applyReport(readingOfAge(0), 1000);
  assert.equal(monitor.barredServers(bothOpen), []);
  assert.is(monitor.barredServers(undefined), undefined);
  monitor.applyReport(undefined, 1000);
  assert.is(monitor.barredServers(bothOpen), undefined);
  monitor.stop();
});

monitoring('the lease counts from the reading, and is -Infinity before the first one', async () => {
  const { monitor } = await createMonitorFixture(bothOpen, () => ({}));
  assert.is(monitor.leaseRenewedAt, -Infinity);
  monitor.applyReport({ age: 300, readAge: 400 }, 1000);
  assert.is(monitor.leaseRenewedAt, 700);
  monitor.applyReport({ age: 900, readAge: 900 }, 1200);
  assert.is(monitor.leaseRenewedAt, 700);
  monitor.applyReport(null, 1300);
  assert.is(monitor.leaseRenewedAt, Infinity);
  monitor.stop();
});

/** Starts a monitor that knows that there is a list, knows no master, and gets `replies` from the controls in turn. */
const createReadingFixture = async (
  state: State,
  replies: readonly { reported: unknown; open: string[]; draining: string[] }[],
) => {
  let replyCount = 0;
  const fixture = await createMonitorFixture(
    state,
    () => replies[Math.min(replyCount++, replies.length - 1)],
  );
  fixture.monitor.applyReport(readingOfAge(0), fixture.clock.now());
  return fixture;
};

monitoring('a reading from a control bars servers that are draining or not listed', async () => {
  const state = stateWith([
    ['s1', false],
    ['s2', false],
    ['s3', false],
  ]);
  const reply = { reported: readingOfAge(0), open: ['s1'], draining: ['s2'] };
  const { clock, monitor, transport } = await createReadingFixture(state, [reply]);
  assert.equal(monitor.barredServers(state), []);
  await clock.run(bounds.listReadInterval * 3);
  assert.ok(transport.calls.every(({ kind }) => kind === 'control/list'));
  assert.equal([...(monitor.barredServers(state) ?? [])].sort(), ['s2', 's3']);
  monitor.stop();
});

monitoring(
  'after a newer reading of the master, a draining server stays barred until the state shows it as draining',
  async () => {
    const state = stateWith([
      ['s1', false],
      ['s2', false],
    ]);
    const reply = { reported: readingOfAge(0), open: [], draining: ['s2'] };
    const { clock, monitor } = await createReadingFixture(state, [reply]);
    await clock.run(bounds.listReadInterval * 3);
    const drained = stateWith([
      ['s1', false],
      ['s2', true],
    ]);
    assert.equal([...(monitor.barredServers(drained) ?? [])].sort(), ['s1', 's2']);
    monitor.stop();
    monitor.applyReport(readingOfAge(0), clock.now() + 1);
    assert.equal(
      monitor.barredServers(state),
      ['s2'],
      'the state does not show s2 as draining yet',
    );
    assert.equal(monitor.barredServers(drained), []);
    assert.equal(monitor.barredServers(state), []);
  },
);

monitoring('an older reading from another control does not replace a newer one', async () => {
  const state = stateWith([
    ['s1', false],
    ['s2', false],
  ]);
  const newer = { reported: readingOfAge(0), open: ['s1'], draining: [] };
  const older = {
    reported: { age: 0, readAge: bounds.listReadInterval * 4 },
    open: ['s1', 's2'],
    draining: [],
  };
  const { clock, monitor, transport } = await createReadingFixture(state, [newer, older]);
  await clock.until('two readings', () => transport.calls.length >= 2, 60000);
  await clock.runReadyTasks();
  monitor.stop();
  assert.equal(monitor.barredServers(state), ['s2']);
});

monitoring.run();
