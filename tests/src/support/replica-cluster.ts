/** Worlds that bear one or two losses, work done in them, and the check that it was kept. */
import * as assert from 'uvu/assert';
import type { World, Machine, WorldSizes } from '@tillerstair/sim';
import { acts, assertNoBreach, recordsOf } from './world-helpers.js';

const clusterBounds = {
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 500,
  failureTimeout: 1800,
};

export const twoLossCluster: WorldSizes = {
  controls: 5,
  stores: 7,
  fronts: 2,
  losses: 2,
  outer: clusterBounds,
};

export const oneLossCluster: WorldSizes = {
  controls: 3,
  stores: 4,
  fronts: 2,
  outer: clusterBounds,
};

export const storeIdOf = (machine: Machine | undefined): string => machine?.store?.id ?? 'none';

export const loseDisk = (machine: Machine | undefined): void => {
  machine?.kill('power');
  machine?.platter.wipe();
};

/** All replicas are there, and none of them on the stores `lost`. */
export const isFullyReplicated = (cluster: World, lostIds: readonly string[] = []): boolean => {
  const state = cluster.committed;
  return (
    state !== undefined &&
    state.slots.every(
      (slot) =>
        !slot.replicas.some((id) => lostIds.includes(id)) &&
        slot.joiningReplicas.length === 0 &&
        slot.replicas.length === state.replication.replicas &&
        slot.replicas.every((id) => state.nodes.has(id)),
    )
  );
};

/** Runs turns and calls for a while; resolves with the programs once all were answered. */
export const runWorkload = async (cluster: World, tag: string): Promise<readonly string[]> => {
  const programs = await cluster.clock.finish(
    'programs',
    Promise.all(Array.from({ length: 12 }, () => cluster.program(900))),
    30000,
  );
  await cluster.clock.finish(
    'turns',
    Promise.all(
      programs.map((program, i) =>
        cluster.turn(program.program, null, `t #${tag}-${cluster.seed}-${i}`, `k${i}`),
      ),
    ),
    60000,
  );
  await cluster.clock.finish(
    'calls',
    Promise.all(programs.map((_, i) => cluster.call(`${tag}-${i}`, '/hold', { n: i }))),
    60000,
  );
  return programs.map((program) => program.program);
};

export const assertWorkloadPreserved = async (cluster: World, tag: string): Promise<void> => {
  for (const turn of cluster.reported.filter(
    (reply) => reply.kind === 'turn' && reply.reported === 'done',
  ))
    assert.is(
      (await cluster.clock.finish('fetch', cluster.fetch(turn.program, turn.turn), 30000)).text,
      turn.text,
    );
  for (let i = 0; i < 12; i++) {
    await cluster.clock.finish('call again', cluster.call(`${tag}-${i}`, '/hold', { n: i }), 60000);
    assert.is(acts(cluster, `${tag}-${i}`), 1);
  }
  assertNoBreach(recordsOf(cluster));
};

export const restartFronts = async (cluster: World): Promise<void> => {
  for (const machine of cluster.of('front')) machine.kill();
  cluster.start(cluster.of('front'));
  await cluster.clock.until(
    'fronts',
    () => cluster.readyFronts().length === cluster.of('front').length && cluster.slotsServed(),
    20000,
  );
};
