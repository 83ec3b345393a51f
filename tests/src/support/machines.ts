/** Selects machines of a simulated cluster by kind. */
import type { Machine, World } from '@tillerstair/sim';

/** The first machine of a kind; throws if the cluster has none. */
export const firstOf = (cluster: World, kind: Machine['kind']): Machine => {
  const first = cluster.of(kind).at(0);
  if (!first) throw new Error(`the cluster has no ${kind}`);
  return first;
};
