/** Faults of disks: slow, full, stalled, lost. */
import type { SimDrive } from './sim-drive.js';
import type { Fault, FaultTable, MachineKind } from './storm-fault.js';

const kinds: readonly MachineKind[] = ['control', 'store'];
const usualMs = 0.2;
const slowMs = 400;

type SetDiskFault = (p: SimDrive, on: boolean) => void;

const slow: SetDiskFault = (p, on) => {
  p.delay = on ? slowMs : usualMs;
};
const full: SetDiskFault = (p, on) => {
  p.full = on;
};
const stalled: SetDiskFault = (p, on) => {
  p.stalled = on;
};

/** One disk is in trouble for a time. */
const diskFault =
  (kind: MachineKind, set: SetDiskFault): Fault =>
  (c) => {
    const m = c.tools.target(c, kind);
    if (!m || (kind === 'store' && c.tools.isDiskLost)) return '';
    set(m.drive, true);
    c.tools.after(c.durationMs, () => set(m.drive, false));
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
