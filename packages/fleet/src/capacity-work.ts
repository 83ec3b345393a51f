/** Sweeps on the messages, bytes and stored items that programs, turns and calls cost. */
import type { Sweep, Values } from './capacity.js';
import type { ReplyRecord } from '@tillerstair/checker';
import { countOf, SimulatedDeployment, defaultSizes } from './capacity-deployment.js';

/** Number of items in all stores. */
const itemsOf = (deployment: SimulatedDeployment): number =>
  deployment.simulation
    .of('store')
    .reduce((sum, machine) => sum + (machine.replicaStore?.counts().items ?? 0), 0);
/** Journal bytes of all stores. */
const journalBytesOf = (deployment: SimulatedDeployment): number =>
  deployment.simulation
    .of('store')
    .reduce((sum, machine) => sum + (machine.replicaStore?.counts().bytes ?? 0), 0);
/** Number of items that all slot owners hold in memory. */
const ownerItemsOf = (deployment: SimulatedDeployment): number =>
  deployment.simulation
    .of('front')
    .reduce((sum, machine) => sum + (machine.front?.owner.sizes().items ?? 0), 0);

/** Counts the messages and items that `work` costs, until 500 ms after its end. */
const measureWork = async (
  deployment: SimulatedDeployment,
  work: () => Promise<void>,
): Promise<Values> => {
  const items = itemsOf(deployment);
  const journalBytes = journalBytesOf(deployment);
  const ownerItems = ownerItemsOf(deployment);
  const tally = await deployment.tally(async () => {
    await work();
    await deployment.simulation.clock.run(500);
  });
  return new Map([
    ['store/put messages', countOf(tally.messages, 'kind store/put')],
    ['store/put bytes', countOf(tally.bytes, 'kind store/put')],
    [
      'bytes between fronts',
      ['program', 'turn', 'turn chunk', 'history', 'call'].reduce(
        (sum, kind) => sum + countOf(tally.bytes, `kind front/${kind}`),
        0,
      ),
    ],
    ['items in all stores', itemsOf(deployment) - items],
    ['journal bytes in all stores', journalBytesOf(deployment) - journalBytes],
    ['items held by owners', ownerItemsOf(deployment) - ownerItems],
  ]);
};

/** Starts a deployment of 4 fronts, 3 stores, 16 slots and 16 servers. */
const startDeployment = (): Promise<SimulatedDeployment> =>
  SimulatedDeployment.start({ ...defaultSizes, fronts: 4, slots: 16 }, 16);
/** Throws unless a request was reported as done. */
const requireDone = (reported: string): void => {
  if (reported !== 'done') throw new Error(`a request was reported as ${reported}, not as done`);
};

/** Creates programs of one turn each. */
const programs = async (count: number): Promise<Values> => {
  const deployment = await startDeployment();
  return measureWork(deployment, async () => {
    for (let n = 0; n < count; n++) {
      const program = await deployment.simulation.clock.finish(
        'program',
        deployment.simulation.program(1000),
        20000,
      );
      requireDone(program.reported);
      requireDone(
        (
          await deployment.simulation.clock.finish(
            'turn',
            deployment.simulation.turn(program.program, null, `words ${n}`, `k${n}`),
            20000,
          )
        ).reported,
      );
    }
  });
};

/** Runs the turns of one program. */
const history = async (turns: number): Promise<Values> => {
  const deployment = await startDeployment();
  return measureWork(deployment, async () => {
    const program = await deployment.simulation.clock.finish(
      'program',
      deployment.simulation.program(100000),
      20000,
    );
    requireDone(program.reported);
    let after: string | null = null;
    for (let n = 0; n < turns; n++) {
      const previous: string | null = after;
      const turn: ReplyRecord = await deployment.simulation.clock.finish(
        'turn',
        deployment.simulation.turn(program.program, previous, `words ${n}`, `k${n}`),
        20000,
      );
      requireDone(turn.reported);
      after = turn.turn;
    }
  });
};

/** Makes calls with an operation key each. */
const keys = async (count: number): Promise<Values> => {
  const deployment = await startDeployment();
  return measureWork(deployment, async () => {
    for (let n = 0; n < count; n++)
      requireDone(
        (
          await deployment.simulation.clock.finish(
            'call',
            deployment.simulation.call(`key-${n}`, '/hold', { n }),
            20000,
          )
        ).reported,
      );
  });
};

/** The sweeps on programs, turns and calls, keyed by name. */
export const workSweeps: ReadonlyMap<string, Sweep> = new Map<string, Sweep>([
  [
    'programs',
    {
      about: 'programs of one turn each, 4 fronts, 3 stores',
      by: 'program',
      how: 'simulated',
      sizes: [16, 32, 64, 128],
      small: [2, 4, 6, 8],
      grown: 420000,
      run: programs,
    },
  ],
  [
    'history',
    {
      about: 'turns of 60 characters and 4 to 15 chunks in one program',
      by: 'turn',
      how: 'simulated',
      sizes: [10, 20, 40, 81],
      small: [2, 4, 6, 8],
      grown: 81,
      run: history,
    },
  ],
  [
    'keys',
    {
      about: 'calls with an operation key each',
      by: 'key',
      how: 'simulated',
      sizes: [16, 32, 64, 128],
      small: [2, 4, 6, 8],
      grown: 4300,
      run: keys,
    },
  ],
]);
