/** Starts a front-agent: the agent and its HTTP endpoints. */
import type { ServerResponse } from 'node:http';
import {
  servePages,
  createStderrLogger,
  ProcessMemory,
  watchMemory,
  type AgentSettings,
  type RunningProgram,
} from '@tillerstair/settings';
import { nodeViewOf, type NodeView } from '@tillerstair/state';
import { hostClock, sendJson, TcpTransport } from '@tillerstair/wire';
import { reloadableBounds } from '@tillerstair/zen';
import { Agent } from './agent.js';

const ok = 200;
const notFound = 404;

const viewOf = (agent: Agent, addr: string): NodeView => {
  const node = agent.zenNode;
  const id = node ? addr : '';
  return nodeViewOf(id, 'agent', node?.term ?? 0, node?.knownMaster?.id ?? '', node?.applied);
};

const answerPage = (agent: Agent, addr: string, res: ServerResponse, path: string): void => {
  if (path === '/v1/view') sendJson(res, ok, viewOf(agent, addr));
  else sendJson(res, notFound, { executed: 'no', errorCode: 'no-such-page' });
};

/** Starts a front-agent. `reload` applies new seeds and bounds. */
export const startAgent = async (
  settings: AgentSettings,
): Promise<RunningProgram<AgentSettings>> => {
  const log = createStderrLogger('agent', settings.log);
  watchMemory(log, settings.memoryMb);
  const reloadable = reloadableBounds(settings.bounds);
  const agent = new Agent({
    ...settings,
    clock: hostClock,
    transport: new TcpTransport(settings.addr, settings.listen),
    loopback: new TcpTransport(settings.addr),
    bounds: reloadable.bounds,
    log,
  });
  await agent.start();
  const http = await servePages(
    settings.http,
    () => agent.readiness(),
    new ProcessMemory(settings.memoryMb).pageLimits(),
    (_req, res, url) => {
      answerPage(agent, settings.addr, res, url.pathname);
      return Promise.resolve();
    },
  );
  log.info(`Serving at ${settings.addr}, feeding ${settings.proxy}.`);
  return {
    reload: (next) => {
      reloadable.replace(next.bounds);
      agent.replaceSeeds(next.seeds);
    },
    stop: async () => {
      await agent.stop();
      await http.closeWithin(reloadable.bounds.heartbeatInterval);
    },
  };
};
