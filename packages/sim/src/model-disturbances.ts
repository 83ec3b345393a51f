/** What a model run does to its machines: cuts, freezes, kills, lost and disturbed disks, replacements. */
import type { Machine } from './machine.js';
import type { CutDirection, DiskFault } from './model-actions.js';
import type { ModelNodes } from './model-nodes.js';
import type { ModelHistory } from './model-history.js';
import type { AddressPair, DeliveryFaults } from './sim-net.js';
import type { World } from './world.js';

/** Short bounds, so that a run of a minute of them stays cheap. */
export const modelBounds = {
  serveWithin: 2400,
  drainingWithin: 600,
  heartbeatInterval: 200,
  failureTimeout: 600,
};

/** Shares of all messages, in percent. */
interface NetworkFaults {
  readonly lost: number;
  readonly late: number;
  readonly repeated: number;
}

const soundNetwork: NetworkFaults = { lost: 0, late: 0, repeated: 0 };
const slowDiskMs = 120;

const pairsOf = (a: string, b: string, direction: CutDirection): readonly AddressPair[] => {
  const out: AddressPair = [a, b];
  const back: AddressPair = [b, a];
  switch (direction) {
    case 'both':
      return [out, back];
    case 'out':
      return [out];
    case 'in':
      return [back];
  }
};

/** Disturbs the machines of one run; every disturbance ends by itself, or by `heal`. */
export class ModelDisturbances {
  /** What messages meet from now on. */
  network = soundNetwork;

  constructor(
    private readonly world: World,
    private readonly nodes: ModelNodes,
    private readonly history: ModelHistory,
    private readonly rng: () => number,
  ) {
    world.net.deliveryFaults = () => this.fate();
  }

  /** A disk may be lost if, without it, a majority of the voters has the newest committed state on disk. */
  mayLoseDisk(lost: Machine): boolean {
    const state = this.history.newest;
    if (!state) return false;
    const others = this.world.machines.filter((machine) => machine !== lost);
    const identities = new Set(others.map((machine) => this.nodes.identityOf(machine)));
    return [state.voters.current, state.voters.next].every((group) => {
      const storing = group.filter((id) => identities.has(id) && this.nodes.stores(id, state));
      return storing.length * 2 > group.length;
    });
  }

  /** Cuts a group off from all others. */
  cut(group: readonly Machine[], direction: CutDirection, ms: number): void {
    const rest = this.world.machines.filter((machine) => !group.includes(machine));
    const pairs = group.flatMap((a) => rest.flatMap((b) => pairsOf(a.addr, b.addr, direction)));
    for (const [from, to] of pairs) this.world.net.cut(from, to);
    this.after(ms, () => this.world.net.uncut(pairs));
  }

  freeze(machine: Machine, ms: number): void {
    const { incarnation } = machine;
    machine.freeze();
    this.after(ms, () => {
      if (machine.incarnation === incarnation) machine.wake();
    });
  }

  /** Kills a machine and starts it again. */
  kill(machine: Machine, how: 'process' | 'power', ms: number): void {
    machine.kill(how);
    const { incarnation } = machine;
    this.after(ms, () => {
      if (machine.incarnation === incarnation && this.world.machines.includes(machine))
        machine.start();
    });
  }

  /** Takes a machine's power and disk, and starts it again without anything on it. */
  wipe(machine: Machine, ms: number): void {
    this.kill(machine, 'power', ms);
    machine.drive.wipe();
    this.nodes.forgetDisk(machine);
  }

  /** A machine is lost for good, and a new one starts. */
  replace(machine: Machine): void {
    machine.kill('power');
    this.world.remove(machine);
    this.world.add('control').start();
  }

  /** A new machine starts; later the old one stops in order and goes, if its disk may be lost then. */
  replacePlanned(machine: Machine): void {
    this.world.add('control').start();
    this.after(modelBounds.failureTimeout * 4, () => {
      const { control } = machine;
      if (!control || !this.isThere(machine) || !this.mayLoseDisk(machine)) return;
      machine.incarnation.do(() => void control.stop().catch(() => undefined));
      this.after(modelBounds.failureTimeout, () => this.removeStopped(machine));
    });
  }

  disturbDisk({ drive }: Machine, fault: DiskFault, ms: number): void {
    switch (fault) {
      case 'slow-disk':
        drive.delay = slowDiskMs;
        break;
      case 'full-disk':
        drive.full = true;
        break;
      case 'stalled-disk':
        drive.stalled = true;
        break;
    }
    this.after(ms, () => drive.endFaults());
  }

  /** Ends all disturbances now. */
  heal(): void {
    this.network = soundNetwork;
    this.world.net.healCuts();
    for (const machine of this.world.machines) {
      if (machine.incarnation.frozen) machine.wake();
      if (!machine.up) machine.start();
      machine.drive.endFaults();
    }
  }

  private removeStopped(machine: Machine): void {
    if (this.mayLoseDisk(machine)) {
      if (!this.isThere(machine)) return;
      machine.kill('power');
      this.world.remove(machine);
    } else if (this.isThere(machine)) this.kill(machine, 'process', modelBounds.heartbeatInterval);
  }

  private isThere(machine: Machine): boolean {
    return this.world.machines.includes(machine);
  }

  private after(ms: number, run: () => void): void {
    this.world.clock.after(ms, run);
  }

  private fate(): DeliveryFaults {
    return {
      lost: this.happens(this.network.lost),
      extraDelayMs: this.happens(this.network.late) ? this.rng() * modelBounds.failureTimeout : 0,
      duplicates: this.happens(this.network.repeated) ? 1 : 0,
    };
  }

  private happens(percent: number): boolean {
    return percent > 0 && this.rng() * 100 < percent;
  }
}
