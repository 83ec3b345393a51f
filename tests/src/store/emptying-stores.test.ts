/** Stores that are emptied, also beside the loss of another. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { allSlotsFullyReplicated } from '@tillerstair/state';
import type { World, Machine } from '@tillerstair/sim';
import { configText, servers, worldUp } from '../support/world-helpers.js';
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

const emptying = suite('emptying of stores');

const seeds = [71, 72, 73];

const retired = async (w: World, m: Machine): Promise<boolean> => {
  const got = await w.operate('GET', `/v1/stores/${m.name}/empty`);
  return JSON.stringify(got.body).includes('"done":true');
};

const untilRetired = async (w: World, m: Machine, within: number): Promise<void> => {
  const end = w.clock.now() + within;
  while (!(await retired(w, m))) {
    if (w.clock.now() > end) throw new Error('never done');
    await w.clock.run(100);
  }
};

emptying(
  'a store told to be emptied, and wiped with another right after it is done, loses nothing',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, oneLoss);
      await work(w, 'r');
      const old = w.at('store-1');
      assert.is((await w.operate('POST', `/v1/stores/${old.name}/empty`)).status, 200);
      await untilRetired(w, old, 6000);
      wipe(old);
      wipe(w.of('store').find((m) => m !== old));
      await ownersAnew(w);
      await w.clock.run(2000);
      await assertKept(w, 'r');
    }
  },
);

emptying(
  'emptying is not done while another store is lost and its slots are not whole again',
  async () => {
    for (const seed of seeds)
      for (const after of [0, 200, 600]) {
        const w = await worldUp(seed, { ...oneLoss, stores: 5 });
        await work(w, 'l');
        const old = w.at('store-1');
        assert.is((await w.operate('POST', `/v1/stores/${old.name}/empty`)).status, 200);
        await w.clock.run(after);
        wipe(w.at('store-2'));
        await untilRetired(w, old, 30000);
        const dead = new Set(
          w
            .of('store')
            .filter((m) => m.up)
            .map((m) => storeIdOf(m)),
        );
        assert.ok(
          w.committed?.slots.every((s) => s.replicas.filter((id) => dead.has(id)).length === 3),
          'told done before the lost replicas were replaced',
        );
        wipe(old);
        wipe(w.at('store-3'));
        await ownersAnew(w);
        await w.clock.run(2000);
        await assertKept(w, 'l');
      }
  },
);

emptying(
  'a store that dies while it is emptied is replaced like a lost one; emptying again is the same',
  async () => {
    const w = await worldUp(78, oneLoss);
    await work(w, 'd');
    const old = w.at('store-1');
    assert.is((await w.operate('POST', `/v1/stores/${old.name}/empty`)).status, 200);
    wipe(old);
    assert.is((await w.operate('POST', `/v1/stores/${old.name}/empty`)).status, 200);
    assert.is(await retired(w, old), false);
    await untilRetired(w, old, 20000);
    assert.is((await w.operate('POST', `/v1/stores/${old.name}/empty`)).status, 200);
    assert.is((await w.operate('POST', '/v1/stores/nobody/empty')).status, 404);
    assert.is((await w.operate('POST', '/v1/stores/store-number-0/empty')).status, 409);
    assert.ok(
      w.committed &&
        allSlotsFullyReplicated(w.committed, (id) => w.committed?.nodes.has(id) ?? false),
    );
    await assertKept(w, 'd');
  },
);

emptying(
  'a store that loses its disk while it is emptied stays out of use and ends as done',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, oneLoss);
      await work(w, 'x');
      const old = w.at('store-1');
      assert.is((await w.operate('POST', `/v1/stores/${old.name}/empty`)).status, 200);
      wipe(old);
      old.start();
      await w.clock.until('back', () => w.committed?.nodes.has(storeIdOf(old)) ?? false, 10000);
      await untilRetired(w, old, 20000);
      assert.not(w.committed?.slots.some((s) => s.replicas.includes(storeIdOf(old))));
      assert.is((await w.operate('DELETE', `/v1/stores/${old.name}/empty`)).status, 200);
      assert.is(w.retiringNodes.size, 0);
      await assertKept(w, 'x');
    }
  },
);

emptying('with two losses to bear a store is emptied only where five others stay', async () => {
  const w = await worldUp(79, { ...twoLosses, stores: 5 });
  const refused = await w.operate('POST', '/v1/stores/store-0/empty');
  assert.is(refused.status, 409);
  w.add('store').start();
  await w.clock.until(
    'six',
    () => [...(w.committed?.nodes.values() ?? [])].filter((m) => m.kind === 'store').length === 6,
    5000,
  );
  await w.operate('PUT', '/v1/config', configText(1));
  assert.is(w.committed?.servers.size, servers.length);
  assert.is((await w.operate('POST', '/v1/stores/store-number-0/empty')).status, 200);
  await untilRetired(w, w.at('store-0'), 10000);
  assert.ok(whole(w));
});

emptying.run();
