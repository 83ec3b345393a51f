/** Starts a store on the host's disk and network, and serves its pages for operators. */
import { randomBytes } from 'node:crypto';
import { FolderDisk } from '@tillerstair/journal';
import {
  servePages,
  createStderrLogger,
  type Readiness,
  type RunningProgram,
  type StoreSettings,
} from '@tillerstair/settings';
import type { Member } from '@tillerstair/state';
import { hostClock, sendJson, TcpTransport, type HttpHandler } from '@tillerstair/wire';
import { reloadableBounds, storeJournalTimings } from '@tillerstair/zen';
import { openStoreDisk } from './open-store-disk.js';
import type { ReplicaStore } from './replica-store.js';
import { StoreNode } from './store-node.js';

const storeIdBytes = 6;

const freshId = (): string => `s-${randomBytes(storeIdBytes).toString('hex')}`;

const memberOf = (id: string, settings: StoreSettings): Member => ({
  id,
  kind: 'store',
  addr: settings.addr,
  http: settings.http,
  zone: settings.zone,
  data: '',
  name: settings.name,
});

const readinessOf = (node: StoreNode): Readiness => {
  const master = node.zen.knownMaster;
  return {
    ready: master !== undefined && node.zen.applied !== undefined,
    why: master ? `master ${master.addr}` : 'no master is known',
  };
};

const storePages =
  (node: StoreNode, replicaStore: ReplicaStore): HttpHandler =>
  (_request, response, url) => {
    if (url.pathname === '/v1/view') sendJson(response, 200, node.nodeView());
    else if (url.pathname === '/v1/counts') sendJson(response, 200, replicaStore.counts());
    else sendJson(response, 404, { executed: 'no', errorCode: 'no-such-page' });
    return Promise.resolve();
  };

/**
 * Starts a store. A reload applies new bounds and seeds; all other settings need a restart.
 *
 * @throws FolderInUseError if another process has locked the data folder.
 */
export const startStore = async (
  settings: StoreSettings,
): Promise<RunningProgram<StoreSettings>> => {
  const log = createStderrLogger('store', settings.log);
  const disk = await FolderDisk.acquire(settings.data);
  const reloadable = reloadableBounds(settings.bounds);
  const { bounds } = reloadable;
  const { electionStore, replicaStore } = await openStoreDisk({
    disk,
    clock: hostClock,
    timings: storeJournalTimings(hostClock, bounds, log),
    limits: {
      rewriteMinBytes: settings.journalLongAt,
      retentionMs: settings.retentionMs,
      maxHints: settings.hintsMost,
    },
    freshId,
    rewriteMinBytes: settings.journalLongAt,
  });
  const { id } = electionStore.persisted;
  const node = new StoreNode({
    me: memberOf(id, settings),
    seeds: settings.seeds,
    clock: hostClock,
    transport: new TcpTransport(settings.addr, settings.listen),
    electionStore,
    replicaStore,
    bounds,
    log,
  });
  await node.start();
  const http = await servePages(
    settings.http,
    () => readinessOf(node),
    storePages(node, replicaStore),
  );
  log.info(`Serving ${id} at ${settings.addr}.`);
  return {
    reload: (next) => {
      reloadable.replace(next.bounds);
      node.zen.replaceSeeds(next.seeds);
    },
    stop: async () => {
      await node.stop();
      await http.closeWithin(bounds.heartbeatInterval);
      await disk.release();
    },
  };
};
