/** Picks machines of a simulated world by kind. */
import type { Machine, World } from '@tillerstair/sim';

/** The first machine of a kind; throws where the world has none. */
export const firstOf = (world: World, kind: Machine['kind']): Machine => {
  const first = world.of(kind).at(0);
  if (!first) throw new Error(`the world has no ${kind}`);
  return first;
};
