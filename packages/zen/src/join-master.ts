/** Joins the elected master, with retries (docs/zen.md, "Kept, on the ordinary path"). */
import type { Member } from '@tillerstair/state';
import {
  ConnectionRefusedError,
  ElectionError,
  type RpcError,
  toRpcError,
} from '@tillerstair/wire';
import type { RequestOptions } from './gather-votes.js';
import { PingResponse, type Join, type Ping } from './messages.js';

const mayRetry = (error: RpcError): boolean =>
  error.code !== 'not-master' && !(error instanceof ConnectionRefusedError);

const requireSameNode = async (
  { transport, bounds }: RequestOptions,
  master: Member,
  ping: Ping,
): Promise<void> => {
  const timeoutMs = bounds.pingRoundTimeout;
  const response = await transport.call(master.addr, 'zen/ping', ping, { timeoutMs });
  if (PingResponse.parse(response).from.id !== master.id)
    throw new ElectionError('other-node', `the node at ${master.addr} is no longer ${master.id}`);
};

/**
 * Pings the elected master to check that its address still belongs to the same node, then sends the join; resolves once
 * the master has validated it. Rejects after `joinAttempts` attempts, and without a retry if the node answers that it
 * is not master, or refuses the connection.
 */
export const joinMaster = async (
  options: RequestOptions,
  master: Member,
  ping: Ping,
  join: Join,
): Promise<void> => {
  const { transport, bounds } = options;
  await requireSameNode(options, master, ping);
  for (let attempt = 1; ; attempt++) {
    try {
      await transport.call(master.addr, 'zen/join', join, { timeoutMs: bounds.joinTimeout });
      return;
    } catch (e) {
      const error = toRpcError(e);
      if (attempt >= bounds.joinAttempts || !mayRetry(error)) throw error;
    }
  }
};
