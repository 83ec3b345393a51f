import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { configText, fiveControls, small, worldUp } from '../support/world-helpers.js';

const zen = suite('zen under failure');
const seeds = [1, 2, 3, 4, 5];

zen('the same seed gives the same run, another seed another', async () => {
  const runs = await Promise.all(
    [1, 1, 2].map(async (seed) => {
      const w = await worldUp(seed, small);
      return `${w.clock.now()} ${w.net.messages} ${w.master?.addr ?? ''}`;
    }),
  );
  assert.is(runs[0], runs[1]);
  assert.is.not(runs[0], runs[2]);
});

zen('a killed master is replaced and its configuration stays', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, fiveControls);
    const old = w.master;
    const term = old?.control?.zen.term ?? 0;
    old?.kill('power');
    const took = await w.clock.until(
      'another master',
      () => w.master !== undefined && w.master !== old,
      8000,
    );
    assert.ok(took < 4000, `took ${took}`);
    assert.ok((w.master?.control?.zen.term ?? 0) > term);
    const got = await w.operate('GET', '/v1/config');
    assert.is(got.status, 200);
  }
});

zen('a frozen master gives no orders once woken', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, fiveControls);
    const old = w.master;
    const oldNode = old?.control;
    old?.freeze();
    await w.clock.until('another master', () => w.master !== undefined && w.master !== old, 12000);
    const put = await w.operate('PUT', '/v1/config', configText(1, 'models', 'shop', 1));
    assert.is(put.status, 200);
    old?.wake();
    const late = oldNode
      ? await w.clock.finish(
          'late put',
          oldNode.operate({
            method: 'PUT',
            path: '/v1/config',
            body: configText(1, 'models', 'shop', 9),
          }),
          30000,
        )
      : undefined;
    assert.ok(late && late.status !== 200, JSON.stringify(late));
    await w.clock.run(5000);
    assert.is(w.masters().length, 1);
    const got = await w.operate('GET', '/v1/config');
    assert.match(JSON.stringify(got.body), 'x0');
  }
});

zen('a control group cut two to three has one master that can commit', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, fiveControls);
    const master = w.master;
    const others = w.of('control').filter((m) => m !== master);
    const minority = [master, others[0]].flatMap((m) => (m ? [m.addr] : []));
    const rest = w.machines.map((m) => m.addr).filter((a) => !minority.includes(a));
    w.net.cutBoth(minority, rest);
    const lost = master
      ? w.operate('PUT', '/v1/config', configText(1, 'models', 'shop', 7), master, 30000)
      : undefined;
    const reported = await lost;
    assert.is.not(reported?.status, 200);
    await w.clock.until(
      'a master on the other side',
      () => w.masters().some((m) => !minority.includes(m.addr)),
      12000,
    );
    const winner = w.masters().find((m) => !minority.includes(m.addr));
    const put = await w.operate('PUT', '/v1/config', configText(1, 'models', 'shop', 2), winner);
    assert.is(put.status, 200);
    w.net.healCuts();
    await w.clock.run(8000);
    assert.is(w.masters().length, 1);
    const got = await w.operate('GET', '/v1/config');
    assert.match(JSON.stringify(got.body), 'x1');
    assert.not.match(JSON.stringify(got.body), 'x6');
  }
});

zen(
  'after everything loses power serving is back within the bound with its configuration',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, fiveControls);
      const put = await w.operate('PUT', '/v1/config', configText(1, 'models', 'shop', 3));
      assert.is(put.status, 200);
      for (const m of w.machines) m.kill('power');
      await w.clock.run(1000);
      w.start();
      const took = await w.clock.until(
        'serving',
        () => w.readyFronts().length === 3 && w.slotsReplicated(),
        12000,
      );
      assert.ok(took < 12000, `took ${took}`);
      const got = await w.operate('GET', '/v1/config');
      assert.match(JSON.stringify(got.body), 'x2');
      const p = await w.clock.finish('program', w.program(100), 10000);
      assert.is(p.reported, 'done');
    }
  },
);

zen('a winner that missed the newest state takes it from a joiner before it leads', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const old = w.master;
    const others = w.of('control').filter((m) => m !== old);
    assert.is(others.length, 2, 'three controls are needed');
    const [behind] = [...others].sort((a, b) =>
      (a.control?.id ?? '') < (b.control?.id ?? '') ? -1 : 1,
    );
    if (!old) throw new Error('a master is needed');
    w.net.cutBoth(
      [behind.addr],
      w.machines.map((m) => m.addr).filter((a) => a !== behind.addr),
    );
    assert.is(
      (await w.operate('PUT', '/v1/config', configText(1, 'models', 'shop', 4), old)).status,
      200,
    );
    assert.is(behind.control?.zen.accepted?.config?.version, 1);
    old.kill('power');
    w.net.healCuts();
    await w.clock.until('the one behind to lead', () => w.master === behind, 15000);
    const got = await w.operate('GET', '/v1/config');
    assert.match(JSON.stringify(got.body), '"version":2');
  }
});

zen('two operators at once: one wins, the other is told the current version', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, small);
    const [a, b] = w.of('control');
    const both = await w.clock.finish(
      'both',
      Promise.all(
        [a, b].map(async (m, i) =>
          m.control?.operate({
            method: 'PUT',
            path: '/v1/config',
            body: configText(1, 'models', 'shop', i + 1),
          }),
        ),
      ),
      20000,
    );
    assert.equal(both.map((o) => o?.status).sort(), [200, 409]);
    assert.match(JSON.stringify(both.find((o) => o?.status === 409)?.body), '"current":2');
  }
});

zen('blank controls at new addresses bootstrap nothing while one old node answers', async () => {
  for (const seed of seeds) {
    const w = await worldUp(seed, fiveControls);
    const survivor = w.of('control')[4];
    const cluster = survivor.control?.zen.clusterId;
    for (const m of w.of('control')) if (m !== survivor) m.kill();
    const fresh = [5, 6, 7].map((n) => `control-${n}`);
    for (let i = 0; i < 3; i++) w.add('control', [...fresh.slice(0, 2), 'control-4']).start();
    await w.clock.run(20000);
    for (const n of fresh) assert.ok(['', cluster].includes(w.at(n).control?.zen.clusterId));
    assert.is(survivor.control?.zen.clusterId, cluster);
    assert.is(w.masters().length, 0);
  }
});

zen('silent controls are replaced one by one by caught-up newcomers, seeds and all', async () => {
  for (const seed of seeds.slice(0, 3)) {
    const w = await worldUp(seed, fiveControls);
    const cluster = w.master?.control?.zen.clusterId;
    for (let i = 0; i < 3; i++) {
      w.at(`control-${i}`).kill();
      const fresh = w.add('control', ['control-3', 'control-4', `control-${5 + i}`]);
      fresh.start();
      const swapped = () =>
        fresh.control?.zen.accepted?.voters.current.includes(fresh.control.id) ?? false;
      await w.clock.until(`swap ${i}`, swapped, 30000);
    }
    const voters = w.master?.control?.zen.accepted?.voters.current ?? [];
    assert.is(voters.length, 5);
    for (const m of w.machines) m.kill('power');
    w.start(w.machines.filter((m) => !['control-0', 'control-1', 'control-2'].includes(m.addr)));
    await w.clock.until(
      'serving',
      () => w.readyFronts().length === 3 && w.slotsReplicated(),
      12000,
    );
    assert.is(w.master?.control?.zen.clusterId, cluster);
    assert.is((await w.operate('GET', '/v1/config')).status, 200);
  }
});

zen(
  'a control that lost its disk and came back at the same address does not vote for who it was',
  async () => {
    for (const seed of seeds) {
      const w = await worldUp(seed, small);
      const master = w.master;
      const others = w.of('control').filter((m) => m !== master);
      assert.is(others.length, 2);
      const [c, d] = others;
      const before = c.control?.id ?? '';
      c.kill('power');
      c.drive.wipe();
      c.start();
      await w.clock.until(
        'back as another',
        () => {
          const id = c.control?.id;
          return (
            id !== undefined &&
            id !== before &&
            (master?.control?.zen.leading?.committed?.nodes.has(id) ?? false)
          );
        },
        8000,
      );
      d.kill();
      const put = await w.operate(
        'PUT',
        '/v1/config',
        configText(1, 'models', 'shop', 1),
        master,
        30000,
      );
      assert.is.not(put.status, 200, 'one of three voters is no majority');
      d.start();
      const voters = () => w.committed?.voters.current ?? [];
      await w.clock.until(
        'it votes as who it is now',
        () => voters().includes(c.control?.id ?? 'none'),
        30000,
      );
      assert.not.ok(voters().includes(before));
      assert.is((await w.operate('GET', '/v1/config')).status, 200);
    }
  },
);

zen.run();
