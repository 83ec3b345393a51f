/** Disk faults of storms: disks of controls and stores become slow, full or stalled, or lose their content. */
import type { SimDrive } from './sim-drive.js';
import type { Fault, FaultTable, MachineKind } from './storm-fault.js';

const kinds: readonly MachineKind[] = ['control', 'store'];
const usualMs = 0.2;
const slowMs = 400;

type SetDiskFault = (drive: SimDrive, active: boolean) => void;

const setSlow: SetDiskFault = (drive, active) => {
  drive.delay = active ? slowMs : usualMs;
};
const setFull: SetDiskFault = (drive, active) => {
  drive.full = active;
};
const setStalled: SetDiskFault = (drive, active) => {
  drive.stalled = active;
};

/** A fault of one disk that ends after the duration; stores are spared while the disk of another machine is lost. */
const diskFault =
  (kind: MachineKind, setFault: SetDiskFault): Fault =>
  (context) => {
    const machine = context.tools.target(context, kind);
    if (!machine || (kind === 'store' && context.tools.isDiskLost)) return '';
    setFault(machine.drive, true);
    context.tools.after(context.durationMs, () => setFault(machine.drive, false));
    return machine.addr;
  };

/** One machine loses its disk and restarts with an empty one. */
const wipeDisk =
  (kind: MachineKind): Fault =>
  (context) => {
    const machine = context.tools.target(context, kind);
    if (!machine) return '';
    return (
      context.tools.runDiskLoss(() => context.tools.wipe(machine, context.durationMs)) &&
      machine.addr
    );
  };

/** The disk faults, by the names that plans use. */
export const diskFaults: FaultTable = new Map<string, Fault>(
  kinds.flatMap((kind): [string, Fault][] => [
    [`slow-${kind}`, diskFault(kind, setSlow)],
    [`disk-full-${kind}`, diskFault(kind, setFull)],
    [`disk-stall-${kind}`, diskFault(kind, setStalled)],
    [`wipe-${kind}`, wipeDisk(kind)],
  ]),
);
