/** A node's blocking join of the master that it elected, with retries (docs/zen.md, "Kept, on the ordinary path"). */
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
    throw new ElectionError('other-node', `${master.addr} is another node now`);
};

/**
 * Checks that the elected node is still the one at its address, then asks to join until the master has validated the
 * join. Fails after `joinAttempts` attempts, or at once if the master says that it is none or refuses the connection.
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
