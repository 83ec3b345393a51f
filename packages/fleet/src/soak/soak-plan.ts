/** What a soak does to its fleet, and when: drawn from its seed alone, so that the same seed plays the same plan again. */
import { seededRandom } from '../layout.js';

/** A step that works on one machine. `planned` ones stop or reload it in order; the others are faults. */
type SoakStep =
  /** SIGTERM to all processes; `again` sends a second one soon after. They are started again when they have ended. */
  | { readonly kind: 'roll'; readonly again: boolean }
  /** SIGHUP to all processes. */
  | { readonly kind: 'reload' }
  /** SIGKILL to all processes. */
  | { readonly kind: 'kill' }
  /** SIGSTOP, and SIGCONT after `forMs`. */
  | { readonly kind: 'freeze'; readonly forMs: number };

/** A step, the machine it works on, and when, in ms from the start of the traffic. */
export interface TimedStep {
  readonly at: number;
  readonly machine: 'front' | 'store' | 'control';
  /** Which of the machines of that kind. */
  readonly index: number;
  readonly step: SoakStep;
}

/** How large a soak is, and how long it lasts. */
export interface SoakSizes {
  readonly controls: number;
  readonly stores: number;
  readonly fronts: number;
  readonly clients: number;
  /** For how long clients begin requests, in ms. */
  readonly trafficMs: number;
}

/** The plan of one seed. */
export interface SoakPlan {
  readonly steps: readonly TimedStep[];
  /** Between two changes of the configuration by one operator, in ms. */
  readonly changeEveryMs: number;
  /** Operators that change the configuration at once. */
  readonly operators: number;
}

const firstStepMs = 500;
/** No step begins in the last part of the traffic, so that its consequences are seen. */
const quietShare = 0.25;
const gapsMs = [250, 500, 1000, 1500] as const;
const changeGapsMs = [150, 400, 1000] as const;
const mostOperators = 3;
const doubleSignalShare = 0.2;
const reloadShare = 0.3;
const faultyShare = 0.3;
const storesShare = 0.5;
const controlsShare = 0.5;
/** Stores and controls are stopped one after the other, so that a majority and each quorum stays. */
const quorumGapMs = 5000;
const frozenMs = 800;

type Draw = () => number;

const pick = <T>(draw: Draw, from: readonly [T, ...T[]]): T =>
  from[Math.floor(draw() * from.length)] ?? from[0];

const shuffled = (draw: Draw, count: number): readonly number[] =>
  Array.from({ length: count }, (_, n) => ({ n, order: draw() }))
    .sort((a, b) => a.order - b.order)
    .map(({ n }) => n);

/** Rounds in which every front is stopped in turn, again and again; a round may begin before the last one has ended. */
const frontRolls = (draw: Draw, fronts: number, endMs: number): readonly TimedStep[] => {
  const gapMs = pick(draw, gapsMs);
  const steps: TimedStep[] = [];
  for (let at = firstStepMs; at < endMs;) {
    for (const index of shuffled(draw, fronts)) {
      const step = { kind: 'roll', again: draw() < doubleSignalShare } as const;
      if (at < endMs) steps.push({ at, machine: 'front', index, step });
      at += gapMs;
    }
    at += draw() * gapMs * fronts;
  }
  return steps;
};

const reloads = (draw: Draw, fronts: number, endMs: number): readonly TimedStep[] =>
  Array.from({ length: fronts }, (_, index) => ({
    at: firstStepMs + draw() * (endMs - firstStepMs),
    machine: 'front' as const,
    index,
    step: { kind: 'reload' } as const,
  }));

const quorumRolls = (
  draw: Draw,
  machine: 'store' | 'control',
  count: number,
  endMs: number,
): readonly TimedStep[] =>
  shuffled(draw, count)
    .map((index, n) => ({
      at: firstStepMs + n * quorumGapMs + draw() * firstStepMs,
      machine,
      index,
      step: { kind: 'roll', again: false } as const,
    }))
    .filter(({ at }) => at < endMs);

/** One fault of a front in the middle of the run. */
const faults = (draw: Draw, fronts: number, endMs: number): readonly TimedStep[] => {
  const step: SoakStep =
    draw() < 1 / 2 ? { kind: 'kill' } : { kind: 'freeze', forMs: frozenMs * (1 + draw()) };
  return [{ at: endMs / 2, machine: 'front', index: Math.floor(draw() * fronts), step }];
};

/** Draws the plan of a seed: fronts always roll; reloads, stores, controls and a fault come in a part of the seeds. */
export const soakPlan = (seed: number, sizes: SoakSizes): SoakPlan => {
  const draw = seededRandom(seed);
  const endMs = sizes.trafficMs * (1 - quietShare);
  const { fronts, stores, controls } = sizes;
  const steps = [
    ...frontRolls(draw, fronts, endMs),
    ...(draw() < reloadShare ? reloads(draw, fronts, endMs) : []),
    ...(draw() < storesShare ? quorumRolls(draw, 'store', stores, endMs) : []),
    ...(draw() < controlsShare ? quorumRolls(draw, 'control', controls, endMs) : []),
    ...(draw() < faultyShare ? faults(draw, fronts, endMs) : []),
  ];
  return {
    steps: [...steps].sort((a, b) => a.at - b.at),
    changeEveryMs: pick(draw, changeGapsMs),
    operators: 1 + Math.floor(draw() * mostOperators),
  };
};
