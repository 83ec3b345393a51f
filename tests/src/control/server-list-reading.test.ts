/** Reading of the server list: how often, by which control, and the age of a reading. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { applyServerList, bootstrapState } from '@tillerstair/state';
import { ListPoll, ListReader } from '@tillerstair/control';
import { Incarnation, SimClock, SimServerList, World } from '@tillerstair/sim';
import { silentLogger, type Transport } from '@tillerstair/wire';
import { ServerListMonitor } from '@tillerstair/agent';
import { startListedCluster, sendLoad, roundRobinFronts } from '../support/listed-servers.js';

const reading = suite('reading of the server list');

const seeds = [21, 22, 23, 24];

reading('normally only one control reads the list, at most once per interval', async () => {
  for (const seed of seeds) {
    const { cluster, serverList } = await startListedCluster(seed);
    const startedAt = cluster.clock.now();
    await sendLoad(cluster, 'o', 20000, roundRobinFronts(cluster));
    assert.is(serverList.readers(startedAt).size, 1);
    const elapsedMs = cluster.clock.now() - startedAt;
    assert.ok(
      serverList.reads.filter((read) => read.at >= startedAt).length <=
        elapsedMs / cluster.bounds.listReadInterval + 1,
    );
  }
});

reading('without a master each control reads the list at most once per interval', async () => {
  const { cluster, serverList } = await startListedCluster(23);
  const controlAddresses = cluster.of('control').map((machine) => machine.addr);
  for (const address of controlAddresses)
    cluster.net.cutBoth(
      [address],
      controlAddresses.filter((other) => other !== address),
    );
  const startedAt = cluster.clock.now();
  await cluster.clock.run(20000);
  for (const address of controlAddresses) {
    const readTimes = serverList.reads
      .filter((read) => read.by === address && read.at >= startedAt)
      .map((read) => read.at);
    readTimes
      .slice(1)
      .forEach((time, index) =>
        assert.ok(time - (readTimes[index] ?? 0) >= cluster.bounds.listReadInterval - 0.01),
      );
  }
});

reading('a reader has one reading in flight, and its age counts from the request', async () => {
  const clock = new SimClock();
  const serverList = new SimServerList(clock);
  serverList.put({ id: 'a', pool: 'p' });
  serverList.readMs = 100;
  const reader = new ListReader(
    clock,
    serverList.reader('c', new Incarnation()),
    { listReadInterval: 500 },
    silentLogger,
  );
  const startedAt = clock.now();
  const both = Promise.all([reader.read(), reader.read()]);
  const [first, second] = await clock.finish('both', both, 1000);
  assert.is(first, second);
  assert.is(first.readAt, startedAt);
  assert.is(await clock.finish('again', reader.read(), 1000), first);
  await clock.run(500);
  serverList.failing = true;
  const failedReading = await clock.finish('failed', reader.read(), 1000);
  assert.equal([failedReading.readAt, failedReading.servers.length], [startedAt, 1]);
  assert.ok(failedReading.triedAt >= startedAt + 500);
  assert.is(serverList.reads.length, 2);
});

reading('a reader whose list hangs reports the age of its attempt soon', async () => {
  const clock = new SimClock();
  const serverList = new SimServerList(clock);
  serverList.hanging = true;
  const reader = new ListReader(
    clock,
    serverList.reader('c', new Incarnation()),
    { listReadInterval: 500 },
    silentLogger,
  );
  for (let index = 0; index < 5; index++) {
    const startedAt = clock.now();
    const reply = await clock.finish('reply', reader.reply(), 130);
    assert.ok((reply.reported?.age ?? Infinity) <= 500);
    assert.is(reply.reported?.readAge, null);
    await clock.run(370 - (clock.now() - startedAt));
  }
});

reading('a new master ignores readings from before its term', async () => {
  const clock = new SimClock();
  const serverList = new SimServerList(clock);
  serverList.put({ id: 'a', pool: 'p' });
  const reader = new ListReader(
    clock,
    serverList.reader('c', new Incarnation()),
    { listReadInterval: 500 },
    silentLogger,
  );
  const oldReading = await clock.finish('old', reader.read(), 1000);
  serverList.put({ id: 'b', pool: 'p' });
  const addedServer = {
    id: 'b',
    pool: 'p',
    url: 'http://127.0.0.1:1',
    zone: 'zone-0',
    places: 16,
    draining: false,
  };
  let committed = applyServerList(bootstrapState('c', [], 1), [...oldReading.servers, addedServer]);
  let submits = 0;
  const steppedDown = new AbortController();
  const poll = new ListPoll(clock, reader);
  void poll.run({
    term: 4,
    lost: steppedDown.signal,
    committed,
    committedAt: 0,
    unresponsiveFor: () => 0,
    isResponsive: () => true,
    holdsCommitted: () => true,
    pingPeers: () => Promise.resolve(new Set<string>()),
    waitUntilInForce: () => Promise.resolve(undefined),
    confirm: () => Promise.resolve(committed),
    submitConfirmed: () => Promise.reject(new Error('a poll must not call submitConfirmed')),
    submit: (change) => {
      submits++;
      committed = change(committed);
      return Promise.resolve({ state: committed, at: clock.now() });
    },
  });
  assert.equal(poll.reported(4), { age: null, readAge: null });
  await clock.run(3000);
  steppedDown.abort();
  assert.is(submits, 0);
  assert.ok((poll.reported(4).readAge ?? Infinity) < 600);
  assert.equal(poll.reported(5), { age: null, readAge: null });
});

reading(
  'the list lease counts from the request, and is not held until it is known whether there is a list',
  () => {
    const clock = new SimClock();
    const transport: Transport = {
      self: 'f',
      call: () => Promise.resolve(null),
      serve: () => Promise.resolve(),
      onConnectionLost: () => undefined,
      close: () => Promise.resolve(),
    };
    const createMonitor = (): ServerListMonitor =>
      new ServerListMonitor(
        clock,
        transport,
        new World(1, { controls: 0, stores: 0, fronts: 0 }).bounds,
        silentLogger,
        'f',
      );
    const monitor = createMonitor();
    assert.is(monitor.leaseRenewedAt, -Infinity);
    monitor.applyReport({ age: null, readAge: null }, 1000);
    assert.is(monitor.leaseRenewedAt, -Infinity);
    monitor.applyReport({ age: 300, readAge: null }, 1000);
    assert.is(monitor.leaseRenewedAt, 700);
    monitor.applyReport({ age: 900, readAge: 900 }, 1200);
    assert.is(monitor.leaseRenewedAt, 700);
    const withoutList = createMonitor();
    withoutList.applyReport(undefined, 1000);
    assert.is(withoutList.leaseRenewedAt, Infinity);
  },
);

reading('a reading without changes leaves the state unchanged', () => {
  const server = { id: 'a', pool: 'p', url: 'u', zone: 'z', places: 3, draining: true };
  const state = applyServerList(bootstrapState('c', [], 1), [server]);
  assert.is(applyServerList(state, [{ ...server, draining: false }]), state);
  assert.is(applyServerList(state, []).servers.size, 0);
});

reading.run();
