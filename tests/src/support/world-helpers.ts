import * as assert from 'uvu/assert';
import {
  checkRecords,
  noRecords,
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

export const servers: readonly (readonly [string, string])[] = [
  ['m1', 'models'],
  ['m2', 'models'],
  ['s1', 'shop'],
  ['s2', 'shop'],
];

export const small: WorldOptions = { controls: 3, stores: 3, fronts: 2 };
export const fiveControls: WorldOptions = { controls: 5, stores: 3, fronts: 3 };

export const worldUp = async (seed: number, sizes: WorldOptions, trace = false): Promise<World> => {
  const w = new World(seed, sizes);
  if (trace) w.trace = (line) => console.log(line);
  await w.startServing((base) => configText(base), servers);
  return w;
};

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

export const passUp = async (
  seed: number,
  sizes: WorldOptions,
  more: object = {},
  retentionMs?: number,
): Promise<World> => {
  const w = new World(seed, sizes);
  if (retentionMs !== undefined) w.retentionMs = retentionMs;
  await w.startServing((base) => passConfigText(base, 'models', 'shop', 'memo', more), passServers);
  return w;
};

/** Sends on a pass route and lets time go on until the caller has heard. */
export const passed = (w: World, spec: PassSpec, at?: Machine): Promise<PassRecord> =>
  w.clock.finish(spec.path, passAt(w, spec, at), 60000);

export const runsOf = (w: World, attempt: string): readonly ExecutionRecord[] =>
  w.servers.executed.filter((r) => r.attempt === attempt);

export const restart = async (w: World): Promise<void> => {
  for (const m of w.machines) m.kill('power');
  await w.clock.run(500);
  w.start();
  await w.clock.until(
    'serving',
    () => w.readyFronts().length === w.of('front').length && w.slotsReplicated(),
    20000,
  );
  await w.clock.run(500);
};

export const recordsOf = (w: World, more: Partial<Records> = {}): Records => ({
  ...noRecords,
  reported: w.reported,
  executed: w.servers.executed,
  passes: w.passes,
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

export const assertNoBreach = (r: Records): void => {
  const breaches = checkRecords(r).flatMap((v) => v.breaches.map((b) => `${v.rule}: ${b}`));
  assert.equal(breaches, []);
};

export const ownerOf = (w: World, key: string) => {
  const s = w.committed;
  const slot = s?.slots[slotForKey(key, s.slots.length)];
  return w.of('front').find((m) => m.front?.id === slot?.owner);
};

export const executionCount = (w: World, key: string): number =>
  w.servers.executed.filter((r) => r.key === `t/${key}`).length;
