import { z } from 'zod';
import type { Server, State } from './state.js';

export const Listed = z
  .object({
    id: z.string(),
    pool: z.string(),
    url: z.string(),
    zone: z.string(),
    places: z.number(),
    draining: z.boolean(),
  })
  .readonly();
export type Listed = z.infer<typeof Listed>;

export const ListReport = z.object({ age: z.number().nullable(), readAge: z.number().nullable() });
export type ListReport = z.infer<typeof ListReport>;

export const ListReply = z.object({
  reported: ListReport.optional(),
  open: z.array(z.string()).readonly(),
  draining: z.array(z.string()).readonly(),
});
export type ListReply = z.infer<typeof ListReply>;

const same = (a: Server | undefined, b: Server): boolean =>
  a !== undefined &&
  a.pool === b.pool &&
  a.url === b.url &&
  a.zone === b.zone &&
  a.places === b.places &&
  a.draining === b.draining;

export const listInto = (s: State, listed: readonly Listed[]): State => {
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
