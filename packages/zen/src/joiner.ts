/** A member's blocking join of the master that it elected, with retries. */
import type { Mate } from '@tillerstair/state';
import { CircuitRefused, Mishap, mishapOf } from '@tillerstair/wire';
import type { Asking } from './candidate.js';
import { Pong, type Join, type Ping } from './messages.js';

const mayRetry = (m: Mishap): boolean => m.code !== 'not-master' && !(m instanceof CircuitRefused);

/**
 * Checks that the elected node is still the one at its address, then asks to join until the master has
 * validated the join; fails after `joinTries` attempts or at once if the master refuses.
 */
export const joinMaster = async (asking: Asking, master: Mate, ping: Ping, join: Join): Promise<void> => {
  const { circuits, bounds } = asking;
  const pong = Pong.parse(await circuits.call(master.addr, 'zen/ping', ping, { within: bounds.pingWait }));
  if (pong.from.id !== master.id) throw new Mishap('gone', `${master.addr} is another node now`);
  for (let attempt = 1; ; attempt++) {
    try {
      await circuits.call(master.addr, 'zen/join', join, { within: bounds.joinWait });
      return;
    } catch (e) {
      const m = mishapOf(e);
      if (attempt >= bounds.joinTries || !mayRetry(m)) throw m;
    }
  }
};
