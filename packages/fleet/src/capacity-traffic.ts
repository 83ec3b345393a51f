/** Sweeps on the messages and bytes that a simulated deployment sends, when idle and when something changes. */
import { encodeState } from '@tillerstair/state';
import type { Sweep, Values } from './capacity.js';
import {
  countOf,
  SimulatedDeployment,
  defaultSizes,
  type Role,
  type Tally,
} from './capacity-deployment.js';

/** Simulated time over which an idle deployment is measured. */
const idleMs = 10000;

/** Size of the committed state as JSON. */
const stateBytes = (deployment: SimulatedDeployment): number =>
  JSON.stringify([...encodeState(deployment.simulation.committed ?? fail())]).length;
const fail = (): never => {
  throw new Error('the simulated deployment has not committed a state');
};

/** Messages or bytes of several kinds together. */
const sumOfKinds = (tally: Tally, kinds: readonly string[], unit: 'messages' | 'bytes'): number =>
  kinds.reduce((sum, kind) => sum + countOf(tally[unit], `kind ${kind}`), 0);

/** The message kind of ping rounds. */
const pingKind = 'zen/ping';

/** Messages or bytes that a role sent and received, without the pings of rounds. */
const exceptPings = (tally: Tally, unit: 'messages' | 'bytes', role: Role): number =>
  countOf(tally[unit], role) - countOf(tally[unit], `${role} ${pingKind}`);

/** Measures the rates of messages and bytes of an idle deployment. */
const measureIdle = async (
  deployment: SimulatedDeployment,
  fronts: number,
): Promise<readonly (readonly [string, number])[]> => {
  const tally = await deployment.tallyIdle(idleMs);
  const seconds = idleMs / 1000;
  const ratePerNode = (unit: 'messages' | 'bytes', role: Role, nodeCount: number): number =>
    exceptPings(tally, unit, role) / seconds / nodeCount;
  return [
    ['master messages a second', ratePerNode('messages', 'master', 1)],
    ['master bytes a second', ratePerNode('bytes', 'master', 1)],
    ['agent messages a second', ratePerNode('messages', 'agent', fronts)],
    ['agent bytes a second', ratePerNode('bytes', 'agent', fronts)],
    [
      'store messages a second',
      ratePerNode('messages', 'store', deployment.simulation.of('store').length),
    ],
    [
      'store bytes a second',
      ratePerNode('bytes', 'store', deployment.simulation.of('store').length),
    ],
    [
      'other control bytes a second',
      ratePerNode('bytes', 'control', deployment.simulation.of('control').length - 1),
    ],
    ['loopback bytes a second a front', ratePerNode('bytes', 'loop', fronts)],
    [
      'messages of freshness rounds a second, all',
      countOf(tally.messages, `kind ${pingKind}`) / seconds,
    ],
    [
      'freshness rounds a second, all',
      countOf(tally.messages, `kind ${pingKind}`) /
        seconds /
        2 /
        (deployment.simulation.machines.length - 1),
    ],
  ];
};

/** Kills the master and measures the election until every front follows the new master. */
const measureMasterChange = async (
  deployment: SimulatedDeployment,
): Promise<readonly (readonly [string, number])[]> => {
  const { simulation } = deployment;
  const oldMaster = simulation.master;
  const startedAt = simulation.clock.now();
  let elapsedMs = 0;
  const tally = await deployment.tally(async () => {
    oldMaster?.kill();
    await simulation.clock.until(
      'a new master',
      () => simulation.master !== undefined && simulation.master !== oldMaster,
      20000,
    );
    const term = simulation.master?.control?.zen.term ?? 0;
    const isFollowed = (): boolean =>
      simulation
        .of('front')
        .every((machine) => (machine.front?.owner.current?.state.term ?? 0) >= term);
    await simulation.clock.until('the state of the new master on every front', isFollowed, 20000);
    elapsedMs = simulation.clock.now() - startedAt;
  });
  return [
    [
      'change of master, messages',
      [...tally.messages].reduce(
        (sum, [name, count]) => (name.startsWith('kind zen/') ? sum + count : sum),
        0,
      ),
    ],
    [
      'change of master, bytes',
      [...tally.bytes].reduce(
        (sum, [name, count]) => (name.startsWith('kind zen/') ? sum + count : sum),
        0,
      ),
    ],
    ['change of master, messages of rounds', countOf(tally.messages, `kind ${pingKind}`)],
    [
      'change of master, messages of rounds a pair',
      countOf(tally.messages, `kind ${pingKind}`) / simulation.machines.length ** 2,
    ],
    ['change of master, ms', elapsedMs],
  ];
};

/** The message kinds that publish a state. */
const publishKinds = ['zen/publish', 'zen/commit'] as const;

/** Measures one change of the configuration. */
const measureConfigChange = async (
  deployment: SimulatedDeployment,
): Promise<readonly (readonly [string, number])[]> => {
  let elapsedMs = 0;
  const tally = await deployment.tally(async () => {
    elapsedMs = await deployment.reconfigure();
    await deployment.simulation.clock.run(1000);
  });
  const targets = deployment.simulation.machines.length - 1;
  return [
    ['messages of one change', sumOfKinds(tally, publishKinds, 'messages')],
    ['bytes of one change', sumOfKinds(tally, publishKinds, 'bytes')],
    ['bytes of one change a node', sumOfKinds(tally, publishKinds, 'bytes') / targets],
    ['one change in force, ms', elapsedMs],
  ];
};

const nodes = async (fronts: number): Promise<Values> => {
  const deployment = await SimulatedDeployment.start({ ...defaultSizes, fronts }, 16);
  return new Map([
    ['state bytes', stateBytes(deployment)],
    ...(await measureIdle(deployment, fronts)),
    ...(await measureConfigChange(deployment)),
    ...(await measureMasterChange(deployment)),
  ]);
};

const servers = async (count: number): Promise<Values> => {
  const deployment = await SimulatedDeployment.start(defaultSizes, count);
  const { fronts } = defaultSizes;
  const polls = deployment.simulation.servers.healthChecks;
  const idleRates = await measureIdle(deployment, fronts);
  const polled = deployment.simulation.servers.healthChecks - polls;
  const markTally = await deployment.tally(() => deployment.markDraining(0));
  const targets = deployment.simulation.machines.length - 1;
  return new Map([
    ['state bytes', stateBytes(deployment)],
    ['polls a second a front', polled / (idleMs / 1000) / fronts],
    ['bytes of one mark a node', sumOfKinds(markTally, publishKinds, 'bytes') / targets],
    ...idleRates,
  ]);
};

const routes = async (count: number): Promise<Values> => {
  const deployment = await SimulatedDeployment.start(defaultSizes, 16, count);
  return new Map([
    ['state bytes', stateBytes(deployment)],
    ...(await measureConfigChange(deployment)),
  ]);
};

const slots = async (count: number): Promise<Values> => {
  const deployment = await SimulatedDeployment.start({ ...defaultSizes, slots: count }, 16);
  const bytesOfState = stateBytes(deployment);
  const front = deployment.simulation.of('front').at(0);
  const versionBefore = deployment.simulation.committed?.version ?? 0;
  const startedAt = deployment.simulation.clock.now();
  let elapsedMs = 0;
  const tally = await deployment.tally(async () => {
    front?.kill();
    await deployment.simulation.clock.until(
      'a new owner of every slot',
      () =>
        (deployment.simulation.committed?.version ?? 0) > versionBefore &&
        deployment.simulation.slotsOwned(),
      20000,
    );
    elapsedMs = deployment.simulation.clock.now() - startedAt;
    await deployment.simulation.clock.run(2000);
  });
  return new Map([
    ['state bytes', bytesOfState],
    ['publish bytes at the loss of a front', sumOfKinds(tally, publishKinds, 'bytes')],
    ['fences at the loss of a front', sumOfKinds(tally, ['store/fence'], 'messages')],
    ['loss of a front, ms to the last new owner', elapsedMs],
  ]);
};

const changes = async (count: number): Promise<Values> => {
  const deployment = await SimulatedDeployment.start({ ...defaultSizes, fronts: 16 }, 16);
  const durations: number[] = [];
  const tally = await deployment.tally(async () => {
    for (let change = 0; change < count; change++) {
      const startedAt = deployment.simulation.clock.now();
      durations.push(await deployment.reconfigure());
      await deployment.simulation.clock.run(
        Math.max(0, idleMs / count - (deployment.simulation.clock.now() - startedAt)),
      );
    }
  });
  return new Map([
    ['messages that publish', sumOfKinds(tally, publishKinds, 'messages')],
    ['master messages a second', exceptPings(tally, 'messages', 'master') / 10],
    ['master bytes a second', exceptPings(tally, 'bytes', 'master') / 10],
    ['agent bytes a second', exceptPings(tally, 'bytes', 'agent') / 10 / 16],
    ['longest to be in force, ms', Math.max(...durations)],
  ]);
};

/** The region of a machine, by the number in its address. */
const regionOf = (addr: string): number => Number(/-(\d+)/.exec(addr)?.[1] ?? 0) % 3;

const regions = async (oneWayMs: number): Promise<Values> => {
  const deployment = await SimulatedDeployment.start({ ...defaultSizes, fronts: 9 }, 16);
  const { simulation } = deployment;
  simulation.net.extraLatency = (a, b) => (regionOf(a) === regionOf(b) ? 0 : oneWayMs);
  await simulation.clock.run(5000);
  const inForce = await deployment.reconfigure();
  const programs: number[] = [];
  const turns: number[] = [];
  for (let index = 0; index < 27; index++) {
    const startedAt = simulation.clock.now();
    const program = await simulation.clock.finish(
      'program',
      simulation.program(1000, simulation.of('front')[index % 9]),
      20000,
    );
    const createdAt = simulation.clock.now();
    const turn = await simulation.clock.finish(
      'turn',
      simulation.turn(
        program.program,
        null,
        'words',
        `k${index}`,
        simulation.of('front')[index % 9],
      ),
      20000,
    );
    if (program.reported !== 'done' || turn.reported !== 'done')
      throw new Error(
        `the program was reported as ${program.reported}, the turn as ${turn.reported}`,
      );
    programs.push(createdAt - startedAt);
    turns.push(simulation.clock.now() - createdAt);
  }
  const median = (values: readonly number[]): number =>
    [...values].sort((a, b) => a - b)[values.length >> 1] ?? 0;
  return new Map([
    ['one change in force, ms', inForce],
    ['a program made, median ms', median(programs)],
    ['a turn of 4 to 15 chunks, median ms', median(turns)],
    ['a turn of 4 to 15 chunks, most ms', Math.max(...turns)],
  ]);
};

/** The sweeps on a simulated deployment, keyed by name. */
export const deploymentSweeps: ReadonlyMap<string, Sweep> = new Map<string, Sweep>([
  [
    'nodes',
    {
      about: 'fronts beside 5 controls and 3 stores, 16 servers, 64 slots',
      by: 'front',
      how: 'simulated',
      sizes: [16, 32, 64, 128],
      small: [2, 4, 6, 8],
      grown: 410,
      run: nodes,
    },
  ],
  [
    'servers',
    {
      about: 'servers before 6 fronts',
      by: 'server',
      how: 'simulated',
      sizes: [16, 64, 256, 1024],
      small: [4, 8, 16, 32],
      grown: 3400,
      run: servers,
    },
  ],
  [
    'routes',
    {
      about: 'routes in the configuration; one is added',
      by: 'route',
      how: 'simulated',
      sizes: [10, 40, 160, 640],
      small: [2, 4, 8, 16],
      grown: 8400,
      run: routes,
    },
  ],
  [
    'slots',
    {
      about: 'slots; one front of six is lost',
      by: 'slot',
      how: 'simulated',
      sizes: [16, 64, 256, 512],
      small: [8, 16, 32, 64],
      grown: 8200,
      run: slots,
    },
  ],
  [
    'changes',
    {
      about: 'changes of configuration in ten seconds, 16 fronts',
      by: 'change in ten seconds',
      how: 'simulated',
      sizes: [5, 10, 20, 40],
      small: [1, 2, 4, 8],
      grown: 1,
      run: changes,
    },
  ],
  [
    'regions',
    {
      about: 'ms one way between three regions',
      by: 'ms one way',
      how: 'simulated',
      sizes: [0, 10, 20, 40],
      small: [0, 5, 10, 20],
      grown: 40,
      run: regions,
    },
  ],
]);
