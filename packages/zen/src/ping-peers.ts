/** Pings nodes once, at the moment of asking, in the name of a master. Owns no state. */
import type { Member } from '@tillerstair/state';
import type { Transport } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { NodePingResponse, type NodePing } from './messages.js';

/** What a round of pings works with. */
export interface PingPeersOptions {
  readonly transport: Transport;
  readonly bounds: Pick<ZenBounds, 'heartbeatInterval'>;
}

/**
 * Resolves with the ids of the nodes that replied in the ping's term within one heartbeat, the sender's among them.
 * Never rejects.
 */
export const pingPeers = async (
  { transport, bounds }: PingPeersOptions,
  ping: NodePing,
  peers: readonly Member[],
): Promise<ReadonlySet<string>> => {
  const reached = new Set([ping.from.id]);
  const pingOne = async (member: Member): Promise<void> => {
    const body = { ...ping, to: member.id };
    const response = NodePingResponse.parse(
      await transport.call(member.addr, 'zen/node-ping', body, {
        timeoutMs: bounds.heartbeatInterval,
      }),
    );
    if (response.term === ping.term) reached.add(member.id);
  };
  await Promise.allSettled(peers.filter(({ id }) => id !== ping.from.id).map(pingOne));
  return reached;
};
