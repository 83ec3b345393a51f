import { closeHttp, servePages, stderrLog, type AgentEnv, type Running } from '@tillerstair/env';
import { beliefOf } from '@tillerstair/state';
import { hostClock, sendJson, TcpCircuits } from '@tillerstair/wire';
import { reloadableBounds } from '@tillerstair/zen';
import { Agent } from './agent.js';

export const startAgent = async (env: AgentEnv): Promise<Running<AgentEnv>> => {
  const log = stderrLog('agent', env.log);
  const { bounds, replace } = reloadableBounds(env.bounds);
  const agent = new Agent({
    ...env,
    clock: hostClock,
    circuits: new TcpCircuits(env.addr, env.listen),
    loop: new TcpCircuits(env.addr),
    bounds,
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
    reload: (next) => {
      replace(next.bounds);
      agent.replaceSeeds(next.seeds);
    },
    stop: async () => {
      await agent.stop();
      await closeHttp(http);
    },
  };
};
