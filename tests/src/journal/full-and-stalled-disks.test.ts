/** Clusters whose controls or stores have full or stalled disks. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Machine, World } from '@tillerstair/sim';
import { PingResponse } from '@tillerstair/zen';
import { configText, fiveControls, small, worldUp } from '../support/world-helpers.js';

const disk = suite('full and stalled disks');
const seeds = [1, 2, 3, 4, 5];

type DiskFault = 'full' | 'stalled';

/** The machine of the master. @throws Error without a master. */
const masterOf = (cluster: World): Machine => {
  const machine = cluster.master;
  if (!machine) throw new Error('the cluster has no master');
  return machine;
};

/** Puts a configuration based on version `base`, at the master or at `target`. */
const putConfig = (cluster: World, base: number, target?: Machine) =>
  cluster.operate('PUT', '/v1/config', configText(base, 'models', 'shop', base), target, 8000);

/** The version of the configuration that a control has applied; 0 without one. */
const configVersion = (machine: Machine): number =>
  machine.control?.zen.applied?.config?.version ?? 0;

/**
 * Starts a configuration change at the faulty disk. Its response is ignored, since the master may step down meanwhile.
 */
const startConfigChange = (cluster: World, oldMaster: Machine): void => {
  const node = oldMaster.control;
  if (!node) throw new Error(`no control runs on ${oldMaster.name}`);
  void node
    .operate({
      method: 'PUT',
      path: '/v1/config',
      body: configText(configVersion(oldMaster), 'models', 'shop', 9),
    })
    .catch(() => undefined);
};

for (const fault of ['full', 'stalled'] as const satisfies readonly DiskFault[])
  disk(
    `a master whose disk is ${fault} for 6 s is replaced within the failure timeout, and follows once the disk works again`,
    async () => {
      for (const seed of seeds) {
        const cluster = await worldUp(seed, small);
        const oldMaster = masterOf(cluster);
        const oldId = oldMaster.control?.id;
        oldMaster.drive[fault] = true;
        const faultAt = cluster.clock.now();
        startConfigChange(cluster, oldMaster);
        await cluster.clock.until(
          'another master',
          () => cluster.master !== undefined && cluster.master !== oldMaster,
          12000,
        );
        const elapsedMs = cluster.clock.now() - faultAt;
        assert.ok(elapsedMs < cluster.bounds.failureTimeout, `seed ${seed}: took ${elapsedMs} ms`);
        const newMaster = masterOf(cluster);
        const response = await putConfig(cluster, configVersion(newMaster), newMaster);
        assert.is(response.status, 200, `seed ${seed}: ${JSON.stringify(response)}`);
        assert.is(oldMaster.control?.zen.leading, undefined);
        await cluster.clock.run(Math.max(0, faultAt + 6000 - cluster.clock.now()));
        oldMaster.drive[fault] = false;
        const master = masterOf(cluster);
        await cluster.clock.until(
          'the old master to follow',
          () =>
            oldMaster.control?.zen.knownMaster?.id === master.control?.id &&
            configVersion(oldMaster) === configVersion(master),
          cluster.bounds.failureTimeout,
        );
        assert.is((await putConfig(cluster, configVersion(master))).status, 200);
        await cluster.clock.until(
          'all controls to have the newest configuration',
          () =>
            cluster
              .of('control')
              .every((machine) => configVersion(machine) === configVersion(master)),
          2000,
        );
        assert.is(oldMaster.control?.id, oldId);
        assert.ok(oldMaster.up, oldMaster.startError);
        assert.is(cluster.masters().length, 1);
      }
    },
  );

for (const fault of ['full', 'stalled'] as const satisfies readonly DiskFault[])
  disk(
    `a follower whose disk is ${fault} acknowledges nothing, delays no change and catches up afterwards`,
    async () => {
      for (const seed of seeds) {
        const cluster = await worldUp(seed, small);
        const master = masterOf(cluster);
        const follower = cluster.of('control').find((machine) => machine !== master);
        if (!follower) throw new Error('the cluster has no follower');
        follower.drive[fault] = true;
        const versionBefore = configVersion(follower);
        const latenciesMs: number[] = [];
        for (let i = 0; i < 4; i++) {
          const startedAt = cluster.clock.now();
          assert.is((await putConfig(cluster, configVersion(master))).status, 200);
          latenciesMs.push(cluster.clock.now() - startedAt);
        }
        assert.ok(Math.max(...latenciesMs) < 500, `seed ${seed}: ${latenciesMs.join()}`);
        assert.is(cluster.master, master);
        assert.is(configVersion(follower), versionBefore);
        await cluster.clock.run(4000);
        follower.drive[fault] = false;
        await cluster.clock.until(
          'caught up',
          () => configVersion(follower) === configVersion(master),
          cluster.bounds.failureTimeout,
        );
        assert.is(cluster.master, master);
      }
    },
  );

disk(
  'two full disks of five controls do not affect operators, and those controls win no election',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, fiveControls);
      const oldMaster = masterOf(cluster);
      const follower = cluster.of('control').find((machine) => machine !== oldMaster);
      if (!follower) throw new Error('the cluster has no follower');
      for (const machine of [oldMaster, follower]) machine.drive.full = true;
      startConfigChange(cluster, oldMaster);
      await cluster.clock.until(
        'another master',
        () => cluster.master !== undefined && cluster.master !== oldMaster,
        cluster.bounds.failureTimeout,
      );
      assert.is.not(cluster.master, follower);
      const newMaster = masterOf(cluster);
      assert.is((await putConfig(cluster, configVersion(newMaster), newMaster)).status, 200);
      for (const machine of [oldMaster, follower]) machine.drive.full = false;
      await cluster.clock.until(
        'all controls to have the same configuration',
        () =>
          cluster
            .of('control')
            .every((machine) => configVersion(machine) === configVersion(newMaster)),
        cluster.bounds.failureTimeout,
      );
    }
  },
);

disk(
  'a control that cannot sync is neither eligible nor able to win in its ping responses',
  async () => {
    const cluster = await worldUp(1, small);
    const follower = cluster.of('control').find((machine) => machine !== cluster.master);
    const node = follower?.control?.zen;
    const from = cluster.master?.control?.zen.knownMaster;
    if (!follower || !node || !from) throw new Error('the cluster has no follower');
    const ping = async () =>
      PingResponse.parse(
        await node.handle({
          from: from.addr,
          kind: 'zen/ping',
          body: { from, known: [], clusterId: node.clusterId },
        }),
      );
    const flagsOf = (response: PingResponse) => [response.eligible, response.canWin];
    assert.equal(flagsOf(await ping()), [true, true]);
    follower.drive.full = true;
    assert.is((await putConfig(cluster, 1)).status, 200);
    assert.equal(flagsOf(await ping()), [false, false]);
    follower.drive.full = false;
    await cluster.clock.run(1000);
    assert.equal(flagsOf(await ping()), [true, true]);
  },
);

disk(
  'without a majority of working disks there is no master and no acknowledged change until they recover',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, small);
      const oldMaster = masterOf(cluster);
      const fullMachines = [
        oldMaster,
        ...cluster
          .of('control')
          .filter((machine) => machine !== oldMaster)
          .slice(0, 1),
      ];
      for (const machine of fullMachines) machine.drive.full = true;
      assert.is.not((await putConfig(cluster, configVersion(oldMaster), oldMaster)).status, 200);
      await cluster.clock.run(6000);
      assert.is(cluster.master, undefined);
      for (const machine of fullMachines) machine.drive.full = false;
      await cluster.clock.until('a master', () => cluster.master !== undefined, 5000);
      assert.is((await putConfig(cluster, configVersion(masterOf(cluster)))).status, 200);
      await cluster.clock.until(
        'all controls to have the same configuration',
        () =>
          cluster
            .of('control')
            .every((machine) => configVersion(machine) === configVersion(masterOf(cluster))),
        3000,
      );
    }
  },
);

disk('a control that is restarted while its disk is full keeps its id', async () => {
  for (const seed of seeds) {
    const cluster = await worldUp(seed, small);
    const oldMaster = masterOf(cluster);
    const oldId = oldMaster.control?.id;
    oldMaster.drive.full = true;
    startConfigChange(cluster, oldMaster);
    await cluster.clock.run(2000);
    oldMaster.kill(seed % 2 === 0 ? 'power' : 'process');
    await cluster.clock.until('another master', () => cluster.master !== undefined, 9000);
    assert.is((await putConfig(cluster, configVersion(masterOf(cluster)))).status, 200);
    oldMaster.start();
    await cluster.clock.run(2000);
    assert.is(oldMaster.startError, '');
    oldMaster.drive.full = false;
    await cluster.clock.until(
      'caught up',
      () =>
        oldMaster.control !== undefined &&
        configVersion(oldMaster) === configVersion(masterOf(cluster)),
      5000,
    );
    assert.is(oldMaster.control?.id, oldId);
  }
});

disk(
  'a control with a damaged log rejoins as a new member, and the change it had acknowledged is kept',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, small);
      const oldMaster = masterOf(cluster);
      const oldId = oldMaster.control?.id;
      assert.is((await putConfig(cluster, configVersion(oldMaster))).status, 200);
      const acknowledgedVersion = configVersion(oldMaster);
      oldMaster.kill('power');
      oldMaster.drive.corrupt('zen.log', 12);
      oldMaster.start();
      await cluster.clock.until(
        'a master',
        () =>
          cluster.master !== undefined && configVersion(masterOf(cluster)) === acknowledgedVersion,
        9000,
      );
      await cluster.clock.until(
        'the new control to be a voter',
        () => {
          const newId = oldMaster.control?.id ?? '';
          return (
            newId !== oldId &&
            cluster.committed?.voters.current.includes(newId) === true &&
            configVersion(oldMaster) === acknowledgedVersion
          );
        },
        12000,
      );
      assert.ok(oldMaster.drive.list().includes('zen.log.damaged'));
    }
  },
);

/** Runs a turn and a keyed call at once; the outcomes that they report. */
const runTurnAndCall = async (
  cluster: World,
  program: string,
  index: number,
): Promise<readonly string[]> => {
  const turn = cluster.turn(program, null, `words ${index}`, `k-${index}`);
  const call = cluster.call(`c-${index}`, '/hold', { n: index });
  const replies = await cluster.clock.finish('work', Promise.all([turn, call]), 20000);
  return replies.map((reply) => reply.reported);
};

for (const fault of ['full', 'stalled'] as const satisfies readonly DiskFault[])
  disk(
    `turns and keyed calls succeed while a store's disk is ${fault}, and its replicas are complete afterwards`,
    async () => {
      for (const seed of seeds) {
        const cluster = await worldUp(seed, small);
        const program = (await cluster.clock.finish('program', cluster.program(1000), 10000))
          .program;
        const store = cluster.of('store').at(seed % 3);
        if (!store) throw new Error('the cluster has no store');
        store.drive[fault] = true;
        const latenciesMs: number[] = [];
        for (let i = 0; i < 6; i++) {
          const newProgram = (await cluster.clock.finish('program', cluster.program(1000), 10000))
            .program;
          const startedAt = cluster.clock.now();
          assert.equal(
            await runTurnAndCall(cluster, newProgram, i),
            ['done', 'done'],
            `seed ${seed}, ${i}`,
          );
          latenciesMs.push(cluster.clock.now() - startedAt);
        }
        assert.ok(
          Math.max(...latenciesMs) < cluster.bounds.failureTimeout,
          `seed ${seed}: ${latenciesMs.join()}`,
        );
        await cluster.clock.run(4000);
        store.drive[fault] = false;
        assert.ok(store.up && store.startError === '');
        const itemsIn = (machine: Machine): string => {
          const replicaStore = machine.replicaStore;
          const slots = Array.from(
            { length: cluster.slots },
            (_, slot) =>
              replicaStore
                ?.pull(slot, 0, { after: '' })
                .items.map((entry) => `${entry.key} ${entry.ownershipEpoch}.${entry.seq}`) ?? [],
          );
          return JSON.stringify(slots.flat().sort());
        };
        await cluster.clock.until(
          'handoff of all hints',
          () =>
            cluster
              .of('store')
              .every(
                (machine) =>
                  machine.replicaStore?.counts().hints === 0 && itemsIn(machine) === itemsIn(store),
              ),
          8000,
        );
        assert.equal(await runTurnAndCall(cluster, program, 99), ['done', 'done']);
      }
    },
  );

disk(
  'a store that is restarted with a full disk recovers under its id once the disk has space',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, small);
      const store = cluster.of('store').at(0);
      if (!store) throw new Error('the cluster has no store');
      const storeId = store.store?.id;
      const program = (await cluster.clock.finish('program', cluster.program(1000), 10000)).program;
      store.drive.full = true;
      await runTurnAndCall(cluster, program, 1);
      store.kill(seed % 2 === 0 ? 'power' : 'process');
      await cluster.clock.run(500);
      store.start();
      await cluster.clock.run(1500);
      store.drive.full = false;
      await cluster.clock.until('back', () => store.store?.zen.knownMaster !== undefined, 8000);
      assert.is(store.store?.id, storeId);
      await cluster.clock.until(
        'all slots open and the store writable',
        () => cluster.slotsComplete() && store.replicaStore?.writable === true,
        20000,
      );
      assert.is(store.startError, '');
    }
  },
);

disk.run();
