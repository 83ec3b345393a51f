/** A world whose servers are known from a list. */
import { SimList, World, type Machine, type WorldSizes } from '@tillerstair/sim';
import { configText, five, servers } from './world-helpers.js';

export interface ListedCluster {
  readonly cluster: World;
  readonly serverList: SimList;
}

export const serverIdsByFront = (w: World): readonly (readonly string[])[] =>
  w.readyFronts().map((m) => [...(m.front?.owner.current?.state.servers.keys() ?? [])].sort());

export const startListedCluster = async (
  seed: number,
  sizes: WorldSizes = five,
  lag = 0,
): Promise<ListedCluster> => {
  const w = new World(seed, sizes);
  const shown = new SimList(w.clock, lag);
  w.list = shown;
  await w.bringUp((base) => configText(base), []);
  for (const [id, pool] of servers) shown.put({ id, pool });
  await w.clock.until(
    'servers',
    () =>
      serverIdsByFront(w).length === sizes.fronts &&
      serverIdsByFront(w).every((ids) => ids.length === servers.length),
    3000 + lag,
  );
  await w.clock.run(1000 + (seed % 7) * 173);
  return { cluster: w, serverList: shown };
};

export const sendLoad = async (
  w: World,
  what: string,
  forMs: number,
  at: (i: number) => Machine | undefined,
): Promise<number> => {
  const from = w.clock.now();
  const going: Promise<unknown>[] = [];
  for (let i = 0; w.clock.now() < from + forMs; i++) {
    going.push(w.call(`${what}${i}`, '/hold', { what, i }, at(i)));
    await w.clock.run(25);
  }
  await w.clock.finish('all', Promise.all(going), 60000);
  return from;
};

export const roundRobinFronts =
  (w: World) =>
  (i: number): Machine | undefined =>
    w.of('front')[i % w.of('front').length];
