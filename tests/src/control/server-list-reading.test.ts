/** How the list of servers is read: how often, by whom, and how fresh a reading is. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { applyServerList, bootstrapState } from '@tillerstair/state';
import { ListPoll, ListReader } from '@tillerstair/control';
import { Incarnation, SimClock, SimList, World } from '@tillerstair/sim';
import { silentLogger, type Transport } from '@tillerstair/wire';
import { ServerListMonitor } from '@tillerstair/agent';
import { startListedCluster, sendLoad, roundRobinFronts } from '../support/listed-servers.js';

const reading = suite('how the list of servers is read');

const seeds = [21, 22, 23, 24];

reading('in ordinary times one control alone asks, and no more often than its bound', async () => {
  for (const seed of seeds) {
    const { cluster: w, serverList: shown } = await startListedCluster(seed);
    const from = w.clock.now();
    await sendLoad(w, 'o', 20000, roundRobinFronts(w));
    assert.is(shown.readers(from).size, 1);
    const span = w.clock.now() - from;
    assert.ok(
      shown.reads.filter((r) => r.at >= from).length <= span / w.bounds.listReadInterval + 1,
    );
  }
});

reading('without a master no control asks more often than its bound', async () => {
  const { cluster: w, serverList: shown } = await startListedCluster(23);
  const core = w.of('control').map((m) => m.addr);
  for (const a of core)
    w.net.cutBoth(
      [a],
      core.filter((b) => b !== a),
    );
  const from = w.clock.now();
  await w.clock.run(20000);
  for (const by of core) {
    const times = shown.reads.filter((r) => r.by === by && r.at >= from).map((r) => r.at);
    times
      .slice(1)
      .forEach((t, i) => assert.ok(t - (times[i] ?? 0) >= w.bounds.listReadInterval - 0.01));
  }
});

reading('a reader keeps one reading under way and its age counts from the asking', async () => {
  const clock = new SimClock();
  const shown = new SimList(clock);
  shown.put({ id: 'a', pool: 'p' });
  shown.readMs = 100;
  const reader = new ListReader(
    clock,
    shown.reader('c', new Incarnation()),
    { listReadInterval: 500 },
    silentLogger,
  );
  const t0 = clock.now();
  const both = Promise.all([reader.read(), reader.read()]);
  const [one, two] = await clock.finish('both', both, 1000);
  assert.is(one, two);
  assert.is(one.readAt, t0);
  assert.is(await clock.finish('again', reader.read(), 1000), one);
  await clock.run(500);
  shown.failing = true;
  const failed = await clock.finish('failed', reader.read(), 1000);
  assert.equal([failed.readAt, failed.servers.length], [t0, 1]);
  assert.ok(failed.triedAt >= t0 + 500);
  assert.is(shown.reads.length, 2);
});

reading('a reader whose list hangs soon says that it tried', async () => {
  const clock = new SimClock();
  const shown = new SimList(clock);
  shown.hanging = true;
  const reader = new ListReader(
    clock,
    shown.reader('c', new Incarnation()),
    { listReadInterval: 500 },
    silentLogger,
  );
  for (let i = 0; i < 5; i++) {
    const t0 = clock.now();
    const reply = await clock.finish('reply', reader.reply(), 130);
    assert.ok((reply.reported?.age ?? Infinity) <= 500);
    assert.is(reply.reported?.readAge, null);
    await clock.run(370 - (clock.now() - t0));
  }
});

reading('a new master goes by no reading from before it took office', async () => {
  const clock = new SimClock();
  const shown = new SimList(clock);
  shown.put({ id: 'a', pool: 'p' });
  const reader = new ListReader(
    clock,
    shown.reader('c', new Incarnation()),
    { listReadInterval: 500 },
    silentLogger,
  );
  const old = await clock.finish('old', reader.read(), 1000);
  shown.put({ id: 'b', pool: 'p' });
  const b = {
    id: 'b',
    pool: 'p',
    url: 'http://127.0.0.1:1',
    zone: 'zone-0',
    places: 16,
    draining: false,
  };
  let committed = applyServerList(bootstrapState('c', [], 1), [...old.servers, b]);
  let submits = 0;
  const over = new AbortController();
  const poll = new ListPoll(clock, reader);
  void poll.run({
    term: 4,
    lost: over.signal,
    committed,
    committedAt: 0,
    unresponsiveFor: () => 0,
    isResponsive: () => true,
    holdsCommitted: () => true,
    pingPeers: () => Promise.resolve(new Set<string>()),
    waitUntilInForce: () => Promise.resolve(undefined),
    confirm: () => Promise.resolve(committed),
    submitConfirmed: () => Promise.reject(new Error('a poll asks for no proof')),
    submit: (change) => {
      submits++;
      committed = change(committed);
      return Promise.resolve({ state: committed, at: clock.now() });
    },
  });
  assert.equal(poll.reported(4), { age: null, readAge: null });
  await clock.run(3000);
  over.abort();
  assert.is(submits, 0);
  assert.ok((poll.reported(4).readAge ?? Infinity) < 600);
  assert.equal(poll.reported(5), { age: null, readAge: null });
});

reading(
  'freshness counts from the asking, and is none until it is known whether there is a list',
  () => {
    const clock = new SimClock();
    const transport: Transport = {
      self: 'f',
      call: () => Promise.resolve(null),
      serve: () => Promise.resolve(),
      onConnectionLost: () => undefined,
      close: () => Promise.resolve(),
    };
    const watch = (): ServerListMonitor =>
      new ServerListMonitor(
        clock,
        transport,
        new World(1, { controls: 0, stores: 0, fronts: 0 }).bounds,
        silentLogger,
        'f',
      );
    const one = watch();
    assert.is(one.leaseRenewedAt, -Infinity);
    one.applyReport({ age: null, readAge: null }, 1000);
    assert.is(one.leaseRenewedAt, -Infinity);
    one.applyReport({ age: 300, readAge: null }, 1000);
    assert.is(one.leaseRenewedAt, 700);
    one.applyReport({ age: 900, readAge: 900 }, 1200);
    assert.is(one.leaseRenewedAt, 700);
    const two = watch();
    two.applyReport(undefined, 1000);
    assert.is(two.leaseRenewedAt, Infinity);
  },
);

reading('a reading that says nothing new leaves the state as it is', () => {
  const one = { id: 'a', pool: 'p', url: 'u', zone: 'z', places: 3, draining: true };
  const s = applyServerList(bootstrapState('c', [], 1), [one]);
  assert.is(applyServerList(s, [{ ...one, draining: false }]), s);
  assert.is(applyServerList(s, []).servers.size, 0);
});

reading.run();
