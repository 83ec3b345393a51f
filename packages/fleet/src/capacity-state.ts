import { allot, checkConfig, ConfigRecord, digestOf, foundingState, reduce, weightKey, type Mate, type State } from '@tillerstair/state';
import { configOf, serversOf } from './capacity-rig.js';

export interface StateSizes {
  readonly fronts: number;
  readonly servers: number;
  readonly slots: number;
  readonly lanes: number;
}

/** The two-year size, with 20 slots a front held to the most a founding takes, and a lane for each tenant and model. */
export const grownState: StateSizes = { fronts: 410, servers: 3400, slots: 4096, lanes: 8400 };
export const plainState: StateSizes = { fronts: 40, servers: 100, slots: 64, lanes: 20 };

const mates = (kind: Mate['kind'], net: number, count: number): readonly Mate[] =>
  Array.from({ length: count }, (_, n) => ({
    id: `${kind.charAt(0)}-${String(n).padStart(12, '0')}`, kind, addr: `10.${net}.${n >> 8}.${n & 255}:7400`, http: `10.${net}.${n >> 8}.${n & 255}:7500`,
    zone: `zone-${n % 7}`, data: kind === 'front' ? `10.${net}.${n >> 8}.${n & 255}:7600` : '', name: '',
  }));

export const configured = (s: State, lanes: number): State => {
  const text = configOf(s.config?.version ?? 0, lanes);
  const { config } = checkConfig(text);
  if (!config) throw new Error('the configuration is refused');
  const record = ConfigRecord.parse({ version: (s.config?.version ?? 0) + 1, text, digest: digestOf(text), compiled: JSON.stringify(config) });
  return reduce(s, { kind: 'config', record });
};

export const stateOf = (z: StateSizes): State => {
  const controls = mates('control', 1, 5);
  const all = [...controls, ...mates('store', 2, 15), ...mates('front', 3, z.fronts)];
  const founded = foundingState('cluster', controls, z.slots);
  const joined = all.reduce((s, mate) => reduce(s, { kind: 'join', mate }), founded);
  const allotted = allot(joined, { leastStores: 3, moves: z.slots, fills: z.slots, silentStores: new Set() });
  const servers = serversOf(z.servers);
  const served = { ...allotted, servers: new Map(servers.map((v) => [v.id, v])) };
  const weights = new Map(servers.map((v) => [weightKey(v.pool, v.id), 0.98]));
  return configured(reduce(served, { kind: 'weights', weights }), z.lanes);
};
