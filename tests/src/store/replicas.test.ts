/** Replicas of the slots: two losses at once, zones, a late store, a filler that is gone. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { marginLines, isMarginFull } from '@tillerstair/ctl';
import {
  allocate,
  bootstrapState,
  MarginReport,
  reduceState,
  replicationFor,
  type Member,
  type State,
} from '@tillerstair/state';
import { worldUp } from '../support/world-helpers.js';
import {
  twoLosses,
  oneLoss,
  storeIdOf,
  wipe,
  whole,
  work,
  assertKept,
  ownersAnew,
} from '../support/replica-world.js';

const replicas = suite('replicas');

const seeds = [71, 72, 73];

replicas('replicas and quorum follow the losses to bear, and stand in the state', async () => {
  const w = await worldUp(70, twoLosses);
  assert.equal(w.committed?.replication, { replicas: 5, quorum: 3 });
  assert.ok(w.committed?.slots.every((s) => s.replicas.length === 5));
  assert.equal(w.of('store')[0]?.store?.zen.applied?.replication, { replicas: 5, quorum: 3 });
  const plain = await worldUp(70, oneLoss);
  assert.equal(plain.committed?.replication, { replicas: 3, quorum: 2 });
});

replicas('two losses to bear: a write that only two stores hold does not count', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, { ...twoLosses, stores: 5 });
    const p = await w.clock.finish('program', w.program(900), 10000);
    const data = w.of('front').map((m) => `${m.addr}/data`);
    w.net.cutBoth(
      w
        .of('store')
        .slice(0, 3)
        .map((m) => m.addr),
      data,
    );
    const t = await w.clock.finish('turn', w.turn(p.program, null, `c #${seed}`, 'c'), 60000);
    assert.is.not(t.reported, 'done');
  }
});

replicas(
  'two losses to bear: two stores wiped right after acknowledged writes lose nothing and run nothing twice',
  async () => {
    for (const seed of [...seeds, 74, 75, 76]) {
      const w = await worldUp(seed, twoLosses);
      await work(w, 'w');
      const a = Math.floor(w.rng() * 7);
      const b = (a + 1 + Math.floor(w.rng() * 6)) % 7;
      const lost = [w.of('store')[a], w.of('store')[b]];
      const ids = lost.map(storeIdOf);
      for (const m of lost) wipe(m);
      await ownersAnew(w);
      for (const m of lost) m.start();
      const from = w.clock.now();
      await w.clock.until('whole again', () => whole(w, ids), 20000);
      assert.ok(w.clock.now() - from < 4800, `${Math.round(w.clock.now() - from)} ms`);
      await assertKept(w, 'w');
      for (const m of w
        .of('store')
        .filter((x) => !lost.includes(x))
        .slice(0, 2))
        wipe(m);
      await ownersAnew(w);
      await w.clock.run(2000);
      await assertKept(w, 'w');
    }
  },
);

replicas('a lost zone leaves every slot a quorum where zones allow it', () => {
  const member = (kind: Member['kind'], n: number, zone: string): Member => ({
    id: `${kind}-${n}`,
    kind,
    addr: `10.0.0.${n}:1`,
    http: '',
    zone,
    data: '',
    name: '',
  });
  for (const [losses, zones] of [
    [2, ['a', 'a', 'a', 'a', 'b', 'b', 'c', 'c']],
    [3, ['a', 'a', 'a', 'a', 'b', 'b', 'c', 'c', 'd', 'd']],
    [1, ['a', 'a', 'b', 'c']],
  ] as const) {
    const stores = zones.map((z, n) => member('store', n, z));
    const bootstrapped = bootstrapState(
      'c',
      [member('control', 1, 'a')],
      32,
      replicationFor(losses),
    );
    const joined = [member('front', 1, 'a'), ...stores].reduce<State>(
      (s, m) => reduceState(s, { kind: 'join', member: m }),
      bootstrapped,
    );
    const s = allocate(joined, {
      minStores: bootstrapped.replication.replicas,
      maxMoves: 32,
      maxFills: 32,
      unresponsiveStores: new Set(),
    });
    for (const slot of s.slots)
      for (const zone of new Set(zones)) {
        const left = slot.replicas.filter((id) => s.nodes.get(id)?.zone !== zone).length;
        assert.ok(left >= s.replication.quorum, `${slot.replicas.join()} without ${zone}`);
      }
  }
});

replicas(
  'a store that is missing at the first start does not keep the others from serving, and is taken in later',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, { ...twoLosses, stores: 4 });
      assert.ok(w.committed?.slots.every((s) => s.replicas.length === 4));
      await work(w, 'm');
      w.add('store').start();
      await w.clock.until('whole', () => whole(w), 10000);
      for (const m of w.of('store').slice(0, 2)) wipe(m);
      await ownersAnew(w);
      await w.clock.run(2000);
      await assertKept(w, 'm');
    }
  },
);

replicas('fewer stores than the quorum are never served from', async () => {
  const w = await worldUp(77, { ...twoLosses, stores: 2 }).catch(() => undefined);
  assert.is(w, undefined);
});

replicas(
  'the margin tells how many more losses are borne, and nothing without a majority',
  async () => {
    const w = await worldUp(80, twoLosses);
    const margin = async () => MarginReport.parse((await w.operate('GET', '/v1/margin')).body);
    const before = await margin();
    assert.equal(before.voters, { voting: 5, live: 5, changing: false, margin: 2 });
    assert.is(before.leastSlotMargin, 2);
    assert.ok(isMarginFull(before));
    assert.equal(marginLines(before), [
      'voting controls: 5 of 5 live: 2 more losses are borne',
      'slots: 8, 5 replicas each, writes on 3: 2 more losses are borne',
    ]);
    const lost = storeIdOf(w.at('store-2'));
    wipe(w.at('store-2'));
    w.of('control')
      .find((m) => m !== w.master)
      ?.kill('power');
    const after = await margin();
    assert.is(after.voters.margin, 1);
    assert.is(after.leastSlotMargin, 1);
    assert.not(isMarginFull(after));
    const held = w.committed?.slots.filter((s) => s.replicas.length === 5).length ?? 0;
    assert.ok(marginLines(after).length > 2 && marginLines(after).length <= 2 + held);
    await w.clock.until('whole again', () => whole(w, [lost]), 20000);
    assert.is((await margin()).leastSlotMargin, 2);
    for (const m of w.of('control')) if (m !== w.master) m.kill('power');
    assert.is((await w.operate('GET', '/v1/margin')).status, 503);
  },
);

replicas('a filler that is gone for good is replaced by another one', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, { ...oneLoss, stores: 3 });
    await work(w, 'f');
    const filler = w.add('store');
    filler.drive.delay = 400;
    filler.start();
    await w.clock.until(
      'listed',
      () => [...(w.committed?.nodes.values() ?? [])].filter((m) => m.kind === 'store').length === 4,
      8000,
    );
    const lost = w.at('store-0');
    const lostId = storeIdOf(lost);
    wipe(lost);
    await w.clock.until(
      'filling',
      () => w.committed?.slots.some((s) => s.joiningReplicas.includes(storeIdOf(filler))) ?? false,
      10000,
    );
    wipe(filler);
    w.add('store').start();
    await w.clock.until('whole', () => whole(w, [lostId]), 10000);
    wipe(w.at('store-1'));
    await ownersAnew(w);
    await w.clock.run(2000);
    await assertKept(w, 'f');
  }
});

replicas(
  'an empty store that replaces a lost one at another address holds every slot within half of catchUpS, slow disks too',
  async () => {
    const halfCatchUp = 2400;
    for (const [after, delay] of [
      [1000, 2],
      [1500, 12],
      [4000, 12],
    ] as const) {
      const w = await worldUp(81, { ...oneLoss, stores: 3, slots: 64 });
      await work(w, 'a');
      for (const m of w.of('store')) m.drive.delay = delay;
      const old = w.at('store-0');
      const lostId = storeIdOf(old);
      wipe(old);
      w.net.cutBoth(
        [old.addr],
        w.machines.map((m) => m.addr),
      );
      await w.clock.run(after);
      const fresh = w.add('store');
      fresh.drive.delay = delay;
      fresh.start();
      const from = w.clock.now();
      await w.clock.until('whole', () => whole(w, [lostId]), 20000);
      assert.ok(
        w.clock.now() - from <= halfCatchUp,
        `${after} ms after the loss, disk ${delay} ms: ${Math.round(w.clock.now() - from)} ms`,
      );
      wipe(w.at('store-1'));
      await ownersAnew(w);
      await w.clock.run(2000);
      await assertKept(w, 'a');
    }
  },
);

replicas(
  'a try that nobody knows is called unknown while every slot has enough replies, and not with fewer',
  async () => {
    const w = await worldUp(82, { ...twoLosses, stores: 5 });
    const owner = w.of('front')[0]?.front?.owner;
    const look = () =>
      w.clock.finish(
        'look-up',
        owner?.findTurn('nobody').then(
          (t) => `${t.length} found`,
          () => 'unavailable',
        ) ?? Promise.resolve(''),
        20000,
      );
    assert.is(await look(), '0 found');
    for (const m of w.of('store').slice(0, 2)) m.kill('power');
    assert.is(await look(), '0 found');
    w.of('store')[2]?.kill('power');
    assert.is(await look(), 'unavailable');
  },
);

replicas.run();
