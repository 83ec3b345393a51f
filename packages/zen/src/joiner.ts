/** A member's blocking join of the master that it elected, with retries. */
import type { Member } from '@tillerstair/state';
import {
  ConnectionRefusedError,
  ElectionError,
  type RpcError,
  toRpcError,
} from '@tillerstair/wire';
import type { Asking } from './candidate.js';
import { PingResponse, type Join, type Ping } from './messages.js';

const mayRetry = (m: RpcError): boolean =>
  m.code !== 'not-master' && !(m instanceof ConnectionRefusedError);

/**
 * Checks that the elected node is still the one at its address, then asks to join until the master has
 * validated the join; fails after `joinTries` attempts or at once if the master refuses.
 */
export const joinMaster = async (
  asking: Asking,
  master: Member,
  ping: Ping,
  join: Join,
): Promise<void> => {
  const { transport, bounds } = asking;
  const pingResponse = PingResponse.parse(
    await transport.call(master.addr, 'zen/ping', ping, { timeoutMs: bounds.pingWait }),
  );
  if (pingResponse.from.id !== master.id)
    throw new ElectionError('other-node', `${master.addr} is another node now`);
  for (let attempt = 1; ; attempt++) {
    try {
      await transport.call(master.addr, 'zen/join', join, { timeoutMs: bounds.joinWait });
      return;
    } catch (e) {
      const m = toRpcError(e);
      if (attempt >= bounds.joinTries || !mayRetry(m)) throw m;
    }
  }
};
