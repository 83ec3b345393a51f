import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Machine, World } from '@tillerstair/sim';
import { slotForKey } from '@tillerstair/state';
import { opKeyOf } from '@tillerstair/session-owner';
import {
  acts,
  assertNoBreach,
  configText,
  recordsOf,
  small,
  ownerOf,
  worldUp,
} from '../support/world-helpers.js';

const owners = suite('ownerships that break and come back');

const slotAt = (w: World, key: string) => {
  const s = w.committed;
  return s?.slots[slotForKey(key, s.slots.length)];
};
const ownerAs = (m: Machine, key: string): string =>
  m.front?.owner.ownerOf(m.front.owner.slotFor(key)) ?? '';

const oneAtATime = async (w: World): Promise<void> => {
  await w.operate('DELETE', '/v1/servers/s2');
  const text = JSON.stringify({
    ...JSON.parse(configText(1)),
    bounds: { turnMs: 240000, callMs: 120000, perServer: 1 },
  });
  assert.is((await w.operate('PUT', '/v1/config', text)).status, 200);
  await w.clock.run(1500);
};

owners(
  'a front that missed the loss of its slot looks again before it runs what waited in line',
  async () => {
    for (const seed of [61, 62, 63]) {
      const w = await worldUp(seed, small);
      await oneAtATime(w);
      const key = `line${seed}`;
      const a = ownerOf(w, opKeyOf('t', key));
      const b = w.of('front').find((m) => m !== a);
      if (!a || !b) throw new Error('no owner');
      w.servers.set('s1', { slow: 400 });
      const filler = ['x', 'y', 'z']
        .map((n) => `f${seed}${n}`)
        .find((k) => ownerOf(w, opKeyOf('t', k)) === a);
      const busy = w.call(filler ?? `f${seed}`, '/hold', { n: 0 }, a);
      await w.clock.run(50);
      const first = w.call(key, '/hold', { n: 1 }, a);
      await w.clock.run(200);
      assert.ok((a.front?.owner.waiting ?? 0) > 0, 'it waits in line');
      const ownershipEpoch = slotAt(w, opKeyOf('t', key))?.ownershipEpoch ?? 0;
      a.proxyIncarnation.frozen = true;
      await w.clock.until('taken over', () => ownerAs(b, opKeyOf('t', key)) === b.front?.id, 20000);
      w.servers.set('s1', { slow: 1 });
      const elsewhere = await w.clock.finish('elsewhere', w.call(key, '/hold', { n: 1 }, b), 60000);
      assert.is(elsewhere.reported, 'done', elsewhere.errorCode);
      assert.is(acts(w, key), 1);
      b.kill();
      await w.clock.until('dismissed', () => a.agent?.zenNode === undefined, 10000);
      a.proxyIncarnation.wake();
      await w.clock.until('adopted again', () => a.agent?.zenNode !== undefined, 10000);
      w.net.cut(`${a.addr}/loop`, `${a.addr}/feed`);
      await w.clock.until('owner again', () => ownerOf(w, opKeyOf('t', key)) === a, 20000);
      assert.ok((slotAt(w, opKeyOf('t', key))?.ownershipEpoch ?? 0) >= ownershipEpoch + 2);
      await w.clock.run(1200);
      w.net.healCuts();
      await w.clock.run(40000);
      await w.clock.finish('busy', busy, 60000);
      await w.clock.finish('first', first, 60000);
      assert.is(acts(w, key), 1, `${acts(w, key)} runs`);
      assertNoBreach(recordsOf(w));
    }
  },
);

owners(
  'who asked an owner that froze hears from the next one as soon as there is one',
  async () => {
    for (const seed of [71, 72, 73]) {
      const w = await worldUp(seed, small);
      const p = await w.clock.finish('program', w.program(200), 10000);
      const key = `q${seed}`;
      for (const [slotKey, ask] of [
        [opKeyOf('t', key), (m: Machine) => w.call(key, '/hold', { n: 1 }, m)],
        [`p/${p.program}`, (m: Machine) => w.turn(p.program, null, `q #${seed}`, 'k', m)],
      ] as const) {
        const a = ownerOf(w, slotKey);
        const b = w.of('front').find((m) => m !== a);
        if (!a || !b) throw new Error('no owner');
        a.freeze();
        const from = w.clock.now();
        const reported = await w.clock.finish('reported', ask(b), 30000);
        assert.is(reported.reported, 'done', reported.errorCode);
        assert.ok(w.clock.now() - from < 7000, `${w.clock.now() - from} ms`);
        a.wake();
        await w.clock.until('all back', () => w.readyFronts().length === 2, 20000);
      }
      assert.is(acts(w, key), 1);
      assertNoBreach(recordsOf(w));
    }
  },
);

owners.run();
