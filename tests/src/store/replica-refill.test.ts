/** Stores and controls that were away or lost their disk are made whole again. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { ReplyRecord } from '@tillerstair/checker';
import { World, type Machine } from '@tillerstair/sim';
import {
  assertNoBreach,
  configText,
  recordsOf,
  servers,
  small,
  worldUp,
} from '../support/world-helpers.js';
import { turns } from '../support/repair-turns.js';

const refill = suite('refill of stores and controls');

const seeds = [21, 22, 23];

const loseAndReadAll = async (
  w: World,
  store: Machine | undefined,
  program: string,
): Promise<void> => {
  store?.kill('power');
  store?.drive.wipe();
  for (const m of w.of('front')) m.kill();
  w.start(w.of('front'));
  await w.clock.until('fronts', () => w.readyFronts().length === 2 && w.slotsReplicated(), 20000);
  for (const t of w.reported.filter((x) => x.kind === 'turn' && x.program === program))
    assert.is((await w.clock.finish('fetch', w.fetch(program, t.turn), 30000)).text, t.text);
  assertNoBreach(recordsOf(w));
};

refill(
  'a store that was away gets what it missed from hints, and can then stand in for a lost one',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, small);
      const p = await w.clock.finish('program', w.program(900), 10000);
      const [a, b, c] = w.of('store');
      a.kill('power');
      await w.clock.run(4000);
      await turns(w, p.program, 0, 5);
      const hints = [b, c].reduce((n, m) => n + (m.replicaStore?.counts().hints ?? 0), 0);
      assert.ok(hints >= 5, `${hints} hints`);
      a.start();
      await w.clock.until(
        'hand-over',
        () =>
          [b, c].every((m) => m.replicaStore?.counts().hints === 0) &&
          (a.replicaStore?.counts().items ?? 0) >= 6,
        20000,
      );
      await loseAndReadAll(w, b, p.program);
    }
  },
);

refill('an empty store counts in no quorum until it is refilled', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const p = await w.clock.finish('program', w.program(900), 10000);
    await turns(w, p.program, 0, 4);
    const [a, b] = w.of('store');
    a.kill('power');
    a.drive.wipe();
    a.start();
    const id = () => a.store?.id ?? 'none';
    await w.clock.until(
      'taken in',
      () => w.committed?.slots.some((s) => s.joiningReplicas.includes(id())) ?? false,
      30000,
    );
    const slots = w.committed?.slots ?? [];
    assert.ok(
      slots.filter((s) => s.joiningReplicas.length > 0).length <= slots.length / 2,
      'throttled',
    );
    await w.clock.until(
      'refilled',
      () =>
        w.committed?.slots.every(
          (s) => s.replicas.includes(id()) && s.joiningReplicas.length === 0,
        ) ?? false,
      60000,
    );
    await loseAndReadAll(w, b, p.program);
  }
});

refill(
  'a store that is being filled opens no slot, so what it lacks is not called missing',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, small);
      const ps = await w.clock.finish(
        'programs',
        Promise.all(Array.from({ length: 24 }, () => w.program(900))),
        20000,
      );
      const data = w.of('front').map((m) => `${m.addr}/data`);
      w.net.cutBoth(['store-1'], [...data, 'store-0', 'store-2']);
      const ts = await w.clock.finish(
        'turns',
        Promise.all(ps.map((p, i) => w.turn(p.program, null, `h #${seed}-${i}`, 'k'))),
        60000,
      );
      assert.ok(ts.every((t) => t.reported === 'done'));
      const a = w.at('store-0');
      a.kill('power');
      a.drive.wipe();
      for (const m of w.of('front')) m.kill();
      w.net.healCuts();
      w.net.cutBoth(['store-2'], [...data, 'store-0', 'store-1']);
      a.start();
      w.start(w.of('front'));
      await w.clock.until(
        'filling',
        () => w.committed?.slots.some((s) => s.joiningReplicas.length > 0) ?? false,
        30000,
      );
      await w.clock.until('fronts', () => w.readyFronts().length === 2, 20000);
      await w.clock.run(4000);
      for (const t of ts) {
        const f = await w.clock.finish('fetch', w.fetch(t.program, t.turn), 30000);
        assert.is.not(f.errorCode, 'missing');
      }
      w.net.healCuts();
      await w.clock.until(
        'refilled',
        () =>
          w.committed?.slots.every(
            (s) => s.joiningReplicas.length === 0 && s.replicas.includes(a.store?.id ?? ''),
          ) ?? false,
        60000,
      );
      await w.clock.run(2000);
      for (const t of ts)
        assert.is((await w.clock.finish('fetch', w.fetch(t.program, t.turn), 30000)).text, t.text);
    }
  },
);

refill('with two disks lost at once history is unavailable, never missing', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const p = await w.clock.finish('program', w.program(900), 10000);
    await turns(w, p.program, 0, 2);
    for (const m of w.of('store').slice(0, 2)) {
      m.kill('power');
      m.drive.wipe();
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

refill(
  'sessions of megabytes move in pages: takeover, refill and rewriting stay small and lose nothing',
  async () => {
    const w = await worldUp(29, small);
    const p = await w.clock.finish('program', w.program(1000), 10000);
    const q = await w.clock.finish('program', w.program(900), 10000);
    let after: string | null = null;
    for (let i = 0; i < 60; i++) {
      const words = `${'long history '.repeat(3000)} #29-${i}`;
      const parent: string | null = i % 20 === 0 ? null : after;
      const t: ReplyRecord = await w.clock.finish(
        'turn',
        w.turn(p.program, parent, words, `b${i}`),
        30000,
      );
      assert.is(t.reported, 'done', t.errorCode);
      after = t.turn;
    }
    w.net.largestMessages.clear();
    const store = w.of('store')[0];
    store.kill('power');
    store.drive.wipe();
    for (const m of w.of('front')) m.kill();
    w.start(w.of('front'));
    await w.clock.until('fronts', () => w.readyFronts().length === 2 && w.slotsReplicated(), 20000);
    const other = await w.clock.finish(
      'other slot',
      w.turn(q.program, null, 'short #29', 'q'),
      5000,
    );
    assert.is(other.reported, 'done');
    store.start();
    const id = () => store.store?.id ?? 'none';
    await w.clock.until(
      'refilled',
      () =>
        w.committed?.slots.every(
          (s) => s.replicas.includes(id()) && s.joiningReplicas.length === 0,
        ) ?? false,
      90000,
    );
    for (const kind of ['store/fence', 'store/pull', 'store/put', 'store/hand'])
      assert.ok(
        (w.net.largestMessages.get(kind) ?? 0) < 1 << 19,
        `${kind} ${w.net.largestMessages.get(kind) ?? 0}`,
      );
    assert.ok((w.net.largestMessages.get('store/pull') ?? 0) > 1 << 16);
    await loseAndReadAll(w, w.of('store')[1], p.program);
  },
);

refill(
  'hints that could not be kept cost nothing when the disks of both others go one after the other',
  async () => {
    for (const seed of seeds) {
      const w = new World(seed, small);
      w.hintsMost = 0;
      await w.startServing((base) => configText(base), servers);
      const p = await w.clock.finish('program', w.program(900), 10000);
      const [a, b, c] = w.of('store');
      a.kill('power');
      await w.clock.run(1500);
      await turns(w, p.program, 0, 5);
      assert.equal(
        [b, c].map((m) => m.replicaStore?.counts().hints),
        [0, 0],
      );
      a.start();
      await w.clock.run(2000);
      b.kill('power');
      b.drive.wipe();
      b.start();
      const id = () => b.store?.id ?? 'none';
      await w.clock.until(
        'refilled',
        () =>
          w.committed?.slots.every(
            (s) => s.replicas.includes(id()) && s.joiningReplicas.length === 0,
          ) ?? false,
        60000,
      );
      await w.clock.run(1000);
      await loseAndReadAll(w, c, p.program);
    }
  },
);

refill('a control that lost its disk is replaced at once, at any master', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    for (const m of w.of('control')) {
      const old = m.control?.id ?? 'none';
      m.kill('power');
      m.drive.wipe();
      if (seed === 22) await w.clock.run(1000);
      m.start();
      const from = w.clock.now();
      await w.clock.until(
        'a voter again',
        () => w.committed?.voters.current.includes(m.control?.id ?? 'none') ?? false,
        20000,
      );
      assert.ok(
        w.clock.now() - from < w.bounds.replicaReplacementDelay,
        `${w.clock.now() - from} ms`,
      );
      assert.not(w.committed?.voters.next.includes(old));
      assert.is(w.committed?.voters.current.length, 3);
      await w.clock.run(2000);
    }
    const put = await w.operate('PUT', '/v1/config', configText(1));
    assert.is(put.status, 200);
  }
});

refill('a store that lost its disk holds every slot again within 4.8 s of its start', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const ps = await w.clock.finish(
      'programs',
      Promise.all(Array.from({ length: 24 }, () => w.program(900))),
      20000,
    );
    const ts = await w.clock.finish(
      'turns',
      Promise.all(ps.map((p, i) => w.turn(p.program, null, `q #${seed}-${i}`, 'k'))),
      60000,
    );
    assert.ok(ts.every((t) => t.reported === 'done'));
    const a = w.at('store-0');
    a.kill('power');
    a.drive.wipe();
    if (seed === 22) await w.clock.run(1000);
    a.start();
    const id = () => a.store?.id ?? 'none';
    await w.clock.until(
      'refilled',
      () =>
        w.committed?.slots.every(
          (s) => s.replicas.includes(id()) && s.joiningReplicas.length === 0,
        ) ?? false,
      4800,
    );
    await loseAndReadAll(w, w.of('store')[1], ps[0]?.program ?? '');
    for (const x of ts)
      assert.is((await w.clock.finish('fetch', w.fetch(x.program, x.turn), 30000)).text, x.text);
  }
});

refill.run();
