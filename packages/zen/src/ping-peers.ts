/** Pings peers once on behalf of a master, to find which of them are reachable now. Stateless. */
import type { Member } from '@tillerstair/state';
import type { Transport } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { NodePingResponse, type NodePing } from './messages.js';

/** Transport and timeout of the pings. */
export interface PingPeersOptions {
  readonly transport: Transport;
  readonly bounds: Pick<ZenBounds, 'heartbeatInterval'>;
}

/**
 * Resolves with the ids of the peers that replied with the ping's term within one heartbeat interval, and the sender's
 * id. Never rejects.
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
