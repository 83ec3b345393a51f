import { randomBytes } from 'node:crypto';
import { closeHttp, servePages, stderrLog, type ControlEnv, type Running } from '@tillerstair/env';
import { FolderDisk } from '@tillerstair/journal';
import { replicationFor } from '@tillerstair/state';
import { hostClock, readBody, sendJson, TcpCircuits } from '@tillerstair/wire';
import { controlPace, DiskKeep, reloadableBounds } from '@tillerstair/zen';
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

export const startControl = async (env: ControlEnv, more: ControlMore = {}): Promise<Running<ControlEnv>> => {
  const log = stderrLog('control', env.log);
  const disk = await FolderDisk.take(env.data);
  const { bounds, replace } = reloadableBounds(env.bounds);
  const pace = controlPace(hostClock, bounds, log);
  const keep = await DiskKeep.open(disk, () => `c-${randomBytes(6).toString('hex')}`, env.journalLongAt, pace);
  const me = { id: keep.kept.id, kind: 'control' as const, addr: env.addr, http: env.http, zone: env.zone, data: '', name: env.name };
  const node = new ControlNode({
    me, seeds: env.seeds, clock: hostClock, circuits: new TcpCircuits(env.addr, env.listen), keep, bounds, log,
    slots: env.slots, replication: replicationFor(env.losses), founds: env.founds, list: more.list,
  });
  await node.start();
  const readiness = () => {
    const master = node.zen.masterSeen;
    return { ready: master !== undefined, why: master ? `master ${master.addr}` : 'no master is known' };
  };
  const http = await servePages(env.http, readiness, async (req, res, url) => {
    const body = await readBody(req, 16 << 20);
    const out = await node.operate({ method: req.method ?? 'GET', path: url.pathname, body });
    const headers = new Map(out.retryAfter === undefined ? [] : [['retry-after', String(out.retryAfter)]]);
    sendJson(res, out.status, out.body, headers);
  });
  const door = await more.door?.(node);
  log.info(`Serving ${me.id} at ${env.addr}, operators at ${env.http}.`);
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
