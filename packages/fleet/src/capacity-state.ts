/** Cluster states of any size, for the sweeps on processor time. */
import {
  allocate,
  checkConfig,
  ConfigRecord,
  configDigest,
  bootstrapState,
  reduceState,
  weightKey,
  type Member,
  type State,
} from '@tillerstair/state';
import { configText, testServers } from './capacity-deployment.js';

/** What the size of a cluster state depends on. */
export interface StateSizes {
  readonly fronts: number;
  readonly servers: number;
  readonly slots: number;
  readonly routes: number;
}

/** The two-year size, with 20 slots a front held to the most a bootstrap takes, and a route for each tenant and model. */
export const grownSizes: StateSizes = { fronts: 410, servers: 3400, slots: 4096, routes: 8400 };
/** A deployment of today's size. */
export const typicalSizes: StateSizes = { fronts: 40, servers: 100, slots: 64, routes: 20 };

const peers = (kind: Member['kind'], net: number, count: number): readonly Member[] =>
  Array.from({ length: count }, (_, n) => ({
    id: `${kind.charAt(0)}-${String(n).padStart(12, '0')}`,
    kind,
    addr: `10.${net}.${n >> 8}.${n & 255}:7400`,
    http: `10.${net}.${n >> 8}.${n & 255}:7500`,
    zone: `zone-${n % 7}`,
    data: kind === 'front' ? `10.${net}.${n >> 8}.${n & 255}:7600` : '',
    name: '',
  }));

/** The state with a configuration more. */
export const withConfig = (s: State, routes: number): State => {
  const text = configText(s.config?.version ?? 0, routes);
  const { config } = checkConfig(text);
  if (!config) throw new Error('the configuration is refused');
  const record = ConfigRecord.parse({
    version: (s.config?.version ?? 0) + 1,
    text,
    digest: configDigest(text),
    compiled: JSON.stringify(config),
  });
  return reduceState(s, { kind: 'config', record });
};

/** A state of a size, as a cluster that has grown to it would have. */
export const stateOf = (z: StateSizes): State => {
  const controls = peers('control', 1, 5);
  const all = [...controls, ...peers('store', 2, 15), ...peers('front', 3, z.fronts)];
  const bootstrapped = bootstrapState('cluster', controls, z.slots);
  const joined = all.reduce((s, member) => reduceState(s, { kind: 'join', member }), bootstrapped);
  const allotted = allocate(joined, {
    minStores: 3,
    maxMoves: z.slots,
    maxFills: z.slots,
    unresponsiveStores: new Set(),
  });
  const servers = testServers(z.servers);
  const served = { ...allotted, servers: new Map(servers.map((v) => [v.id, v])) };
  const weights = new Map(servers.map((v) => [weightKey(v.pool, v.id), 0.98]));
  return withConfig(reduceState(served, { kind: 'weights', weights }), z.routes);
};
