/**
 * Tunes the weights of servers to the pace that fronts report: a server that does half the work of the best of its
 * pool gets half its weight. Weights move in small, rounded steps, so that they settle and change the state seldom.
 */
import { compiledConfig, reduceState, weightKey, type State } from '@tillerstair/state';
import type { Clock } from '@tillerstair/wire';
import type { MasterView, ZenBounds } from '@tillerstair/zen';
import type { AllocationController } from './allocation-controller.js';
import { repeatWhileMaster, submitOrRetryLater } from './master-loop.js';

/** The share of the way to the wanted weight that one step goes. */
const damping = 0.3;
const leastWeight = 0.1;
/** Weights are multiples of 1/50. */
const stepsPerUnit = 50;
/** A weight that damping and rounding leave in place still moves by one step when it is off by more than two. */
const nudge = 0.02;
const nudgeBeyond = 0.04;
/** How many heartbeats lie between two rounds of tuning. */
const tuningHeartbeats = 2;

const rounded = (weight: number): number => Math.round(weight * stepsPerUnit) / stepsPerUnit;

const nextWeight = (current: number, wanted: number): number => {
  const next = rounded(current + (wanted - current) * damping);
  return next === rounded(current) && Math.abs(wanted - current) > nudgeBeyond
    ? rounded(current + Math.sign(wanted - current) * nudge)
    : next;
};

/** The next weights of all servers, given the pace of each (work per time, compared within a pool). */
export const tunedWeights = (
  state: State,
  paces: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> => {
  const config = compiledConfig(state.config);
  if (!config) return state.weights;
  if (!config.tuning) return new Map();
  const weights = new Map<string, number>();
  for (const { name: pool } of config.pools) {
    const servers = [...state.servers.values()].filter((server) => server.pool === pool);
    const best = Math.max(...servers.flatMap((server) => paces.get(server.id) ?? []), 0);
    for (const { id } of servers) {
      const key = weightKey(pool, id);
      const current = state.weights.get(key) ?? 1;
      const pace = paces.get(id);
      const wanted = pace === undefined || best <= 0 ? current : Math.max(leastWeight, pace / best);
      weights.set(key, nextWeight(current, wanted));
    }
  }
  return weights;
};

const isSame = (first: ReadonlyMap<string, number>, second: ReadonlyMap<string, number>): boolean =>
  first.size === second.size && [...first].every(([key, weight]) => second.get(key) === weight);

/** Tunes the weights every second heartbeat until the master steps down. */
export const tuneWeights = (
  master: MasterView,
  allocationController: AllocationController,
  clock: Clock,
  bounds: ZenBounds,
): Promise<void> =>
  repeatWhileMaster(
    clock,
    master,
    () => bounds.heartbeatInterval * tuningHeartbeats,
    async (committed) => {
      if (!committed.config) return;
      const paces = allocationController.throughputs(committed);
      await submitOrRetryLater(master, (state) => {
        const weights = tunedWeights(state, paces);
        return isSame(weights, state.weights)
          ? state
          : reduceState(state, { kind: 'weights', weights });
      });
    },
  );
