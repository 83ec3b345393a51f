/** Starts a cluster of the real programs, on disk and over TCP, from stored data folders. */
import { startAgent } from '@tillerstair/agent';
import { startControl } from '@tillerstair/control';
import { ask, freePorts, until } from '@tillerstair/fleet';
import { startProxy } from '@tillerstair/proxy';
import {
  AgentSettings,
  ControlSettings,
  ProxySettings,
  StoreSettings,
} from '@tillerstair/settings';
import { startStore } from '@tillerstair/store';

interface StartedProgram {
  stop(): Promise<void>;
}

/** A running cluster: the addresses of its listeners, and `stop`, which stops all programs. */
export interface StoredCluster {
  /** Addresses of the controls for other nodes. */
  readonly controls: readonly string[];
  /** HTTP addresses of the controls for operators. */
  readonly operators: readonly string[];
  /** Addresses of the proxies for other nodes. */
  readonly proxies: readonly string[];
  /** Addresses of the proxies for their agents. */
  readonly feeds: readonly string[];
  /** HTTP addresses of the proxies for callers. */
  readonly callers: readonly string[];
  stop(): Promise<void>;
}

const common = {
  log: 'error',
  bounds: { serveWithin: 8000, heartbeatInterval: 400, failureTimeout: 1200, drainingWithin: 1500 },
};
const memberIndexes = [0, 1, 2];
const frontIndexes = [0, 1];
const portCount = 24;

/**
 * Starts three controls and three stores on their stored folders, and two new fronts; resolves once the fronts are
 * ready.
 */
export const startStoredCluster = async (
  folderOf: (name: string) => string,
): Promise<StoredCluster> => {
  const ports = [...(await freePorts(portCount))];
  const nextAddress = (): string => `127.0.0.1:${ports.shift() ?? 0}`;
  const pair = (): { addr: string; http: string } => ({ addr: nextAddress(), http: nextAddress() });
  const controls = memberIndexes.map(pair);
  const seeds = controls.map((control) => control.addr);
  const member = (kind: string, i: number) => ({
    ...common,
    seeds,
    zone: `zone-${i}`,
    name: `${kind}-${i}`,
    data: folderOf(`${kind}-${i}`),
  });
  const fronts = frontIndexes.map(() => ({
    proxy: { ...pair(), feed: nextAddress() },
    agent: pair(),
  }));
  const started: StartedProgram[] = [];
  const stop = async (): Promise<void> => {
    await Promise.all(started.map((program) => program.stop()));
  };
  const startAll = async (): Promise<void> => {
    for (const [i, addresses] of controls.entries())
      started.unshift(
        await startControl(ControlSettings.parse({ ...member('control', i), ...addresses })),
      );
    for (const i of memberIndexes)
      started.unshift(await startStore(StoreSettings.parse({ ...member('store', i), ...pair() })));
    for (const [i, { proxy, agent }] of fronts.entries()) {
      const shared = { ...common, zone: `zone-${i}` };
      started.unshift(await startProxy(ProxySettings.parse({ ...shared, ...proxy })));
      started.unshift(
        await startAgent(AgentSettings.parse({ ...shared, ...agent, proxy: proxy.feed, seeds })),
      );
    }
  };
  const callers = fronts.map((front) => front.proxy.http);
  try {
    await startAll();
    await until('all fronts are ready', 30000, async () => {
      const replies = await Promise.all(
        callers.map((http) => ask('GET', `http://${http}/ready`, '', 500)),
      );
      return replies.every((reply) => reply.status === 200);
    });
  } catch (error) {
    await stop();
    throw error;
  }
  return {
    controls: seeds,
    operators: controls.map((control) => control.http),
    proxies: fronts.map((front) => front.proxy.addr),
    feeds: fronts.map((front) => front.proxy.feed),
    callers,
    stop,
  };
};
