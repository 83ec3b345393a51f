/** The never-list while serving continues: budgets, streams, draining, configuration changes, queues. */
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

const serving = suite('never-list while serving');

const seeds = [11, 12, 13, 14];

serving('a stream that loses chunks between two fronts is not reported as done', async () => {
  for (const seed of seeds) {
    const world = await worldUp(seed, small);
    const created = await world.clock.finish('program', world.program(200), 10000);
    const owner = ownerOf(world, `p/${created.program}`);
    const other = world.of('front').find((machine) => machine !== owner);
    const running = world.turn(created.program, null, `l #${seed}`, 'k', other);
    await world.clock.until(
      'the start of the turn',
      () =>
        world.reported.length > 0 &&
        world.net.messages > 0 &&
        (owner?.front?.owner.sizes().items ?? 0) > 1,
      5000,
    );
    await world.clock.run(6);
    world.net.cut(`${owner?.addr ?? ''}/data`, `${other?.addr ?? ''}/data`);
    await world.clock.run(7);
    world.net.healCuts();
    const reply = await world.clock.finish('turn', running, 30000);
    assert.is.not(reply.reported, 'done');
    assertNoBreach(recordsOf(world));
  }
});

serving('unreachable stores do not count as failures of the servers', async () => {
  const world = await worldUp(52, small);
  const owner = ownerOf(world, opKeyOf('t', 'cut'));
  world.net.cutBoth(
    [`${owner?.addr ?? ''}/data`],
    world.of('store').map((machine) => machine.addr),
  );
  const reply = await world.clock.finish(
    'call',
    world.call('cut', '/hold', { n: 1 }, owner),
    30000,
  );
  assert.is(reply.reported, 'refused');
  const placement = owner?.front?.owner.placement;
  const server = owner?.front?.owner.current?.state.servers.get('s1');
  assert.ok(placement && server);
  assert.equal(placement.failuresOf('s1'), 0);
  assert.equal(placement.failuresOf('s2'), 0);
});

serving(
  'a budget is enforced across owner changes, with a sub-agent and concurrent turns',
  async () => {
    for (const seed of seeds) {
      const world = await worldUp(seed, fiveControls);
      const created = await world.clock.finish('program', world.program(60), 10000);
      const helper = await world.clock.finish(
        'helper',
        world.program(60, undefined, created.program),
        10000,
      );
      assert.is(helper.reported, 'done');
      const burst = Array.from({ length: 8 }, (_, i) =>
        world.turn(i % 2 ? created.program : helper.program, null, `x #${seed}-${i}`, `b${i}`),
      );
      await world.clock.run(15);
      ownerOf(world, `p/${created.program}`)?.kill();
      await world.clock.finish('burst', Promise.all(burst), 60000);
      for (let i = 0; i < 12; i++)
        await world.clock.finish(
          'more',
          world.turn(created.program, null, `y #${seed}-${i}`, `c${i}`),
          60000,
        );
      const tokens = world.reported
        .filter((reply) => reply.kind === 'turn')
        .reduce((total, reply) => total + reply.chunks.length, 0);
      assert.ok(tokens <= 60 + 16, `${tokens} tokens`);
      const last = world.reported.at(-1);
      assert.is(last?.errorCode, 'budget-spent');
      assertNoBreach(recordsOf(world));
    }
  },
);

serving(
  'a broken stream is partial, its retry is not run, and no stream mixes two executions',
  async () => {
    for (const seed of seeds) {
      const world = await worldUp(seed, small);
      world.servers.set('m1', { cutEvery: 2 });
      world.servers.set('m2', { loseEvery: 2 });
      const created = await world.clock.finish('program', world.program(900), 10000);
      for (let i = 0; i < 10; i++) {
        const reply = await world.clock.finish(
          'turn',
          world.turn(created.program, null, `s #${seed}-${i}`, `k${i}`),
          30000,
        );
        if (reply.reported === 'done' || reply.reported === 'refused') continue;
        const retry = await world.clock.finish(
          'again',
          world.turn(created.program, null, `s #${seed}-${i}`, `k${i}`),
          30000,
        );
        assert.is(retry.reported, 'unknown');
        assert.is(
          world.servers.executed.filter((execution) => execution.said.trim() === `s #${seed}-${i}`)
            .length,
          1,
        );
      }
      assert.ok(world.reported.some((reply) => reply.reported === 'partial'));
      assertNoBreach(recordsOf(world));
    }
  },
);

serving(
  'a draining server gets no new work after 3 s, neither from a front cut off nor from one that was frozen',
  async () => {
    for (const seed of seeds) {
      const world = await worldUp(seed, fiveControls);
      const [cutFront, frozenFront] = world.of('front');
      const others = world.machines.filter((m) => m.kind !== 'front').map((m) => m.addr);
      const created = await world.clock.finish('program', world.program(900), 10000);
      world.net.cutBoth([cutFront.addr], others);
      frozenFront.freeze();
      const at = world.clock.now();
      const marked = await world.operate('POST', '/v1/servers/m1/draining');
      assert.is(marked.status, 200);
      let woken = false;
      let i = 0;
      const running: Promise<unknown>[] = [];
      while (world.clock.now() < at + 8000) {
        if (!woken && world.clock.now() > at + 4000) {
          frozenFront.wake();
          woken = true;
        }
        for (const machine of world.of('front'))
          if (!machine.incarnation.frozen)
            running.push(world.turn(created.program, null, `l #${seed}-${i}`, `l${i++}`, machine));
        await world.clock.run(100);
      }
      await world.clock.finish('all', Promise.all(running), 60000);
      assertNoBreach(recordsOf(world, { drainings: [{ server: 'm1', at, until: Infinity }] }));
      assert.ok(
        world.servers.executed.some(
          (execution) => execution.server === 'm2' && execution.began > at + 3300,
        ),
      );
    }
  },
);

serving('an acknowledged configuration is in force despite a cut and a frozen front', async () => {
  for (const seed of seeds) {
    const world = await worldUp(seed, fiveControls);
    await world.operate(
      'PUT',
      '/v1/servers/n1',
      JSON.stringify({ pool: 'others', url: 'http://127.0.0.1:1' }),
    );
    const [cutFront, frozenFront] = world.of('front');
    const others = world.machines.filter((m) => m.kind !== 'front').map((m) => m.addr);
    const created = await world.clock.finish('program', world.program(900), 10000);
    world.net.cutBoth([cutFront.addr], others);
    frozenFront.freeze();
    const sentAt = world.clock.now();
    const put = await world.operate('PUT', '/v1/config', configText(1, 'others'), undefined, 30000);
    assert.is(put.status, 200);
    const reportedAt = world.clock.now();
    frozenFront.wake();
    const running: Promise<unknown>[] = [];
    for (let i = 0; i < 40; i++) {
      for (const machine of world.of('front'))
        running.push(
          world.turn(
            created.program,
            null,
            `c #${seed}-${i}-${machine.index}`,
            `c${i}-${machine.index}`,
            machine,
          ),
        );
      await world.clock.run(100);
    }
    world.net.healCuts();
    await world.clock.finish('all', Promise.all(running), 60000);
    const base = {
      text: '',
      sentAt: 0,
      reported: 'done' as const,
      reportedAt: 0,
      callPools: ['shop'],
    };
    assertNoBreach(
      recordsOf(world, {
        readBack: { version: 2, text: '' },
        configs: [
          { ...base, version: 1, turnPools: ['models'] },
          { ...base, version: 2, turnPools: ['others'], sentAt, reportedAt },
        ],
      }),
    );
    assert.ok(world.servers.executed.some((execution) => execution.pool === 'others'));
    assert.not.ok(
      world.servers.executed.some(
        (execution) => execution.pool === 'models' && execution.began > reportedAt,
      ),
    );
  }
});

serving(
  'two concurrent calls with one key at two fronts run once and get the same reply',
  async () => {
    for (const seed of seeds) {
      const world = await worldUp(seed, small);
      const both = await world.clock.finish(
        'both',
        Promise.all(
          world.of('front').map((machine) => world.call('twin', '/hold', { n: 1 }, machine)),
        ),
        30000,
      );
      assert.equal(
        both.map((reply) => `${reply.reported} ${reply.errorCode}`),
        ['done ', 'done '],
      );
      assert.is(both[0]?.text, both[1]?.text);
      assert.is(executionCount(world, 'twin'), 1);
    }
  },
);

serving('turns queued for a removed pool run in the pool of the new configuration', async () => {
  for (const seed of seeds) {
    const world = await worldUp(seed, small);
    await world.operate(
      'PUT',
      '/v1/servers/n1',
      JSON.stringify({ pool: 'others', url: 'http://127.0.0.1:1' }),
    );
    const configWithOnePlace = (base: number, pool: string): string =>
      JSON.stringify({ ...JSON.parse(configText(base, pool)), bounds: { perServer: 1 } });
    assert.is(
      (await world.operate('PUT', '/v1/config', configWithOnePlace(1, 'models'))).status,
      200,
    );
    const created = await world.clock.finish('program', world.program(900), 10000);
    const front = ownerOf(world, `p/${created.program}`);
    for (const id of ['m1', 'm2']) world.servers.set(id, { slow: 40 });
    const running = Array.from({ length: 12 }, (_, i) =>
      world.turn(created.program, null, `d #${seed}-${i}`, `d${i}`, front),
    );
    await world.clock.run(100);
    assert.ok((front?.front?.owner.waiting ?? 0) >= 8);
    const sentAt = world.clock.now();
    assert.is(
      (await world.operate('PUT', '/v1/config', configWithOnePlace(2, 'others'))).status,
      200,
    );
    const reportedAt = world.clock.now();
    const replies = await world.clock.finish('all', Promise.all(running), 60000);
    assert.equal(
      replies.filter((reply) => reply.reported !== 'done').map((reply) => reply.errorCode),
      [],
    );
    assert.ok(
      world.servers.executed.filter((execution) => execution.pool === 'others').length >= 8,
    );
    assert.not.ok(
      world.servers.executed.some(
        (execution) => execution.pool === 'models' && execution.began > reportedAt,
      ),
    );
    const base = { text: '', reported: 'done' as const, callPools: ['shop'] };
    const configs = [
      { ...base, version: 1, turnPools: ['models'], sentAt: -1e9, reportedAt: 0 },
      { ...base, version: 3, turnPools: ['others'], sentAt, reportedAt },
    ];
    assertNoBreach(recordsOf(world, { configs, readBack: { version: 3, text: '' } }));
  }
});

serving(
  'a request is not refused while any server of its route is free and all others refuse connections',
  async () => {
    for (const seed of seeds) {
      const world = await worldUp(seed, small);
      for (const id of ['s3', 's4', 's5', 's6'])
        await world.operate(
          'PUT',
          `/v1/servers/${id}`,
          JSON.stringify({ pool: 'shop', url: 'http://127.0.0.1:1' }),
        );
      for (const id of ['m3', 'm4', 'm5', 'm6'])
        await world.operate(
          'PUT',
          `/v1/servers/${id}`,
          JSON.stringify({ pool: 'models', url: 'http://127.0.0.1:1' }),
        );
      const created = await world.clock.finish('program', world.program(900), 10000);
      await world.clock.run(600);
      const free = 1 + (seed % 6);
      for (let number = 1; number <= 6; number++)
        if (number !== free)
          for (const kind of ['m', 's']) world.servers.set(`${kind}${number}`, { refuses: true });
      const replies = await world.clock.finish(
        'both',
        Promise.all([
          world.call(`g${seed}`, '/hold', { n: 1 }),
          world.turn(created.program, null, `g #${seed}`, 'g'),
        ]),
        30000,
      );
      assert.equal(
        replies.map((reply) => `${reply.kind} ${reply.reported} ${reply.errorCode}`),
        ['call done ', 'turn done '],
      );
    }
  },
);

serving.run();
