/** Routes by what they match, and the choice of the route for a request: an exact path, or else the longest prefix. */
import type { Config, Route } from './schema.js';

/** The kinds of requests that routes are for. */
export type RouteKind = 'turn' | 'call' | 'pass';

/** The routes of a configuration, by kind, host and path. */
export type RouteTable = ReadonlyMap<string, Route>;

/** What a route matches; no two routes of a configuration match the same. */
export const matchKey = ({ match }: Route): string => `${match.kind} ${match.host}${match.path}`;

/** The table of a configuration's routes. */
export const buildRouteTable = (config: Config): RouteTable =>
  new Map(config.routes.map((route) => [matchKey(route), route]));

/** The route for a path (for `pass`, with the host before it), or undefined; prefixes end at a slash. */
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
