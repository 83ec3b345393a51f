/** Derives the deployment and the plan of faults of a storm from its seed. */
import type { PlannedFault } from './storm-fault.js';
import { seededRng } from './random.js';
import type { WorldOptions } from './sim-cluster.js';

/** Distance between the positions at which the plans of two successive seeds begin in the shuffled faults. */
const seedStride = 20;
const largeFleetInterval = 10;

const shuffled = (kinds: readonly string[], seed: number): readonly string[] => {
  const rng = seededRng(seed);
  const ranked = kinds.map((kind) => ({ kind, at: rng() }));
  return ranked.sort((a, b) => a.at - b.at).map((entry) => entry.kind);
};

/**
 * The fault at a position of an endless sequence of shuffled rounds, each with all faults. A series of seeds thus
 * causes every fault equally often, each time together with others.
 */
const faultAt = (kinds: readonly string[], position: number): string => {
  const round = Math.floor(position / kinds.length);
  return shuffled(kinds, round * 31 + 5)[position % kinds.length] ?? 'config';
};

/** The plan of one seed, for a storm of `ms` ms: the faults of `kinds` to cause, and the gaps between them. */
export const faultPlanFor = (
  seed: number,
  ms: number,
  kinds: readonly string[],
): readonly PlannedFault[] => {
  const rng = seededRng(seed * 7919 + 1);
  const plan: PlannedFault[] = [];
  for (let at = 500; at < ms;) {
    const gap = rng() < 0.35 ? rng() * 300 : 500 + rng() * 5500;
    at += gap;
    plan.push({ index: plan.length, gap, fault: faultAt(kinds, seed * seedStride + plan.length) });
  }
  return plan;
};

const between = (rng: () => number, min: number, max: number): number =>
  min + Math.floor(rng() * (max - min + 1));

/** Draws the machine counts, zones and time bounds of one seed's deployment; every tenth seed has eight fronts. */
export const deploymentOf = (seed: number): WorldOptions => {
  const rng = seededRng(seed * 6007 + 3);
  const heartbeatInterval = between(rng, 600, 1300);
  const failureTimeout = Math.round(heartbeatInterval * (2.5 + rng()));
  const controls = [3, 5, 5, 7][between(rng, 0, 3)] ?? 5;
  return {
    controls,
    stores: between(rng, 3, 5),
    fronts: seed % largeFleetInterval === 0 ? 8 : between(rng, 2, 4),
    zones: between(rng, 1, 4),
    configuredBounds: {
      serveWithin: 12000,
      drainingWithin: 3000,
      heartbeatInterval,
      failureTimeout,
    },
  };
};
