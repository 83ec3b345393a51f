import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { DrainingRecord } from '@tillerstair/checker';
import { assertNoBreach, five, recordsOf, ownerOf, worldUp } from '../support/world-helpers.js';

const draining = suite('draining servers');
const seeds = [11, 12, 13, 14];

draining(
  'a front frozen between its last check and the wire sends nothing to a server drained meanwhile',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, five);
      const p = await w.clock.finish('program', w.program(900), 10000);
      const front = ownerOf(w, `p/${p.program}`);
      const asked = w.servers.asked;
      const going = w.turn(p.program, null, `w #${seed}`, 'k', front);
      await w.clock.until('about to leave', () => w.servers.asked > asked, 5000);
      front?.freeze();
      const at = w.clock.now();
      for (const id of ['m1', 'm2'])
        assert.is((await w.operate('POST', `/v1/servers/${id}/draining`)).status, 200);
      await w.clock.run(4000);
      const before = w.servers.executed.length;
      front?.wake();
      await w.clock.run(3000);
      const reported = await w.clock.finish('turn', going, 30000);
      assert.is.not(reported.reported, 'done');
      assert.is(w.servers.executed.slice(before).filter((r) => r.began > at + 3300).length, 0);
    }
  },
);

draining('a front woken ignores what servers reported before it froze', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, five);
    const p = await w.clock.finish('program', w.program(900), 10000);
    const front = ownerOf(w, `p/${p.program}`);
    if (!front) throw new Error('no owner');
    front.proxyIncarnation.frozen = true;
    const at = w.clock.now();
    w.servers.set('m1', { draining: true });
    await w.clock.run(2900);
    front.proxyIncarnation.wake();
    const going: Promise<unknown>[] = [];
    for (let i = 0; i < 60; i++) {
      going.push(w.turn(p.program, null, `o #${seed}-${i}`, `o${i}`, front));
      await w.clock.run(i < 20 ? 3 : 40);
    }
    await w.clock.finish('all', Promise.all(going), 60000);
    assertNoBreach(recordsOf(w, { drainings: [{ server: 'm1', at: at - 400, until: Infinity }] }));
    assert.ok(w.servers.executed.some((r) => r.server === 'm2' && r.began > at + 2900));
  }
});

draining(
  'a mark that took long to sync is not acknowledged as if it had been in time',
  async () => {
    for (const seed of [11, 12, 13, 14, 15, 16, 17, 18]) {
      const w = await worldUp(seed, five);
      const p = await w.clock.finish('program', w.program(900), 10000);
      const front = ownerOf(w, `p/${p.program}`);
      await w.clock.run(seed * 97);
      for (const m of w.of('control')) m.platter.delay = 700;
      void w.operate(
        'PUT',
        '/v1/servers/x1',
        JSON.stringify({ pool: 'models', url: 'http://127.0.0.1:1' }),
      );
      await w.clock.run(20);
      const drainings: DrainingRecord[] = [];
      const mark = async (): Promise<number> => {
        const at = w.clock.now();
        const r = await w.master?.control?.operate({
          method: 'POST',
          path: '/v1/servers/m1/draining',
          body: '',
        });
        if (r?.status === 200) drainings.push({ server: 'm1', at, until: Infinity });
        return r?.status ?? 0;
      };
      const from = w.clock.now();
      const first = mark();
      await w.clock.run(1370 - (seed % 4) * 60);
      const rest = w.machines.filter((m) => m !== front).map((m) => m.addr);
      w.net.cutBoth([front?.addr ?? ''], rest);
      const going: Promise<unknown>[] = [];
      for (let i = 0; i < 60; i++) {
        going.push(w.turn(p.program, null, `s #${seed}-${i}`, `s${i}`, front));
        await w.clock.run(50);
      }
      const reported = await w.clock.finish('first mark', first, 20000);
      if (reported !== 200) assert.is(await w.clock.finish('again', mark(), 20000), 200);
      for (let i = 60; i < 120; i++) {
        going.push(w.turn(p.program, null, `s #${seed}-${i}`, `s${i}`));
        await w.clock.run(50);
      }
      await w.clock.finish('all', Promise.all(going), 60000);
      assert.is(drainings.length, 1);
      assert.ok(
        w.servers.executed.some((r) => r.server === 'm1' && r.began > from),
        'the cut front went on with it',
      );
      assertNoBreach(recordsOf(w, { drainings }));
    }
  },
);

draining.run();
