/** Computes a front's connection limit per server, so that all fronts together stay within the limit of the pool. */
import type { CompiledState } from '@tillerstair/session-owner';

/** Connection limit for servers whose pool configures none. */
const defaultConnections = 64;
const minConnections = 2;
/** Factor on the number of fronts that share a server's limit: load is uneven, and fronts may join. */
const frontCountAllowance = 1.5;

/** Maximum number of connections to the server at `url`; the default until the front has a cluster state. */
export const connectionLimit = (compiled: CompiledState | undefined, url: string): number => {
  if (!compiled) return defaultConnections;
  const { state, config } = compiled;
  const pool = [...state.servers.values()].find((server) => server.url === url)?.pool;
  const poolLimit = config?.pools.find(({ name }) => name === pool)?.connections ?? 0;
  if (poolLimit === 0) return defaultConnections;
  const fronts = [...state.nodes.values()].filter(({ kind }) => kind === 'front').length;
  return Math.max(
    minConnections,
    Math.floor(poolLimit / (frontCountAllowance * Math.max(1, fronts))),
  );
};
