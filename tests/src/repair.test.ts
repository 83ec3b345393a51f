import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { ReplyRecord } from '@tillerstair/checker';
import { World, type Machine } from '@tillerstair/sim';
import { assertNoBreach, configText, five, recordsOf, servers, small, worldUp } from './util.js';

const repair = suite('repair, moves and growth');
const seeds = [21, 22, 23];

const turns = async (w: World, program: string, from: number, count: number): Promise<void> => {
  for (let i = from; i < from + count; i++) {
    const t = await w.clock.finish('turn', w.turn(program, null, `r #${w.seed}-${i}`, `r${i}`), 30000);
    assert.is(t.reported, 'done', t.errorCode);
  }
};

const loseAndReadAll = async (w: World, store: Machine | undefined, program: string): Promise<void> => {
  store?.kill('power');
  store?.platter.wipe();
  for (const m of w.of('front')) m.kill();
  w.start(w.of('front'));
  await w.clock.until('fronts', () => w.readyFronts().length === 2 && w.slotsOpen(), 20000);
  for (const t of w.reported.filter((x) => x.kind === 'turn' && x.program === program))
    assert.is((await w.clock.finish('fetch', w.fetch(program, t.turn), 30000)).text, t.text);
  assertNoBreach(recordsOf(w));
};

repair('a store that was away gets what it missed from hints, and can then stand in for a lost one', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const p = await w.clock.finish('program', w.program(900), 10000);
    const [a, b, c] = w.of('store');
    a?.kill('power');
    await w.clock.run(4000);
    await turns(w, p.program, 0, 5);
    const hints = [b, c].reduce((n, m) => n + (m?.replicaStore?.counts().hints ?? 0), 0);
    assert.ok(hints >= 5, `${hints} hints`);
    a?.start();
    await w.clock.until('hand-over', () => [b, c].every((m) => m?.replicaStore?.counts().hints === 0) && (a?.replicaStore?.counts().items ?? 0) >= 6, 20000);
    await loseAndReadAll(w, b, p.program);
  }
});

repair('an empty store counts in no quorum until it is refilled', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const p = await w.clock.finish('program', w.program(900), 10000);
    await turns(w, p.program, 0, 4);
    const [a, b] = w.of('store');
    a?.kill('power');
    a?.platter.wipe();
    a?.start();
    const id = () => a?.store?.id ?? 'none';
    await w.clock.until('taken in', () => w.committed?.slots.some((s) => s.joiningReplicas.includes(id())) ?? false, 30000);
    const slots = w.committed?.slots ?? [];
    assert.ok(slots.filter((s) => s.joiningReplicas.length > 0).length <= slots.length / 2, 'throttled');
    await w.clock.until('refilled', () => w.committed?.slots.every((s) => s.replicas.includes(id()) && s.joiningReplicas.length === 0) ?? false, 60000);
    await loseAndReadAll(w, b, p.program);
  }
});

repair('a store that is being filled opens no slot, so what it lacks is not called missing', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const ps = await w.clock.finish('programs', Promise.all(Array.from({ length: 24 }, () => w.program(900))), 20000);
    const data = w.of('front').map((m) => `${m.addr}/data`);
    w.net.cutBoth(['store-1'], [...data, 'store-0', 'store-2']);
    const ts = await w.clock.finish('turns', Promise.all(ps.map((p, i) => w.turn(p.program, null, `h #${seed}-${i}`, 'k'))), 60000);
    assert.ok(ts.every((t) => t.reported === 'done'));
    const a = w.at('store-0');
    a.kill('power');
    a.platter.wipe();
    for (const m of w.of('front')) m.kill();
    w.net.mend();
    w.net.cutBoth(['store-2'], [...data, 'store-0', 'store-1']);
    a.start();
    w.start(w.of('front'));
    await w.clock.until('filling', () => w.committed?.slots.some((s) => s.joiningReplicas.length > 0) ?? false, 30000);
    await w.clock.until('fronts', () => w.readyFronts().length === 2, 20000);
    await w.clock.run(4000);
    for (const t of ts) {
      const f = await w.clock.finish('fetch', w.fetch(t.program, t.turn), 30000);
      assert.is.not(f.errorCode, 'missing');
    }
    w.net.mend();
    await w.clock.until('refilled', () => w.committed?.slots.every((s) => s.joiningReplicas.length === 0 && s.replicas.includes(a.store?.id ?? '')) ?? false, 60000);
    await w.clock.run(2000);
    for (const t of ts) assert.is((await w.clock.finish('fetch', w.fetch(t.program, t.turn), 30000)).text, t.text);
  }
});

repair('with two disks lost at once history is unavailable, never missing', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const p = await w.clock.finish('program', w.program(900), 10000);
    await turns(w, p.program, 0, 2);
    for (const m of w.of('store').slice(0, 2)) {
      m.kill('power');
      m.platter.wipe();
      m.start();
    }
    for (const m of w.of('front')) m.kill();
    w.start(w.of('front'));
    await w.clock.until('fronts', () => w.readyFronts().length === 2, 20000);
    await w.clock.run(5000);
    for (const t of w.reported.filter((x) => x.kind === 'turn')) {
      const f = await w.clock.finish('fetch', w.fetch(p.program, t.turn), 30000);
      assert.is(f.reported, 'refused');
      assert.is.not(f.errorCode, 'missing');
    }
  }
});

repair('emptying is refused with the reason when too few replicas would stay, else ends with nothing held', async () => {
  const w = await worldUp(seeds[0] ?? 1, small);
  const p = await w.clock.finish('program', w.program(900), 10000);
  await turns(w, p.program, 0, 3);
  const refused = await w.operate('POST', '/v1/stores/store-0/empty');
  assert.is(refused.status, 409);
  assert.match(JSON.stringify(refused.body), 'only 2 other stores would stay');
  w.add('store').start();
  await w.clock.until('the new store', () => [...(w.committed?.nodes.values() ?? [])].filter((m) => m.kind === 'store').length === 4, 20000);
  assert.is((await w.operate('POST', '/v1/stores/store-0/empty')).status, 200);
  const old = w.at('store-0').store?.id ?? '';
  await w.clock.until('half way', () => (w.committed?.slots.filter((s) => s.replicas.includes(old)).length ?? 9) <= 4, 60000);
  w.master?.kill('power');
  await w.clock.until('emptied', () => (w.committed?.slots.every((s) => !s.replicas.includes(old) && s.joiningReplicas.length === 0)) ?? false, 60000);
  const status = await w.operate('GET', '/v1/status');
  assert.match(JSON.stringify(status.body), '"slotsHeld":0');
  w.at('store-0').kill();
  await turns(w, p.program, 3, 2);
  for (const t of w.reported.filter((x) => x.kind === 'turn')) assert.is((await w.clock.finish('fetch', w.fetch(p.program, t.turn), 30000)).text, t.text);
  assertNoBreach(recordsOf(w));
});

repair('a planned move of owners refuses nothing and breaks nothing off', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const ps = await w.clock.finish('programs', Promise.all(Array.from({ length: 6 }, () => w.program(900, w.of('front')[0]))), 20000);
    const before = w.committed?.slots.map((s) => s.owner).join();
    const going: Promise<unknown>[] = [];
    w.add('front').start();
    let i = 0;
    const end = w.clock.now() + 14000;
    let drained = false;
    while (w.clock.now() < end) {
      const at = w.of('front')[0];
      for (const p of ps) going.push(w.turn(p.program, null, `m #${seed}-${i}`, `m${i++}`, at));
      if (!drained && w.clock.now() > end - 7000) {
        drained = true;
        assert.is((await w.operate('POST', '/v1/fronts/front-1/drain')).status, 200);
      }
      await w.clock.run(170);
    }
    await w.clock.finish('all', Promise.all(going), 60000);
    assert.is.not(w.committed?.slots.map((s) => s.owner).join(), before);
    const drainedId = w.at('front-1').front?.p.id;
    assert.ok(w.committed?.slots.every((s) => s.owner !== drainedId));
    const bad = w.reported.filter((t) => t.reported !== 'done' && t.errorCode !== 'budget-spent').map((t) => `${t.kind} ${t.reported} ${t.errorCode}`);
    assert.equal(bad, []);
    assertNoBreach(recordsOf(w));
  }
});

repair('a slow disk on one store delays nothing for long and loses nothing', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, five);
    const p = await w.clock.finish('program', w.program(900), 10000);
    const slow = w.of('store')[seed % 3];
    if (slow) slow.platter.delay = 2500;
    const t0 = w.clock.now();
    await turns(w, p.program, 0, 6);
    assert.ok(w.clock.now() - t0 < 6000, `${w.clock.now() - t0} ms for six turns`);
    assertNoBreach(recordsOf(w));
  }
});

repair('stores and fronts drop what was idle longer than its keeping time, whole', async () => {
  const w = await worldUp(31, small);
  const p = await w.clock.finish('program', w.program(900), 10000);
  const [t] = await w.clock.finish('turn', Promise.all([w.turn(p.program, null, 'x #31', 'k')]), 10000);
  const q = await w.clock.finish('program', w.program(900), 10000);
  const items = () => w.of('store').map((m) => m.replicaStore?.counts().items ?? 0);
  assert.ok(items().every((n) => n >= 3), items().join());
  for (let n = 0; n < 3; n++) {
    await w.clock.run(1200000);
    await turns(w, q.program, 100 + n, 1);
  }
  await w.clock.run(900000);
  const gone = await w.clock.finish('fetch', w.fetch(p.program, t?.turn ?? ''), 10000);
  assert.is(gone.errorCode, 'missing');
  const kept = w.reported.filter((x) => x.kind === 'turn' && x.program === q.program);
  for (const m of w.of('front')) m.kill();
  w.start(w.of('front'));
  await w.clock.until('fronts', () => w.readyFronts().length === 2 && w.slotsOpen(), 20000);
  for (const x of kept) assert.is((await w.clock.finish('fetch', w.fetch(q.program, x.turn), 10000)).text, x.text);
});

repair('a store being emptied counts until its stand-in is full: another may die in the middle', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const ps = await w.clock.finish('programs', Promise.all(Array.from({ length: 24 }, () => w.program(900))), 20000);
    const round = async (n: number): Promise<void> => {
      const ts = await w.clock.finish('turns', Promise.all(ps.map((p, i) => w.turn(p.program, null, `e${n} #${seed}-${i}`, `e${n}`))), 60000);
      assert.equal(ts.filter((t) => t.reported !== 'done').map((t) => t.errorCode), []);
    };
    await round(0);
    const fresh = w.add('store');
    fresh.start();
    await w.clock.until('the new store', () => [...(w.committed?.nodes.values() ?? [])].filter((m) => m.kind === 'store').length === 4, 20000);
    for (const m of ['store-0', 'store-1', 'store-2']) w.net.cut(fresh.addr, m);
    assert.is((await w.operate('POST', '/v1/stores/store-0/empty')).status, 200);
    await w.clock.until('filling', () => w.committed?.slots.some((s) => s.joiningReplicas.length > 0) ?? false, 20000);
    await w.clock.run(1000);
    w.at('store-1').kill('power');
    await w.clock.run(2000);
    await round(1);
    const half = w.reported.filter((t) => t.kind === 'turn');
    for (const t of half) assert.is((await w.clock.finish('fetch', w.fetch(t.program, t.turn), 30000)).text, t.text);
    w.net.mend();
    await w.clock.until('emptied', () => w.committed?.slots.every((s) => s.replicas.length === 3 && s.joiningReplicas.length === 0 && !s.replicas.includes(w.at('store-0').store?.id ?? '')) ?? false, 90000).catch(() => -1);
    w.at('store-1').start();
    await w.clock.until('settled', () => w.committed?.slots.every((s) => s.joiningReplicas.length === 0 && !s.replicas.includes(w.at('store-0').store?.id ?? '')) ?? false, 90000);
    w.at('store-0').kill('power');
    for (const m of w.of('front')) m.kill();
    w.start(w.of('front'));
    await w.clock.until('fronts', () => w.readyFronts().length === 2 && w.slotsOpen(), 20000);
    await w.clock.run(1000);
    for (const t of half) assert.is((await w.clock.finish('fetch', w.fetch(t.program, t.turn), 30000)).text, t.text);
    await round(2);
    assertNoBreach(recordsOf(w));
  }
});

repair('while a stand-in is filled a write needs both the replicas of now and the replicas of then', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const ps = await w.clock.finish('programs', Promise.all(Array.from({ length: 12 }, () => w.program(900))), 20000);
    const fresh = w.add('store');
    fresh.start();
    await w.clock.until('the new store', () => [...(w.committed?.nodes.values() ?? [])].filter((m) => m.kind === 'store').length === 4, 20000);
    fresh.platter.delay = 2500;
    assert.is((await w.operate('POST', '/v1/stores/store-0/empty')).status, 200);
    await w.clock.until('filling', () => w.committed?.slots.some((s) => s.joiningReplicas.length > 0) ?? false, 20000);
    for (const m of w.of('front')) for (const to of ['store-2', fresh.addr]) w.net.cut(`${m.addr}/data`, to);
    const freshId = fresh.store?.id ?? 'none';
    const going: Promise<unknown>[] = [];
    for (let i = 0; !w.committed?.slots.some((s) => s.replicas.includes(freshId)); i++) {
      assert.ok(i < 200, 'no copy was switched');
      for (const p of ps) going.push(w.turn(p.program, null, `j${i} #${seed}-${p.program}`, `j${i}`));
      await w.clock.run(350);
    }
    for (const m of ['store-0', 'store-1']) w.at(m).kill('power');
    w.net.mend();
    fresh.platter.delay = 0.2;
    await w.clock.finish('all', Promise.all(going), 60000);
    for (const m of w.of('front')) m.kill();
    w.start(w.of('front'));
    await w.clock.until('fronts', () => w.readyFronts().length === 2, 20000);
    await w.clock.run(3000);
    const done = w.reported.filter((t) => t.kind === 'turn' && t.reported === 'done');
    assert.ok(done.length > 0);
    const back = await w.clock.finish('fetches', Promise.all(done.map((t) => w.fetch(t.program, t.turn))), 60000);
    assert.equal(back.filter((f) => f.errorCode === 'missing').length, 0);
    const open = await w.clock.finish('none', Promise.all(ps.map((p) => w.fetch(p.program, 't-none'))), 60000);
    assert.ok(open.some((f) => f.errorCode === 'missing'), 'the switched slot is open');
    assertNoBreach(recordsOf(w));
  }
});

repair('sessions of megabytes move in pages: takeover, refill and rewriting stay small and lose nothing', async () => {
  const w = await worldUp(29, small);
  const p = await w.clock.finish('program', w.program(1000), 10000);
  const q = await w.clock.finish('program', w.program(900), 10000);
  let after: string | null = null;
  for (let i = 0; i < 60; i++) {
    const words = `${'long history '.repeat(3000)} #29-${i}`;
    const parent: string | null = i % 20 === 0 ? null : after;
    const t: ReplyRecord = await w.clock.finish('turn', w.turn(p.program, parent, words, `b${i}`), 30000);
    assert.is(t.reported, 'done', t.errorCode);
    after = t.turn;
  }
  w.net.largest.clear();
  const store = w.of('store')[0];
  store?.kill('power');
  store?.platter.wipe();
  for (const m of w.of('front')) m.kill();
  w.start(w.of('front'));
  await w.clock.until('fronts', () => w.readyFronts().length === 2 && w.slotsOpen(), 20000);
  const other = await w.clock.finish('other slot', w.turn(q.program, null, 'short #29', 'q'), 5000);
  assert.is(other.reported, 'done');
  store?.start();
  const id = () => store?.store?.id ?? 'none';
  await w.clock.until('refilled', () => w.committed?.slots.every((s) => s.replicas.includes(id()) && s.joiningReplicas.length === 0) ?? false, 90000);
  for (const kind of ['store/fence', 'store/pull', 'store/put', 'store/hand']) assert.ok((w.net.largest.get(kind) ?? 0) < 1 << 19, `${kind} ${w.net.largest.get(kind) ?? 0}`);
  assert.ok((w.net.largest.get('store/pull') ?? 0) > 1 << 16);
  await loseAndReadAll(w, w.of('store')[1], p.program);
});

repair('hints that could not be kept cost nothing when the disks of both others go one after the other', async () => {
  for (const seed of seeds) {
    const w = new World(seed, small);
    w.hintsMost = 0;
    await w.bringUp((base) => configText(base), servers);
    const p = await w.clock.finish('program', w.program(900), 10000);
    const [a, b, c] = w.of('store');
    a?.kill('power');
    await w.clock.run(1500);
    await turns(w, p.program, 0, 5);
    assert.equal([b, c].map((m) => m?.replicaStore?.counts().hints), [0, 0]);
    a?.start();
    await w.clock.run(2000);
    b?.kill('power');
    b?.platter.wipe();
    b?.start();
    const id = () => b?.store?.id ?? 'none';
    await w.clock.until('refilled', () => w.committed?.slots.every((s) => s.replicas.includes(id()) && s.joiningReplicas.length === 0) ?? false, 60000);
    await w.clock.run(1000);
    await loseAndReadAll(w, c, p.program);
  }
});

repair('a control that lost its disk is replaced at once, at any master', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    for (const m of w.of('control')) {
      const old = m.control?.id ?? 'none';
      m.kill('power');
      m.platter.wipe();
      if (seed === 22) await w.clock.run(1000);
      m.start();
      const from = w.clock.now();
      await w.clock.until('a voter again', () => w.committed?.voters.current.includes(m.control?.id ?? 'none') ?? false, 20000);
      assert.ok(w.clock.now() - from < w.bounds.replaceAfter, `${w.clock.now() - from} ms`);
      assert.not(w.committed?.voters.next.includes(old));
      assert.is(w.committed?.voters.current.length, 3);
      await w.clock.run(2000);
    }
    const put = await w.operate('PUT', '/v1/config', configText(1));
    assert.is(put.status, 200);
  }
});

repair('a store that lost its disk holds every slot again within 4.8 s of its start', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const ps = await w.clock.finish('programs', Promise.all(Array.from({ length: 24 }, () => w.program(900))), 20000);
    const ts = await w.clock.finish('turns', Promise.all(ps.map((p, i) => w.turn(p.program, null, `q #${seed}-${i}`, 'k'))), 60000);
    assert.ok(ts.every((t) => t.reported === 'done'));
    const a = w.at('store-0');
    a.kill('power');
    a.platter.wipe();
    if (seed === 22) await w.clock.run(1000);
    a.start();
    const id = () => a.store?.id ?? 'none';
    await w.clock.until('refilled', () => w.committed?.slots.every((s) => s.replicas.includes(id()) && s.joiningReplicas.length === 0) ?? false, 4800);
    await loseAndReadAll(w, w.of('store')[1], ps[0]?.program ?? '');
    for (const x of ts) assert.is((await w.clock.finish('fetch', w.fetch(x.program, x.turn), 30000)).text, x.text);
  }
});

repair('twenty megabytes in 64 slots move off a store within 6 s, and the calls meanwhile are served', async () => {
  const w = new World(33, { controls: 3, stores: 4, fronts: 2, slots: 64 });
  await w.bringUp((base) => configText(base), servers);
  const p = await w.clock.finish('program', w.program(900), 10000);
  const value = 'v'.repeat(32 << 10);
  const going: Promise<void>[] = [];
  for (const m of w.of('store'))
    for (const [n, slot] of w.committed?.slots.entries() ?? [])
      if (slot.replicas.includes(m.store?.id ?? 'none'))
        going.push(...Array.from({ length: 14 }, async (_, i) => m.replicaStore?.hand(n, [{ key: `k/${n}-${i}`, ownershipEpoch: slot.ownershipEpoch, seq: i, value }])));
  await w.clock.finish('filling the shelves', Promise.all(going), 60000);
  assert.ok((w.at('store-1').replicaStore?.counts().bytes ?? 0) > 20e6, String(w.at('store-1').replicaStore?.counts().bytes));
  assert.is((await w.operate('POST', '/v1/stores/store-number-1/empty')).status, 200);
  const from = w.clock.now();
  const id = w.at('store-1').store?.id ?? 'none';
  const empty = () => w.committed?.slots.every((s) => !s.replicas.includes(id) && s.joiningReplicas.length === 0) ?? false;
  for (let i = 0; !empty() && i < 30; i++) await turns(w, p.program, i, 1);
  await w.clock.until('emptied', empty, 6000);
  assert.ok(w.clock.now() - from < 6000, `${w.clock.now() - from} ms`);
  const held = w.of('store').filter((m) => m.store?.id !== id).map((m) => m.replicaStore?.counts().items ?? 0);
  assert.ok(held.every((n) => n >= 64 * 14), held.join());
  await w.clock.run(2000);
  assert.is(w.at('store-1').replicaStore?.counts().items, 0);
});

repair.run();
