/**
 * Ownerships that end and begin again: a front that returns as owner must not run a request that another owner has run
 * meanwhile, and callers of an unresponsive owner must be served by the next one.
 */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Machine, World } from '@tillerstair/sim';
import { slotForKey } from '@tillerstair/state';
import { opKeyOf } from '@tillerstair/session-owner';
import {
  executionCount,
  assertNoBreach,
  configText,
  recordsOf,
  small,
  ownerOf,
  worldUp,
} from '../support/world-helpers.js';

const owners = suite('ownerships that end and begin again');

/** The slot of a key in the committed state. */
const slotOfKey = (cluster: World, key: string) => {
  const state = cluster.committed;
  return state?.slots[slotForKey(key, state.slots.length)];
};
/** The id of the key's owner according to the state that a machine's front has applied. */
const ownerAccordingTo = (machine: Machine, key: string): string =>
  machine.front?.owner.ownerOf(machine.front.owner.slotFor(key)) ?? '';

/** Leaves one server with one request in flight at a time. */
const limitToOneRequest = async (cluster: World): Promise<void> => {
  await cluster.operate('DELETE', '/v1/servers/s2');
  const text = JSON.stringify({
    ...JSON.parse(configText(1)),
    bounds: { turnMs: 240000, callMs: 120000, perServer: 1 },
  });
  assert.is((await cluster.operate('PUT', '/v1/config', text)).status, 200);
  await cluster.clock.run(1500);
};

owners(
  'a front that missed the loss of its slot does not run a queued request that another owner ran',
  async () => {
    for (const seed of [61, 62, 63]) {
      const cluster = await worldUp(seed, small);
      await limitToOneRequest(cluster);
      const key = `line${seed}`;
      const firstOwner = ownerOf(cluster, opKeyOf('t', key));
      const otherFront = cluster.of('front').find((machine) => machine !== firstOwner);
      if (!firstOwner || !otherFront) throw new Error(`no owner of key ${key}, or no other front`);
      cluster.servers.set('s1', { slow: 400 });
      const fillerKey = ['x', 'y', 'z']
        .map((suffix) => `f${seed}${suffix}`)
        .find((candidate) => ownerOf(cluster, opKeyOf('t', candidate)) === firstOwner);
      const occupyingCall = cluster.call(fillerKey ?? `f${seed}`, '/hold', { n: 0 }, firstOwner);
      await cluster.clock.run(50);
      const queuedCall = cluster.call(key, '/hold', { n: 1 }, firstOwner);
      await cluster.clock.run(200);
      assert.ok((firstOwner.front?.owner.waiting ?? 0) > 0, 'the call waits for a server');
      const ownershipEpoch = slotOfKey(cluster, opKeyOf('t', key))?.ownershipEpoch ?? 0;
      firstOwner.proxyIncarnation.frozen = true;
      await cluster.clock.until(
        'taken over',
        () => ownerAccordingTo(otherFront, opKeyOf('t', key)) === otherFront.front?.id,
        20000,
      );
      cluster.servers.set('s1', { slow: 1 });
      const repeatedCall = await cluster.clock.finish(
        'call at the new owner',
        cluster.call(key, '/hold', { n: 1 }, otherFront),
        60000,
      );
      assert.is(repeatedCall.reported, 'done', repeatedCall.errorCode);
      assert.is(executionCount(cluster, key), 1);
      otherFront.kill();
      await cluster.clock.until(
        'removed from the cluster',
        () => firstOwner.agent?.zenNode === undefined,
        10000,
      );
      firstOwner.proxyIncarnation.wake();
      await cluster.clock.until(
        'joined again',
        () => firstOwner.agent?.zenNode !== undefined,
        10000,
      );
      cluster.net.cut(`${firstOwner.addr}/loop`, `${firstOwner.addr}/feed`);
      await cluster.clock.until(
        'owner again',
        () => ownerOf(cluster, opKeyOf('t', key)) === firstOwner,
        20000,
      );
      assert.ok((slotOfKey(cluster, opKeyOf('t', key))?.ownershipEpoch ?? 0) >= ownershipEpoch + 2);
      await cluster.clock.run(1200);
      cluster.net.healCuts();
      await cluster.clock.run(40000);
      await cluster.clock.finish('busy', occupyingCall, 60000);
      await cluster.clock.finish('first', queuedCall, 60000);
      assert.is(executionCount(cluster, key), 1, `${executionCount(cluster, key)} runs`);
      assertNoBreach(recordsOf(cluster));
    }
  },
);

owners(
  'a request to a frozen owner is answered by the next owner as soon as there is one',
  async () => {
    for (const seed of [71, 72, 73]) {
      const cluster = await worldUp(seed, small);
      const created = await cluster.clock.finish('program', cluster.program(200), 10000);
      const key = `q${seed}`;
      for (const [slotKey, send] of [
        [opKeyOf('t', key), (front: Machine) => cluster.call(key, '/hold', { n: 1 }, front)],
        [
          `p/${created.program}`,
          (front: Machine) => cluster.turn(created.program, null, `q #${seed}`, 'k', front),
        ],
      ] as const) {
        const owner = ownerOf(cluster, slotKey);
        const otherFront = cluster.of('front').find((machine) => machine !== owner);
        if (!owner || !otherFront) throw new Error(`no owner of key ${slotKey}, or no other front`);
        owner.freeze();
        const startedAt = cluster.clock.now();
        const reply = await cluster.clock.finish('reported', send(otherFront), 30000);
        assert.is(reply.reported, 'done', reply.errorCode);
        assert.ok(cluster.clock.now() - startedAt < 7000, `${cluster.clock.now() - startedAt} ms`);
        owner.wake();
        await cluster.clock.until(
          'all fronts ready',
          () => cluster.readyFronts().length === 2,
          20000,
        );
      }
      assert.is(executionCount(cluster, key), 1);
      assertNoBreach(recordsOf(cluster));
    }
  },
);

owners.run();
