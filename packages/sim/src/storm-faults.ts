/** All faults of storms, collected from the tables of their groups. */
import { diskFaults } from './faults-disk.js';
import { machineFaults } from './faults-machine.js';
import { membershipFaults } from './faults-members.js';
import { networkFaults } from './faults-network.js';
import { operatorFaults } from './faults-operator.js';
import { serverFaults } from './faults-server.js';
import {
  FaultTools,
  pickFaultyServer,
  type FaultTable,
  type PlannedFault,
  type StormActions,
} from './storm-fault.js';
import { seededRng } from './random.js';

const faults: FaultTable = new Map([
  ...machineFaults,
  ...diskFaults,
  ...networkFaults,
  ...membershipFaults,
  ...serverFaults,
  ...operatorFaults,
]);

/** The names of all faults. */
export const faultKinds: readonly string[] = [...faults.keys()];

/** Causes the faults of a storm's plan. */
export class Faults extends FaultTools {
  constructor(private readonly actions: StormActions) {
    super(actions);
  }

  /** Causes one fault; returns what it affected, or '' if it could not be applied now or is unknown. */
  async cause(planned: PlannedFault): Promise<string> {
    const { actions } = this;
    const rng = seededRng(actions.spec.seed * 104729 + planned.index);
    const durationMs = 500 + rng() * 7000;
    const server = pickFaultyServer(rng);
    return (
      (await faults.get(planned.fault)?.({
        tools: this,
        storm: actions,
        world: actions.world,
        rng,
        durationMs,
        index: planned.index,
        server,
      })) ?? ''
    );
  }
}
