import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { PassRecord } from '@tillerstair/checker';
import { outputOf } from '@tillerstair/checker';
import { eventsIn, passAt, type World, type ServerFaults } from '@tillerstair/sim';
import {
  assertNoBreach,
  passed,
  passConfigText,
  passUp,
  recordsOf,
  restart,
  runsOf,
  small,
  ownerOf,
} from '../support/world-helpers.js';

const turns = suite('streams on pass routes');
const seeds = [21, 22, 23];
const models = ['m1', 'm2'];
const allBytes = Array.from({ length: 256 }, (_, i) => String.fromCharCode(i)).join('');
const turn = (w: World, body: string, after = '', program = 'pro'): Promise<PassRecord> =>
  passed(w, { path: '/turn/x', body, after, program });
const spentBy = (w: World, program: string): number =>
  w.passes
    .filter((p) => p.program === program)
    .reduce((n, p) => n + outputOf(p.body).split('\n').length - 1, 0);

turns('the body of a turn is its chain byte for byte, over branches', async () => {
  for (const seed of seeds) {
    const w = await passUp(seed, small);
    const a = await turn(w, `a${allBytes}`);
    const b = await turn(w, allBytes, a.attempt);
    const [c, d] = await w.clock.finish(
      'branches',
      Promise.all(
        ['c', 'd'].map((body) =>
          passAt(w, { path: '/turn/x', body, after: b.attempt, program: 'pro' }),
        ),
      ),
      30000,
    );
    const e = await turn(w, `${allBytes}e`, d.attempt);
    assert.equal(
      [a, b, c, d, e].map((t) => t.reported),
      ['done', 'done', 'done', 'done', 'done'],
    );
    const chain = `${a.input}${outputOf(a.body)}${b.input}${outputOf(b.body)}`;
    assert.is(runsOf(w, c.attempt)[0]?.said, `${chain}c`);
    assert.is(runsOf(w, e.attempt)[0]?.said, `${chain}d${outputOf(d.body)}${allBytes}e`);
    assert.is(a.body, runsOf(w, a.attempt)[0]?.reply);
    assertNoBreach(recordsOf(w));
  }
});

turns(
  'a chain goes on after its owner is killed, a store is wiped, and everything stopped',
  async () => {
    for (const seed of seeds) {
      const w = await passUp(seed, small);
      let last = await turn(w, 'one');
      ownerOf(w, 'p/x-pro')?.kill();
      w.start(w.of('front').filter((m) => !m.up));
      await w.clock.until(
        'serving',
        () => w.readyFronts().length === 2 && w.slotsReplicated(),
        20000,
      );
      last = await turn(w, 'two', last.attempt);
      assert.is(last.reported, 'done', last.errorCode);
      const store = w.of('store')[seed % 3];
      store.kill('power');
      store.drive.wipe();
      store.start();
      await w.clock.run(4000);
      await w.clock.until('whole', () => w.slotsReplicated(), 20000);
      last = await turn(w, 'three', last.attempt);
      assert.is(last.reported, 'done', last.errorCode);
      await restart(w);
      last = await turn(w, 'four', last.attempt);
      assert.is(last.reported, 'done', last.errorCode);
      assertNoBreach(recordsOf(w));
    }
  },
);

turns('a turn of another program is found, also after everything lost power', async () => {
  for (const seed of seeds) {
    const w = await passUp(seed, small);
    const a = await turn(w, 'a');
    const b = await turn(w, 'b', a.attempt);
    const c = await turn(w, 'c', b.attempt, 'helper');
    assert.is(c.reported, 'done', c.errorCode);
    await restart(w);
    const d = await turn(w, 'd', b.attempt, 'late');
    const e = await turn(w, 'e', c.attempt, 'later');
    const f = await turn(w, 'f', e.attempt, 'later');
    assert.equal(
      [d, e, f].map((t) => `${t.reported} ${t.errorCode}`),
      ['done ', 'done ', 'done '],
    );
    assertNoBreach(recordsOf(w));
  }
});

turns(
  'a turn of another program that one store missed the end of is found nevertheless',
  async () => {
    for (const missed of [0, 1, 2]) {
      const w = await passUp(31, small);
      const a = await turn(w, 'a');
      const owner = ownerOf(w, 'p/x-pro');
      const store = w.of('store')[missed];
      for (const id of models) w.servers.set(id, { slow: 10 });
      const going = passAt(
        w,
        { path: '/turn/x', body: 'b', after: a.attempt, program: 'pro' },
        owner,
      );
      await w.clock.run(30);
      w.net.cutBoth([`${owner?.addr ?? ''}/data`], [store.addr]);
      const b = await w.clock.finish('turn', going, 30000);
      assert.is(b.reported, 'done', b.errorCode);
      w.net.healCuts();
      const other = await turn(w, 'c', b.attempt, 'helper');
      assert.is(other.reported, 'done', `${other.status} ${other.errorCode}`);
      assertNoBreach(recordsOf(w));
    }
  },
);

turns('a turn that does not exist is 404 only if the stores confirm it, else 503', async () => {
  const w = await passUp(32, small);
  await turn(w, 'a');
  const none = await turn(w, 'b', 'r-none');
  assert.equal([none.reported, none.status], ['refused', 404]);
  const stores = w.of('store').slice(1);
  for (const m of stores) m.kill();
  const unsure = await passed(
    w,
    { path: '/turn/x', body: 'b', after: 'r-none', program: 'pro' },
    ownerOf(w, 'p/x-pro'),
  );
  assert.equal([unsure.reported, unsure.status], ['refused', 503]);
  w.start(stores);
  await w.clock.run(6000);
  assert.is((await turn(w, 'b', 'r-none')).status, 404);
  assert.equal(
    [none, unsure].flatMap((t) => runsOf(w, t.attempt)),
    [],
  );
});

turns('a turn named while it runs is 503, and after it has broken off 404', async () => {
  for (const program of ['pro', 'helper']) {
    const w = await passUp(33, small);
    for (const id of models) w.servers.set(id, { slow: 10, cutEvery: 1 });
    const going = passAt(w, { path: '/turn/x', body: 'a', program: 'pro', attempt: 'run' });
    await w.clock.run(60);
    const early = await turn(w, 'b', 'run', program);
    assert.equal([early.reported, early.status], ['refused', 503], program);
    assert.is((await w.clock.finish('going', going, 30000)).reported, 'partial');
    await w.clock.run(500);
    const late = await turn(w, 'c', 'run', program);
    assert.equal([late.reported, late.status], ['refused', 404], program);
    assertNoBreach(recordsOf(w));
  }
});

turns('a try that comes twice runs once', async () => {
  for (const path of ['/turn/x', '/flow/x']) {
    const w = await passUp(34, small);
    const spec = { path, body: 'a', program: 'pro', attempt: 'same' };
    const both = await w.clock.finish(
      'both',
      Promise.all([passAt(w, spec), passAt(w, spec)]),
      30000,
    );
    assert.equal(both.map((t) => t.reported).sort(), ['done', 'refused']);
    assert.is((await passed(w, spec)).reported, 'unknown');
    assert.is(runsOf(w, 'same').length, 1);
  }
});

turns(
  'a budget holds over helpers in parallel, broken streams, an owner kill and a full stop',
  async () => {
    for (const seed of seeds) {
      const w = await passUp(seed, small);
      w.servers.set('m1', { cutEvery: 2 });
      w.servers.set('m2', { loseEvery: 3 });
      const spec = { path: '/turn/x', program: 'pro', budget: 60, most: 10 };
      const burst = Array.from({ length: 8 }, (_, i) => passAt(w, { ...spec, body: `b${i}` }));
      await w.clock.run(12);
      ownerOf(w, 'p/x-pro')?.kill();
      await w.clock.finish('burst', Promise.all(burst), 60000);
      w.start(w.of('front').filter((m) => !m.up));
      await w.clock.run(3000);
      for (let i = 0; i < 4; i++) await passed(w, { ...spec, body: `c${i}` });
      await restart(w);
      for (let i = 0; i < 12; i++) await passed(w, { ...spec, body: `d${i}` });
      const made = w.servers.executed
        .filter((r) => r.program === 'pro')
        .reduce((n, r) => n + r.tokens, 0);
      assert.ok(made <= 70, `${made} made`);
      assert.ok(spentBy(w, 'pro') <= 70);
      const last = w.passes.at(-1);
      assert.equal([last?.reported, last?.status], ['refused', 402]);
      assertNoBreach(recordsOf(w));
    }
  },
);

turns('a turn told 402 never runs, and a runaway program costs no server anything', async () => {
  const w = await passUp(35, small);
  const spec = { path: '/turn/x', program: 'pro', budget: 20, most: 10 };
  for (let i = 0; i < 8; i++) await passed(w, { ...spec, body: `a${i}` });
  const asked = w.servers.asked;
  const reported = await w.clock.finish(
    'run away',
    Promise.all(Array.from({ length: 60 }, (_, i) => passAt(w, { ...spec, body: `r${i}` }))),
    30000,
  );
  assert.equal(new Set(reported.map((t) => t.status)), new Set([402]));
  assert.is(w.servers.asked, asked);
  await w.clock.run(10000);
  assertNoBreach(recordsOf(w));
});

turns('turns that no server ran cost the budget nothing', async () => {
  const w = await passUp(36, small);
  for (const id of models) w.servers.set(id, { declines: true });
  for (let i = 0; i < 10; i++)
    assert.is(
      (await passed(w, { path: '/turn/x', program: 'pro', budget: 10, most: 10, body: `${i}` }))
        .status,
      503,
    );
  for (const id of models) w.servers.set(id, { declines: false });
  assert.is(
    (await passed(w, { path: '/turn/x', program: 'pro', budget: 10, most: 10 })).reported,
    'done',
  );
});

turns('a stream that may be resumed goes on elsewhere after the last whole event', async () => {
  for (const fault of [
    { cutEvery: 2 },
    { cutEvery: 2, cutsInsideEvent: true },
    { loseEvery: 2 },
  ] satisfies Partial<ServerFaults>[])
    for (const seed of seeds) {
      const w = await passUp(seed, small);
      for (const id of models) w.servers.set(id, fault);
      let joined = 0;
      for (let i = 0; i < 10; i++) {
        const t = await passed(w, { path: '/live/x', body: `${i}` });
        assert.is(t.reported, 'done', t.errorCode);
        assert.is(outputOf(t.body).split('\n').length - 1, eventsIn(t.attempt));
        if (runsOf(w, t.attempt).length > 1) joined++;
      }
      assert.ok(joined > 2);
      assertNoBreach(recordsOf(w));
    }
});

turns(
  'a caller that resumes a stream gets nothing twice though its server breaks off before an event',
  async () => {
    const w = await passUp(37, small);
    for (const id of models) w.servers.set(id, { cutEvery: 2 });
    for (let i = 0; i < 6; i++) {
      const attempt = ['q0', 'q1', 'q2', 'q3', 'q4', 'q5'][i] ?? '';
      const resume = eventsIn(attempt) - 2;
      const t = await passed(w, { path: '/live/x', body: `${i}`, attempt, resume: String(resume) });
      assert.is(t.reported, 'done', t.errorCode);
      assert.match(t.body, new RegExp(`^id: ${resume + 1}\n`));
      assert.is(t.body.split('id: ').length, 2);
    }
  },
);

turns(
  'a stream that may not be resumed breaks off at a whole event and is not run again',
  async () => {
    for (const path of ['/flow/x', '/turn/x'])
      for (const fault of [
        { cutEvery: 1 },
        { cutEvery: 1, cutsInsideEvent: true },
      ] satisfies Partial<ServerFaults>[]) {
        const w = await passUp(38, small);
        for (const id of models) w.servers.set(id, fault);
        for (let i = 0; i < 4; i++) {
          const t = await passed(w, { path, program: 'pro', body: `${i}` });
          assert.is(t.reported, 'partial');
          assert.match(t.body, /\n\n$/);
          await w.clock.run(2000);
          assert.is(runsOf(w, t.attempt).length, 1);
        }
        assertNoBreach(recordsOf(w));
      }
  },
);

turns('a caller that goes away frees its server, and the turn is not run again', async () => {
  for (const path of ['/turn/x', '/flow/x', '/live/x']) {
    const w = await passUp(39, small);
    for (const id of models) w.servers.set(id, { slow: 100 });
    const leaves = new AbortController();
    const going = passAt(w, {
      path,
      program: 'pro',
      body: 'a',
      attempt: 'left',
      cancelled: leaves.signal,
    });
    await w.clock.run(700);
    leaves.abort();
    assert.is.not((await w.clock.finish('going', going, 30000)).reported, 'done');
    await w.clock.run(10000);
    assert.equal(
      runsOf(w, 'left').map((r) => r.complete),
      [false],
    );
    assertNoBreach(recordsOf(w));
  }
});

turns('a turn moved to another pool while it waits runs there with its chain', async () => {
  const w = await passUp(40, small);
  const a = await turn(w, 'a');
  const put = await w.operate('PUT', '/v1/config', passConfigText(1, 'others'));
  assert.is(put.status, 200);
  await w.clock.run(1000);
  const b = await turn(w, 'b', a.attempt);
  assert.is(b.reported, 'done', b.errorCode);
  assert.is(runsOf(w, b.attempt)[0]?.pool, 'others');
  assert.is(runsOf(w, b.attempt)[0]?.said, `a${outputOf(a.body)}b`);
});

turns(
  'a turn is kept as long as its route says, though other things are kept for less',
  async () => {
    for (const program of ['pro', 'helper']) {
      const w = await passUp(41, small, {}, 20000);
      const a = await turn(w, 'a');
      await w.clock.run(45000);
      const b = await turn(w, 'b', a.attempt, program);
      assert.is(b.reported, 'done', `${program}: ${b.status} ${b.errorCode}`);
    }
  },
);

turns.run();
