/** The never-list under failures: owners that are killed, frozen or fenced, and stores that are lost. */
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

const failures = suite('never-list under failures');

const seeds = [11, 12, 13, 14];

failures(
  'a keyed call whose owner is killed between intent and execution never runs twice',
  async () => {
    for (const seed of seeds) {
      const world = await worldUp(seed, small);
      const key = `k${seed}`;
      const owner = ownerOf(world, opKeyOf('t', key));
      const first = world.call(key, '/hold', { n: 1 }, owner);
      const executedBefore = world.servers.executed.length;
      await world.clock.run(1 + (seed % 4));
      owner?.kill();
      const reply = await world.clock.finish('first', first, 30000);
      assert.is(reply.reported, 'unknown');
      for (let i = 0; i < 6; i++) {
        await world.clock.run(1000);
        await world.clock.finish('again', world.call(key, '/hold', { n: 1 }), 30000);
      }
      assert.ok(world.servers.executed.length >= executedBefore);
      assert.ok(executionCount(world, key) <= 1, `${executionCount(world, key)} runs`);
      assertNoBreach(recordsOf(world));
    }
  },
);

failures(
  'a retry after the owner is killed between execution and outcome is unknown and not run',
  async () => {
    for (const seed of seeds) {
      const world = await worldUp(seed, small);
      const key = `v${seed}`;
      const owner = ownerOf(world, opKeyOf('t', key));
      const first = world.call(key, '/hold', { n: 1 }, owner);
      await world.clock.until('the execution', () => executionCount(world, key) === 1, 5000);
      owner?.kill();
      await world.clock.finish('first', first, 30000);
      await world.clock.run(6000);
      const retry = await world.clock.finish('again', world.call(key, '/hold', { n: 1 }), 30000);
      assert.is(retry.reported, 'unknown');
      assert.is(executionCount(world, key), 1);
      assertNoBreach(recordsOf(world));
    }
  },
);

failures(
  'a frozen owner that wakes after its slot has moved cannot run its pending call',
  async () => {
    for (const seed of seeds) {
      const world = await worldUp(seed, small);
      const key = `z${seed}`;
      const owner = ownerOf(world, opKeyOf('t', key));
      const first = world.call(key, '/hold', { n: 1 }, owner);
      await world.clock.run(0.5 + (seed % 3));
      owner?.freeze();
      await world.clock.run(6000);
      const other = world.of('front').find((front) => front !== owner);
      await world.clock.finish(
        'call at another front',
        world.call(key, '/hold', { n: 1 }, other),
        30000,
      );
      owner?.wake();
      await world.clock.finish('first', first, 30000);
      await world.clock.run(3000);
      await world.clock.finish('last', world.call(key, '/hold', { n: 1 }, other), 30000);
      assert.ok(executionCount(world, key) <= 1, `${executionCount(world, key)} runs`);
      assertNoBreach(recordsOf(world));
    }
  },
);

failures(
  'a call with a lost outcome is unknown, and its key is not run again after a restart of all machines',
  async () => {
    for (const seed of seeds) {
      const world = await worldUp(seed, small);
      world.servers.set('s1', { loseEvery: 1 });
      world.servers.set('s2', { loseEvery: 1 });
      const reply = await world.clock.finish('lost', world.call('lost', '/hold', { n: 1 }), 30000);
      assert.is(reply.reported, 'unknown');
      world.servers.set('s1', { loseEvery: 0 });
      world.servers.set('s2', { loseEvery: 0 });
      for (const machine of world.machines) machine.kill('power');
      world.start();
      await world.clock.until(
        'serving',
        () => world.readyFronts().length === 2 && world.slotsComplete(),
        12000,
      );
      await world.clock.run(500);
      const retry = await world.clock.finish('again', world.call('lost', '/hold', { n: 1 }), 30000);
      assert.is(retry.reported, 'unknown');
      assert.is(executionCount(world, 'lost'), 1);
      assertNoBreach(recordsOf(world));
    }
  },
);

failures(
  'a completed turn is intact at every front after its owner and one store lose power',
  async () => {
    for (const seed of seeds) {
      const world = await worldUp(seed, fiveControls);
      const created = await world.clock.finish('program', world.program(200), 10000);
      const turn = await world.clock.finish(
        'turn',
        world.turn(created.program, null, `hello #${seed}`, 'k'),
        30000,
      );
      assert.is(turn.reported, 'done');
      ownerOf(world, `p/${created.program}`)?.kill('power');
      const store = world.of('store')[seed % 3];
      store.kill('power');
      store.drive.wipe();
      await world.clock.run(6000);
      for (const machine of world.of('front').filter((front) => front.up)) {
        const fetched = await world.clock.finish(
          'fetch',
          world.fetch(created.program, turn.turn, machine),
          30000,
        );
        assert.is(fetched.reported, 'done', JSON.stringify(fetched));
        assert.is(fetched.text, turn.text);
      }
      const next = await world.clock.finish(
        'next',
        world.turn(created.program, turn.turn, `more #${seed}b`, 'k2'),
        30000,
      );
      assert.is(next.reported, 'done');
      assertNoBreach(recordsOf(world));
    }
  },
);

failures(
  'an acknowledged turn or call survives the loss of a store right after the acknowledgement',
  async () => {
    for (const kind of ['turn', 'call'])
      for (const delayOffset of [0, 1, 2]) {
        const world = await worldUp(40 + delayOffset, small);
        const created = await world.clock.finish('program', world.program(200), 10000);
        world.of('store').forEach((machine, i) => {
          machine.drive.delay = [1, 60, 130][(i + delayOffset) % 3] ?? 1;
        });
        const first = await world.clock.finish(
          kind,
          kind === 'turn'
            ? world.turn(created.program, null, `q #${delayOffset}`, 'k')
            : world.call('op', '/hold', { n: 1 }),
          30000,
        );
        assert.is(first.reported, 'done');
        const store = world.of('store').find((machine) => machine.drive.delay === 1);
        for (const machine of [...world.of('front'), ...world.of('store')]) machine.kill('power');
        store?.drive.wipe();
        world.start([
          ...world.of('front'),
          ...world.of('store').filter((machine) => machine !== store),
        ]);
        await world.clock.until(
          'fronts',
          () => world.readyFronts().length === 2 && world.slotsComplete(),
          20000,
        );
        await world.clock.run(1000);
        const retry = await world.clock.finish(
          'again',
          kind === 'turn'
            ? world.fetch(created.program, first.turn)
            : world.call('op', '/hold', { n: 1 }),
          30000,
        );
        assert.is(retry.text, first.text, retry.errorCode);
        assert.ok(executionCount(world, 'op') <= 1);
        assertNoBreach(recordsOf(world));
      }
  },
);

failures(
  'an owner whose slot is fenced by another refuses a fetch, but not as missing',
  async () => {
    const world = await worldUp(51, small);
    const created = await world.clock.finish('program', world.program(200), 10000);
    const missing = await world.clock.finish(
      'fetch',
      world.fetch(created.program, 't-none'),
      10000,
    );
    assert.is(missing.errorCode, 'missing');
    const slot = slotForKey(`p/${created.program}`, world.slots);
    const ownershipEpoch = world.committed?.slots[slot]?.ownershipEpoch ?? 0;
    await world.clock.finish(
      'fencing at all stores',
      Promise.all(
        world
          .of('store')
          .flatMap(
            (machine) => machine.replicaStore?.fence(slot, ownershipEpoch + 1, { after: '' }) ?? [],
          ),
      ),
      1000,
    );
    const reply = await world.clock.finish(
      'fetch',
      world.fetch(created.program, 't-elsewhere'),
      10000,
    );
    assert.is(reply.reported, 'refused');
    assert.is.not(reply.errorCode, 'missing');
  },
);

failures.run();
