import { randomBytes } from 'node:crypto';
import { closeHttp, servePages, stderrLog, type Running, type StoreEnv } from '@tillerstair/env';
import { FolderDisk } from '@tillerstair/journal';
import { hostClock, sendJson, TcpCircuits } from '@tillerstair/wire';
import { reloadableBounds, storePace } from '@tillerstair/zen';
import { StoreNode } from './node.js';
import { openStoreDisk } from './open.js';

export const startStore = async (env: StoreEnv): Promise<Running<StoreEnv>> => {
  const log = stderrLog('store', env.log);
  const disk = await FolderDisk.take(env.data);
  const { bounds, replace } = reloadableBounds(env.bounds);
  const pace = storePace(hostClock, bounds, log);
  const freshId = (): string => `s-${randomBytes(6).toString('hex')}`;
  const { keep, shelf } = await openStoreDisk({ disk, clock: hostClock, pace, bounds: env, freshId, longAt: env.journalLongAt });
  const me = { id: keep.kept.id, kind: 'store' as const, addr: env.addr, http: env.http, zone: env.zone, data: '', name: env.name };
  const circuits = new TcpCircuits(env.addr, env.listen);
  const node = new StoreNode({ me, seeds: env.seeds, clock: hostClock, circuits, keep, shelf, bounds, log });
  await node.start();
  const readiness = () => {
    const master = node.zen.masterSeen;
    return { ready: master !== undefined && node.zen.applied !== undefined, why: master ? `master ${master.addr}` : 'no master is known' };
  };
  const http = await servePages(env.http, readiness, async (_req, res, url) => {
    if (url.pathname === '/v1/belief') return sendJson(res, 200, node.belief());
    if (url.pathname === '/v1/counts') return sendJson(res, 200, shelf.counts());
    sendJson(res, 404, { ran: 'no', mishap: 'no-such-page' });
  });
  log.info(`Serving ${me.id} at ${env.addr}.`);
  return {
    reload: (next) => {
      replace(next.bounds);
      node.zen.replaceSeeds(next.seeds);
    },
    stop: async () => {
      await node.stop();
      await closeHttp(http);
      await disk.free();
    },
  };
};
