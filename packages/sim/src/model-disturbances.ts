/** The faults that a model run causes: cuts, freezes, kills, lost and disturbed disks, and replaced machines. */
import type { Machine } from './machine.js';
import type { CutDirection, DiskFault } from './model-actions.js';
import type { ModelNodes } from './model-nodes.js';
import type { ModelHistory } from './model-history.js';
import type { AddressPair, DeliveryFaults } from './sim-net.js';
import type { World } from './world.js';

/** Short time bounds in ms, which keep a run of one simulated minute cheap. */
export const modelBounds = {
  serveWithin: 2400,
  drainingWithin: 600,
  heartbeatInterval: 200,
  failureTimeout: 600,
};

/** Shares of messages that are lost, delayed or duplicated, in percent. */
interface NetworkFaults {
  readonly lost: number;
  readonly late: number;
  readonly repeated: number;
}

const faultlessNetwork: NetworkFaults = { lost: 0, late: 0, repeated: 0 };
const slowDiskMs = 120;

const pairsOf = (
  address: string,
  peer: string,
  direction: CutDirection,
): readonly AddressPair[] => {
  const outbound: AddressPair = [address, peer];
  const inbound: AddressPair = [peer, address];
  switch (direction) {
    case 'both':
      return [outbound, inbound];
    case 'out':
      return [outbound];
    case 'in':
      return [inbound];
  }
};

/** Causes the faults of one run; those that are not permanent end after their duration, or with `heal`. */
export class ModelDisturbances {
  /** The network faults that messages are subject to from now on. */
  network = faultlessNetwork;

  constructor(
    private readonly world: World,
    private readonly nodes: ModelNodes,
    private readonly history: ModelHistory,
    private readonly rng: () => number,
  ) {
    world.net.deliveryFaults = () => this.deliveryFaults();
  }

  /** Whether a disk may be lost: without it, a majority of the voters must have the newest committed state on disk. */
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

  /** Cuts a group of machines off from all others. */
  cut(group: readonly Machine[], direction: CutDirection, ms: number): void {
    const others = this.world.machines.filter((machine) => !group.includes(machine));
    const pairs = group.flatMap((member) =>
      others.flatMap((other) => pairsOf(member.addr, other.addr, direction)),
    );
    for (const [from, to] of pairs) this.world.net.cut(from, to);
    this.after(ms, () => this.world.net.uncut(pairs));
  }

  /** Freezes a machine, and wakes it after `ms`. */
  freeze(machine: Machine, ms: number): void {
    const { incarnation } = machine;
    machine.freeze();
    this.after(ms, () => {
      if (machine.incarnation === incarnation) machine.wake();
    });
  }

  /** Kills a machine and restarts it after `ms`. */
  kill(machine: Machine, how: 'process' | 'power', ms: number): void {
    machine.kill(how);
    const { incarnation } = machine;
    this.after(ms, () => {
      if (machine.incarnation === incarnation && this.world.machines.includes(machine))
        machine.start();
    });
  }

  /** Cuts a machine's power, erases its disk and restarts it after `ms`. */
  wipe(machine: Machine, ms: number): void {
    this.kill(machine, 'power', ms);
    machine.drive.wipe();
    this.nodes.forgetDisk(machine);
  }

  /** Removes a machine for good and starts a new one. */
  replace(machine: Machine): void {
    machine.kill('power');
    this.world.remove(machine);
    this.world.add('control').start();
  }

  /** Starts a new machine; later the old one stops gracefully and is removed, if its disk may be lost by then. */
  replacePlanned(machine: Machine): void {
    this.world.add('control').start();
    this.after(modelBounds.failureTimeout * 4, () => {
      const { control } = machine;
      if (!control || !this.isPresent(machine) || !this.mayLoseDisk(machine)) return;
      machine.incarnation.do(() => void control.stop().catch(() => undefined));
      this.after(modelBounds.failureTimeout, () => this.removeStopped(machine));
    });
  }

  /** Makes a disk slow, full or stalled for `ms`. */
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

  /** Ends all faults now, and restarts the machines that are down. */
  heal(): void {
    this.network = faultlessNetwork;
    this.world.net.healCuts();
    for (const machine of this.world.machines) {
      if (machine.incarnation.frozen) machine.wake();
      if (!machine.up) machine.start();
      machine.drive.endFaults();
    }
  }

  private removeStopped(machine: Machine): void {
    if (this.mayLoseDisk(machine)) {
      if (!this.isPresent(machine)) return;
      machine.kill('power');
      this.world.remove(machine);
    } else if (this.isPresent(machine))
      this.kill(machine, 'process', modelBounds.heartbeatInterval);
  }

  private isPresent(machine: Machine): boolean {
    return this.world.machines.includes(machine);
  }

  private after(ms: number, run: () => void): void {
    this.world.clock.after(ms, run);
  }

  private deliveryFaults(): DeliveryFaults {
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
