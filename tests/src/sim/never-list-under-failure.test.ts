/** The never-list under failure: owners killed, frozen or fenced, and stores lost. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { slotForKey } from '@tillerstair/state';
import { opKeyOf } from '@tillerstair/session-owner';
import {
  executionCount,
  assertNoBreach,
  fiveControls,
  recordsOf,
  small,
  ownerOf,
  worldUp,
} from '../support/world-helpers.js';

const never = suite('never-list under failure');

const seeds = [11, 12, 13, 14];

never('an owner killed between intent and run: the key never runs twice', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const key = `k${seed}`;
    const owner = ownerOf(w, opKeyOf('t', key));
    const first = w.call(key, '/hold', { n: 1 }, owner);
    const before = w.servers.executed.length;
    await w.clock.run(1 + (seed % 4));
    owner?.kill();
    const reported = await w.clock.finish('first', first, 30000);
    assert.is(reported.reported, 'unknown');
    for (let i = 0; i < 6; i++) {
      await w.clock.run(1000);
      await w.clock.finish('again', w.call(key, '/hold', { n: 1 }), 30000);
    }
    assert.ok(w.servers.executed.length >= before);
    assert.ok(executionCount(w, key) <= 1, `${executionCount(w, key)} runs`);
    assertNoBreach(recordsOf(w));
  }
});

never('an owner killed between run and outcome: the retry is told unknown, never run', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const key = `v${seed}`;
    const owner = ownerOf(w, opKeyOf('t', key));
    const first = w.call(key, '/hold', { n: 1 }, owner);
    await w.clock.until('it ran', () => executionCount(w, key) === 1, 5000);
    owner?.kill();
    await w.clock.finish('first', first, 30000);
    await w.clock.run(6000);
    const again = await w.clock.finish('again', w.call(key, '/hold', { n: 1 }), 30000);
    assert.is(again.reported, 'unknown');
    assert.is(executionCount(w, key), 1);
    assertNoBreach(recordsOf(w));
  }
});

never('a frozen owner woken after its slot moved cannot run what it held', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const key = `z${seed}`;
    const owner = ownerOf(w, opKeyOf('t', key));
    const first = w.call(key, '/hold', { n: 1 }, owner);
    await w.clock.run(0.5 + (seed % 3));
    owner?.freeze();
    await w.clock.run(6000);
    const other = w.of('front').find((m) => m !== owner);
    await w.clock.finish('elsewhere', w.call(key, '/hold', { n: 1 }, other), 30000);
    owner?.wake();
    await w.clock.finish('first', first, 30000);
    await w.clock.run(3000);
    await w.clock.finish('last', w.call(key, '/hold', { n: 1 }, other), 30000);
    assert.ok(executionCount(w, key) <= 1, `${executionCount(w, key)} runs`);
    assertNoBreach(recordsOf(w));
  }
});

never(
  'a lost outcome is told unknown and its key is not run again, on any front, after any restart',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, small);
      w.servers.set('s1', { loseEvery: 1 });
      w.servers.set('s2', { loseEvery: 1 });
      const reported = await w.clock.finish('lost', w.call('lost', '/hold', { n: 1 }), 30000);
      assert.is(reported.reported, 'unknown');
      w.servers.set('s1', { loseEvery: 0 });
      w.servers.set('s2', { loseEvery: 0 });
      for (const m of w.machines) m.kill('power');
      w.start();
      await w.clock.until(
        'serving',
        () => w.readyFronts().length === 2 && w.slotsReplicated(),
        12000,
      );
      await w.clock.run(500);
      const again = await w.clock.finish('again', w.call('lost', '/hold', { n: 1 }), 30000);
      assert.is(again.reported, 'unknown');
      assert.is(executionCount(w, 'lost'), 1);
      assertNoBreach(recordsOf(w));
    }
  },
);

never('a turn done is whole at every front after its owner and one store lose power', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, fiveControls);
    const p = await w.clock.finish('program', w.program(200), 10000);
    const t = await w.clock.finish('turn', w.turn(p.program, null, `hello #${seed}`, 'k'), 30000);
    assert.is(t.reported, 'done');
    ownerOf(w, `p/${p.program}`)?.kill('power');
    const store = w.of('store')[seed % 3];
    store.kill('power');
    store.drive.wipe();
    await w.clock.run(6000);
    for (const m of w.of('front').filter((x) => x.up)) {
      const f = await w.clock.finish('fetch', w.fetch(p.program, t.turn, m), 30000);
      assert.is(f.reported, 'done', JSON.stringify(f));
      assert.is(f.text, t.text);
    }
    const next = await w.clock.finish(
      'next',
      w.turn(p.program, t.turn, `more #${seed}b`, 'k2'),
      30000,
    );
    assert.is(next.reported, 'done');
    assertNoBreach(recordsOf(w));
  }
});

never(
  'what was acknowledged stands though one store loses its disk in that very moment',
  async () => {
    for (const kind of ['turn', 'call'])
      for (const n of [0, 1, 2]) {
        const w = await worldUp(40 + n, small);
        const p = await w.clock.finish('program', w.program(200), 10000);
        w.of('store').forEach((m, i) => {
          m.drive.delay = [1, 60, 130][(i + n) % 3] ?? 1;
        });
        const first = await w.clock.finish(
          kind,
          kind === 'turn'
            ? w.turn(p.program, null, `q #${n}`, 'k')
            : w.call('op', '/hold', { n: 1 }),
          30000,
        );
        assert.is(first.reported, 'done');
        const store = w.of('store').find((m) => m.drive.delay === 1);
        for (const m of [...w.of('front'), ...w.of('store')]) m.kill('power');
        store?.drive.wipe();
        w.start([...w.of('front'), ...w.of('store').filter((m) => m !== store)]);
        await w.clock.until(
          'fronts',
          () => w.readyFronts().length === 2 && w.slotsReplicated(),
          20000,
        );
        await w.clock.run(1000);
        const again = await w.clock.finish(
          'again',
          kind === 'turn' ? w.fetch(p.program, first.turn) : w.call('op', '/hold', { n: 1 }),
          30000,
        );
        assert.is(again.text, first.text, again.errorCode);
        assert.ok(executionCount(w, 'op') <= 1);
        assertNoBreach(recordsOf(w));
      }
  },
);

never('an owner whose slot was fenced by another says unavailable, not missing', async () => {
  const w = await worldUp(51, small);
  const p = await w.clock.finish('program', w.program(200), 10000);
  const none = await w.clock.finish('fetch', w.fetch(p.program, 't-none'), 10000);
  assert.is(none.errorCode, 'missing');
  const slot = slotForKey(`p/${p.program}`, w.slots);
  const ownershipEpoch = w.committed?.slots[slot]?.ownershipEpoch ?? 0;
  await w.clock.finish(
    'fences',
    Promise.all(
      w.of('store').flatMap((m) => m.replicaStore?.fence(slot, ownershipEpoch + 1, '') ?? []),
    ),
    1000,
  );
  const reported = await w.clock.finish('fetch', w.fetch(p.program, 't-elsewhere'), 10000);
  assert.is(reported.reported, 'refused');
  assert.is.not(reported.errorCode, 'missing');
});

never.run();
