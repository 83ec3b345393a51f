/** Moves of slots between stores and owners, slow disks, and what is dropped when idle. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { World, type Machine } from '@tillerstair/sim';
import {
  assertNoBreach,
  configText,
  fiveControls,
  recordsOf,
  servers,
  small,
  worldUp,
} from '../support/world-helpers.js';
import { turns } from '../support/repair-turns.js';
import { storeIdOf } from '../support/replica-world.js';

const repair = suite('moves and growth');

const seeds = [21, 22, 23];

/** Starts one store more, and waits until it is a member as the fourth. */
const fourthStore = async (w: World): Promise<Machine> => {
  const fresh = w.add('store');
  fresh.start();
  await w.clock.until(
    'the new store',
    () => [...(w.committed?.nodes.values() ?? [])].filter((m) => m.kind === 'store').length === 4,
    20000,
  );
  return fresh;
};

const programsOf = (w: World, count: number) =>
  w.clock.finish(
    'programs',
    Promise.all(Array.from({ length: count }, () => w.program(900))),
    20000,
  );

const untilFilling = (w: World) =>
  w.clock.until(
    'filling',
    () => w.committed?.slots.some((s) => s.joiningReplicas.length > 0) ?? false,
    20000,
  );

/** One turn of each program; all must be done. */
const roundOf = async (w: World, programs: readonly string[], n: number): Promise<void> => {
  const ts = await w.clock.finish(
    'turns',
    Promise.all(programs.map((p, i) => w.turn(p, null, `e${n} #${w.seed}-${i}`, `e${n}`))),
    60000,
  );
  assert.equal(
    ts.filter((t) => t.reported !== 'done').map((t) => t.errorCode),
    [],
  );
};

repair(
  'emptying is refused with the reason when too few replicas would stay, else ends with nothing held',
  async () => {
    const w = await worldUp(seeds[0] ?? 1, small);
    const p = await w.clock.finish('program', w.program(900), 10000);
    await turns(w, p.program, 0, 3);
    const refused = await w.operate('POST', '/v1/stores/store-0/empty');
    assert.is(refused.status, 409);
    assert.match(JSON.stringify(refused.body), 'only 2 other stores would stay');
    w.add('store').start();
    await w.clock.until(
      'the new store',
      () => [...(w.committed?.nodes.values() ?? [])].filter((m) => m.kind === 'store').length === 4,
      20000,
    );
    assert.is((await w.operate('POST', '/v1/stores/store-0/empty')).status, 200);
    const old = w.at('store-0').store?.id ?? '';
    await w.clock.until(
      'half way',
      () => (w.committed?.slots.filter((s) => s.replicas.includes(old)).length ?? 9) <= 4,
      60000,
    );
    w.master?.kill('power');
    await w.clock.until(
      'emptied',
      () =>
        w.committed?.slots.every(
          (s) => !s.replicas.includes(old) && s.joiningReplicas.length === 0,
        ) ?? false,
      60000,
    );
    const status = await w.operate('GET', '/v1/status');
    assert.match(JSON.stringify(status.body), '"slotsHeld":0');
    w.at('store-0').kill();
    await turns(w, p.program, 3, 2);
    for (const t of w.reported.filter((x) => x.kind === 'turn'))
      assert.is((await w.clock.finish('fetch', w.fetch(p.program, t.turn), 30000)).text, t.text);
    assertNoBreach(recordsOf(w));
  },
);

repair('a planned move of owners refuses nothing and breaks nothing off', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const ps = await w.clock.finish(
      'programs',
      Promise.all(Array.from({ length: 6 }, () => w.program(900, w.of('front')[0]))),
      20000,
    );
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
    const drainedId = w.at('front-1').front?.id;
    assert.ok(w.committed?.slots.every((s) => s.owner !== drainedId));
    const bad = w.reported
      .filter((t) => t.reported !== 'done' && t.errorCode !== 'budget-spent')
      .map((t) => `${t.kind} ${t.reported} ${t.errorCode}`);
    assert.equal(bad, []);
    assertNoBreach(recordsOf(w));
  }
});

repair('a slow disk on one store delays nothing for long and loses nothing', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, fiveControls);
    const p = await w.clock.finish('program', w.program(900), 10000);
    const slow = w.of('store')[seed % 3];
    slow.drive.delay = 2500;
    const t0 = w.clock.now();
    await turns(w, p.program, 0, 6);
    assert.ok(w.clock.now() - t0 < 6000, `${w.clock.now() - t0} ms for six turns`);
    assertNoBreach(recordsOf(w));
  }
});

repair('stores and fronts drop what was idle longer than its keeping time, whole', async () => {
  const w = await worldUp(31, small);
  const p = await w.clock.finish('program', w.program(900), 10000);
  const [t] = await w.clock.finish(
    'turn',
    Promise.all([w.turn(p.program, null, 'x #31', 'k')]),
    10000,
  );
  const q = await w.clock.finish('program', w.program(900), 10000);
  const items = () => w.of('store').map((m) => m.replicaStore?.counts().items ?? 0);
  assert.ok(
    items().every((n) => n >= 3),
    items().join(),
  );
  for (let n = 0; n < 3; n++) {
    await w.clock.run(1200000);
    await turns(w, q.program, 100 + n, 1);
  }
  await w.clock.run(900000);
  const gone = await w.clock.finish('fetch', w.fetch(p.program, t.turn), 10000);
  assert.is(gone.errorCode, 'missing');
  const kept = w.reported.filter((x) => x.kind === 'turn' && x.program === q.program);
  for (const m of w.of('front')) m.kill();
  w.start(w.of('front'));
  await w.clock.until('fronts', () => w.readyFronts().length === 2 && w.slotsReplicated(), 20000);
  for (const x of kept)
    assert.is((await w.clock.finish('fetch', w.fetch(q.program, x.turn), 10000)).text, x.text);
});

repair(
  'a store being emptied counts until its stand-in is full: another may die in the middle',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, small);
      const ps = await programsOf(w, 24);
      const round = (n: number) =>
        roundOf(
          w,
          ps.map((p) => p.program),
          n,
        );
      await round(0);
      const fresh = await fourthStore(w);
      for (const m of ['store-0', 'store-1', 'store-2']) w.net.cut(fresh.addr, m);
      assert.is((await w.operate('POST', '/v1/stores/store-0/empty')).status, 200);
      await untilFilling(w);
      await w.clock.run(1000);
      w.at('store-1').kill('power');
      await w.clock.run(2000);
      await round(1);
      const half = w.reported.filter((t) => t.kind === 'turn');
      for (const t of half)
        assert.is((await w.clock.finish('fetch', w.fetch(t.program, t.turn), 30000)).text, t.text);
      w.net.healCuts();
      await w.clock
        .until(
          'emptied',
          () =>
            w.committed?.slots.every(
              (s) =>
                s.replicas.length === 3 &&
                s.joiningReplicas.length === 0 &&
                !s.replicas.includes(w.at('store-0').store?.id ?? ''),
            ) ?? false,
          90000,
        )
        .catch(() => -1);
      w.at('store-1').start();
      await w.clock.until(
        'settled',
        () =>
          w.committed?.slots.every(
            (s) =>
              s.joiningReplicas.length === 0 &&
              !s.replicas.includes(w.at('store-0').store?.id ?? ''),
          ) ?? false,
        90000,
      );
      w.at('store-0').kill('power');
      for (const m of w.of('front')) m.kill();
      w.start(w.of('front'));
      await w.clock.until(
        'fronts',
        () => w.readyFronts().length === 2 && w.slotsReplicated(),
        20000,
      );
      await w.clock.run(1000);
      for (const t of half)
        assert.is((await w.clock.finish('fetch', w.fetch(t.program, t.turn), 30000)).text, t.text);
      await round(2);
      assertNoBreach(recordsOf(w));
    }
  },
);

repair(
  'while a stand-in is filled a write needs both the replicas of now and the replicas of then',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, small);
      const ps = await programsOf(w, 12);
      const fresh = await fourthStore(w);
      fresh.drive.delay = 2500;
      assert.is((await w.operate('POST', '/v1/stores/store-0/empty')).status, 200);
      await untilFilling(w);
      for (const m of w.of('front'))
        for (const to of ['store-2', fresh.addr]) w.net.cut(`${m.addr}/data`, to);
      const freshId = fresh.store?.id ?? 'none';
      const going: Promise<unknown>[] = [];
      for (let i = 0; !w.committed?.slots.some((s) => s.replicas.includes(freshId)); i++) {
        assert.ok(i < 200, 'no copy was switched');
        for (const p of ps)
          going.push(w.turn(p.program, null, `j${i} #${seed}-${p.program}`, `j${i}`));
        await w.clock.run(350);
      }
      for (const m of ['store-0', 'store-1']) w.at(m).kill('power');
      w.net.healCuts();
      fresh.drive.delay = 0.2;
      await w.clock.finish('all', Promise.all(going), 60000);
      for (const m of w.of('front')) m.kill();
      w.start(w.of('front'));
      await w.clock.until('fronts', () => w.readyFronts().length === 2, 20000);
      await w.clock.run(3000);
      const done = w.reported.filter((t) => t.kind === 'turn' && t.reported === 'done');
      assert.ok(done.length > 0);
      const back = await w.clock.finish(
        'fetches',
        Promise.all(done.map((t) => w.fetch(t.program, t.turn))),
        60000,
      );
      assert.equal(back.filter((f) => f.errorCode === 'missing').length, 0);
      const open = await w.clock.finish(
        'none',
        Promise.all(ps.map((p) => w.fetch(p.program, 't-none'))),
        60000,
      );
      assert.ok(
        open.some((f) => f.errorCode === 'missing'),
        'the switched slot is open',
      );
      assertNoBreach(recordsOf(w));
    }
  },
);

/** Writes `itemsPerSlot` items of a value to each replica of each slot. */
const fillStores = async (w: World, itemsPerSlot: number, value: string): Promise<void> => {
  const writes: Promise<unknown>[] = [];
  for (const m of w.of('store'))
    for (const [n, slot] of w.committed?.slots.entries() ?? []) {
      if (!slot.replicas.includes(storeIdOf(m))) continue;
      const items = Array.from({ length: itemsPerSlot }, (_, i) => ({
        key: `k/${n}-${i}`,
        ownershipEpoch: slot.ownershipEpoch,
        seq: i,
        value,
      }));
      for (const item of items)
        writes.push(Promise.resolve(m.replicaStore?.acceptHandoff(n, [item])));
    }
  await Promise.all(writes);
};

/** Whether a store is a replica of no slot, and no slot is being filled. */
const isNoReplica = (w: World, storeId: string): boolean =>
  w.committed?.slots.every(
    (slot) => !slot.replicas.includes(storeId) && slot.joiningReplicas.length === 0,
  ) ?? false;

repair(
  'twenty megabytes in 64 slots move off a store within 6 s, and the calls meanwhile are served',
  async () => {
    const w = new World(33, { controls: 3, stores: 4, fronts: 2, slots: 64 });
    await w.startServing((base) => configText(base), servers);
    const p = await w.clock.finish('program', w.program(900), 10000);
    const filling = fillStores(w, 14, 'v'.repeat(32 << 10));
    await w.clock.finish('filling the stores', filling, 60000);
    assert.ok(
      (w.at('store-1').replicaStore?.counts().bytes ?? 0) > 20e6,
      String(w.at('store-1').replicaStore?.counts().bytes),
    );
    assert.is((await w.operate('POST', '/v1/stores/store-number-1/empty')).status, 200);
    const from = w.clock.now();
    const id = w.at('store-1').store?.id ?? 'none';
    const empty = (): boolean => isNoReplica(w, id);
    for (let i = 0; !empty() && i < 30; i++) await turns(w, p.program, i, 1);
    await w.clock.until('emptied', empty, 6000);
    assert.ok(w.clock.now() - from < 6000, `${w.clock.now() - from} ms`);
    const held = w
      .of('store')
      .filter((m) => m.store?.id !== id)
      .map((m) => m.replicaStore?.counts().items ?? 0);
    assert.ok(
      held.every((n) => n >= 64 * 14),
      held.join(),
    );
    await w.clock.run(2000);
    assert.is(w.at('store-1').replicaStore?.counts().items, 0);
  },
);

repair.run();
