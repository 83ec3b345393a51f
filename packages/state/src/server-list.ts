import { z } from 'zod';
import type { Server, State } from './state.js';

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
export type ListedServer = z.infer<typeof ListedServer>;

export const ServerListReport = z.object({
  age: z.number().nullable(),
  readAge: z.number().nullable(),
});
export type ServerListReport = z.infer<typeof ServerListReport>;

export const ServerListReply = z.object({
  reported: ServerListReport.optional(),
  open: z.array(z.string()).readonly(),
  draining: z.array(z.string()).readonly(),
});
export type ServerListReply = z.infer<typeof ServerListReply>;

const same = (a: Server | undefined, b: Server): boolean =>
  a !== undefined &&
  a.pool === b.pool &&
  a.url === b.url &&
  a.zone === b.zone &&
  a.places === b.places &&
  a.draining === b.draining;

export const applyServerList = (s: State, listed: readonly ListedServer[]): State => {
  const servers = new Map<string, Server>();
  for (const v of listed) {
    const old = s.servers.get(v.id);
    const draining =
      v.draining || (old?.draining ?? false) || (servers.get(v.id)?.draining ?? false);
    const server: Server = {
      id: v.id,
      pool: v.pool,
      url: v.url,
      draining,
      down: old?.down ?? false,
      zone: v.zone,
      places: v.places,
    };
    servers.set(v.id, old && same(old, server) ? old : server);
  }
  const unchanged =
    servers.size === s.servers.size && [...servers].every(([id, v]) => s.servers.get(id) === v);
  return unchanged ? s : { ...s, servers };
};
