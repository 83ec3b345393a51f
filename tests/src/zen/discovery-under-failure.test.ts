/** Elections, bootstrapping and replacement of controls in a simulated cluster under failures, over several seeds. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { configText, fiveControls, small, worldUp } from '../support/world-helpers.js';

const zen = suite('zen under failure');
const seeds = [1, 2, 3, 4, 5];

zen('equal seeds yield equal runs, different seeds different runs', async () => {
  const runs = await Promise.all(
    [1, 1, 2].map(async (seed) => {
      const cluster = await worldUp(seed, small);
      return `${cluster.clock.now()} ${cluster.net.messages} ${cluster.master?.addr ?? ''}`;
    }),
  );
  assert.is(runs[0], runs[1]);
  assert.is.not(runs[0], runs[2]);
});

zen('a killed master is replaced, and the configuration is kept', async () => {
  for (const seed of seeds) {
    const cluster = await worldUp(seed, fiveControls);
    const oldMaster = cluster.master;
    const oldTerm = oldMaster?.control?.zen.term ?? 0;
    oldMaster?.kill('power');
    const elapsedMs = await cluster.clock.until(
      'another master',
      () => cluster.master !== undefined && cluster.master !== oldMaster,
      8000,
    );
    assert.ok(elapsedMs < 4000, `took ${elapsedMs} ms`);
    assert.ok((cluster.master?.control?.zen.term ?? 0) > oldTerm);
    const read = await cluster.operate('GET', '/v1/config');
    assert.is(read.status, 200);
  }
});

zen('a frozen master commits nothing after it resumes', async () => {
  for (const seed of seeds) {
    const cluster = await worldUp(seed, fiveControls);
    const oldMaster = cluster.master;
    const oldNode = oldMaster?.control;
    oldMaster?.freeze();
    await cluster.clock.until(
      'another master',
      () => cluster.master !== undefined && cluster.master !== oldMaster,
      12000,
    );
    const put = await cluster.operate('PUT', '/v1/config', configText(1, 'models', 'shop', 1));
    assert.is(put.status, 200);
    oldMaster?.wake();
    const latePut = oldNode
      ? await cluster.clock.finish(
          'late put',
          oldNode.operate({
            method: 'PUT',
            path: '/v1/config',
            body: configText(1, 'models', 'shop', 9),
          }),
          30000,
        )
      : undefined;
    assert.ok(latePut && latePut.status !== 200, JSON.stringify(latePut));
    await cluster.clock.run(5000);
    assert.is(cluster.masters().length, 1);
    const read = await cluster.operate('GET', '/v1/config');
    assert.match(JSON.stringify(read.body), 'x0');
  }
});

zen('five controls partitioned two to three have one master that can commit', async () => {
  for (const seed of seeds) {
    const cluster = await worldUp(seed, fiveControls);
    const master = cluster.master;
    const others = cluster.of('control').filter((machine) => machine !== master);
    const minority = [master, others[0]].flatMap((machine) => (machine ? [machine.addr] : []));
    const majority = cluster.machines
      .map((machine) => machine.addr)
      .filter((addr) => !minority.includes(addr));
    cluster.net.cutBoth(minority, majority);
    const minorityPut = master
      ? cluster.operate('PUT', '/v1/config', configText(1, 'models', 'shop', 7), master, 30000)
      : undefined;
    const reported = await minorityPut;
    assert.is.not(reported?.status, 200);
    await cluster.clock.until(
      'a master in the majority',
      () => cluster.masters().some((machine) => !minority.includes(machine.addr)),
      12000,
    );
    const newMaster = cluster.masters().find((machine) => !minority.includes(machine.addr));
    const put = await cluster.operate(
      'PUT',
      '/v1/config',
      configText(1, 'models', 'shop', 2),
      newMaster,
    );
    assert.is(put.status, 200);
    cluster.net.healCuts();
    await cluster.clock.run(8000);
    assert.is(cluster.masters().length, 1);
    const read = await cluster.operate('GET', '/v1/config');
    assert.match(JSON.stringify(read.body), 'x1');
    assert.not.match(JSON.stringify(read.body), 'x6');
  }
});

zen(
  'after a power loss of all machines the cluster serves within the bound, with its configuration',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, fiveControls);
      const put = await cluster.operate('PUT', '/v1/config', configText(1, 'models', 'shop', 3));
      assert.is(put.status, 200);
      for (const machine of cluster.machines) machine.kill('power');
      await cluster.clock.run(1000);
      cluster.start();
      const elapsedMs = await cluster.clock.until(
        'serving',
        () => cluster.readyFronts().length === 3 && cluster.slotsComplete(),
        12000,
      );
      assert.ok(elapsedMs < 12000, `took ${elapsedMs} ms`);
      const read = await cluster.operate('GET', '/v1/config');
      assert.match(JSON.stringify(read.body), 'x2');
      const program = await cluster.clock.finish('program', cluster.program(100), 10000);
      assert.is(program.reported, 'done');
    }
  },
);

zen(
  'an elected control that missed the newest state adopts it from a joiner before it leads',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, small);
      const oldMaster = cluster.master;
      const others = cluster.of('control').filter((machine) => machine !== oldMaster);
      assert.is(others.length, 2, 'three controls are needed');
      const [outdated] = [...others].sort((a, b) =>
        (a.control?.id ?? '') < (b.control?.id ?? '') ? -1 : 1,
      );
      if (!oldMaster) throw new Error('a master is needed');
      cluster.net.cutBoth(
        [outdated.addr],
        cluster.machines.map((machine) => machine.addr).filter((addr) => addr !== outdated.addr),
      );
      assert.is(
        (await cluster.operate('PUT', '/v1/config', configText(1, 'models', 'shop', 4), oldMaster))
          .status,
        200,
      );
      assert.is(outdated.control?.zen.accepted?.config?.version, 1);
      oldMaster.kill('power');
      cluster.net.healCuts();
      await cluster.clock.until(
        'the outdated control to lead',
        () => cluster.master === outdated,
        15000,
      );
      const read = await cluster.operate('GET', '/v1/config');
      assert.match(JSON.stringify(read.body), '"version":2');
    }
  },
);

zen(
  'of two concurrent configuration changes one succeeds, the other gets the current version',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, small);
      const [first, second] = cluster.of('control');
      const outcomes = await cluster.clock.finish(
        'both',
        Promise.all(
          [first, second].map(async (machine, i) =>
            machine.control?.operate({
              method: 'PUT',
              path: '/v1/config',
              body: configText(1, 'models', 'shop', i + 1),
            }),
          ),
        ),
        20000,
      );
      assert.equal(outcomes.map((outcome) => outcome?.status).sort(), [200, 409]);
      assert.match(
        JSON.stringify(outcomes.find((outcome) => outcome?.status === 409)?.body),
        '"current":2',
      );
    }
  },
);

zen(
  'blank controls at new addresses do not bootstrap a cluster while one old control answers',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, fiveControls);
      const survivor = cluster.of('control')[4];
      const clusterId = survivor.control?.zen.clusterId;
      for (const machine of cluster.of('control')) if (machine !== survivor) machine.kill();
      const newAddresses = [5, 6, 7].map((n) => `control-${n}`);
      for (let i = 0; i < 3; i++)
        cluster.add('control', [...newAddresses.slice(0, 2), 'control-4']).start();
      await cluster.clock.run(20000);
      for (const addr of newAddresses)
        assert.ok(['', clusterId].includes(cluster.at(addr).control?.zen.clusterId));
      assert.is(survivor.control?.zen.clusterId, clusterId);
      assert.is(cluster.masters().length, 0);
    }
  },
);

zen(
  'failed controls, seeds included, are replaced one by one by new ones that hold the newest state',
  async () => {
    for (const seed of seeds.slice(0, 3)) {
      const cluster = await worldUp(seed, fiveControls);
      const clusterId = cluster.master?.control?.zen.clusterId;
      for (let i = 0; i < 3; i++) {
        cluster.at(`control-${i}`).kill();
        const replacement = cluster.add('control', ['control-3', 'control-4', `control-${5 + i}`]);
        replacement.start();
        const isVoter = () =>
          replacement.control?.zen.accepted?.voters.current.includes(replacement.control.id) ??
          false;
        await cluster.clock.until(`replacement ${i}`, isVoter, 30000);
      }
      const voters = cluster.master?.control?.zen.accepted?.voters.current ?? [];
      assert.is(voters.length, 5);
      for (const machine of cluster.machines) machine.kill('power');
      cluster.start(
        cluster.machines.filter(
          (machine) => !['control-0', 'control-1', 'control-2'].includes(machine.addr),
        ),
      );
      await cluster.clock.until(
        'serving',
        () => cluster.readyFronts().length === 3 && cluster.slotsComplete(),
        12000,
      );
      assert.is(cluster.master?.control?.zen.clusterId, clusterId);
      assert.is((await cluster.operate('GET', '/v1/config')).status, 200);
    }
  },
);

zen(
  'a control that lost its disk and returned at the same address does not vote under its old id',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, small);
      const master = cluster.master;
      const others = cluster.of('control').filter((machine) => machine !== master);
      assert.is(others.length, 2);
      const [wiped, stopped] = others;
      const oldId = wiped.control?.id ?? '';
      wiped.kill('power');
      wiped.drive.wipe();
      wiped.start();
      await cluster.clock.until(
        'the wiped control to be listed under a new id',
        () => {
          const id = wiped.control?.id;
          return (
            id !== undefined &&
            id !== oldId &&
            (master?.control?.zen.leading?.committed?.nodes.has(id) ?? false)
          );
        },
        8000,
      );
      stopped.kill();
      const put = await cluster.operate(
        'PUT',
        '/v1/config',
        configText(1, 'models', 'shop', 1),
        master,
        30000,
      );
      assert.is.not(put.status, 200, 'one of three voters is no majority');
      stopped.start();
      const voters = () => cluster.committed?.voters.current ?? [];
      await cluster.clock.until(
        'the wiped control to be a voter under its new id',
        () => voters().includes(wiped.control?.id ?? 'none'),
        30000,
      );
      assert.not.ok(voters().includes(oldId));
      assert.is((await cluster.operate('GET', '/v1/config')).status, 200);
    }
  },
);

zen.run();
