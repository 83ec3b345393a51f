/**
 * Actions of the model test of the controls. An action is plain data, so that a failing run can be printed, shrunk and
 * kept as a regression test.
 */
import fc from 'fast-check';

/** Machine index that stands for the current master. */
export const atMaster = -1;

/** One step of a run. `at` is the index of a machine, modulo their number; `ms` is a time of the simulated clock. */
export type ModelAction =
  | {
      readonly kind: 'network';
      readonly lost: number;
      readonly late: number;
      readonly repeated: number;
    }
  | {
      readonly kind: 'cut';
      readonly at: number;
      readonly direction: CutDirection;
      readonly ms: number;
    }
  | { readonly kind: 'split'; readonly members: number; readonly ms: number }
  | { readonly kind: 'freeze'; readonly at: number; readonly ms: number }
  | { readonly kind: 'kill'; readonly at: number; readonly ms: number; readonly power: boolean }
  | { readonly kind: 'power-all'; readonly ms: number }
  | { readonly kind: 'wipe'; readonly at: number; readonly ms: number }
  | { readonly kind: 'replace'; readonly at: number; readonly planned: boolean }
  | { readonly kind: 'add' }
  | { readonly kind: DiskFault; readonly at: number; readonly ms: number }
  | { readonly kind: 'put'; readonly at: number; readonly stale: boolean }
  | { readonly kind: 'race'; readonly at: number; readonly other: number }
  | { readonly kind: 'resend'; readonly at: number; readonly which: number }
  | { readonly kind: 'read'; readonly at: number }
  | { readonly kind: 'read-all' }
  | { readonly kind: 'wait'; readonly ms: number }
  | { readonly kind: 'heal' };

/** Faults of a disk that keep its content. */
export type DiskFault = 'slow-disk' | 'full-disk' | 'stalled-disk';

/** Directions in which a machine is cut off: `in` for messages to it, `out` for messages from it. */
export type CutDirection = 'both' | 'in' | 'out';

/** A complete run: the seed of the simulated world, the number of controls, and the actions in order. */
export interface ModelRun {
  readonly seed: number;
  readonly controls: number;
  readonly actions: readonly ModelAction[];
}

const at = fc.oneof(
  { weight: 2, arbitrary: fc.constant(atMaster) },
  { weight: 3, arbitrary: fc.nat(6) },
);
const faultMs = fc.constantFrom(5, 60, 300, 900, 2500, 5000);
const waitMs = fc.constantFrom(5, 60, 300, 900, 2500);
const direction = fc.constantFrom<CutDirection>('both', 'in', 'out');
const percent = fc.constantFrom(0, 10, 30);

const faults: readonly fc.Arbitrary<ModelAction>[] = [
  fc.record({ kind: fc.constant('network'), lost: percent, late: percent, repeated: percent }),
  fc.record({ kind: fc.constant('cut'), at, direction, ms: faultMs }),
  fc.record({ kind: fc.constant('split'), members: fc.nat(31), ms: faultMs }),
  fc.record({ kind: fc.constant('freeze'), at, ms: faultMs }),
  fc.record({ kind: fc.constant('kill'), at, ms: faultMs, power: fc.boolean() }),
  fc.record({ kind: fc.constant('power-all'), ms: faultMs }),
  fc.record({ kind: fc.constant('wipe'), at, ms: faultMs }),
  fc.record({ kind: fc.constant('replace'), at, planned: fc.boolean() }),
  fc.constant({ kind: 'add' }),
  fc.record({
    kind: fc.constantFrom<DiskFault>('slow-disk', 'full-disk', 'stalled-disk'),
    at,
    ms: faultMs,
  }),
  fc.constant({ kind: 'heal' }),
];

const requests: readonly fc.Arbitrary<ModelAction>[] = [
  fc.record({ kind: fc.constant('put'), at, stale: fc.constantFrom(false, false, false, true) }),
  fc.record({ kind: fc.constant('race'), at, other: at }),
  fc.record({ kind: fc.constant('resend'), at, which: fc.nat(15) }),
  fc.record({ kind: fc.constant('read'), at }),
  fc.constant({ kind: 'read-all' }),
];

const wait: fc.Arbitrary<ModelAction> = fc.record({ kind: fc.constant('wait'), ms: waitMs });

/** Arbitraries of all actions; requests are listed twice and waits three times, to draw them more often. */
export const anyAction: readonly fc.Arbitrary<ModelAction>[] = [
  ...faults,
  ...requests,
  ...requests,
  wait,
  wait,
  wait,
];
