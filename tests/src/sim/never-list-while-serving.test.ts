/** The never-list while serving goes on: budgets, streams, draining, configuration, queues. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { opKeyOf } from '@tillerstair/session-owner';
import {
  executionCount,
  assertNoBreach,
  configText,
  fiveControls,
  recordsOf,
  small,
  ownerOf,
  worldUp,
} from '../support/world-helpers.js';

const serving = suite('never-list while serving goes on');

const seeds = [11, 12, 13, 14];

serving('a stream that loses chunks between two fronts is not told done', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const p = await w.clock.finish('program', w.program(200), 10000);
    const owner = ownerOf(w, `p/${p.program}`);
    const other = w.of('front').find((m) => m !== owner);
    const going = w.turn(p.program, null, `l #${seed}`, 'k', other);
    await w.clock.until(
      'it runs',
      () =>
        w.reported.length > 0 && w.net.messages > 0 && (owner?.front?.owner.sizes().items ?? 0) > 1,
      5000,
    );
    await w.clock.run(6);
    w.net.cut(`${owner?.addr ?? ''}/data`, `${other?.addr ?? ''}/data`);
    await w.clock.run(7);
    w.net.healCuts();
    const t = await w.clock.finish('turn', going, 30000);
    assert.is.not(t.reported, 'done');
    assertNoBreach(recordsOf(w));
  }
});

serving('stores that cannot be reached are not held against the servers', async () => {
  const w = await worldUp(52, small);
  const owner = ownerOf(w, opKeyOf('t', 'cut'));
  w.net.cutBoth(
    [`${owner?.addr ?? ''}/data`],
    w.of('store').map((m) => m.addr),
  );
  const reported = await w.clock.finish('call', w.call('cut', '/hold', { n: 1 }, owner), 30000);
  assert.is(reported.reported, 'refused');
  const placement = owner?.front?.owner.placement;
  const server = owner?.front?.owner.current?.state.servers.get('s1');
  assert.ok(placement && server);
  assert.equal(placement.failuresOf('s1'), 0);
  assert.equal(placement.failuresOf('s2'), 0);
});

serving('a budget holds over owner changes, with helpers and many turns at once', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, fiveControls);
    const p = await w.clock.finish('program', w.program(60), 10000);
    const helper = await w.clock.finish('helper', w.program(60, undefined, p.program), 10000);
    assert.is(helper.reported, 'done');
    const burst = Array.from({ length: 8 }, (_, i) =>
      w.turn(i % 2 ? p.program : helper.program, null, `x #${seed}-${i}`, `b${i}`),
    );
    await w.clock.run(15);
    ownerOf(w, `p/${p.program}`)?.kill();
    await w.clock.finish('burst', Promise.all(burst), 60000);
    for (let i = 0; i < 12; i++)
      await w.clock.finish('more', w.turn(p.program, null, `y #${seed}-${i}`, `c${i}`), 60000);
    const spent = w.reported
      .filter((t) => t.kind === 'turn')
      .reduce((n, t) => n + t.chunks.length, 0);
    assert.ok(spent <= 60 + 16, `${spent} tokens`);
    const last = w.reported.at(-1);
    assert.is(last?.errorCode, 'budget-spent');
    assertNoBreach(recordsOf(w));
  }
});

serving('a broken stream is partial, its retry is not run, and no stream is stitched', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    w.servers.set('m1', { cutEvery: 2 });
    w.servers.set('m2', { loseEvery: 2 });
    const p = await w.clock.finish('program', w.program(900), 10000);
    for (let i = 0; i < 10; i++) {
      const t = await w.clock.finish(
        'turn',
        w.turn(p.program, null, `s #${seed}-${i}`, `k${i}`),
        30000,
      );
      if (t.reported === 'done' || t.reported === 'refused') continue;
      const again = await w.clock.finish(
        'again',
        w.turn(p.program, null, `s #${seed}-${i}`, `k${i}`),
        30000,
      );
      assert.is(again.reported, 'unknown');
      assert.is(w.servers.executed.filter((r) => r.said.trim() === `s #${seed}-${i}`).length, 1);
    }
    assert.ok(w.reported.some((t) => t.reported === 'partial'));
    assertNoBreach(recordsOf(w));
  }
});

serving(
  'a draining server gets nothing new after 3 s, from a cut front and from a woken one',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, fiveControls);
      const [a, b] = w.of('front');
      const rest = w.machines.filter((m) => m.kind !== 'front').map((m) => m.addr);
      const p = await w.clock.finish('program', w.program(900), 10000);
      w.net.cutBoth([a.addr], rest);
      b.freeze();
      const at = w.clock.now();
      const mark = await w.operate('POST', '/v1/servers/m1/draining');
      assert.is(mark.status, 200);
      let woken = false;
      let i = 0;
      const going: Promise<unknown>[] = [];
      while (w.clock.now() < at + 8000) {
        if (!woken && w.clock.now() > at + 4000) {
          b.wake();
          woken = true;
        }
        for (const m of w.of('front'))
          if (!m.incarnation.frozen)
            going.push(w.turn(p.program, null, `l #${seed}-${i}`, `l${i++}`, m));
        await w.clock.run(100);
      }
      await w.clock.finish('all', Promise.all(going), 60000);
      assertNoBreach(recordsOf(w, { drainings: [{ server: 'm1', at, until: Infinity }] }));
      assert.ok(w.servers.executed.some((r) => r.server === 'm2' && r.began > at + 3300));
    }
  },
);

serving(
  'an acknowledged configuration is in force, with a front cut off and one frozen',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, fiveControls);
      await w.operate(
        'PUT',
        '/v1/servers/n1',
        JSON.stringify({ pool: 'others', url: 'http://127.0.0.1:1' }),
      );
      const [a, b] = w.of('front');
      const rest = w.machines.filter((m) => m.kind !== 'front').map((m) => m.addr);
      const p = await w.clock.finish('program', w.program(900), 10000);
      w.net.cutBoth([a.addr], rest);
      b.freeze();
      const sentAt = w.clock.now();
      const put = await w.operate('PUT', '/v1/config', configText(1, 'others'), undefined, 30000);
      assert.is(put.status, 200);
      const reportedAt = w.clock.now();
      b.wake();
      const going: Promise<unknown>[] = [];
      for (let i = 0; i < 40; i++) {
        for (const m of w.of('front'))
          going.push(w.turn(p.program, null, `c #${seed}-${i}-${m.index}`, `c${i}-${m.index}`, m));
        await w.clock.run(100);
      }
      w.net.healCuts();
      await w.clock.finish('all', Promise.all(going), 60000);
      const base = {
        text: '',
        sentAt: 0,
        reported: 'done' as const,
        reportedAt: 0,
        callPools: ['shop'],
      };
      assertNoBreach(
        recordsOf(w, {
          readBack: { version: 2, text: '' },
          configs: [
            { ...base, version: 1, turnPools: ['models'] },
            { ...base, version: 2, turnPools: ['others'], sentAt, reportedAt },
          ],
        }),
      );
      assert.ok(w.servers.executed.some((r) => r.pool === 'others'));
      assert.not.ok(w.servers.executed.some((r) => r.pool === 'models' && r.began > reportedAt));
    }
  },
);

serving('two tries of one key at two fronts at once run once and hear the same', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const both = await w.clock.finish(
      'both',
      Promise.all(w.of('front').map((m) => w.call('twin', '/hold', { n: 1 }, m))),
      30000,
    );
    assert.equal(
      both.map((t) => `${t.reported} ${t.errorCode}`),
      ['done ', 'done '],
    );
    assert.is(both[0]?.text, both[1]?.text);
    assert.is(executionCount(w, 'twin'), 1);
  }
});

serving(
  'turns that wait in line for a pool that is dropped run where the new configuration sends them',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, small);
      await w.operate(
        'PUT',
        '/v1/servers/n1',
        JSON.stringify({ pool: 'others', url: 'http://127.0.0.1:1' }),
      );
      const narrow = (base: number, pool: string): string =>
        JSON.stringify({ ...JSON.parse(configText(base, pool)), bounds: { perServer: 1 } });
      assert.is((await w.operate('PUT', '/v1/config', narrow(1, 'models'))).status, 200);
      const p = await w.clock.finish('program', w.program(900), 10000);
      const front = ownerOf(w, `p/${p.program}`);
      for (const id of ['m1', 'm2']) w.servers.set(id, { slow: 40 });
      const going = Array.from({ length: 12 }, (_, i) =>
        w.turn(p.program, null, `d #${seed}-${i}`, `d${i}`, front),
      );
      await w.clock.run(100);
      assert.ok((front?.front?.owner.waiting ?? 0) >= 8);
      const sentAt = w.clock.now();
      assert.is((await w.operate('PUT', '/v1/config', narrow(2, 'others'))).status, 200);
      const reportedAt = w.clock.now();
      const reported = await w.clock.finish('all', Promise.all(going), 60000);
      assert.equal(
        reported.filter((t) => t.reported !== 'done').map((t) => t.errorCode),
        [],
      );
      assert.ok(w.servers.executed.filter((r) => r.pool === 'others').length >= 8);
      assert.not.ok(w.servers.executed.some((r) => r.pool === 'models' && r.began > reportedAt));
      const base = { text: '', reported: 'done' as const, callPools: ['shop'] };
      const configs = [
        { ...base, version: 1, turnPools: ['models'], sentAt: -1e9, reportedAt: 0 },
        { ...base, version: 3, turnPools: ['others'], sentAt, reportedAt },
      ];
      assertNoBreach(recordsOf(w, { configs, readBack: { version: 3, text: '' } }));
    }
  },
);

serving(
  'work is not refused while any server of its route is free, however many have just gone',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, small);
      for (const id of ['s3', 's4', 's5', 's6'])
        await w.operate(
          'PUT',
          `/v1/servers/${id}`,
          JSON.stringify({ pool: 'shop', url: 'http://127.0.0.1:1' }),
        );
      for (const id of ['m3', 'm4', 'm5', 'm6'])
        await w.operate(
          'PUT',
          `/v1/servers/${id}`,
          JSON.stringify({ pool: 'models', url: 'http://127.0.0.1:1' }),
        );
      const p = await w.clock.finish('program', w.program(900), 10000);
      await w.clock.run(600);
      const free = 1 + (seed % 6);
      for (let n = 1; n <= 6; n++)
        if (n !== free)
          for (const kind of ['m', 's']) w.servers.set(`${kind}${n}`, { refuses: true });
      const reported = await w.clock.finish(
        'both',
        Promise.all([
          w.call(`g${seed}`, '/hold', { n: 1 }),
          w.turn(p.program, null, `g #${seed}`, 'g'),
        ]),
        30000,
      );
      assert.equal(
        reported.map((t) => `${t.kind} ${t.reported} ${t.errorCode}`),
        ['call done ', 'turn done '],
      );
    }
  },
);

serving.run();
