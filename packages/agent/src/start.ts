import {
  closeHttp,
  servePages,
  stderrLog,
  type AgentSettings,
  type Running,
} from '@tillerstair/settings';
import { nodeViewOf } from '@tillerstair/state';
import { hostClock, sendJson, TcpTransport } from '@tillerstair/wire';
import { reloadableBounds } from '@tillerstair/zen';
import { Agent } from './agent.js';

export const startAgent = async (settings: AgentSettings): Promise<Running<AgentSettings>> => {
  const log = stderrLog('agent', settings.log);
  const { bounds, replace } = reloadableBounds(settings.bounds);
  const agent = new Agent({
    ...settings,
    clock: hostClock,
    transport: new TcpTransport(settings.addr, settings.listen),
    loop: new TcpTransport(settings.addr),
    bounds,
    log,
  });
  await agent.start();
  const http = await servePages(
    settings.http,
    () => agent.readiness(),
    async (_req, res, url) => {
      const zen = agent.node;
      if (url.pathname === '/v1/view') {
        const b = nodeViewOf(
          zen ? settings.addr : '',
          'agent',
          zen?.term ?? 0,
          zen?.masterSeen?.id ?? '',
          zen?.applied,
        );
        return sendJson(res, 200, b);
      }
      sendJson(res, 404, { executed: 'no', errorCode: 'no-such-page' });
    },
  );
  log.info(`Serving at ${settings.addr}, feeding ${settings.proxy}.`);
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
