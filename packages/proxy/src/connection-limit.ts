/** How many connections a front may open to one server, so that all fronts together stay within the server's limit. */
import type { CompiledState } from '@tillerstair/session-owner';

/** For servers whose pool names no limit. */
const defaultConnections = 64;
const minConnections = 2;
/** The share of a front counts this many times as many fronts, since their load is uneven and fronts may join. */
const frontCountAllowance = 1.5;

/** The limit for the server at `url` by the state in force; the default before there is one. */
export const connectionLimit = (table: CompiledState | undefined, url: string): number => {
  if (!table) return defaultConnections;
  const { state, config } = table;
  const pool = [...state.servers.values()].find((server) => server.url === url)?.pool;
  const poolLimit = config?.pools.find(({ name }) => name === pool)?.connections ?? 0;
  if (poolLimit === 0) return defaultConnections;
  const fronts = [...state.nodes.values()].filter(({ kind }) => kind === 'front').length;
  return Math.max(
    minConnections,
    Math.floor(poolLimit / (frontCountAllowance * Math.max(1, fronts))),
  );
};
