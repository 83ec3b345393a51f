/**
 * Clusters that tolerate the loss of one or two stores, a workload of turns and calls, and the check that it survived.
 */
import * as assert from 'uvu/assert';
import type { World, Machine, WorldOptions } from '@tillerstair/sim';
import { executionCount, assertNoBreach, recordsOf } from './world-helpers.js';

/** Timings of the simulated clusters, in ms. */
const clusterBounds = {
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 500,
  failureTimeout: 1800,
};

/** A cluster that tolerates two losses: five replicas of each slot on seven stores. */
export const twoLossCluster: WorldOptions = {
  controls: 5,
  stores: 7,
  fronts: 2,
  losses: 2,
  configuredBounds: clusterBounds,
};

/** A cluster that tolerates one loss: three replicas of each slot on four stores. */
export const oneLossCluster: WorldOptions = {
  controls: 3,
  stores: 4,
  fronts: 2,
  configuredBounds: clusterBounds,
};

/** The id of the store that runs on a machine; 'none' if none runs. */
export const storeIdOf = (machine: Machine | undefined): string => machine?.store?.id ?? 'none';

/** Cuts a machine's power and erases its disk. */
export const loseDisk = (machine: Machine | undefined): void => {
  machine?.kill('power');
  machine?.drive.wipe();
};

/** Whether each slot has all its replicas on members of the cluster, none of them on a store of `lostIds`. */
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

/** Creates 12 programs and runs a turn and a keyed call for each; resolves with their ids once all were answered. */
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

/**
 * Checks that each turn reported as done can be fetched with its text, and that each call of the workload, when
 * repeated under its key, has run exactly once.
 */
export const assertWorkloadPreserved = async (cluster: World, tag: string): Promise<void> => {
  for (const turn of cluster.reported.filter(
    (reply) => reply.kind === 'turn' && reply.reported === 'done',
  ))
    assert.is(
      (await cluster.clock.finish('fetch', cluster.fetch(turn.program, turn.turn), 30000)).text,
      turn.text,
    );
  for (let i = 0; i < 12; i++) {
    await cluster.clock.finish(
      'repeated call',
      cluster.call(`${tag}-${i}`, '/hold', { n: i }),
      60000,
    );
    assert.is(executionCount(cluster, `${tag}-${i}`), 1);
  }
  assertNoBreach(recordsOf(cluster));
};

/** Kills and restarts all fronts, so that new slot owners read their slots from the stores. */
export const restartFronts = async (cluster: World): Promise<void> => {
  for (const machine of cluster.of('front')) machine.kill();
  cluster.start(cluster.of('front'));
  await cluster.clock.until(
    'all fronts ready and all slots served',
    () => cluster.readyFronts().length === cluster.of('front').length && cluster.slotsOwned(),
    20000,
  );
};
