/**
 * Tunes server weights to the throughput that fronts report: a server with half the throughput of the best one in its
 * pool gets half its weight. Weights move in small, rounded steps, so that they converge and change the state rarely.
 */
import { compiledConfig, reduceState, weightKey, type State } from '@tillerstair/state';
import type { Clock } from '@tillerstair/wire';
import type { MasterView, ZenBounds } from '@tillerstair/zen';
import type { AllocationController } from './allocation-controller.js';
import { repeatWhileMaster, submitOrRetryLater } from './master-loop.js';

/** Fraction of the distance to the target weight that one step covers. */
const damping = 0.3;
/** Lower limit of a target weight; the best server of a pool has a target of 1. */
const minWeight = 0.1;
/** Weights are multiples of 1/50. */
const stepsPerUnit = 50;
/** A weight that damping and rounding leave unchanged still moves by one step if it is off by more than two. */
const singleStep = 0.02;
const singleStepThreshold = 0.04;
/** Heartbeat intervals between two rounds of tuning. */
const tuningHeartbeats = 2;

const roundWeight = (weight: number): number => Math.round(weight * stepsPerUnit) / stepsPerUnit;

const nextWeight = (current: number, target: number): number => {
  const next = roundWeight(current + (target - current) * damping);
  return next === roundWeight(current) && Math.abs(target - current) > singleStepThreshold
    ? roundWeight(current + Math.sign(target - current) * singleStep)
    : next;
};

/**
 * The next weights of all servers, given the throughputs that are known (work per time, compared within a pool); empty
 * if the configuration turns tuning off. The weight of a server without a known throughput keeps its value.
 */
export const tunedWeights = (
  state: State,
  throughputs: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> => {
  const config = compiledConfig(state.config);
  if (!config) return state.weights;
  if (!config.tuning) return new Map();
  const weights = new Map<string, number>();
  for (const { name: pool } of config.pools) {
    const servers = [...state.servers.values()].filter((server) => server.pool === pool);
    const bestThroughput = Math.max(
      ...servers.flatMap((server) => throughputs.get(server.id) ?? []),
      0,
    );
    for (const { id } of servers) {
      const key = weightKey(pool, id);
      const current = state.weights.get(key) ?? 1;
      const throughput = throughputs.get(id);
      const target =
        throughput === undefined || bestThroughput <= 0
          ? current
          : Math.max(minWeight, throughput / bestThroughput);
      weights.set(key, nextWeight(current, target));
    }
  }
  return weights;
};

const areEqualWeights = (
  first: ReadonlyMap<string, number>,
  second: ReadonlyMap<string, number>,
): boolean =>
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
      const throughputs = allocationController.throughputs(committed);
      await submitOrRetryLater(master, (state) => {
        const weights = tunedWeights(state, throughputs);
        return areEqualWeights(weights, state.weights)
          ? state
          : reduceState(state, { kind: 'weights', weights });
      });
    },
  );
