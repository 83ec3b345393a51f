#!/usr/bin/env node
import { randomBytes } from 'node:crypto';
import { closeHttp, ProxyEnv, runDaemon, servePages, stderrLog } from '@tillerstair/env';
import { hostClock, TcpCircuits } from '@tillerstair/wire';
import { HttpBackend } from './backend.js';
import { Front } from './front.js';
import { callerPages } from './pages.js';

void runDaemon({
  name: 'front-proxy',
  about: 'Serves callers, places turns, holds budgets. Fed by the front-agent beside it.',
  schema: ProxyEnv,
  flags: [
    ['addr', 'Own address for other fronts, IP:PORT'],
    ['listen', 'Address to bind, if not the same'],
    ['feed', 'Loopback address where the agent feeds this front'],
    ['http', 'Address of the callers\' HTTP'],
    ['zone', 'Zone of this machine'],
    ['affinity', 'Place turns where their prefix is warm: true or false'],
    ['log', 'debug, info, warn or error'],
  ],
  start: async (env) => {
    const log = stderrLog('proxy', env.log);
    const { beat, silent, leavingWithin } = env.bounds;
    const backend = new HttpBackend(beat / 2);
    const bounds = { beat, putWithin: silent / 2, grace: (leavingWithin * 5) / 6, poll: beat / 4, keepMs: 3600000 };
    const front = new Front({
      id: `f-${randomBytes(6).toString('hex')}`, clock: hostClock, circuits: new TcpCircuits(env.addr, env.listen), backend, bounds, log, affinity: env.affinity,
    });
    const feed = new TcpCircuits(env.feed);
    await feed.serve(async (inq) => (inq.kind === 'front/hello' ? { id: front.p.id, addr: env.addr, http: env.http } : front.feed(inq.body)));
    await front.start();
    const http = await servePages(env.http, () => (front.stopping ? { ready: false, why: 'stopping' } : front.steward.readiness()), callerPages(front, env.bodyMost));
    log.info(`Serving callers at ${env.http}.`);
    return {
      stop: async () => {
        await front.stop();
        await closeHttp(http);
        await feed.close();
        await backend.close();
      },
    };
  },
});
