/** Starts a store on the host's disk and network, and serves its HTTP pages to operators. */
import { randomBytes } from 'node:crypto';
import { FolderDisk } from '@tillerstair/journal';
import {
  servePages,
  createStderrLogger,
  ProcessMemory,
  watchMemory,
  storeItemBytes,
  storeReplyMemory,
  type Readiness,
  type RunningProgram,
  type StoreSettings,
} from '@tillerstair/settings';
import type { Member } from '@tillerstair/state';
import {
  hostClock,
  sendJson,
  TcpTransport,
  type HttpHandler,
  type Logger,
} from '@tillerstair/wire';
import { reloadableBounds, storeJournalTimings } from '@tillerstair/zen';
import { openStoreDisk } from './open-store-disk.js';
import type { ReplicaStore } from './replica-store.js';
import { StoreNode } from './store-node.js';

const storeIdBytes = 6;

const freshId = (): string => `s-${randomBytes(storeIdBytes).toString('hex')}`;

/** This store as a member of the cluster. */
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

/** Serves the store's view of the cluster and its counts of stored data, as JSON. */
const operatorPages =
  (node: StoreNode, replicaStore: ReplicaStore): HttpHandler =>
  (_request, response, url) => {
    if (url.pathname === '/v1/view') sendJson(response, 200, node.nodeView());
    else if (url.pathname === '/v1/counts') sendJson(response, 200, replicaStore.counts());
    else sendJson(response, 404, { executed: 'no', errorCode: 'no-such-page' });
    return Promise.resolve();
  };

/** Logs how much of the log was dropped at the start because it holds more than the memory. */
const logDroppedItems = (replicaStore: ReplicaStore, log: Logger): void => {
  const { droppedAtStart } = replicaStore.counts();
  if (droppedAtStart === 0) return;
  log.error(`The log holds more than the memory: ${droppedAtStart} groups of items were dropped.`);
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
  watchMemory(log, settings.memoryMb);
  const memory = new ProcessMemory(settings.memoryMb);
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
      maxItemBytes: storeItemBytes(settings.memoryMb),
      ...(settings.requiredRetentionMs === undefined
        ? {}
        : { minRetentionMs: settings.requiredRetentionMs }),
    },
    freshId,
    rewriteMinBytes: settings.journalLongAt,
  });
  const { id } = electionStore.persisted;
  logDroppedItems(replicaStore, log);
  const node = new StoreNode({
    localMember: memberOf(id, settings),
    seeds: settings.seeds,
    clock: hostClock,
    transport: new TcpTransport(settings.addr, settings.listen, {
      replyMemory: storeReplyMemory(memory),
    }),
    electionStore,
    replicaStore,
    bounds,
    log,
  });
  await node.start();
  const http = await servePages(
    settings.http,
    () => readinessOf(node),
    memory.pageLimits(),
    operatorPages(node, replicaStore),
  );
  log.info(`Serving store ${id} at ${settings.addr}.`);
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
