/** Faults of disks: slow, full, stalled, lost. */
import type { SimPlatter } from './sim-platter.js';
import type { Fault, FaultTable, MachineKind } from './storm-fault.js';

const kinds: readonly MachineKind[] = ['control', 'store'];
const usualMs = 0.2;
const slowMs = 400;

type Platter = (p: SimPlatter, on: boolean) => void;

const slow: Platter = (p, on) => {
  p.delay = on ? slowMs : usualMs;
};
const full: Platter = (p, on) => {
  p.full = on;
};
const stalled: Platter = (p, on) => {
  p.stalled = on;
};

/** One disk is in trouble for a time. */
const diskFault =
  (kind: MachineKind, set: Platter): Fault =>
  (c) => {
    const m = c.tools.target(c, kind);
    if (!m || (kind === 'store' && c.tools.isDiskLost)) return '';
    set(m.platter, true);
    c.tools.after(c.durationMs, () => set(m.platter, false));
    return m.addr;
  };

/** One machine loses its disk and comes back blank. */
const wipe =
  (kind: MachineKind): Fault =>
  (c) => {
    const m = c.tools.target(c, kind);
    if (!m) return '';
    return c.tools.runDiskLoss(() => c.tools.wipe(m, c.durationMs)) && m.addr;
  };

/** These faults by name. */
export const diskFaults: FaultTable = new Map<string, Fault>(
  kinds.flatMap((kind): [string, Fault][] => [
    [`slow-${kind}`, diskFault(kind, slow)],
    [`disk-full-${kind}`, diskFault(kind, full)],
    [`disk-stall-${kind}`, diskFault(kind, stalled)],
    [`wipe-${kind}`, wipe(kind)],
  ]),
);
