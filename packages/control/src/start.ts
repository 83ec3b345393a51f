/**
 * Starts a control from its settings: opens its data folder, joins zen, and serves the operators' HTTP interface.
 * Stopping closes in reverse order what was opened here.
 */
import { randomBytes } from 'node:crypto';
import {
  servePages,
  createStderrLogger,
  operatorLimits,
  ProcessMemory,
  watchMemory,
  type ControlSettings,
  type Readiness,
  type RunningProgram,
} from '@tillerstair/settings';
import { FolderDisk } from '@tillerstair/journal';
import { replicationFor, type Member } from '@tillerstair/state';
import {
  hostClock,
  readJsonText,
  sendJson,
  TcpTransport,
  type DrainableServer,
  type HttpLimits,
  type Logger,
} from '@tillerstair/wire';
import {
  controlJournalTimings,
  DiskElectionStore,
  reloadableBounds,
  type ZenBounds,
} from '@tillerstair/zen';
import type { ServerList } from './list-reader.js';
import { ControlNode } from './node.js';

/** Optional parts of a control that a deployment provides. */
export interface ControlExtensions {
  /** The deployment's server list. */
  readonly list?: ServerList;
  /** Opens an additional listener for operators, besides the built-in one. */
  readonly openOperatorListener?: (
    node: ControlNode,
    limits: HttpLimits,
  ) => Promise<DrainableServer>;
}

/** Failure timeouts that operations in flight may take when a control stops; a forwarded one ends within one. */
const operationDrainTimeouts = 2;
/** Maximum size of an operator's request body, in bytes. */
const maxBodyBytes = 16 << 20;

const freshControlId = (): string => `c-${randomBytes(6).toString('hex')}`;

const memberFor = (id: string, settings: ControlSettings): Member => ({
  id,
  kind: 'control',
  addr: settings.addr,
  http: settings.http,
  zone: settings.zone,
  data: '',
  name: settings.name,
});

const openNode = async (
  disk: FolderDisk,
  settings: ControlSettings,
  bounds: ZenBounds,
  log: Logger,
  list: ServerList | undefined,
): Promise<ControlNode> => {
  const electionStore = await DiskElectionStore.open(
    disk,
    freshControlId,
    settings.journalLongAt,
    controlJournalTimings(hostClock, bounds, log),
  );
  return new ControlNode({
    localMember: memberFor(electionStore.persisted.id, settings),
    seeds: settings.seeds,
    clock: hostClock,
    transport: new TcpTransport(settings.addr, settings.listen),
    electionStore,
    bounds,
    log,
    slots: settings.slots,
    replication: replicationFor(settings.losses),
    mayBootstrap: settings.mayBootstrap,
    list,
  });
};

const readinessOf = (node: ControlNode): Readiness => {
  const { knownMaster } = node.zen;
  return {
    ready: knownMaster !== undefined,
    why: knownMaster ? `master ${knownMaster.addr}` : 'no master is known',
  };
};

const serveOperators = (
  address: string,
  node: ControlNode,
  limits: HttpLimits,
): Promise<DrainableServer> =>
  servePages(
    address,
    () => readinessOf(node),
    limits,
    async (request, response, url) => {
      const body = await readJsonText(request, maxBodyBytes);
      const method = request.method ?? 'GET';
      const outcome = await node.operate({ method, path: url.pathname, body });
      const headers = new Map<string, string>();
      if (outcome.retryAfter !== undefined) headers.set('retry-after', String(outcome.retryAfter));
      sendJson(response, outcome.status, outcome.body, headers);
    },
  );

/**
 * Starts a control and resolves once it serves. Rejects if the data folder is in use or damaged beyond repair, or if an
 * address cannot be bound; the process is then to exit, which releases what was opened so far.
 */
export const startControl = async (
  settings: ControlSettings,
  extensions: ControlExtensions = {},
): Promise<RunningProgram<ControlSettings>> => {
  const log = createStderrLogger('control', settings.log);
  watchMemory(log, settings.memoryMb);
  const disk = await FolderDisk.acquire(settings.data);
  const reloadable = reloadableBounds(settings.bounds);
  const node = await openNode(disk, settings, reloadable.bounds, log, extensions.list);
  await node.start();
  const memory = new ProcessMemory(settings.memoryMb);
  const http = await serveOperators(settings.http, node, operatorLimits(memory));
  const extensionListener = await extensions.openOperatorListener?.(node, operatorLimits(memory));
  log.info(`Serving control ${node.id} at ${settings.addr}, operators at ${settings.http}.`);
  return {
    reload: (next) => {
      reloadable.replace(next.bounds);
      node.zen.replaceSeeds(next.seeds);
    },
    stop: async () => {
      const withinMs = reloadable.bounds.failureTimeout * operationDrainTimeouts;
      const listeners = extensionListener ? [http, extensionListener] : [http];
      // Operations in flight are answered before this control leaves the cluster that decides on them.
      await Promise.all(listeners.map((listener) => listener.closeWithin(withinMs)));
      await node.stop();
      await disk.release();
    },
  };
};
