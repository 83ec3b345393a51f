/** Changes of the voting controls: a voter that stops in order, one that is lost, one that is replaced. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { World, type Machine, type WorldOptions } from '@tillerstair/sim';
import { configText, restart, servers, worldUp } from '../support/world-helpers.js';

const members = suite('voting controls');
const seeds = [61, 62, 63];

/** The bounds of the small sites: contactMs 3000, so heartbeats of 500 ms and a failure timeout of 1800 ms. */
const siteBounds = {
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 500,
  failureTimeout: 1800,
};
const halfCatchUp = 2400;
const sizes: WorldOptions = { controls: 3, stores: 3, fronts: 2, configuredBounds: siteBounds };

const idOf = (m: Machine | undefined): string => m?.control?.id ?? 'none';
const votersNow = (w: World): readonly string[] => w.committed?.voters.current ?? [];

const settled = (w: World): boolean =>
  w.committed !== undefined && w.committed.voters.current.join() === w.committed.voters.next.join();

const listed = (w: World, m: Machine): boolean => w.committed?.nodes.has(idOf(m)) ?? false;

const withSpare = async (seed: number): Promise<{ w: World; spare: Machine }> => {
  const w = await worldUp(seed, sizes);
  const spare = w.add('control');
  spare.start();
  await w.clock.until('the spare', () => listed(w, spare), 5000);
  await w.clock.run(1000);
  return { w, spare };
};

const others = (w: World, spare: Machine): readonly Machine[] =>
  w.of('control').filter((m) => m !== spare);

const assertServes = async (w: World): Promise<void> => {
  await w.clock.until('a master', () => w.master !== undefined, 8000);
  const got = await w.operate('GET', '/v1/config');
  assert.is(got.status, 200);
  const put = await w.operate(
    'PUT',
    '/v1/config',
    configText(w.committed?.config?.version ?? 0, 'models', 'shop', seeds.length + w.seed),
  );
  assert.is(put.status, 200, JSON.stringify(put));
};

members(
  'a voter that stops in order passes its vote to a live spare at once, also when it leads',
  async () => {
    for (const seed of seeds)
      for (const leads of [false, true]) {
        const { w, spare } = await withSpare(seed);
        const old = others(w, spare).find((m) => (m === w.master) === leads);
        const oldId = idOf(old);
        await w.clock.finish('stop', old?.stopGracefully() ?? Promise.resolve(), 3000);
        await w.clock.until(
          'voted in',
          () => votersNow(w).includes(idOf(spare)) && settled(w),
          siteBounds.heartbeatInterval * 3,
        );
        assert.not(votersNow(w).includes(oldId));
        assert.is(votersNow(w).length, 3);
      }
  },
);

members('a voter that restarts keeps its vote where there is no spare', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, sizes);
    for (const m of [...w.of('control')]) {
      const before = votersNow(w);
      await w.clock.finish('stop', m.stopGracefully(), 3000);
      await w.clock.run(2000);
      m.start();
      await w.clock.until('back', () => listed(w, m), 6000);
      await w.clock.run(1000);
      assert.equal(votersNow(w), before);
    }
    await assertServes(w);
  }
});

members(
  'a rolling restart with a spare never has fewer than three voters, and ends with three that live',
  async () => {
    for (const seed of seeds) {
      const { w } = await withSpare(seed);
      for (const m of [...w.of('control')]) {
        await w.clock.finish('stop', m.stopGracefully(), 3000);
        await w.clock.run(1500);
        m.start();
        await w.clock.until('back', () => listed(w, m) && settled(w), 6000);
        assert.is(votersNow(w).length, 3);
        await w.clock.run(500);
      }
      assert.ok(votersNow(w).every((id) => w.committed?.nodes.has(id)));
      await assertServes(w);
    }
  },
);

members('after a planned replacement the loss of another voter leaves a majority', async () => {
  for (const seed of seeds)
    for (const leads of [false, true]) {
      const { w, spare } = await withSpare(seed);
      const old = others(w, spare).find((m) => (m === w.master) === leads);
      await w.clock.finish('stop', old?.stopGracefully() ?? Promise.resolve(), 3000);
      old?.drive.wipe();
      await w.clock.run(1000);
      const next = others(w, spare).find((m) => m !== old);
      next?.kill('power');
      next?.drive.wipe();
      await assertServes(w);
    }
});

members(
  'an unplanned replacement at another address votes within half of catchUpS, and a second loss leaves a majority',
  async () => {
    for (const seed of seeds)
      for (const [after, delay] of [
        [0, 2],
        [300, 12],
        [1000, 2],
        [3000, 12],
      ] as const) {
        const w = await worldUp(seed, sizes);
        const old = w.of('control').find((m) => m !== w.master);
        old?.kill('power');
        old?.drive.wipe();
        w.net.cutBoth(
          [old?.addr ?? ''],
          w.machines.map((m) => m.addr),
        );
        await w.clock.run(after);
        const fresh = w.add('control');
        fresh.drive.delay = delay;
        fresh.start();
        const from = w.clock.now();
        await w.clock.until(
          'voted in',
          () => votersNow(w).includes(idOf(fresh)) && settled(w),
          20000,
        );
        assert.ok(
          w.clock.now() - from <= halfCatchUp,
          `${after} ms after the loss, disk ${delay} ms: ${Math.round(w.clock.now() - from)} ms`,
        );
        const next = w.of('control').find((m) => m !== old && m !== fresh);
        next?.kill('power');
        await assertServes(w);
      }
  },
);

members('a spare that has not synced the newest state is not voted in', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, sizes);
    const spare = w.add('control');
    w.net.onMessage = (m) => {
      if (m.kind === 'zen/publish' && m.to === spare.addr) spare.drive.delay = 1e9;
    };
    spare.start();
    await w.clock.until('the spare', () => listed(w, spare), 5000);
    const lost = w.of('control').find((m) => m !== w.master && m !== spare);
    const lostId = idOf(lost);
    lost?.kill('power');
    await w.clock.run(12000);
    assert.ok(votersNow(w).includes(lostId), 'the spare that lacks the state was voted in');
    assert.not(w.committed?.voters.next.includes(idOf(spare)));
  }
});

members('the operator cannot vote in a control that has not synced the newest state', async () => {
  const w = await worldUp(64, sizes);
  const spare = w.add('control');
  w.net.onMessage = (m) => {
    if (m.kind === 'zen/publish' && m.to === spare.addr) spare.drive.delay = 1e9;
  };
  spare.start();
  await w.clock.until('the spare', () => listed(w, spare), 5000);
  const put = await w.operate('POST', `/v1/controls/${idOf(spare)}`);
  assert.is(put.status, 409, JSON.stringify(put));
});

members(
  'a change of voters is settled by both majorities, also when the master dies in between',
  async () => {
    for (const seed of seeds)
      for (const at of [0, 1, 2, 4, 8, 16, 32]) {
        const { w, spare } = await withSpare(seed);
        const master = w.master;
        const old = others(w, spare).find((m) => m !== master);
        void old?.stopGracefully();
        await w.clock.run(at);
        master?.kill('power');
        await w.clock.run(1000);
        master?.start();
        await w.clock.until(
          'settled',
          () =>
            settled(w) && votersNow(w).includes(idOf(spare)) && !votersNow(w).includes(idOf(old)),
          20000,
        );
        assert.is(votersNow(w).length, 3);
        await assertServes(w);
      }
  },
);

members('after a replacement all that was taken outlives a full stop', async () => {
  for (const seed of seeds) {
    const { w, spare } = await withSpare(seed);
    const old = others(w, spare).find((m) => m !== w.master);
    old?.kill('power');
    await w.clock.until('voted in', () => votersNow(w).includes(idOf(spare)) && settled(w), 20000);
    w.remove(old ?? spare);
    const put = await w.operate('PUT', '/v1/config', configText(1, 'models', 'shop', 3));
    assert.is(put.status, 200);
    await restart(w);
    assert.is(w.committed?.config?.version, 2);
    assert.is(w.committed?.servers.size, servers.length);
  }
});

members.run();
