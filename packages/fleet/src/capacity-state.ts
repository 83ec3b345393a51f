/** Generates cluster states of any size, for the sweeps on processor time. */
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

/** The counts that decide the size of a cluster state. */
export interface StateSizes {
  readonly fronts: number;
  readonly servers: number;
  readonly slots: number;
  readonly routes: number;
}

/**
 * The size expected in two years: 20 slots a front, limited to the maximum of a bootstrap, and a route for each tenant
 * and model.
 */
export const grownSizes: StateSizes = { fronts: 410, servers: 3400, slots: 4096, routes: 8400 };
/** The size of a present deployment. */
export const typicalSizes: StateSizes = { fronts: 40, servers: 100, slots: 64, routes: 20 };

/** So many members of a kind, with addresses in the network 10.`net`. */
const membersOf = (kind: Member['kind'], net: number, count: number): readonly Member[] =>
  Array.from({ length: count }, (_, n) => ({
    id: `${kind.charAt(0)}-${String(n).padStart(12, '0')}`,
    kind,
    addr: `10.${net}.${n >> 8}.${n & 255}:7400`,
    http: `10.${net}.${n >> 8}.${n & 255}:7500`,
    zone: `zone-${n % 7}`,
    data: kind === 'front' ? `10.${net}.${n >> 8}.${n & 255}:7600` : '',
    name: '',
  }));

/**
 * Returns the state with a further configuration version, which has `routes` extra routes; throws if it is rejected.
 */
export const withConfig = (state: State, routes: number): State => {
  const text = configText(state.config?.version ?? 0, routes);
  const { config } = checkConfig(text);
  if (!config)
    throw new Error(`the generated configuration with ${routes} extra routes was rejected`);
  const record = ConfigRecord.parse({
    version: (state.config?.version ?? 0) + 1,
    text,
    digest: configDigest(text),
    compiled: JSON.stringify(config),
  });
  return reduceState(state, { kind: 'config', record });
};

/** Returns the state of a cluster of these sizes, with all slots allocated, servers registered and weights tuned. */
export const stateOf = (sizes: StateSizes): State => {
  const controls = membersOf('control', 1, 5);
  const members = [
    ...controls,
    ...membersOf('store', 2, 15),
    ...membersOf('front', 3, sizes.fronts),
  ];
  const bootstrapped = bootstrapState('cluster', controls, sizes.slots);
  const joined = members.reduce(
    (state, member) => reduceState(state, { kind: 'join', member }),
    bootstrapped,
  );
  const allocated = allocate(joined, {
    minStores: 3,
    maxMoves: sizes.slots,
    maxFills: sizes.slots,
    unresponsiveStores: new Set(),
  });
  const servers = testServers(sizes.servers);
  const registered = {
    ...allocated,
    servers: new Map(servers.map((server) => [server.id, server])),
  };
  const weights = new Map(servers.map((server) => [weightKey(server.pool, server.id), 0.98]));
  return withConfig(reduceState(registered, { kind: 'weights', weights }), sizes.routes);
};
