#!/usr/bin/env node
import { AgentEnv, closeHttp, runDaemon, servePages, stderrLog } from '@tillerstair/env';
import { beliefOf } from '@tillerstair/state';
import { hostClock, sendJson, TcpCircuits } from '@tillerstair/wire';
import { zenBounds } from '@tillerstair/zen';
import { Agent } from './agent.js';

void runDaemon({
  name: 'front-agent',
  about: 'Keeps the control link of the front-proxy beside it and feeds it over loopback.',
  schema: AgentEnv,
  flags: [
    ['addr', 'Own address, IP:PORT'],
    ['listen', 'Address to bind, if not the same'],
    ['proxy', 'Loopback address where the proxy takes its feed'],
    ['http', 'Address of /live and /ready'],
    ['zone', 'Zone of this machine'],
    ['seeds', 'Three addresses, comma-separated'],
    ['log', 'debug, info, warn or error'],
  ],
  start: async (env) => {
    const log = stderrLog('agent', env.log);
    const agent = new Agent({
      ...env,
      clock: hostClock,
      circuits: new TcpCircuits(env.addr, env.listen),
      loop: new TcpCircuits(env.addr),
      bounds: zenBounds(env.bounds),
      log,
    });
    await agent.start();
    const http = await servePages(env.http, () => agent.readiness(), async (_req, res, url) => {
      const zen = agent.node;
      if (url.pathname === '/v1/belief') {
        const b = beliefOf(zen ? env.addr : '', 'agent', zen?.term ?? 0, zen?.masterSeen?.id ?? '', zen?.applied);
        return sendJson(res, 200, b);
      }
      sendJson(res, 404, { ran: 'no', mishap: 'no-such-page' });
    });
    log.info(`Serving at ${env.addr}, feeding ${env.proxy}.`);
    return {
      stop: async () => {
        await agent.stop();
        await closeHttp(http);
      },
    };
  },
});
