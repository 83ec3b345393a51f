/** Worlds that bear one or two losses, work done in them, and the check that it was kept. */
import * as assert from 'uvu/assert';
import type { World, Machine, WorldOptions } from '@tillerstair/sim';
import { executionCount, assertNoBreach, recordsOf } from './world-helpers.js';

const siteBounds = {
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 500,
  failureTimeout: 1800,
};

export const twoLosses: WorldOptions = {
  controls: 5,
  stores: 7,
  fronts: 2,
  losses: 2,
  configuredBounds: siteBounds,
};

export const oneLoss: WorldOptions = {
  controls: 3,
  stores: 4,
  fronts: 2,
  configuredBounds: siteBounds,
};

export const storeIdOf = (m: Machine | undefined): string => m?.store?.id ?? 'none';

export const wipe = (m: Machine | undefined): void => {
  m?.kill('power');
  m?.drive.wipe();
};

/** All replicas are there, and none of them on the stores `lost`. */
export const whole = (w: World, lost: readonly string[] = []): boolean => {
  const s = w.committed;
  return (
    s !== undefined &&
    s.slots.every(
      (slot) =>
        !slot.replicas.some((id) => lost.includes(id)) &&
        slot.joiningReplicas.length === 0 &&
        slot.replicas.length === s.replication.replicas &&
        slot.replicas.every((id) => s.nodes.has(id)),
    )
  );
};

/** Runs turns and calls for a while; resolves with the programs once all were answered. */
export const work = async (w: World, tag: string): Promise<readonly string[]> => {
  const programs = await w.clock.finish(
    'programs',
    Promise.all(Array.from({ length: 12 }, () => w.program(900))),
    30000,
  );
  await w.clock.finish(
    'turns',
    Promise.all(
      programs.map((p, i) => w.turn(p.program, null, `t #${tag}-${w.seed}-${i}`, `k${i}`)),
    ),
    60000,
  );
  await w.clock.finish(
    'calls',
    Promise.all(programs.map((_, i) => w.call(`${tag}-${i}`, '/hold', { n: i }))),
    60000,
  );
  return programs.map((p) => p.program);
};

export const assertKept = async (w: World, tag: string): Promise<void> => {
  for (const t of w.reported.filter((x) => x.kind === 'turn' && x.reported === 'done'))
    assert.is((await w.clock.finish('fetch', w.fetch(t.program, t.turn), 30000)).text, t.text);
  for (let i = 0; i < 12; i++) {
    await w.clock.finish('call again', w.call(`${tag}-${i}`, '/hold', { n: i }), 60000);
    assert.is(executionCount(w, `${tag}-${i}`), 1);
  }
  assertNoBreach(recordsOf(w));
};

export const ownersAnew = async (w: World): Promise<void> => {
  for (const m of w.of('front')) m.kill();
  w.start(w.of('front'));
  await w.clock.until(
    'fronts',
    () => w.readyFronts().length === w.of('front').length && w.slotsOwned(),
    20000,
  );
};
