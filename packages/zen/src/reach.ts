/** Pings nodes once, at the moment of asking, in the name of a master. */
import type { Member } from '@tillerstair/state';
import type { Transport } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { NodePingResponse, type NodePing } from './messages.js';

export interface ReachParts {
  readonly transport: Transport;
  readonly bounds: Pick<ZenBounds, 'heartbeatInterval'>;
}

/** Resolves with the ids of the nodes that replied in the ping's own term within one heartbeat. */
export const reachNow = async (
  { transport, bounds }: ReachParts,
  ping: NodePing,
  peers: readonly Member[],
): Promise<ReadonlySet<string>> => {
  const reached = new Set([ping.from.id]);
  const ask = async (member: Member): Promise<void> => {
    const reply = NodePingResponse.parse(
      await transport.call(
        member.addr,
        'zen/node-ping',
        { ...ping, to: member.id },
        { timeoutMs: bounds.heartbeatInterval },
      ),
    );
    if (reply.term === ping.term) reached.add(member.id);
  };
  await Promise.allSettled(peers.filter((m) => m.id !== ping.from.id).map(ask));
  return reached;
};
