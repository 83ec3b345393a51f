/** Changes of the voting controls: a voter that shuts down, fails, or is replaced. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { World, type Machine, type WorldOptions } from '@tillerstair/sim';
import { configText, restart, servers, worldUp } from '../support/world-helpers.js';

const members = suite('voting controls');
const seeds = [61, 62, 63];

/** Bounds of a small deployment: contactMs 3000, so a heartbeat interval of 500 ms and a failure timeout of 1800 ms. */
const smallSiteBounds = {
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 500,
  failureTimeout: 1800,
};
const halfCatchUpMs = 2400;
const sizes: WorldOptions = {
  controls: 3,
  stores: 3,
  fronts: 2,
  configuredBounds: smallSiteBounds,
};

const idOf = (machine: Machine | undefined): string => machine?.control?.id ?? 'none';
const currentVoters = (cluster: World): readonly string[] =>
  cluster.committed?.voters.current ?? [];

const isSettled = (cluster: World): boolean =>
  cluster.committed !== undefined &&
  cluster.committed.voters.current.join() === cluster.committed.voters.next.join();

const isListed = (cluster: World, machine: Machine): boolean =>
  cluster.committed?.nodes.has(idOf(machine)) ?? false;

const withSpare = async (seed: number): Promise<{ cluster: World; spare: Machine }> => {
  const cluster = await worldUp(seed, sizes);
  const spare = cluster.add('control');
  spare.start();
  await cluster.clock.until('the spare', () => isListed(cluster, spare), 5000);
  await cluster.clock.run(1000);
  return { cluster, spare };
};

const controlsWithout = (cluster: World, spare: Machine): readonly Machine[] =>
  cluster.of('control').filter((machine) => machine !== spare);

const assertServes = async (cluster: World): Promise<void> => {
  await cluster.clock.until('a master', () => cluster.master !== undefined, 8000);
  const read = await cluster.operate('GET', '/v1/config');
  assert.is(read.status, 200);
  const put = await cluster.operate(
    'PUT',
    '/v1/config',
    configText(
      cluster.committed?.config?.version ?? 0,
      'models',
      'shop',
      seeds.length + cluster.seed,
    ),
  );
  assert.is(put.status, 200, JSON.stringify(put));
};

members(
  'a voter that shuts down, master or not, is replaced by a live spare within three heartbeats',
  async () => {
    for (const seed of seeds)
      for (const isMaster of [false, true]) {
        const { cluster, spare } = await withSpare(seed);
        const oldVoter = controlsWithout(cluster, spare).find(
          (machine) => (machine === cluster.master) === isMaster,
        );
        const oldId = idOf(oldVoter);
        await cluster.clock.finish('stop', oldVoter?.stopGracefully() ?? Promise.resolve(), 3000);
        await cluster.clock.until(
          'the new voter',
          () => currentVoters(cluster).includes(idOf(spare)) && isSettled(cluster),
          smallSiteBounds.heartbeatInterval * 3,
        );
        assert.not(currentVoters(cluster).includes(oldId));
        assert.is(currentVoters(cluster).length, 3);
      }
  },
);

members('a voter that restarts stays a voter if there is no spare', async () => {
  for (const seed of seeds) {
    const cluster = await worldUp(seed, sizes);
    for (const machine of [...cluster.of('control')]) {
      const before = currentVoters(cluster);
      await cluster.clock.finish('stop', machine.stopGracefully(), 3000);
      await cluster.clock.run(2000);
      machine.start();
      await cluster.clock.until('back', () => isListed(cluster, machine), 6000);
      await cluster.clock.run(1000);
      assert.equal(currentVoters(cluster), before);
    }
    await assertServes(cluster);
  }
});

members(
  'a rolling restart with a spare keeps three voters throughout, and all three are live at its end',
  async () => {
    for (const seed of seeds) {
      const { cluster } = await withSpare(seed);
      for (const machine of [...cluster.of('control')]) {
        await cluster.clock.finish('stop', machine.stopGracefully(), 3000);
        await cluster.clock.run(1500);
        machine.start();
        await cluster.clock.until(
          'back',
          () => isListed(cluster, machine) && isSettled(cluster),
          6000,
        );
        assert.is(currentVoters(cluster).length, 3);
        await cluster.clock.run(500);
      }
      assert.ok(currentVoters(cluster).every((id) => cluster.committed?.nodes.has(id)));
      await assertServes(cluster);
    }
  },
);

members('after a planned replacement the loss of another voter leaves a majority', async () => {
  for (const seed of seeds)
    for (const isMaster of [false, true]) {
      const { cluster, spare } = await withSpare(seed);
      const oldVoter = controlsWithout(cluster, spare).find(
        (machine) => (machine === cluster.master) === isMaster,
      );
      await cluster.clock.finish('stop', oldVoter?.stopGracefully() ?? Promise.resolve(), 3000);
      oldVoter?.drive.wipe();
      await cluster.clock.run(1000);
      const otherVoter = controlsWithout(cluster, spare).find((machine) => machine !== oldVoter);
      otherVoter?.kill('power');
      otherVoter?.drive.wipe();
      await assertServes(cluster);
    }
});

members(
  'an unplanned replacement at another address is a voter within half of catchUpS, and a second loss leaves a majority',
  async () => {
    for (const seed of seeds)
      for (const [startAfterMs, diskDelayMs] of [
        [0, 2],
        [300, 12],
        [1000, 2],
        [3000, 12],
      ] as const) {
        const cluster = await worldUp(seed, sizes);
        const oldVoter = cluster.of('control').find((machine) => machine !== cluster.master);
        oldVoter?.kill('power');
        oldVoter?.drive.wipe();
        cluster.net.cutBoth(
          [oldVoter?.addr ?? ''],
          cluster.machines.map((machine) => machine.addr),
        );
        await cluster.clock.run(startAfterMs);
        const replacement = cluster.add('control');
        replacement.drive.delay = diskDelayMs;
        replacement.start();
        const startedAt = cluster.clock.now();
        await cluster.clock.until(
          'the new voter',
          () => currentVoters(cluster).includes(idOf(replacement)) && isSettled(cluster),
          20000,
        );
        assert.ok(
          cluster.clock.now() - startedAt <= halfCatchUpMs,
          `${startAfterMs} ms after the loss, disk ${diskDelayMs} ms: ${Math.round(cluster.clock.now() - startedAt)} ms`,
        );
        const otherVoter = cluster
          .of('control')
          .find((machine) => machine !== oldVoter && machine !== replacement);
        otherVoter?.kill('power');
        await assertServes(cluster);
      }
  },
);

members('a spare that has not synced the newest state does not become a voter', async () => {
  for (const seed of seeds) {
    const cluster = await worldUp(seed, sizes);
    const spare = cluster.add('control');
    cluster.net.onMessage = (message) => {
      if (message.kind === 'zen/publish' && message.to === spare.addr) spare.drive.delay = 1e9;
    };
    spare.start();
    await cluster.clock.until('the spare', () => isListed(cluster, spare), 5000);
    const lost = cluster
      .of('control')
      .find((machine) => machine !== cluster.master && machine !== spare);
    const lostId = idOf(lost);
    lost?.kill('power');
    await cluster.clock.run(12000);
    assert.ok(
      currentVoters(cluster).includes(lostId),
      'the spare became a voter without the newest state',
    );
    assert.not(cluster.committed?.voters.next.includes(idOf(spare)));
  }
});

members(
  'the operator cannot make a control a voter before it has synced the newest state',
  async () => {
    const cluster = await worldUp(64, sizes);
    const spare = cluster.add('control');
    cluster.net.onMessage = (message) => {
      if (message.kind === 'zen/publish' && message.to === spare.addr) spare.drive.delay = 1e9;
    };
    spare.start();
    await cluster.clock.until('the spare', () => isListed(cluster, spare), 5000);
    const put = await cluster.operate('POST', `/v1/controls/${idOf(spare)}`);
    assert.is(put.status, 409, JSON.stringify(put));
  },
);

members('a change of voters completes even if the master fails during it', async () => {
  for (const seed of seeds)
    for (const killAfterMs of [0, 1, 2, 4, 8, 16, 32]) {
      const { cluster, spare } = await withSpare(seed);
      const master = cluster.master;
      const oldVoter = controlsWithout(cluster, spare).find((machine) => machine !== master);
      void oldVoter?.stopGracefully();
      await cluster.clock.run(killAfterMs);
      master?.kill('power');
      await cluster.clock.run(1000);
      master?.start();
      await cluster.clock.until(
        'a settled voting configuration',
        () =>
          isSettled(cluster) &&
          currentVoters(cluster).includes(idOf(spare)) &&
          !currentVoters(cluster).includes(idOf(oldVoter)),
        20000,
      );
      assert.is(currentVoters(cluster).length, 3);
      await assertServes(cluster);
    }
});

members('after a replacement, acknowledged changes survive a restart of the cluster', async () => {
  for (const seed of seeds) {
    const { cluster, spare } = await withSpare(seed);
    const oldVoter = controlsWithout(cluster, spare).find((machine) => machine !== cluster.master);
    oldVoter?.kill('power');
    await cluster.clock.until(
      'the new voter',
      () => currentVoters(cluster).includes(idOf(spare)) && isSettled(cluster),
      20000,
    );
    cluster.remove(oldVoter ?? spare);
    const put = await cluster.operate('PUT', '/v1/config', configText(1, 'models', 'shop', 3));
    assert.is(put.status, 200);
    await restart(cluster);
    assert.is(cluster.committed?.config?.version, 2);
    assert.is(cluster.committed?.servers.size, servers.length);
  }
});

members.run();
