/** The server list of the deployment: its schema, and how it is applied to the state. */
import { z } from 'zod';
import type { Server, State } from './state.js';

/** A server of the list. */
export const ListedServer = z
  .object({
    id: z.string(),
    pool: z.string(),
    url: z.string(),
    zone: z.string(),
    places: z.number(),
    draining: z.boolean(),
  })
  .readonly();
/** A server of the list; `places` is the number of requests that it processes concurrently. */
export type ListedServer = z.infer<typeof ListedServer>;

/** Whether the list leaves a server unchanged; `down` is not part of the list. */
const isAsListed = (current: Server, listed: Server): boolean =>
  current.pool === listed.pool &&
  current.url === listed.url &&
  current.zone === listed.zone &&
  current.places === listed.places &&
  current.draining === listed.draining;

/** The state's server for an entry of the list; a draining server stays draining, whatever the list says later. */
const toServer = (
  listed: ListedServer,
  current: Server | undefined,
  isDraining: boolean,
): Server => {
  const { id, pool, url, zone, places } = listed;
  const draining = listed.draining || isDraining;
  const server = { id, pool, url, draining, down: current?.down ?? false, zone, places };
  return current && isAsListed(current, server) ? current : server;
};

/** Replaces the servers of the state by those of the list; returns `state` itself if nothing changes. */
export const applyServerList = (state: State, listed: readonly ListedServer[]): State => {
  const servers = new Map<string, Server>();
  for (const server of listed) {
    const current = state.servers.get(server.id);
    const listedBefore = servers.get(server.id);
    const isDraining = (current?.draining ?? false) || (listedBefore?.draining ?? false);
    servers.set(server.id, toServer(server, current, isDraining));
  }
  const isUnchanged =
    servers.size === state.servers.size &&
    [...servers].every(([id, server]) => state.servers.get(id) === server);
  return isUnchanged ? state : { ...state, servers };
};
