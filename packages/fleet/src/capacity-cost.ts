/** Sweeps on the processor time and memory of single steps, measured on the code that the roles run. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { deflateSync, inflateSync } from 'node:zlib';
import { AllocationController } from '@tillerstair/control';
import { FolderDisk } from '@tillerstair/journal';
import {
  checkConfig,
  compiledConfig,
  diffStates,
  encodeState,
  buildRouteTable,
  applyDiff,
  reduceState,
  decodeState,
  type State,
} from '@tillerstair/state';
import { prefixBlocksOfMessages, SlotReplicator, type TurnValue } from '@tillerstair/session-owner';
import { ReplicaStore } from '@tillerstair/store';
import { hostClock, silentLogger, type Transport } from '@tillerstair/wire';
import { zenBounds } from '@tillerstair/zen';
import type { Sweep, Values } from './capacity.js';
import { trackOpenFiles, cpuMs, cpuMsOnce, retainedMb } from './capacity-meter.js';
import { configText, testServers } from './capacity-deployment.js';
import {
  withConfig,
  grownSizes,
  typicalSizes,
  stateOf,
  type StateSizes,
} from './capacity-state.js';

const bounds = zenBounds({
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 1000,
  failureTimeout: 3000,
});
const nextVersion = (state: State): State => ({ ...state, version: state.version + 1 });
const pack = (value: unknown): string => deflateSync(JSON.stringify(value)).toString('base64');

const withOneDraining = (state: State): State => {
  const id = [...state.servers.keys()].at(0);
  return nextVersion(
    id === undefined ? state : reduceState(state, { kind: 'server-mark', id, draining: true }),
  );
};

/** The cost of one changed key for each role, in the code that `Master`, `PublishReceiver`, `Agent` and `Front` run. */
const applyCost = async (sizes: StateSizes): Promise<Values> => {
  const [state, retained] = await retainedMb(() => stateOf(sizes));
  const changed = withOneDraining(state);
  const diff = diffStates(state, changed);
  const full = [...encodeState(state)];
  const text = JSON.stringify(full);
  const message = pack({ full });
  return new Map([
    ['state bytes', text.length],
    ['state packed, bytes', message.length],
    ['diff packed, bytes', pack({ diff }).length],
    ['state kept, MB', retained],
    ['master: diff and pack, ms', cpuMs(() => pack({ diff: diffStates(state, changed) }))],
    ['master: pack whole, ms', cpuMs(() => pack({ full: [...encodeState(state)] }))],
    ['node: take a diff, ms', cpuMs(() => applyDiff(state, diff))],
    [
      'node: take whole, ms',
      cpuMs(() => JSON.parse(inflateSync(Buffer.from(message, 'base64')).toString())) +
        cpuMs(() => decodeState(new Map(full))),
    ],
    [
      'front: agent feeds its proxy, ms',
      cpuMs(() => JSON.parse(JSON.stringify([...encodeState(changed)]))) +
        cpuMs(() => decodeState(new Map(full))),
    ],
  ]);
};

const shareOfGrownSizes = (percent: number): StateSizes => {
  const scaled = (size: number): number => Math.max(1, Math.round((size * percent) / 100));
  return {
    fronts: scaled(grownSizes.fronts),
    servers: scaled(grownSizes.servers),
    slots: scaled(grownSizes.slots),
    routes: scaled(grownSizes.routes),
  };
};

const reportOf = (servers: number): unknown => ({
  seen: testServers(servers).map((s) => ({ id: s.id, url: s.url, ok: true, pace: 12.345678 })),
  released: [],
});

const frontCount = 40;

const reportCost = async (servers: number): Promise<Values> => {
  const state = stateOf({ ...typicalSizes, servers });
  const report = reportOf(servers);
  const text = JSON.stringify(report);
  const [controller, mb] = await retainedMb(() => {
    const created = new AllocationController(hostClock, bounds, silentLogger);
    for (let n = 0; n < frontCount; n++) created.onReport(`f-${n}`, JSON.parse(text));
    return created;
  });
  return new Map([
    ['report bytes', text.length],
    ['agent: make and send a report, ms', cpuMs(() => JSON.stringify(reportOf(servers)))],
    ['master: take a report, ms', cpuMs(() => controller.onReport('f-0', JSON.parse(text)))],
    ['master: standing kept a front, MB', mb / frontCount],
    ['master: a tuning round a front, ms', cpuMs(() => controller.throughputs(state)) / frontCount],
  ]);
};

const routeCost = (routes: number): Values => {
  const text = configText(1, routes);
  const state = stateOf({ ...typicalSizes, routes });
  const changed = nextVersion(withConfig(state, routes + 1));
  const diff = diffStates(state, changed);
  const applied = applyDiff(state, diff);
  const applyOnFront = (): void => {
    const next = applyDiff(state, diff);
    const config = compiledConfig(next?.config);
    if (config) buildRouteTable(config);
  };
  if (!applied) throw new Error(`a diff does not apply to version ${state.version}`);
  return new Map([
    ['file bytes', text.length],
    ['diff of one route, bytes', JSON.stringify(diff).length],
    ['diff of one route packed, bytes', pack({ diff }).length],
    ['control: check the file, ms', cpuMs(() => checkConfig(text))],
    ['front: take the version, ms', cpuMs(applyOnFront)],
  ]);
};

const chunkTexts = (turn: number, count: number): string[] =>
  Array.from({ length: count }, (_, i) => `${turn}.${i} `.slice(0, 4));

/** The cost of a program's last turn, after a conversation of so many thousand characters. */
const historyCost = async (thousands: number): Promise<Values> => {
  const turns = 81;
  const charactersEach = (thousands * 1000) / turns / 2;
  const words = 'x y '.repeat(charactersEach / 4);
  const [kept, retained] = await retainedMb(() =>
    Array.from({ length: turns }, (_, n) => {
      const value: TurnValue = {
        t: 'turn',
        status: 'done',
        after: n === 0 ? null : `t${n - 1}`,
        digest: '',
        words: `${n} ${words}`,
        pool: 'models',
        server: 's',
        cost: 0,
        chunks: chunkTexts(n, Math.ceil(charactersEach / 4)),
      };
      return JSON.stringify({ key: `p/p/t/t${n}`, ownershipEpoch: 1, seq: n, value });
    }).map((text): unknown => JSON.parse(text)),
  );
  const messages = Array.from({ length: turns }, (_, n) => [
    { role: 'user' as const, text: `${n} ${words}` },
    { role: 'assistant' as const, text: `${n} ${words}` },
  ]).flat();
  return new Map([
    ['history kept, bytes', JSON.stringify(kept).length],
    ['history held by an owner, MB', retained],
    ['bytes to the server for the last turn', JSON.stringify(messages).length],
    ['owner: prefixes of the last turn, ms', cpuMs(() => prefixBlocksOfMessages(messages))],
    ['owner: the last turn written out, ms', cpuMs(() => JSON.stringify(messages))],
  ]);
};

const stubTransport = (): Transport => ({
  self: 'owner',
  call: (_to, kind) => Promise.resolve(kind === 'store/fence' ? { items: [], next: '' } : {}),
  serve: () => Promise.resolve(),
  onConnectionLost: () => undefined,
  close: () => Promise.resolve(),
});

const openReplicator = async (): Promise<SlotReplicator> => {
  const state = stateOf(typicalSizes);
  const config = compiledConfig(state.config);
  const table = { state, config, routes: config ? buildRouteTable(config) : new Map() };
  const replicator = new SlotReplicator(0, 0, {
    clock: hostClock,
    transport: stubTransport(),
    log: silentLogger,
    compiledState: () => table,
    putTimeoutMs: 1500,
    heartbeatIntervalMs: 1000,
    retentionMs: 3600000,
  });
  const slot = state.slots.at(0);
  if (!slot) throw new Error('the generated state has no slots');
  replicator.apply(slot);
  while (!replicator.isOpen) await new Promise((done) => setImmediate(done));
  return replicator;
};

const ownerChunks = Array.from({ length: 64 }, (_, n) => `w${n} `);

const ownerCost = async (programs: number): Promise<Values> => {
  const replicator = await openReplicator();
  let putMs = 0;
  const [, mb] = await retainedMb(async () => {
    putMs = await cpuMsOnce(async () => {
      for (let n = 0; n < programs; n++) {
        await replicator.put(`p/p${n}`, {
          t: 'program',
          tenant: `tenant-${n % 2100}`,
          budget: 1000,
          parent: null,
        });
        await replicator.put(`p/p${n}/t/t0`, {
          t: 'turn',
          status: 'done',
          after: null,
          digest: `d${n}`,
          words: `words of ${n}`.padEnd(256),
          pool: 'models',
          server: 's',
          cost: 64,
          chunks: ownerChunks.map((chunk) => `${chunk}${n}`.slice(0, 4)),
        });
      }
    });
  });
  return new Map([
    ['items held', replicator.size],
    ['held by the owner, MB', mb],
    ['a put, ms', putMs / programs / 2],
    ['a round of ageing, ms', cpuMs(() => replicator.expire())],
  ]);
};

const replicaStoreCost = async (count: number): Promise<Values> => {
  const dir = mkdtempSync(join(tmpdir(), 'capacity-'));
  const disk = await FolderDisk.acquire(dir);
  const tracked = trackOpenFiles(disk);
  try {
    const open = (): Promise<ReplicaStore> =>
      ReplicaStore.open(tracked.disk, hostClock, {
        rewriteMinBytes: 1 << 30,
        retentionMs: 3600000,
        maxHints: 1000,
      });
    const fill = async (store: ReplicaStore): Promise<void> => {
      for (let n = 0; n < count; n += 500)
        await Promise.all(
          Array.from({ length: Math.min(500, count - n) }, (_, i) =>
            store.write((n + i) % 64, 1, [
              {
                key: `o/tenant-${(n + i) % 2100}/key-${n + i}`,
                ownershipEpoch: 1,
                seq: n + i,
                value: {
                  t: 'op',
                  status: 'done',
                  digest: 'd'.repeat(32),
                  code: 200,
                  body: { did: 'hold', n },
                },
              },
            ]),
          ),
        );
    };
    let putMs = 0;
    const [replicaStore, mb] = await retainedMb(async () => {
      const store = await open();
      putMs = await cpuMsOnce(() => fill(store));
      return store;
    });
    let expiryMs = 0;
    for (let n = 0; n < 5; n++) expiryMs += await cpuMsOnce(() => replicaStore.dropExpired());
    const { bytes } = replicaStore.counts();
    return new Map([
      ['held by the store, MB', mb],
      ['journal bytes', bytes],
      ['a put of 500 at once, ms', putMs / count],
      ['a round of ageing, ms', expiryMs / 5],
    ]);
  } finally {
    await tracked.close();
    await disk.release();
    rmSync(dir, { recursive: true, force: true });
  }
};

/** The sweeps on processor time and memory, keyed by name. */
export const costSweeps: ReadonlyMap<string, Sweep> = new Map<string, Sweep>([
  [
    'apply-nodes',
    {
      about: 'one changed key; 100 servers, 64 slots, 20 routes',
      by: 'front',
      how: 'processor',
      sizes: [50, 100, 200, 400],
      small: [4, 8, 12, 16],
      grown: 410,
      run: (n) => applyCost({ ...typicalSizes, fronts: n }),
    },
  ],
  [
    'apply-servers',
    {
      about: 'one changed key; 40 fronts, 64 slots, 20 routes',
      by: 'server',
      how: 'processor',
      sizes: [425, 850, 1700, 3400],
      small: [8, 16, 24, 32],
      grown: 3400,
      run: (n) => applyCost({ ...typicalSizes, servers: n }),
    },
  ],
  [
    'apply-slots',
    {
      about: 'one changed key; 40 fronts, 100 servers, 20 routes',
      by: 'slot',
      how: 'processor',
      sizes: [64, 512, 2048, 4096],
      small: [8, 16, 32, 64],
      grown: 8200,
      run: (n) => applyCost({ ...typicalSizes, slots: n }),
    },
  ],
  [
    'apply-all',
    {
      about: 'one changed key; so much of 410 fronts, 3,400 servers, 4,096 slots, 8,400 routes',
      by: 'percent',
      how: 'processor',
      sizes: [12, 25, 50, 100],
      small: [1, 2, 3, 4],
      grown: 100,
      run: (percent) => applyCost(shareOfGrownSizes(percent)),
    },
  ],
  [
    'reports',
    {
      about: `servers in each report; ${frontCount} fronts`,
      by: 'server',
      how: 'processor',
      sizes: [425, 850, 1700, 3400],
      small: [8, 16, 24, 32],
      grown: 3400,
      run: reportCost,
    },
  ],
  [
    'route-cost',
    {
      about: 'routes in the file; one is added',
      by: 'route',
      how: 'processor',
      sizes: [625, 1250, 2500, 5000],
      small: [8, 16, 24, 32],
      grown: 8400,
      run: (routes) => Promise.resolve(routeCost(routes)),
    },
  ],
  [
    'history-cost',
    {
      about: 'thousand characters in one program of 81 turns',
      by: 'thousand characters',
      how: 'processor',
      sizes: [500, 1000, 2000, 4000],
      small: [8, 16, 24, 32],
      grown: 4000,
      run: historyCost,
    },
  ],
  [
    'owner-cost',
    {
      about: 'programs of one turn of 64 chunks in one slot',
      by: 'program',
      how: 'processor',
      sizes: [1000, 2000, 4000, 8000],
      small: [8, 16, 24, 32],
      grown: 1050,
      run: ownerCost,
    },
  ],
  [
    'store-cost',
    {
      about: 'operation keys in one store',
      by: 'key',
      how: 'processor',
      sizes: [5000, 10000, 20000, 40000],
      small: [8, 16, 24, 32],
      grown: 3000000,
      run: replicaStoreCost,
    },
  ],
]);
