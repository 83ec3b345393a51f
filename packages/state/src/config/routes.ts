/** The route table, and the selection of the route for a request: an exact path, or else the longest prefix. */
import type { Config, Route } from './schema.js';

/** Kinds of requests that routes match. */
export type RouteKind = 'turn' | 'call' | 'pass';

/** Routes of a configuration by `matchKey`. */
export type RouteTable = ReadonlyMap<string, Route>;

/** Key of the kind, host and path that a route matches; unique within a configuration. */
export const matchKey = ({ match }: Route): string => `${match.kind} ${match.host}${match.path}`;

/** Builds the route table of a configuration. */
export const buildRouteTable = (config: Config): RouteTable =>
  new Map(config.routes.map((route) => [matchKey(route), route]));

/** The route for a path (for `pass`, preceded by the host); undefined if none matches. Prefixes end at a slash. */
export const findRoute = (table: RouteTable, kind: RouteKind, path: string): Route | undefined => {
  const exact = table.get(`${kind} ${path}`);
  if (exact) return exact;
  let slash = path.lastIndexOf('/');
  while (slash >= 0) {
    const route =
      table.get(`${kind} ${path.slice(0, slash + 1)}`) ??
      (slash > 0 ? table.get(`${kind} ${path.slice(0, slash)}`) : undefined);
    if (route) return route;
    slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1);
  }
  return undefined;
};
