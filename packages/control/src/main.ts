#!/usr/bin/env node
import { randomBytes } from 'node:crypto';
import { closeHttp, ControlEnv, runDaemon, servePages, stderrLog } from '@tillerstair/env';
import { FolderDisk } from '@tillerstair/journal';
import { hostClock, readBody, sendJson, TcpCircuits } from '@tillerstair/wire';
import { DiskKeep, zenBounds } from '@tillerstair/zen';
import { ControlNode } from './node.js';

void runDaemon({
  name: 'control-node',
  about: 'Keeps the cluster state, may become master, takes the operators\' HTTP.',
  schema: ControlEnv,
  flags: [
    ['addr', 'Own address, IP:PORT'],
    ['listen', 'Address to bind, if not the same'],
    ['http', 'Address of the operators\' HTTP'],
    ['zone', 'Zone of this machine'],
    ['seeds', 'Three addresses, comma-separated'],
    ['data', 'Data folder'],
    ['slots', 'Number of slots, used at founding only'],
    ['log', 'debug, info, warn or error'],
  ],
  start: async (env) => {
    const log = stderrLog('control', env.log);
    const disk = await FolderDisk.take(env.data);
    const keep = await DiskKeep.open(disk, () => `c-${randomBytes(6).toString('hex')}`, env.journalLongAt);
    const me = { id: keep.kept.id, kind: 'control' as const, addr: env.addr, http: env.http, zone: env.zone, data: '' };
    const bounds = zenBounds(env.bounds);
    const circuits = new TcpCircuits(env.addr, env.listen);
    const node = new ControlNode({ me, seeds: env.seeds, clock: hostClock, circuits, keep, bounds, log, slots: env.slots, copies: env.copies });
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
    log.info(`Serving ${me.id} at ${env.addr}, operators at ${env.http}.`);
    return {
      stop: async () => {
        await node.stop();
        await closeHttp(http);
        await disk.free();
      },
    };
  },
});
