/** The deployment's list of servers: its form, and how it is taken into the state. */
import { z } from 'zod';
import type { Server, State } from './state.js';

/** A server as the list shows it. */
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
/** A server as the list shows it; `places` is how many requests it works on at a time. */
export type ListedServer = z.infer<typeof ListedServer>;

/** Whether the list changes nothing of a server; `down` is no matter of the list. */
const isAsListed = (current: Server, listed: Server): boolean =>
  current.pool === listed.pool &&
  current.url === listed.url &&
  current.zone === listed.zone &&
  current.places === listed.places &&
  current.draining === listed.draining;

/** The server that the list shows; one that drains goes on draining, whatever the list says of it later. */
const listedAs = (
  listed: ListedServer,
  current: Server | undefined,
  isDraining: boolean,
): Server => {
  const { id, pool, url, zone, places } = listed;
  const draining = listed.draining || isDraining;
  const server = { id, pool, url, draining, down: current?.down ?? false, zone, places };
  return current && isAsListed(current, server) ? current : server;
};

/** The state with the servers of the list and no others; the very state where the list alters nothing. */
export const applyServerList = (state: State, listed: readonly ListedServer[]): State => {
  const servers = new Map<string, Server>();
  for (const server of listed) {
    const current = state.servers.get(server.id);
    const listedBefore = servers.get(server.id);
    const isDraining = (current?.draining ?? false) || (listedBefore?.draining ?? false);
    servers.set(server.id, listedAs(server, current, isDraining));
  }
  const isUnchanged =
    servers.size === state.servers.size &&
    [...servers].every(([id, server]) => state.servers.get(id) === server);
  return isUnchanged ? state : { ...state, servers };
};
