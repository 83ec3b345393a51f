import { compiledConfig, reduceState, weightKey, type State } from '@tillerstair/state';
import { delay, type Clock } from '@tillerstair/wire';
import type { MasterView, ZenBounds } from '@tillerstair/zen';
import type { AllocationController } from './allocation-controller.js';

const damping = 0.3;
const least = 0.1;
const coarse = (x: number): number => Math.round(x * 50) / 50;

export const tuned = (
  s: State,
  paces: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> => {
  const config = compiledConfig(s.config);
  const out = new Map<string, number>();
  if (!config) return s.weights;
  if (!config.tuning) return new Map();
  for (const { name: pool } of config.pools) {
    const servers = [...s.servers.values()].filter((v) => v.pool === pool);
    const known = servers.flatMap((v) => paces.get(v.id) ?? []);
    const best = Math.max(...known, 0);
    for (const v of servers) {
      const key = weightKey(pool, v.id);
      const old = s.weights.get(key) ?? 1;
      const pace = paces.get(v.id);
      const want = pace === undefined || best <= 0 ? old : Math.max(least, pace / best);
      const next = coarse(old + (want - old) * damping);
      out.set(
        key,
        next === coarse(old) && Math.abs(want - old) > 0.04
          ? coarse(old + Math.sign(want - old) * 0.02)
          : next,
      );
    }
  }
  return out;
};

const same = (a: ReadonlyMap<string, number>, b: ReadonlyMap<string, number>): boolean =>
  a.size === b.size && [...a].every(([k, w]) => b.get(k) === w);

export const tuneWeights = async (
  m: MasterView,
  allocationController: AllocationController,
  clock: Clock,
  bounds: ZenBounds,
): Promise<void> => {
  while (!m.lost.aborted) {
    await delay(clock, bounds.heartbeatInterval * 2, m.lost);
    const s = m.committed;
    if (m.lost.aborted || !s?.config) continue;
    const paces = allocationController.paces(s);
    await m
      .submit((t) => {
        const weights = tuned(t, paces);
        return same(weights, t.weights) ? t : reduceState(t, { kind: 'weights', weights });
      })
      .catch(() => undefined);
  }
};
