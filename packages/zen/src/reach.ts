/** Pings nodes once, at the moment of asking, in the name of a master. */
import type { Mate } from '@tillerstair/state';
import type { Circuits } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { NodePong, type NodePing } from './messages.js';

export interface ReachParts {
  readonly circuits: Circuits;
  readonly bounds: Pick<ZenBounds, 'beat'>;
}

/** Resolves with the ids of the nodes that replied in the ping's own term within one heartbeat. */
export const reachNow = async ({ circuits, bounds }: ReachParts, ping: NodePing, mates: readonly Mate[]): Promise<ReadonlySet<string>> => {
  const reached = new Set([ping.from.id]);
  const ask = async (mate: Mate): Promise<void> => {
    const reply = NodePong.parse(await circuits.call(mate.addr, 'zen/node-ping', { ...ping, to: mate.id }, { within: bounds.beat }));
    if (reply.term === ping.term) reached.add(mate.id);
  };
  await Promise.allSettled(mates.filter((m) => m.id !== ping.from.id).map(ask));
  return reached;
};
