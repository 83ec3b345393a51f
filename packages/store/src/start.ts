import { randomBytes } from 'node:crypto';
import {
  closeHttp,
  servePages,
  stderrLog,
  type Running,
  type StoreSettings,
} from '@tillerstair/settings';
import { FolderDisk } from '@tillerstair/journal';
import { hostClock, sendJson, TcpTransport } from '@tillerstair/wire';
import { reloadableBounds, storePace } from '@tillerstair/zen';
import { StoreNode } from './node.js';
import { openStoreDisk } from './open.js';

export const startStore = async (settings: StoreSettings): Promise<Running<StoreSettings>> => {
  const log = stderrLog('store', settings.log);
  const disk = await FolderDisk.acquire(settings.data);
  const { bounds, replace } = reloadableBounds(settings.bounds);
  const pace = storePace(hostClock, bounds, log);
  const freshId = (): string => `s-${randomBytes(6).toString('hex')}`;
  const { electionStore, replicaStore } = await openStoreDisk({
    disk,
    clock: hostClock,
    timings: pace,
    limits: {
      rewriteMinBytes: settings.journalLongAt,
      retentionMs: settings.retentionMs,
      maxHints: settings.hintsMost,
    },
    freshId,
    rewriteMinBytes: settings.journalLongAt,
  });
  const me = {
    id: electionStore.persisted.id,
    kind: 'store' as const,
    addr: settings.addr,
    http: settings.http,
    zone: settings.zone,
    data: '',
    name: settings.name,
  };
  const transport = new TcpTransport(settings.addr, settings.listen);
  const node = new StoreNode({
    me,
    seeds: settings.seeds,
    clock: hostClock,
    transport,
    electionStore,
    replicaStore,
    bounds,
    log,
  });
  await node.start();
  const readiness = () => {
    const master = node.zen.masterSeen;
    return {
      ready: master !== undefined && node.zen.applied !== undefined,
      why: master ? `master ${master.addr}` : 'no master is known',
    };
  };
  const http = await servePages(settings.http, readiness, async (_req, res, url) => {
    if (url.pathname === '/v1/view') return sendJson(res, 200, node.nodeView());
    if (url.pathname === '/v1/counts') return sendJson(res, 200, replicaStore.counts());
    sendJson(res, 404, { executed: 'no', errorCode: 'no-such-page' });
  });
  log.info(`Serving ${me.id} at ${settings.addr}.`);
  return {
    reload: (next) => {
      replace(next.bounds);
      node.zen.replaceSeeds(next.seeds);
    },
    stop: async () => {
      await node.stop();
      await closeHttp(http);
      await disk.release();
    },
  };
};
