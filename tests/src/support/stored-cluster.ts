/** A cluster of real programs over real disks and TCP, started on stored data. */
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

interface Started {
  stop(): Promise<void>;
}

export interface StoredCluster {
  /** Addresses of the controls for other nodes and for operators. */
  readonly controls: readonly string[];
  readonly operators: readonly string[];
  /** Addresses of the proxies for other nodes, for their agents, and for callers. */
  readonly proxies: readonly string[];
  readonly feeds: readonly string[];
  readonly callers: readonly string[];
  stop(): Promise<void>;
}

const common = {
  log: 'error',
  bounds: { serveWithin: 8000, heartbeatInterval: 400, failureTimeout: 1200, drainingWithin: 1500 },
};
const nodesOfAKind = [0, 1, 2];
const frontNumbers = [0, 1];
const addressesNeeded = 24;

/** Starts three controls and three stores on their folders, and two new fronts; resolves when callers are served. */
export const startStoredCluster = async (
  folderOf: (name: string) => string,
): Promise<StoredCluster> => {
  const ports = [...(await freePorts(addressesNeeded))];
  const nextAddress = (): string => `127.0.0.1:${ports.shift() ?? 0}`;
  const pair = (): { addr: string; http: string } => ({ addr: nextAddress(), http: nextAddress() });
  const controls = nodesOfAKind.map(pair);
  const seeds = controls.map((c) => c.addr);
  const member = (kind: string, n: number) => ({
    ...common,
    seeds,
    zone: `zone-${n}`,
    name: `${kind}-${n}`,
    data: folderOf(`${kind}-${n}`),
  });
  const fronts = frontNumbers.map(() => ({
    proxy: { ...pair(), feed: nextAddress() },
    agent: pair(),
  }));
  const started: Started[] = [];
  const stop = async (): Promise<void> => {
    await Promise.all(started.map((program) => program.stop()));
  };
  const startAll = async (): Promise<void> => {
    for (const [n, addresses] of controls.entries())
      started.unshift(
        await startControl(ControlSettings.parse({ ...member('control', n), ...addresses })),
      );
    for (const n of nodesOfAKind)
      started.unshift(await startStore(StoreSettings.parse({ ...member('store', n), ...pair() })));
    for (const [n, { proxy, agent }] of fronts.entries()) {
      const place = { ...common, zone: `zone-${n}` };
      started.unshift(await startProxy(ProxySettings.parse({ ...place, ...proxy })));
      started.unshift(
        await startAgent(AgentSettings.parse({ ...place, ...agent, proxy: proxy.feed, seeds })),
      );
    }
  };
  const callers = fronts.map((f) => f.proxy.http);
  try {
    await startAll();
    await until('the fronts', 30000, async () => {
      const replies = await Promise.all(
        callers.map((http) => ask('GET', `http://${http}/ready`, '', 500)),
      );
      return replies.every((reply) => reply.status === 200);
    });
  } catch (e) {
    await stop();
    throw e;
  }
  return {
    controls: seeds,
    operators: controls.map((c) => c.http),
    proxies: fronts.map((f) => f.proxy.addr),
    feeds: fronts.map((f) => f.proxy.feed),
    callers,
    stop,
  };
};
