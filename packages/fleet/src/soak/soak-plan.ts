/**
 * The plan of a soak: which machines it disturbs, and when. It depends on the seed and sizes alone, so a seed is
 * repeatable.
 */
import { seededRandom } from '../layout.js';

/** A disturbance of one machine: `roll` and `reload` are planned operations, `kill` and `freeze` are frontFaults. */
type SoakStep =
  /**
   * SIGTERM to all processes; `again` sends a second one soon after. The processes are restarted once all have exited.
   */
  | { readonly kind: 'roll'; readonly again: boolean }
  /** SIGHUP to all processes. */
  | { readonly kind: 'reload' }
  /** SIGKILL to all processes. */
  | { readonly kind: 'kill' }
  /** SIGSTOP, and SIGCONT after `forMs`. */
  | { readonly kind: 'freeze'; readonly forMs: number };

/** A step, its machine, and its time in ms from the start of the traffic. */
export interface TimedStep {
  readonly at: number;
  readonly machine: 'front' | 'store' | 'control';
  /** Index among the machines of that kind. */
  readonly index: number;
  readonly step: SoakStep;
}

/** Machine and client counts of a soak, and its duration. */
export interface SoakSizes {
  readonly controls: number;
  readonly stores: number;
  readonly fronts: number;
  readonly clients: number;
  /** Time during which clients send new requests, in ms. */
  readonly trafficMs: number;
}

/** The plan of one seed. */
export interface SoakPlan {
  readonly steps: readonly TimedStep[];
  /** Longest pause of an operator between two configuration changes, in ms. */
  readonly changeEveryMs: number;
  /** Number of operators that change the configuration concurrently. */
  readonly operators: number;
}

const firstStepMs = 500;
/** No step begins in this last share of the traffic, so that the effects of the last step are recorded. */
const undisturbedShare = 0.25;
const rollGapsMs = [250, 500, 1000, 1500] as const;
const changeGapsMs = [150, 400, 1000] as const;
const maxOperators = 3;
const doubleSignalShare = 0.2;
const reloadShare = 0.3;
const faultShare = 0.3;
const storesShare = 0.5;
const controlsShare = 0.5;
/** Time between stops of two stores or two controls, so that a majority and every quorum stay available. */
const quorumGapMs = 5000;
const minFreezeMs = 800;

/** Returns the next pseudo-random number from 0 up to 1. */
type Random = () => number;

const pick = <T>(random: Random, from: readonly [T, ...T[]]): T =>
  from[Math.floor(random() * from.length)] ?? from[0];

const shuffled = (random: Random, count: number): readonly number[] =>
  Array.from({ length: count }, (_, n) => ({ n, order: random() }))
    .sort((a, b) => a.order - b.order)
    .map(({ n }) => n);

/** Repeated rolling restarts of all fronts, in random order; a round may begin before the previous one has finished. */
const frontRolls = (random: Random, fronts: number, endMs: number): readonly TimedStep[] => {
  const gapMs = pick(random, rollGapsMs);
  const steps: TimedStep[] = [];
  for (let at = firstStepMs; at < endMs;) {
    for (const index of shuffled(random, fronts)) {
      const step = { kind: 'roll', again: random() < doubleSignalShare } as const;
      if (at < endMs) steps.push({ at, machine: 'front', index, step });
      at += gapMs;
    }
    at += random() * gapMs * fronts;
  }
  return steps;
};

/** One reload of each front at a random time. */
const reloads = (random: Random, fronts: number, endMs: number): readonly TimedStep[] =>
  Array.from({ length: fronts }, (_, index) => ({
    at: firstStepMs + random() * (endMs - firstStepMs),
    machine: 'front' as const,
    index,
    step: { kind: 'reload' } as const,
  }));

/** One restart of each store or control that fits before `endMs`, `quorumGapMs` apart. */
const quorumRolls = (
  random: Random,
  machine: 'store' | 'control',
  count: number,
  endMs: number,
): readonly TimedStep[] =>
  shuffled(random, count)
    .map((index, n) => ({
      at: firstStepMs + n * quorumGapMs + random() * firstStepMs,
      machine,
      index,
      step: { kind: 'roll', again: false } as const,
    }))
    .filter(({ at }) => at < endMs);

/** Kills or freezes one random front in the middle of the disturbed time. */
const frontFaults = (random: Random, fronts: number, endMs: number): readonly TimedStep[] => {
  const step: SoakStep =
    random() < 1 / 2 ? { kind: 'kill' } : { kind: 'freeze', forMs: minFreezeMs * (1 + random()) };
  return [{ at: endMs / 2, machine: 'front', index: Math.floor(random() * fronts), step }];
};

/**
 * Draws the plan of a seed: fronts are always restarted; only a share of the seeds has reloads, store or control
 * restarts, or a fault.
 */
export const soakPlan = (seed: number, sizes: SoakSizes): SoakPlan => {
  const random = seededRandom(seed);
  const endMs = sizes.trafficMs * (1 - undisturbedShare);
  const { fronts, stores, controls } = sizes;
  const steps = [
    ...frontRolls(random, fronts, endMs),
    ...(random() < reloadShare ? reloads(random, fronts, endMs) : []),
    ...(random() < storesShare ? quorumRolls(random, 'store', stores, endMs) : []),
    ...(random() < controlsShare ? quorumRolls(random, 'control', controls, endMs) : []),
    ...(random() < faultShare ? frontFaults(random, fronts, endMs) : []),
  ];
  return {
    steps: [...steps].sort((a, b) => a.at - b.at),
    changeEveryMs: pick(random, changeGapsMs),
    operators: 1 + Math.floor(random() * maxOperators),
  };
};
