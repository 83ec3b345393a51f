import { z } from 'zod';
import type { Server, State } from './state.js';

export const Listed = z.object({
  id: z.string(),
  pool: z.string(),
  url: z.string(),
  zone: z.string(),
  places: z.number(),
  leaving: z.boolean(),
}).readonly();
export type Listed = z.infer<typeof Listed>;

export const ListTold = z.object({ age: z.number().nullable(), readAge: z.number().nullable() });
export type ListTold = z.infer<typeof ListTold>;

export const ListReply = z.object({
  told: ListTold.optional(),
  open: z.array(z.string()).readonly(),
  leaving: z.array(z.string()).readonly(),
});
export type ListReply = z.infer<typeof ListReply>;

const same = (a: Server | undefined, b: Server): boolean =>
  a !== undefined && a.pool === b.pool && a.url === b.url && a.zone === b.zone && a.places === b.places && a.leaving === b.leaving;

export const listInto = (s: State, listed: readonly Listed[]): State => {
  const servers = new Map<string, Server>();
  for (const v of listed) {
    const old = s.servers.get(v.id);
    const leaving = v.leaving || (old?.leaving ?? false) || (servers.get(v.id)?.leaving ?? false);
    const server: Server = { id: v.id, pool: v.pool, url: v.url, leaving, down: old?.down ?? false, zone: v.zone, places: v.places };
    servers.set(v.id, old && same(old, server) ? old : server);
  }
  const unchanged = servers.size === s.servers.size && [...servers].every(([id, v]) => s.servers.get(id) === v);
  return unchanged ? s : { ...s, servers };
};
