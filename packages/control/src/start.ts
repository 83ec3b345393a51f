import { randomBytes } from 'node:crypto';
import {
  closeHttp,
  servePages,
  stderrLog,
  type ControlSettings,
  type Running,
} from '@tillerstair/settings';
import { FolderDisk } from '@tillerstair/journal';
import { replicationFor } from '@tillerstair/state';
import { hostClock, readBody, sendJson, TcpTransport } from '@tillerstair/wire';
import { controlPace, DiskElectionStore, reloadableBounds } from '@tillerstair/zen';
import type { ServerList } from './list.js';
import { ControlNode } from './node.js';

export interface ControlDoor {
  close(): Promise<void>;
}

export interface ControlMore {
  readonly list?: ServerList;
  /** A further door for operators, beside the product's own pages. */
  readonly door?: (node: ControlNode) => Promise<ControlDoor>;
}

export const startControl = async (
  settings: ControlSettings,
  more: ControlMore = {},
): Promise<Running<ControlSettings>> => {
  const log = stderrLog('control', settings.log);
  const disk = await FolderDisk.take(settings.data);
  const { bounds, replace } = reloadableBounds(settings.bounds);
  const pace = controlPace(hostClock, bounds, log);
  const electionStore = await DiskElectionStore.open(
    disk,
    () => `c-${randomBytes(6).toString('hex')}`,
    settings.journalLongAt,
    pace,
  );
  const me = {
    id: electionStore.persisted.id,
    kind: 'control' as const,
    addr: settings.addr,
    http: settings.http,
    zone: settings.zone,
    data: '',
    name: settings.name,
  };
  const node = new ControlNode({
    me,
    seeds: settings.seeds,
    clock: hostClock,
    transport: new TcpTransport(settings.addr, settings.listen),
    electionStore,
    bounds,
    log,
    slots: settings.slots,
    replication: replicationFor(settings.losses),
    mayBootstrap: settings.mayBootstrap,
    list: more.list,
  });
  await node.start();
  const readiness = () => {
    const master = node.zen.masterSeen;
    return {
      ready: master !== undefined,
      why: master ? `master ${master.addr}` : 'no master is known',
    };
  };
  const http = await servePages(settings.http, readiness, async (req, res, url) => {
    const body = await readBody(req, 16 << 20);
    const out = await node.operate({ method: req.method ?? 'GET', path: url.pathname, body });
    const headers = new Map(
      out.retryAfter === undefined ? [] : [['retry-after', String(out.retryAfter)]],
    );
    sendJson(res, out.status, out.body, headers);
  });
  const door = await more.door?.(node);
  log.info(`Serving ${me.id} at ${settings.addr}, operators at ${settings.http}.`);
  return {
    reload: (next) => {
      replace(next.bounds);
      node.zen.replaceSeeds(next.seeds);
    },
    stop: async () => {
      await node.stop();
      await door?.close();
      await closeHttp(http);
      await disk.free();
    },
  };
};
