/** Sweeps on the processor time and memory that single steps cost, in the code that the roles run. */
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
import { trackOpenFiles, meanCpuMs, cpuMsOnce, retainedMb } from './capacity-meter.js';
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
const next = (s: State): State => ({ ...s, version: s.version + 1 });
const packed = (v: unknown): string => deflateSync(JSON.stringify(v)).toString('base64');

const withOneDraining = (s: State): State => {
  const first = [...s.servers.keys()].at(0);
  return next(
    first === undefined ? s : reduceState(s, { kind: 'server-mark', id: first, draining: true }),
  );
};

/** What one change of one key costs each role, in the code that `Master`, `PublishReceiver`, `Agent` and `Front` run for it. */
const applyCost = async (z: StateSizes): Promise<Values> => {
  const [s, mb] = await retainedMb(() => stateOf(z));
  const t = withOneDraining(s);
  const diff = diffStates(s, t);
  const full = [...encodeState(s)];
  const text = JSON.stringify(full);
  const wire = packed({ full });
  return new Map([
    ['state bytes', text.length],
    ['state packed, bytes', wire.length],
    ['diff packed, bytes', packed({ diff }).length],
    ['state kept, MB', mb],
    ['master: diff and pack, ms', meanCpuMs(() => packed({ diff: diffStates(s, t) }))],
    ['master: pack whole, ms', meanCpuMs(() => packed({ full: [...encodeState(s)] }))],
    ['node: take a diff, ms', meanCpuMs(() => applyDiff(s, diff))],
    [
      'node: take whole, ms',
      meanCpuMs(() => JSON.parse(inflateSync(Buffer.from(wire, 'base64')).toString())) +
        meanCpuMs(() => decodeState(new Map(full))),
    ],
    [
      'front: agent feeds its proxy, ms',
      meanCpuMs(() => JSON.parse(JSON.stringify([...encodeState(t)]))) +
        meanCpuMs(() => decodeState(new Map(full))),
    ],
  ]);
};

const part = (percent: number): StateSizes => {
  const of = (n: number): number => Math.max(1, Math.round((n * percent) / 100));
  return {
    fronts: of(grownSizes.fronts),
    servers: of(grownSizes.servers),
    slots: of(grownSizes.slots),
    routes: of(grownSizes.routes),
  };
};

const reportOf = (servers: number): unknown => ({
  seen: testServers(servers).map((v) => ({ id: v.id, url: v.url, ok: true, pace: 12.345678 })),
  released: [],
});

const fronts = 40;

const reportCost = async (servers: number): Promise<Values> => {
  const s = stateOf({ ...typicalSizes, servers });
  const report = reportOf(servers);
  const text = JSON.stringify(report);
  const [allocationController, mb] = await retainedMb(() => {
    const k = new AllocationController(hostClock, bounds, silentLogger);
    for (let n = 0; n < fronts; n++) k.onReport(`f-${n}`, JSON.parse(text));
    return k;
  });
  return new Map([
    ['report bytes', text.length],
    ['agent: make and send a report, ms', meanCpuMs(() => JSON.stringify(reportOf(servers)))],
    [
      'master: take a report, ms',
      meanCpuMs(() => allocationController.onReport('f-0', JSON.parse(text))),
    ],
    ['master: standing kept a front, MB', mb / fronts],
    [
      'master: a tuning round a front, ms',
      meanCpuMs(() => allocationController.throughputs(s)) / fronts,
    ],
  ]);
};

const routeCost = (routes: number): Values => {
  const text = configText(1, routes);
  const s = stateOf({ ...typicalSizes, routes });
  const t = next(withConfig(s, routes + 1));
  const diff = diffStates(s, t);
  const u = applyDiff(s, diff);
  const take = (): void => {
    const taken = applyDiff(s, diff);
    const config = compiledConfig(taken?.config);
    if (config) buildRouteTable(config);
  };
  if (!u) throw new Error('the diff does not fit');
  return new Map([
    ['file bytes', text.length],
    ['diff of one route, bytes', JSON.stringify(diff).length],
    ['diff of one route packed, bytes', packed({ diff }).length],
    ['control: check the file, ms', meanCpuMs(() => checkConfig(text))],
    ['front: take the version, ms', meanCpuMs(take)],
  ]);
};

const chunkTexts = (turn: number, count: number): string[] =>
  Array.from({ length: count }, (_, i) => `${turn}.${i} `.slice(0, 4));

/** One program at its last turn: its history as one conversation of so many thousand characters. */
const historyCost = async (thousands: number): Promise<Values> => {
  const turns = 81;
  const each = (thousands * 1000) / turns / 2;
  const words = 'x y '.repeat(each / 4);
  const [kept, mb] = await retainedMb(() =>
    Array.from({ length: turns }, (_, n) => {
      const v: TurnValue = {
        t: 'turn',
        status: 'done',
        after: n === 0 ? null : `t${n - 1}`,
        digest: '',
        words: `${n} ${words}`,
        pool: 'models',
        server: 's',
        cost: 0,
        chunks: chunkTexts(n, Math.ceil(each / 4)),
      };
      return JSON.stringify({ key: `p/p/t/t${n}`, ownershipEpoch: 1, seq: n, value: v });
    }).map((text): unknown => JSON.parse(text)),
  );
  const messages = Array.from({ length: turns }, (_, n) => [
    { role: 'user' as const, text: `${n} ${words}` },
    { role: 'assistant' as const, text: `${n} ${words}` },
  ]).flat();
  return new Map([
    ['history kept, bytes', JSON.stringify(kept).length],
    ['history held by an owner, MB', mb],
    ['bytes to the server for the last turn', JSON.stringify(messages).length],
    ['owner: prefixes of the last turn, ms', meanCpuMs(() => prefixBlocksOfMessages(messages))],
    ['owner: the last turn written out, ms', meanCpuMs(() => JSON.stringify(messages))],
  ]);
};

const stub = (): Transport => ({
  self: 'owner',
  call: (_to, kind) => Promise.resolve(kind === 'store/fence' ? { items: [], next: '' } : {}),
  serve: () => Promise.resolve(),
  onConnectionLost: () => undefined,
  close: () => Promise.resolve(),
});

const replicatorOf = async (): Promise<SlotReplicator> => {
  const state = stateOf(typicalSizes);
  const config = compiledConfig(state.config);
  const table = { state, config, routes: config ? buildRouteTable(config) : new Map() };
  const k = new SlotReplicator(0, 0, {
    clock: hostClock,
    transport: stub(),
    log: silentLogger,
    compiledState: () => table,
    putTimeoutMs: 1500,
    heartbeatIntervalMs: 1000,
    retentionMs: 3600000,
  });
  const slot = state.slots.at(0);
  if (!slot) throw new Error('no slot');
  k.apply(slot);
  while (!k.isOpen) await new Promise((done) => setImmediate(done));
  return k;
};

const chunks = Array.from({ length: 64 }, (_, n) => `w${n} `);

const ownerCost = async (programs: number): Promise<Values> => {
  const k = await replicatorOf();
  let put = 0;
  const [, mb] = await retainedMb(async () => {
    put = await cpuMsOnce(async () => {
      for (let n = 0; n < programs; n++) {
        await k.put(`p/p${n}`, {
          t: 'program',
          tenant: `tenant-${n % 2100}`,
          budget: 1000,
          parent: null,
        });
        await k.put(`p/p${n}/t/t0`, {
          t: 'turn',
          status: 'done',
          after: null,
          digest: `d${n}`,
          words: `words of ${n}`.padEnd(256),
          pool: 'models',
          server: 's',
          cost: 64,
          chunks: chunks.map((p) => `${p}${n}`.slice(0, 4)),
        });
      }
    });
  });
  return new Map([
    ['items held', k.size],
    ['held by the owner, MB', mb],
    ['a put, ms', put / programs / 2],
    ['a round of ageing, ms', meanCpuMs(() => k.expire())],
  ]);
};

const replicaStoreCost = async (count: number): Promise<Values> => {
  const dir = mkdtempSync(join(tmpdir(), 'capacity-'));
  const disk = await FolderDisk.acquire(dir);
  const watched = trackOpenFiles(disk);
  try {
    const open = (): Promise<ReplicaStore> =>
      ReplicaStore.open(watched.disk, hostClock, {
        rewriteMinBytes: 1 << 30,
        retentionMs: 3600000,
        maxHints: 1000,
      });
    const fill = async (made: ReplicaStore): Promise<void> => {
      for (let n = 0; n < count; n += 500)
        await Promise.all(
          Array.from({ length: Math.min(500, count - n) }, (_, i) =>
            made.write((n + i) % 64, 1, [
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
    let put = 0;
    const [replicaStore, mb] = await retainedMb(async () => {
      const made = await open();
      put = await cpuMsOnce(() => fill(made));
      return made;
    });
    let ms = 0;
    for (let n = 0; n < 5; n++) ms += await cpuMsOnce(() => replicaStore.dropExpired());
    const { bytes } = replicaStore.counts();
    return new Map([
      ['held by the store, MB', mb],
      ['journal bytes', bytes],
      ['a put of 500 at once, ms', put / count],
      ['a round of ageing, ms', ms / 5],
    ]);
  } finally {
    await watched.close();
    await disk.release();
    rmSync(dir, { recursive: true, force: true });
  }
};

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
      run: (n) => applyCost(part(n)),
    },
  ],
  [
    'reports',
    {
      about: `servers in each report; ${fronts} fronts`,
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
