/** Streams on pass routes: turn chains, budgets, resumption and disconnects. */
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

const streams = suite('streams on pass routes');
const seeds = [21, 22, 23];
const models = ['m1', 'm2'];
/** Twice the retention of the routes: the time after which stores drop turns that nobody went on from, in ms. */
const expiryMs = 120_000;
const allBytes = Array.from({ length: 256 }, (_, i) => String.fromCharCode(i)).join('');
const runTurn = (world: World, body: string, after = '', program = 'pro'): Promise<PassRecord> =>
  passed(world, { path: '/turn/x', body, after, program });
const spentBy = (world: World, program: string): number =>
  world.passes
    .filter((pass) => pass.program === program)
    .reduce((total, pass) => total + outputOf(pass.body).split('\n').length - 1, 0);

streams('a model gets the chain of a turn byte for byte, also with branches', async () => {
  for (const seed of seeds) {
    const world = await passUp(seed, small);
    const a = await runTurn(world, `a${allBytes}`);
    const b = await runTurn(world, allBytes, a.attempt);
    const [c, d] = await world.clock.finish(
      'branches',
      Promise.all(
        ['c', 'd'].map((body) =>
          passAt(world, { path: '/turn/x', body, after: b.attempt, program: 'pro' }),
        ),
      ),
      30000,
    );
    const e = await runTurn(world, `${allBytes}e`, d.attempt);
    assert.equal(
      [a, b, c, d, e].map((record) => record.reported),
      ['done', 'done', 'done', 'done', 'done'],
    );
    const chain = `${a.input}${outputOf(a.body)}${b.input}${outputOf(b.body)}`;
    assert.is(runsOf(world, c.attempt)[0]?.said, `${chain}c`);
    assert.is(runsOf(world, e.attempt)[0]?.said, `${chain}d${outputOf(d.body)}${allBytes}e`);
    assert.is(a.body, runsOf(world, a.attempt)[0]?.reply);
    assertNoBreach(recordsOf(world));
  }
});

streams(
  'a chain continues after its owner is killed, a store is wiped, and all machines restart',
  async () => {
    for (const seed of seeds) {
      const world = await passUp(seed, small);
      let last = await runTurn(world, 'one');
      ownerOf(world, 'p/x-pro')?.kill();
      world.start(world.of('front').filter((machine) => !machine.up));
      await world.clock.until(
        'serving',
        () => world.readyFronts().length === 2 && world.slotsComplete(),
        20000,
      );
      last = await runTurn(world, 'two', last.attempt);
      assert.is(last.reported, 'done', last.errorCode);
      const store = world.of('store')[seed % 3];
      store.kill('power');
      store.drive.wipe();
      store.start();
      await world.clock.run(4000);
      await world.clock.until('slots open', () => world.slotsComplete(), 20000);
      last = await runTurn(world, 'three', last.attempt);
      assert.is(last.reported, 'done', last.errorCode);
      await restart(world);
      last = await runTurn(world, 'four', last.attempt);
      assert.is(last.reported, 'done', last.errorCode);
      assertNoBreach(recordsOf(world));
    }
  },
);

streams('a turn of another program is found, also after a power loss of all machines', async () => {
  for (const seed of seeds) {
    const world = await passUp(seed, small);
    const a = await runTurn(world, 'a');
    const b = await runTurn(world, 'b', a.attempt);
    const c = await runTurn(world, 'c', b.attempt, 'helper');
    assert.is(c.reported, 'done', c.errorCode);
    await restart(world);
    const d = await runTurn(world, 'd', b.attempt, 'late');
    const e = await runTurn(world, 'e', c.attempt, 'later');
    const f = await runTurn(world, 'f', e.attempt, 'later');
    assert.equal(
      [d, e, f].map((record) => `${record.reported} ${record.errorCode}`),
      ['done ', 'done ', 'done '],
    );
    assertNoBreach(recordsOf(world));
  }
});

// Guards against 404 for a turn of some seconds ago once a program that copied its history has expired (LOST).
streams('a turn is found after another program that went on from its history expired', async () => {
  for (const seed of seeds) {
    const world = await passUp(seed, small, {}, expiryMs);
    const first = await runTurn(world, 'a');
    const resting = await runTurn(world, 'b', first.attempt, 'short');
    assert.is(resting.reported, 'done', resting.errorCode);
    let last = first;
    for (let n = 0; n < 4; n++) {
      await world.clock.run(expiryMs / 3);
      last = await runTurn(world, `a${n}`, last.attempt);
      assert.is(last.reported, 'done', last.errorCode);
    }
    const third = await runTurn(world, 'c', last.attempt, 'third');
    assert.is(third.reported, 'done', `${third.status} ${third.errorCode}`);
    assertNoBreach(recordsOf(world));
  }
});

streams('a turn of another program is found although one store missed its end', async () => {
  for (const missed of [0, 1, 2]) {
    const world = await passUp(31, small);
    const a = await runTurn(world, 'a');
    const owner = ownerOf(world, 'p/x-pro');
    const store = world.of('store')[missed];
    for (const id of models) world.servers.set(id, { slow: 10 });
    const pending = passAt(
      world,
      { path: '/turn/x', body: 'b', after: a.attempt, program: 'pro' },
      owner,
    );
    await world.clock.run(30);
    world.net.cutBoth([`${owner?.addr ?? ''}/data`], [store.addr]);
    const b = await world.clock.finish('turn', pending, 30000);
    assert.is(b.reported, 'done', b.errorCode);
    world.net.healCuts();
    const other = await runTurn(world, 'c', b.attempt, 'helper');
    assert.is(other.reported, 'done', `${other.status} ${other.errorCode}`);
    assertNoBreach(recordsOf(world));
  }
});

streams('a turn that does not exist is 404 only if the stores confirm it, else 503', async () => {
  const world = await passUp(32, small);
  await runTurn(world, 'a');
  const missing = await runTurn(world, 'b', 'r-none');
  assert.equal([missing.reported, missing.status], ['refused', 404]);
  const stores = world.of('store').slice(1);
  for (const machine of stores) machine.kill();
  const unconfirmed = await passed(
    world,
    { path: '/turn/x', body: 'b', after: 'r-none', program: 'pro' },
    ownerOf(world, 'p/x-pro'),
  );
  assert.equal([unconfirmed.reported, unconfirmed.status], ['refused', 503]);
  world.start(stores);
  await world.clock.run(6000);
  assert.is((await runTurn(world, 'b', 'r-none')).status, 404);
  assert.equal(
    [missing, unconfirmed].flatMap((record) => runsOf(world, record.attempt)),
    [],
  );
});

streams(
  'a turn that follows a running turn gets 503, and one that follows a broken turn 404',
  async () => {
    for (const program of ['pro', 'helper']) {
      const world = await passUp(33, small);
      for (const id of models) world.servers.set(id, { slow: 10, cutEvery: 1 });
      const pending = passAt(world, { path: '/turn/x', body: 'a', program: 'pro', attempt: 'run' });
      await world.clock.run(60);
      const whileRunning = await runTurn(world, 'b', 'run', program);
      assert.equal([whileRunning.reported, whileRunning.status], ['refused', 503], program);
      assert.is((await world.clock.finish('pending turn', pending, 30000)).reported, 'partial');
      await world.clock.run(500);
      const afterBreak = await runTurn(world, 'c', 'run', program);
      assert.equal([afterBreak.reported, afterBreak.status], ['refused', 404], program);
      assertNoBreach(recordsOf(world));
    }
  },
);

streams('an attempt that arrives twice runs once', async () => {
  for (const path of ['/turn/x', '/flow/x']) {
    const world = await passUp(34, small);
    const spec = { path, body: 'a', program: 'pro', attempt: 'same' };
    const both = await world.clock.finish(
      'both',
      Promise.all([passAt(world, spec), passAt(world, spec)]),
      30000,
    );
    assert.equal(both.map((record) => record.reported).sort(), ['done', 'refused']);
    assert.is((await passed(world, spec)).reported, 'unknown');
    assert.is(runsOf(world, 'same').length, 1);
  }
});

streams(
  'a budget holds across parallel turns, broken streams, a killed owner and a full restart',
  async () => {
    for (const seed of seeds) {
      const world = await passUp(seed, small);
      world.servers.set('m1', { cutEvery: 2 });
      world.servers.set('m2', { loseEvery: 3 });
      const spec = { path: '/turn/x', program: 'pro', budget: 60, most: 10 };
      const burst = Array.from({ length: 8 }, (_, i) => passAt(world, { ...spec, body: `b${i}` }));
      await world.clock.run(12);
      ownerOf(world, 'p/x-pro')?.kill();
      await world.clock.finish('burst', Promise.all(burst), 60000);
      world.start(world.of('front').filter((machine) => !machine.up));
      await world.clock.run(3000);
      for (let i = 0; i < 4; i++) await passed(world, { ...spec, body: `c${i}` });
      await restart(world);
      for (let i = 0; i < 12; i++) await passed(world, { ...spec, body: `d${i}` });
      const generatedTokens = world.servers.executed
        .filter((run) => run.program === 'pro')
        .reduce((total, run) => total + run.tokens, 0);
      assert.ok(generatedTokens <= 70, `${generatedTokens} generated`);
      assert.ok(spentBy(world, 'pro') <= 70);
      const last = world.passes.at(-1);
      assert.equal([last?.reported, last?.status], ['refused', 402]);
      assertNoBreach(recordsOf(world));
    }
  },
);

streams(
  'a turn refused with 402 never runs, and a program that has spent its budget reaches no server',
  async () => {
    const world = await passUp(35, small);
    const spec = { path: '/turn/x', program: 'pro', budget: 20, most: 10 };
    for (let i = 0; i < 8; i++) await passed(world, { ...spec, body: `a${i}` });
    const requestsBefore = world.servers.asked;
    const reported = await world.clock.finish(
      'run away',
      Promise.all(Array.from({ length: 60 }, (_, i) => passAt(world, { ...spec, body: `r${i}` }))),
      30000,
    );
    assert.equal(new Set(reported.map((record) => record.status)), new Set([402]));
    assert.is(world.servers.asked, requestsBefore);
    await world.clock.run(10000);
    assertNoBreach(recordsOf(world));
  },
);

streams('turns that no server ran do not use the budget', async () => {
  const world = await passUp(36, small);
  for (const id of models) world.servers.set(id, { declines: true });
  for (let i = 0; i < 10; i++)
    assert.is(
      (await passed(world, { path: '/turn/x', program: 'pro', budget: 10, most: 10, body: `${i}` }))
        .status,
      503,
    );
  for (const id of models) world.servers.set(id, { declines: false });
  assert.is(
    (await passed(world, { path: '/turn/x', program: 'pro', budget: 10, most: 10 })).reported,
    'done',
  );
});

streams(
  'a resumable stream continues at another server after the last complete event',
  async () => {
    for (const fault of [
      { cutEvery: 2 },
      { cutEvery: 2, cutsInsideEvent: true },
      { loseEvery: 2 },
    ] satisfies Partial<ServerFaults>[])
      for (const seed of seeds) {
        const world = await passUp(seed, small);
        for (const id of models) world.servers.set(id, fault);
        let resumedCount = 0;
        for (let i = 0; i < 10; i++) {
          const record = await passed(world, { path: '/live/x', body: `${i}` });
          assert.is(record.reported, 'done', record.errorCode);
          assert.is(outputOf(record.body).split('\n').length - 1, eventsIn(record.attempt));
          if (runsOf(world, record.attempt).length > 1) resumedCount++;
        }
        assert.ok(resumedCount > 2);
        assertNoBreach(recordsOf(world));
      }
  },
);

streams(
  'a caller that resumes a stream gets no event twice although its server breaks off before one',
  async () => {
    const world = await passUp(37, small);
    for (const id of models) world.servers.set(id, { cutEvery: 2 });
    for (let i = 0; i < 6; i++) {
      const attempt = ['q0', 'q1', 'q2', 'q3', 'q4', 'q5'][i] ?? '';
      const resume = eventsIn(attempt) - 2;
      const record = await passed(world, {
        path: '/live/x',
        body: `${i}`,
        attempt,
        resume: String(resume),
      });
      assert.is(record.reported, 'done', record.errorCode);
      assert.match(record.body, new RegExp(`^id: ${resume + 1}\n`));
      assert.is(record.body.split('id: ').length, 2);
    }
  },
);

streams(
  'a stream that is not resumable breaks off after a complete event and is not run again',
  async () => {
    for (const path of ['/flow/x', '/turn/x'])
      for (const fault of [
        { cutEvery: 1 },
        { cutEvery: 1, cutsInsideEvent: true },
      ] satisfies Partial<ServerFaults>[]) {
        const world = await passUp(38, small);
        for (const id of models) world.servers.set(id, fault);
        for (let i = 0; i < 4; i++) {
          const record = await passed(world, { path, program: 'pro', body: `${i}` });
          assert.is(record.reported, 'partial');
          assert.match(record.body, /\n\n$/);
          await world.clock.run(2000);
          assert.is(runsOf(world, record.attempt).length, 1);
        }
        assertNoBreach(recordsOf(world));
      }
  },
);

streams(
  'when a caller disconnects, its server is released and the turn is not run again',
  async () => {
    for (const path of ['/turn/x', '/flow/x', '/live/x']) {
      const world = await passUp(39, small);
      for (const id of models) world.servers.set(id, { slow: 100 });
      const caller = new AbortController();
      const pending = passAt(world, {
        path,
        program: 'pro',
        body: 'a',
        attempt: 'left',
        cancelled: caller.signal,
      });
      await world.clock.run(700);
      caller.abort();
      assert.is.not((await world.clock.finish('pending turn', pending, 30000)).reported, 'done');
      await world.clock.run(10000);
      assert.equal(
        runsOf(world, 'left').map((run) => run.complete),
        [false],
      );
      assertNoBreach(recordsOf(world));
    }
  },
);

streams('a turn of a route that moved to another pool runs there with its chain', async () => {
  const world = await passUp(40, small);
  const a = await runTurn(world, 'a');
  const put = await world.operate('PUT', '/v1/config', passConfigText(1, 'others'));
  assert.is(put.status, 200);
  await world.clock.run(1000);
  const b = await runTurn(world, 'b', a.attempt);
  assert.is(b.reported, 'done', b.errorCode);
  assert.is(runsOf(world, b.attempt)[0]?.pool, 'others');
  assert.is(runsOf(world, b.attempt)[0]?.said, `a${outputOf(a.body)}b`);
});

streams(
  'a turn is kept for the retention of its route, even if the general retention is shorter',
  async () => {
    for (const program of ['pro', 'helper']) {
      const world = await passUp(41, small, {}, 20000);
      const a = await runTurn(world, 'a');
      await world.clock.run(45000);
      const b = await runTurn(world, 'b', a.attempt, program);
      assert.is(b.reported, 'done', `${program}: ${b.status} ${b.errorCode}`);
    }
  },
);

streams.run();
