/** Worlds with default configurations, and assertions on their records, for tests on the simulator. */
import * as assert from 'uvu/assert';
import {
  checkRecords,
  emptyRecords,
  type PassRecord,
  type ExecutionRecord,
  type Records,
} from '@tillerstair/checker';
import {
  passAt,
  passHost,
  passRoutes,
  World,
  type Machine,
  type PassSpec,
  type WorldOptions,
} from '@tillerstair/sim';
import { slotForKey } from '@tillerstair/state';

/** The JSON text of a configuration with one pool of models and one of services. */
export const configText = (
  base: number,
  turnPool = 'models',
  callPool = 'shop',
  extra = 0,
): string =>
  JSON.stringify({
    base,
    pools: [
      { name: turnPool, kind: 'model' },
      { name: callPool, kind: 'service' },
    ],
    routes: [
      {
        name: 'chat',
        match: { kind: 'turn', path: '/chat' },
        shares: [{ pool: turnPool, share: 1 }],
      },
      {
        name: 'hold',
        match: { kind: 'call', path: '/hold' },
        acting: true,
        shares: [{ pool: callPool, share: 1 }],
      },
      ...Array.from({ length: extra }, (_, i) => ({
        name: `x${i}`,
        match: { kind: 'call', path: `/x/${i}` },
        shares: [{ pool: callPool, share: 1 }],
      })),
    ],
    budgets: { program: 1000, turn: 16 },
  });

/** Ids of the default servers, each with its pool. */
export const servers: readonly (readonly [string, string])[] = [
  ['m1', 'models'],
  ['m2', 'models'],
  ['s1', 'shop'],
  ['s2', 'shop'],
];

/** Three controls, three stores and two fronts. */
export const small: WorldOptions = { controls: 3, stores: 3, fronts: 2 };
/** Five controls, three stores and three fronts. */
export const fiveControls: WorldOptions = { controls: 5, stores: 3, fronts: 3 };

/** A started world that serves the default configuration and servers; `trace` prints all log lines. */
export const worldUp = async (seed: number, sizes: WorldOptions, trace = false): Promise<World> => {
  const world = new World(seed, sizes);
  if (trace) world.trace = (line) => console.log(line);
  await world.startServing((base) => configText(base), servers);
  return world;
};

/** The JSON text of a configuration with pass routes of every manner; `more` overrides its top-level fields. */
export const passConfigText = (
  base: number,
  turnPool = 'models',
  callPool = 'shop',
  ownPool = 'memo',
  more: object = {},
): string =>
  JSON.stringify({
    base,
    pools: [
      ...['models', 'others'].map((name) => ({
        name,
        kind: 'model',
        engine: { places: 4, memoryTokens: 100000, blockTokens: 1 },
      })),
      { name: 'shop', kind: 'service' },
      { name: 'mart', kind: 'service' },
      { name: 'memo', kind: 'service', remembersKeys: true },
    ],
    routes: [
      ...passRoutes([turnPool], callPool),
      {
        name: 'own',
        match: { kind: 'pass', host: passHost, path: '/own/' },
        pass: { manner: 'keyed', tries: 2, deadlineMs: 8000 },
        shares: [{ pool: ownPool, share: 1 }],
      },
    ],
    ...more,
  });

const passServers: readonly (readonly [string, string])[] = [
  ...servers,
  ['k1', 'memo'],
  ['k2', 'memo'],
  ['n1', 'others'],
  ['z1', 'mart'],
];

/** A started world that serves pass routes; `more` overrides fields of its configuration. */
export const passUp = async (
  seed: number,
  sizes: WorldOptions,
  more: object = {},
  retentionMs?: number,
): Promise<World> => {
  const world = new World(seed, sizes);
  if (retentionMs !== undefined) world.retentionMs = retentionMs;
  await world.startServing(
    (base) => passConfigText(base, 'models', 'shop', 'memo', more),
    passServers,
  );
  return world;
};

/** Sends a request on a pass route, and advances the time until the caller has the outcome. */
export const passed = (world: World, spec: PassSpec, at?: Machine): Promise<PassRecord> =>
  world.clock.finish(spec.path, passAt(world, spec, at), 60000);

/** The executions of an attempt at all servers. */
export const runsOf = (world: World, attempt: string): readonly ExecutionRecord[] =>
  world.servers.executed.filter((execution) => execution.attempt === attempt);

/** Cuts the power of all machines, restarts them, and waits until they serve. */
export const restart = async (world: World): Promise<void> => {
  for (const machine of world.machines) machine.kill('power');
  await world.clock.run(500);
  world.start();
  await world.clock.until(
    'serving',
    () => world.readyFronts().length === world.of('front').length && world.slotsComplete(),
    20000,
  );
  await world.clock.run(500);
};

/** The records of a world for the checker; by default with the first configuration only. */
export const recordsOf = (world: World, more: Partial<Records> = {}): Records => ({
  ...emptyRecords,
  reported: world.reported,
  executed: world.servers.executed,
  passes: world.passes,
  perTurn: 16,
  configs: [
    {
      version: 1,
      text: '',
      turnPools: ['models'],
      callPools: ['shop'],
      sentAt: -1e9,
      reported: 'done',
      reportedAt: 0,
    },
  ],
  readBack: { version: 1, text: '' },
  ...more,
});

/** Fails with every breach of the never-list that the checker finds. */
export const assertNoBreach = (records: Records): void => {
  const breaches = checkRecords(records).flatMap((result) =>
    result.breaches.map((breach) => `${result.rule}: ${breach}`),
  );
  assert.equal(breaches, []);
};

/** The front that owns the slot of a key; undefined if there is none. */
export const ownerOf = (world: World, key: string) => {
  const state = world.committed;
  const slot = state?.slots[slotForKey(key, state.slots.length)];
  return world.of('front').find((machine) => machine.front?.id === slot?.owner);
};

/** Number of executions of a keyed call at all servers. */
export const executionCount = (world: World, key: string): number =>
  world.servers.executed.filter((execution) => execution.key === `t/${key}`).length;
