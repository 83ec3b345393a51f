/** A simulated cluster whose servers come from a server list. */
import { SimServerList, World, type Machine, type WorldOptions } from '@tillerstair/sim';
import { configText, fiveControls, servers } from './world-helpers.js';

export interface ListedCluster {
  readonly cluster: World;
  readonly serverList: SimServerList;
}

export const serverIdsByFront = (cluster: World): readonly (readonly string[])[] =>
  cluster
    .readyFronts()
    .map((machine) => [...(machine.front?.owner.current?.state.servers.keys() ?? [])].sort());

export const startListedCluster = async (
  seed: number,
  sizes: WorldOptions = fiveControls,
  lagMs = 0,
): Promise<ListedCluster> => {
  const cluster = new World(seed, sizes);
  const serverList = new SimServerList(cluster.clock, lagMs);
  cluster.list = serverList;
  await cluster.startServing((base) => configText(base), []);
  for (const [id, pool] of servers) serverList.put({ id, pool });
  await cluster.clock.until(
    'servers',
    () =>
      serverIdsByFront(cluster).length === sizes.fronts &&
      serverIdsByFront(cluster).every((ids) => ids.length === servers.length),
    3000 + lagMs,
  );
  await cluster.clock.run(1000 + (seed % 7) * 173);
  return { cluster, serverList };
};

export const sendLoad = async (
  cluster: World,
  label: string,
  durationMs: number,
  selectFront: (i: number) => Machine | undefined,
): Promise<number> => {
  const startedAt = cluster.clock.now();
  const pending: Promise<unknown>[] = [];
  for (let i = 0; cluster.clock.now() < startedAt + durationMs; i++) {
    pending.push(cluster.call(`${label}${i}`, '/hold', { what: label, i }, selectFront(i)));
    await cluster.clock.run(25);
  }
  await cluster.clock.finish('all', Promise.all(pending), 60000);
  return startedAt;
};

export const roundRobinFronts =
  (cluster: World) =>
  (i: number): Machine | undefined =>
    cluster.of('front')[i % cluster.of('front').length];
