import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Machine, World } from '@tillerstair/sim';
import { PingResponse } from '@tillerstair/zen';
import { configText, fiveControls, small, worldUp } from '../support/world-helpers.js';

const disk = suite('disks that are full or stall');
const seeds = [1, 2, 3, 4, 5];

type Trouble = 'full' | 'stalled';

const masterOf = (w: World): Machine => {
  const m = w.master;
  if (!m) throw new Error('a master is needed');
  return m;
};

const change = (w: World, base: number, at?: Machine) =>
  w.operate('PUT', '/v1/config', configText(base, 'models', 'shop', base), at, 8000);

const version = (m: Machine): number => m.control?.zen.applied?.config?.version ?? 0;

/** One change meets the trouble; its answer does not matter, since the master may step down meanwhile. */
const meet = (w: World, old: Machine): void => {
  const node = old.control;
  if (!node) throw new Error('the control is down');
  void node
    .operate({
      method: 'PUT',
      path: '/v1/config',
      body: configText(version(old), 'models', 'shop', 9),
    })
    .catch(() => undefined);
};

for (const how of ['full', 'stalled'] as const satisfies readonly Trouble[])
  disk(
    `a leader whose disk is ${how} for 6 s is followed by another within the failure timeout, and follows once it is whole`,
    async () => {
      for (const seed of seeds) {
        const w = await worldUp(seed, small);
        const old = masterOf(w);
        const id = old.control?.id;
        old.drive[how] = true;
        const since = w.clock.now();
        meet(w, old);
        await w.clock.until(
          'another master',
          () => w.master !== undefined && w.master !== old,
          12000,
        );
        const took = w.clock.now() - since;
        assert.ok(took < w.bounds.failureTimeout, `seed ${seed}: took ${took}`);
        const now = masterOf(w);
        const during = await change(w, version(now), now);
        assert.is(during.status, 200, `seed ${seed}: ${JSON.stringify(during)}`);
        assert.is(old.control?.zen.leading, undefined);
        await w.clock.run(Math.max(0, since + 6000 - w.clock.now()));
        old.drive[how] = false;
        const master = masterOf(w);
        await w.clock.until(
          'the old one to follow',
          () =>
            old.control?.zen.knownMaster?.id === master.control?.id &&
            version(old) === version(master),
          w.bounds.failureTimeout,
        );
        assert.is((await change(w, version(master))).status, 200);
        await w.clock.until(
          'the newest state',
          () => w.of('control').every((m) => version(m) === version(master)),
          2000,
        );
        assert.is(old.control?.id, id);
        assert.ok(old.up, old.startError);
        assert.is(w.masters().length, 1);
      }
    },
  );

for (const how of ['full', 'stalled'] as const satisfies readonly Trouble[])
  disk(
    `a follower whose disk is ${how} acknowledges nothing, holds nobody up and is caught up afterwards`,
    async () => {
      for (const seed of seeds) {
        const w = await worldUp(seed, small);
        const master = masterOf(w);
        const follower = w.of('control').find((m) => m !== master);
        if (!follower) throw new Error('a follower is needed');
        follower.drive[how] = true;
        const before = version(follower);
        const acked: number[] = [];
        for (let n = 0; n < 4; n++) {
          const t0 = w.clock.now();
          assert.is((await change(w, version(master))).status, 200);
          acked.push(w.clock.now() - t0);
        }
        assert.ok(Math.max(...acked) < 500, `seed ${seed}: ${acked.join()}`);
        assert.is(w.master, master);
        assert.is(version(follower), before);
        await w.clock.run(4000);
        follower.drive[how] = false;
        await w.clock.until(
          'caught up',
          () => version(follower) === version(master),
          w.bounds.failureTimeout,
        );
        assert.is(w.master, master);
      }
    },
  );

disk(
  'two of five controls with full disks change nothing for the operator, and count for no election',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, fiveControls);
      const old = masterOf(w);
      const other = w.of('control').find((m) => m !== old);
      if (!other) throw new Error('controls are needed');
      for (const m of [old, other]) m.drive.full = true;
      meet(w, old);
      await w.clock.until(
        'another master',
        () => w.master !== undefined && w.master !== old,
        w.bounds.failureTimeout,
      );
      assert.is.not(w.master, other);
      const now = masterOf(w);
      assert.is((await change(w, version(now), now)).status, 200);
      for (const m of [old, other]) m.drive.full = false;
      await w.clock.until(
        'all the same',
        () => w.of('control').every((m) => version(m) === version(now)),
        w.bounds.failureTimeout,
      );
    }
  },
);

disk('a control that cannot sync says so in its ping replies, and counts for nothing', async () => {
  const w = await worldUp(1, small);
  const follower = w.of('control').find((m) => m !== w.master);
  const node = follower?.control?.zen;
  const from = w.master?.control?.zen.knownMaster;
  if (!follower || !node || !from) throw new Error('a follower is needed');
  const ask = async () =>
    PingResponse.parse(
      await node.handle({
        from: from.addr,
        kind: 'zen/ping',
        body: { from, known: [], clusterId: node.clusterId },
      }),
    );
  const said = (p: PingResponse) => [p.eligible, p.canWin];
  assert.equal(said(await ask()), [true, true]);
  follower.drive.full = true;
  assert.is((await change(w, 1)).status, 200);
  assert.equal(said(await ask()), [false, false]);
  follower.drive.full = false;
  await w.clock.run(1000);
  assert.equal(said(await ask()), [true, true]);
});

disk(
  'without a majority of disks nobody leads or is acknowledged, and all goes on once they are whole',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, small);
      const old = masterOf(w);
      const full = [
        old,
        ...w
          .of('control')
          .filter((m) => m !== old)
          .slice(0, 1),
      ];
      for (const m of full) m.drive.full = true;
      assert.is.not((await change(w, version(old), old)).status, 200);
      await w.clock.run(6000);
      assert.is(w.master, undefined);
      for (const m of full) m.drive.full = false;
      await w.clock.until('a master', () => w.master !== undefined, 5000);
      assert.is((await change(w, version(masterOf(w)))).status, 200);
      await w.clock.until(
        'all the same',
        () => w.of('control').every((m) => version(m) === version(masterOf(w))),
        3000,
      );
    }
  },
);

disk(
  'a control restarted while its disk is full or just whole again goes on under its id',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, small);
      const old = masterOf(w);
      const id = old.control?.id;
      old.drive.full = true;
      meet(w, old);
      await w.clock.run(2000);
      old.kill(seed % 2 === 0 ? 'power' : 'process');
      await w.clock.until('another master', () => w.master !== undefined, 9000);
      assert.is((await change(w, version(masterOf(w)))).status, 200);
      old.start();
      await w.clock.run(2000);
      assert.is(old.startError, '');
      old.drive.full = false;
      await w.clock.until(
        'caught up',
        () => old.control !== undefined && version(old) === version(masterOf(w)),
        5000,
      );
      assert.is(old.control?.id, id);
    }
  },
);

disk(
  'a control whose log is damaged comes back as a new member, and the change it was acknowledged for stays',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, small);
      const old = masterOf(w);
      const id = old.control?.id;
      assert.is((await change(w, version(old))).status, 200);
      const held = version(old);
      old.kill('power');
      old.drive.corrupt('zen.log', 12);
      old.start();
      await w.clock.until(
        'a master',
        () => w.master !== undefined && version(masterOf(w)) === held,
        9000,
      );
      await w.clock.until(
        'a voter again',
        () => {
          const fresh = old.control?.id ?? '';
          return (
            fresh !== id &&
            w.committed?.voters.current.includes(fresh) === true &&
            version(old) === held
          );
        },
        12000,
      );
      assert.ok(old.drive.list().includes('zen.log.damaged'));
    }
  },
);

const work = async (w: World, pid: string, n: number): Promise<readonly string[]> => {
  const turn = w.turn(pid, null, `words ${n}`, `k-${n}`);
  const call = w.call(`c-${n}`, '/hold', { n });
  const both = await w.clock.finish('work', Promise.all([turn, call]), 20000);
  return both.map((r) => r.reported);
};

for (const how of ['full', 'stalled'] as const satisfies readonly Trouble[])
  disk(
    `turns and keyed calls go on while a store's disk is ${how}, and its replicas are whole afterwards`,
    async () => {
      for (const seed of seeds) {
        const w = await worldUp(seed, small);
        const pid = (await w.clock.finish('program', w.program(1000), 10000)).program;
        const store = w.of('store').at(seed % 3);
        if (!store) throw new Error('a store is needed');
        store.drive[how] = true;
        const slowest: number[] = [];
        for (let n = 0; n < 6; n++) {
          const root = (await w.clock.finish('program', w.program(1000), 10000)).program;
          const t0 = w.clock.now();
          assert.equal(await work(w, root, n), ['done', 'done'], `seed ${seed}, ${n}`);
          slowest.push(w.clock.now() - t0);
        }
        assert.ok(
          Math.max(...slowest) < w.bounds.failureTimeout,
          `seed ${seed}: ${slowest.join()}`,
        );
        await w.clock.run(4000);
        store.drive[how] = false;
        assert.ok(store.up && store.startError === '');
        const held = (m: Machine): string => {
          const replicaStore = m.replicaStore;
          const slots = Array.from(
            { length: w.slots },
            (_, slot) =>
              replicaStore
                ?.pull(slot, 0, '')
                .items.map((i) => `${i.key} ${i.ownershipEpoch}.${i.seq}`) ?? [],
          );
          return JSON.stringify(slots.flat().sort());
        };
        await w.clock.until(
          'hints handed over',
          () =>
            w
              .of('store')
              .every((m) => m.replicaStore?.counts().hints === 0 && held(m) === held(store)),
          8000,
        );
        assert.equal(await work(w, pid, 99), ['done', 'done']);
      }
    },
  );

disk('a store restarted with a full disk serves again by itself under its id', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const store = w.of('store').at(0);
    if (!store) throw new Error('a store is needed');
    const id = store.store?.id;
    const pid = (await w.clock.finish('program', w.program(1000), 10000)).program;
    store.drive.full = true;
    await work(w, pid, 1);
    store.kill(seed % 2 === 0 ? 'power' : 'process');
    await w.clock.run(500);
    store.start();
    await w.clock.run(1500);
    store.drive.full = false;
    await w.clock.until('back', () => store.store?.zen.knownMaster !== undefined, 8000);
    assert.is(store.store?.id, id);
    await w.clock.until(
      'whole',
      () => w.slotsReplicated() && store.replicaStore?.writable === true,
      20000,
    );
    assert.is(store.startError, '');
  }
});

disk.run();
