import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { listInto, bootstrapState } from '@tillerstair/state';
import { ListPoll, ListReader } from '@tillerstair/control';
import { Life, SimClock, SimList, World, type Machine, type WorldSizes } from '@tillerstair/sim';
import { noLog, type Transport } from '@tillerstair/wire';
import { ListWatch } from '@tillerstair/agent';
import { assertNoBreach, configText, five, recordsOf, servers } from './util.js';

const list = suite('servers known from a list');
const seeds = [21, 22, 23, 24];
const drain = 3000;

interface Listing {
  readonly w: World;
  readonly shown: SimList;
}

const known = (w: World): readonly (readonly string[])[] =>
  w.readyFronts().map((m) => [...(m.front?.owner.current?.state.servers.keys() ?? [])].sort());

const listUp = async (seed: number, sizes: WorldSizes = five, lag = 0): Promise<Listing> => {
  const w = new World(seed, sizes);
  const shown = new SimList(w.clock, lag);
  w.list = shown;
  await w.bringUp((base) => configText(base), []);
  for (const [id, pool] of servers) shown.put({ id, pool });
  await w.clock.until('servers', () => known(w).length === sizes.fronts && known(w).every((ids) => ids.length === servers.length), 3000 + lag);
  await w.clock.run(1000 + (seed % 7) * 173);
  return { w, shown };
};

const press = async (w: World, what: string, forMs: number, at: (i: number) => Machine | undefined): Promise<number> => {
  const from = w.clock.now();
  const going: Promise<unknown>[] = [];
  for (let i = 0; w.clock.now() < from + forMs; i++) {
    going.push(w.call(`${what}${i}`, '/hold', { what, i }, at(i)));
    await w.clock.run(25);
  }
  await w.clock.finish('all', Promise.all(going), 60000);
  return from;
};

const everyFront = (w: World) => (i: number): Machine | undefined => w.of('front')[i % w.of('front').length];

const began = (w: World, server: string, from: number, to = Infinity): number =>
  w.servers.executed.filter((r) => r.server === server && r.began >= from && r.began < to).length;

const assertLeft = ({ w }: Listing, server: string, at: number): void => {
  assert.is(began(w, server, at + drain), 0);
  assertNoBreach(recordsOf(w));
};

const frontsKnow = (w: World, server: string): boolean =>
  w.of('front').some((m) => m.front?.owner.current?.state.servers.get(server)?.draining === true);

list('servers become known, with their zone and places, and vanish when gone', async () => {
  for (const seed of seeds) {
    const { w, shown } = await listUp(seed);
    const at = shown.put({ id: 's3', pool: 'shop', zone: 'zone-2', places: 7 });
    await w.clock.until('s3', () => known(w).every((ids) => ids.includes('s3')), 700);
    const s3 = w.committed?.servers.get('s3');
    assert.equal([s3?.zone, s3?.places, s3?.draining], ['zone-2', 7, false]);
    await press(w, 'a', 1500, everyFront(w));
    assert.ok(began(w, 's3', at) > 0);
    const gone = shown.drop('s3');
    await w.clock.until('s3 gone', () => known(w).every((ids) => !ids.includes('s3')), 700);
    await press(w, 'b', 1500, everyFront(w));
    assert.is(began(w, 's3', gone + 700), 0);
    assertLeft({ w, shown }, 's3', gone);
  }
});

list('a pool no configuration names is kept', async () => {
  const { w, shown } = await listUp(21);
  shown.put({ id: 'n1', pool: 'not-yet' });
  await w.clock.until('n1', () => known(w).every((ids) => ids.includes('n1')), 700);
  assert.is(w.committed?.servers.get('n1')?.pool, 'not-yet');
});

list('a mark reaches every front, also from a list that lags', async () => {
  for (const seed of seeds) {
    const up = await listUp(seed, five, seed % 2 === 0 ? 0 : 800);
    const { w, shown } = up;
    const at = shown.mark('s1');
    await w.clock.run(at - w.clock.now() + 700);
    for (const m of w.of('front')) assert.is(m.front?.owner.current?.state.servers.get('s1')?.draining, true);
    const from = await press(w, 'm', 3500, everyFront(w));
    assert.is(began(w, 's1', from), 0);
    assert.ok(began(w, 's2', from) > 20);
    assertLeft(up, 's1', at);
  }
});

list('once leaving, always leaving for one id', async () => {
  const { w, shown } = await listUp(22);
  shown.mark('s1');
  await w.clock.run(1000);
  shown.put({ id: 's1', pool: 'shop' });
  await w.clock.run(2000);
  assert.is(w.committed?.servers.get('s1')?.draining, true);
});

const atMaster = async (what: string, harm: (w: World, master: Machine) => void): Promise<void> => {
  let blind = 0;
  for (const seed of seeds) {
    const up = await listUp(seed);
    const { w, shown } = up;
    const master = w.master;
    if (!master) throw new Error('no master');
    const at = shown.mark('s1');
    harm(w, master);
    const going = press(w, `${what}${seed}-`, 9000, everyFront(w));
    await w.clock.run(1);
    if (!frontsKnow(w, 's1')) blind++;
    await going;
    assertLeft(up, 's1', at);
    assert.ok(began(w, 's2', at + drain) > 20, 'the other server goes on');
    assert.ok(began(w, 's2', at, at + drain) > 20, 'it did so the whole time');
    assert.is(w.committed?.servers.get('s1')?.draining, true);
  }
  assert.is(blind, seeds.length);
};

list('the master loses power right after the mark shows', () => atMaster('p', (_, master) => master.kill('power')));

list('the master freezes right after the mark shows', () => atMaster('f', (_, master) => master.freeze()));

list('the master is cut from all others right after the mark shows', () =>
  atMaster('c', (w, master) => w.net.cutBoth([master.addr], w.machines.filter((m) => m !== master).map((m) => m.addr))));

list('the master loses power at any moment of its reading and publishing', async () => {
  for (let ms = 0; ms < 560; ms += 70) {
    const up = await listUp(21 + (ms % 5));
    const { w, shown } = up;
    const at = shown.mark('s1');
    const going = press(w, `q${ms}-`, 6000, everyFront(w));
    w.clock.after(ms, () => w.master?.kill('power'));
    await going;
    assertLeft(up, 's1', at);
    assert.ok(began(w, 's2', at + drain) > 20);
  }
});

list('a server that disappears while there is no master gets nothing either', async () => {
  for (const seed of seeds) {
    const up = await listUp(seed);
    const { w, shown } = up;
    w.master?.freeze();
    const at = shown.drop('s1');
    await press(w, 'd', 9000, everyFront(w));
    assertLeft(up, 's1', at);
    assert.ok(began(w, 's2', at + drain) > 20);
    assert.is(w.committed?.servers.has('s1'), false);
  }
});

list('a core cut in two, or a front cut from it, sends nothing late', async () => {
  for (const seed of seeds) {
    const up = await listUp(seed);
    const { w, shown } = up;
    const core = w.of('control').map((m) => m.addr);
    const [lone] = w.of('front').map((m) => m.addr);
    if (lone === undefined) throw new Error('no front');
    const at = shown.mark('s1');
    if (seed % 2 === 0) w.net.cutBoth([lone], core);
    else for (const a of core) w.net.cutBoth([a], core.filter((b) => b !== a));
    await press(w, 'u', 6000, everyFront(w));
    w.net.mend();
    await w.clock.run(8000);
    await press(w, 'v', 1500, everyFront(w));
    assertLeft(up, 's1', at);
    assert.ok(began(w, 's2', at + 14000) > 20);
  }
});

list('an agent that starts anew while there is no master frees no barred server', async () => {
  for (const seed of seeds) {
    const up = await listUp(seed);
    const { w, shown } = up;
    const at = shown.mark('s1');
    w.master?.freeze();
    const going = press(w, 'r', 8000, everyFront(w));
    await w.clock.run(2200);
    for (const m of w.of('front')) {
      m.killAgent();
      m.restartAgent();
    }
    await going;
    assertLeft(up, 's1', at);
  }
});

list('the list is down, hangs or refuses, and serving goes on, with a change of master too', async () => {
  for (const seed of seeds) {
    const up = await listUp(seed);
    const { w, shown } = up;
    if (seed % 2 === 0) shown.failing = true;
    else shown.hanging = true;
    const from = await press(w, 'x', 4000, everyFront(w));
    for (let at = from + 500; at < from + 4000; at += 500) assert.ok(began(w, 's1', at, at + 500) + began(w, 's2', at, at + 500) > 10);
    w.master?.kill('power');
    const on = await press(w, 'y', 8000, everyFront(w));
    for (let at = on + 500; at < on + 8000; at += 500) assert.ok(began(w, 's1', at, at + 500) + began(w, 's2', at, at + 500) > 0, `gap at ${at - on}`);
    assert.is(w.committed?.servers.size, servers.length);
    shown.failing = false;
    shown.hanging = false;
    const at = shown.mark('s1');
    await press(w, 'z', 4000, everyFront(w));
    assertLeft(up, 's1', at);
    assert.is(began(w, 's1', at + 1800), 0);
  }
});

list('a master that alone cannot reach the list keeps no draining server in use', async () => {
  for (const seed of seeds) {
    const up = await listUp(seed);
    const { w, shown } = up;
    shown.cut.add(w.master?.addr ?? '');
    const at = shown.mark('s1');
    await press(w, 'k', 6000, everyFront(w));
    assertLeft(up, 's1', at);
    assert.ok(began(w, 's2', at + drain) > 20);
  }
});

list('a master slow to commit what it read leaves no front serving by an older reading', async () => {
  for (const seed of seeds) {
    const up = await listUp(seed);
    const { w, shown } = up;
    const [lone] = w.of('front');
    if (!lone) throw new Error('no front');
    const core = w.of('control');
    w.net.cutBoth([lone.addr], core.filter((m) => m !== w.master).map((m) => m.addr));
    for (const m of core) m.platter.delay = 1000;
    let made = 0;
    const churn = (): void => {
      const n = ++made;
      void w.master?.control?.operate({ method: 'PUT', path: `/v1/servers/x${n}`, body: JSON.stringify({ pool: 'idle', url: 'http://127.0.0.1:1' }) });
      if (n < 60) w.clock.after(100, churn);
    };
    churn();
    shown.took = 480;
    const reads = shown.reads.length;
    await w.clock.until('a read', () => shown.reads.length > reads, 5000);
    await w.clock.run(250);
    const at = shown.mark('s1');
    await press(w, 'l', 5000, () => lone);
    assertLeft(up, 's1', at);
    assert.is(began(w, 's1', at + w.bounds.readLease + 1), 0);
    assert.ok(began(w, 's1', at) > 0);
  }
});

list('in ordinary times one control alone asks, and no more often than its bound', async () => {
  for (const seed of seeds) {
    const { w, shown } = await listUp(seed);
    const from = w.clock.now();
    await press(w, 'o', 20000, everyFront(w));
    assert.is(shown.readers(from).size, 1);
    const span = w.clock.now() - from;
    assert.ok(shown.reads.filter((r) => r.at >= from).length <= span / w.bounds.listEvery + 1);
  }
});

list('without a master no control asks more often than its bound', async () => {
  const { w, shown } = await listUp(23);
  const core = w.of('control').map((m) => m.addr);
  for (const a of core) w.net.cutBoth([a], core.filter((b) => b !== a));
  const from = w.clock.now();
  await w.clock.run(20000);
  for (const by of core) {
    const times = shown.reads.filter((r) => r.by === by && r.at >= from).map((r) => r.at);
    times.slice(1).forEach((t, i) => assert.ok(t - (times[i] ?? 0) >= w.bounds.listEvery - 0.01));
  }
});

list('another server at the address of one that left is a server of its own', async () => {
  for (const seed of seeds) {
    const up = await listUp(seed);
    const { w, shown } = up;
    const at = shown.mark('s1');
    await w.clock.run(1000);
    shown.put({ id: 's9', pool: 'shop', url: 'http://127.0.0.1:1' });
    await w.clock.run(4000);
    shown.drop('s1');
    const from = await press(w, 'i', 3000, everyFront(w));
    assert.ok(began(w, 's9', from) > 10);
    assert.is(w.committed?.servers.get('s9')?.draining, false);
    assertLeft(up, 's1', at);
  }
});

list('operators make servers where there is no list', async () => {
  const w = new World(21, five);
  await w.bringUp((base) => configText(base), servers);
  await w.clock.run(5000);
  assert.is(w.committed?.servers.size, servers.length);
  w.master?.kill('power');
  await press(w, 'n', 6000, everyFront(w));
  assert.is(w.committed?.servers.size, servers.length);
  assertNoBreach(recordsOf(w));
});

list('a reader keeps one reading under way and its age counts from the asking', async () => {
  const clock = new SimClock();
  const shown = new SimList(clock);
  shown.put({ id: 'a', pool: 'p' });
  shown.took = 100;
  const reader = new ListReader(clock, shown.reader('c', new Life()), { listEvery: 500 }, noLog);
  const t0 = clock.now();
  const both = Promise.all([reader.read(), reader.read()]);
  const [one, two] = await clock.finish('both', both, 1000);
  assert.is(one, two);
  assert.is(one?.readAt, t0);
  assert.is(await clock.finish('again', reader.read(), 1000), one);
  await clock.run(500);
  shown.failing = true;
  const failed = await clock.finish('failed', reader.read(), 1000);
  assert.equal([failed.readAt, failed.servers.length], [t0, 1]);
  assert.ok(failed.triedAt >= t0 + 500);
  assert.is(shown.reads.length, 2);
});

list('a reader whose list hangs soon says that it tried', async () => {
  const clock = new SimClock();
  const shown = new SimList(clock);
  shown.hanging = true;
  const reader = new ListReader(clock, shown.reader('c', new Life()), { listEvery: 500 }, noLog);
  for (let i = 0; i < 5; i++) {
    const t0 = clock.now();
    const reply = await clock.finish('reply', reader.reply(), 130);
    assert.ok((reply.reported?.age ?? Infinity) <= 500);
    assert.is(reply.reported?.readAge, null);
    await clock.run(370 - (clock.now() - t0));
  }
});

list('a new master goes by no reading from before it took office', async () => {
  const clock = new SimClock();
  const shown = new SimList(clock);
  shown.put({ id: 'a', pool: 'p' });
  const reader = new ListReader(clock, shown.reader('c', new Life()), { listEvery: 500 }, noLog);
  const old = await clock.finish('old', reader.read(), 1000);
  shown.put({ id: 'b', pool: 'p' });
  const b = { id: 'b', pool: 'p', url: 'http://127.0.0.1:1', zone: 'zone-0', places: 16, draining: false };
  let committed = listInto(bootstrapState('c', [], 1), [...old.servers, b]);
  let submits = 0;
  const over = new AbortController();
  const poll = new ListPoll(clock, reader);
  void poll.run({
    term: 4, lost: over.signal, committed, committedAt: 0, unresponsiveFor: () => 0, heard: () => true, synced: () => true, reach: async () => new Set<string>(),
    inForce: async () => undefined, confirm: async () => committed,
    decide: () => Promise.reject(new Error('a poll asks for no proof')),
    submit: async (change) => {
      submits++;
      committed = change(committed);
      return { state: committed, at: clock.now() };
    },
  });
  assert.equal(poll.reported(4), { age: null, readAge: null });
  await clock.run(3000);
  over.abort();
  assert.is(submits, 0);
  assert.ok((poll.reported(4).readAge ?? Infinity) < 600);
  assert.equal(poll.reported(5), { age: null, readAge: null });
});

list('freshness counts from the asking, and is none until it is known whether there is a list', () => {
  const clock = new SimClock();
  const transport: Transport = {
    self: 'f', call: async () => null, serve: async () => undefined, onLost: () => undefined, close: async () => undefined,
  };
  const watch = (): ListWatch => new ListWatch(clock, transport, new World(1, { controls: 0, stores: 0, fronts: 0 }).bounds, noLog, 'f');
  const one = watch();
  assert.is(one.leaseRenewedAt, -Infinity);
  one.onListReport({ age: null, readAge: null }, 1000);
  assert.is(one.leaseRenewedAt, -Infinity);
  one.onListReport({ age: 300, readAge: null }, 1000);
  assert.is(one.leaseRenewedAt, 700);
  one.onListReport({ age: 900, readAge: 900 }, 1200);
  assert.is(one.leaseRenewedAt, 700);
  const two = watch();
  two.onListReport(undefined, 1000);
  assert.is(two.leaseRenewedAt, Infinity);
});

list('a reading that says nothing new leaves the state as it is', () => {
  const one = { id: 'a', pool: 'p', url: 'u', zone: 'z', places: 3, draining: true };
  const s = listInto(bootstrapState('c', [], 1), [one]);
  assert.is(listInto(s, [{ ...one, draining: false }]), s);
  assert.is(listInto(s, []).servers.size, 0);
});

list.run();
