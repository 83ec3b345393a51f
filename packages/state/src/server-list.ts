/** The deployment's list of servers: its form, what nodes tell each other of it, and how it is taken into the state. */
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

/** How long ago the list was asked for, and how long ago the newest answer was, in ms; null for never. */
export const ServerListReport = z.object({
  age: z.number().nullable(),
  readAge: z.number().nullable(),
});
/** The ages of a node's reading of the list. */
export type ServerListReport = z.infer<typeof ServerListReport>;

/** A control's own reading, for fronts that ask while no master is known. */
export const ServerListReply = z.object({
  reported: ServerListReport.optional(),
  open: z.array(z.string()).readonly(),
  draining: z.array(z.string()).readonly(),
});
/** A control's own reading: its ages, and the ids of the servers that are open or draining. */
export type ServerListReply = z.infer<typeof ServerListReply>;

/** Whether the list changes nothing of a server; `down` is no matter of the list. */
const isAsListed = (current: Server, listed: Server): boolean =>
  current.pool === listed.pool &&
  current.url === listed.url &&
  current.zone === listed.zone &&
  current.places === listed.places &&
  current.draining === listed.draining;

/** The server as listed; one that drains goes on draining, whatever the list says of it later. */
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
