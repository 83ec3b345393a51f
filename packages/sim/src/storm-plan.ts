/** What a storm's seed decides beforehand: the deployment and the plan of faults. */
import type { PlannedFault } from './storm-fault.js';
import { seededRng } from './random.js';
import type { WorldOptions } from './sim-cluster.js';

const dealtPerPlan = 20;
const wholeFleetEvery = 10;

const shuffled = (kinds: readonly string[], seed: number): readonly string[] => {
  const rng = seededRng(seed);
  const out = kinds.map((kind) => ({ kind, at: rng() }));
  return out.sort((a, b) => a.at - b.at).map((x) => x.kind);
};

/** Deals faults like cards, so that a series of seeds causes every one equally often, each time in another company. */
const faultAt = (kinds: readonly string[], position: number): string => {
  const round = Math.floor(position / kinds.length);
  return shuffled(kinds, round * 31 + 5)[position % kinds.length] ?? 'config';
};

/** The faults of one seed, with the gaps between them. */
export const faultPlanFor = (
  seed: number,
  ms: number,
  kinds: readonly string[],
): readonly PlannedFault[] => {
  const rng = seededRng(seed * 7919 + 1);
  const out: PlannedFault[] = [];
  for (let at = 500; at < ms;) {
    const gap = rng() < 0.35 ? rng() * 300 : 500 + rng() * 5500;
    at += gap;
    out.push({ index: out.length, gap, fault: faultAt(kinds, seed * dealtPerPlan + out.length) });
  }
  return out;
};

const between = (rng: () => number, least: number, most: number): number =>
  least + Math.floor(rng() * (most - least + 1));

/** Draws the sizes, zones and bounds of one seed's deployment; every tenth has eight fronts. */
export const deploymentOf = (seed: number): WorldOptions => {
  const rng = seededRng(seed * 6007 + 3);
  const heartbeatInterval = between(rng, 600, 1300);
  const failureTimeout = Math.round(heartbeatInterval * (2.5 + rng()));
  const controls = [3, 5, 5, 7][between(rng, 0, 3)] ?? 5;
  return {
    controls,
    stores: between(rng, 3, 5),
    fronts: seed % wholeFleetEvery === 0 ? 8 : between(rng, 2, 4),
    zones: between(rng, 1, 4),
    configuredBounds: {
      serveWithin: 12000,
      drainingWithin: 3000,
      heartbeatInterval,
      failureTimeout,
    },
  };
};
