/** How a node that is told to stop takes its leave of the cluster. */
import { reduceState, type Member } from '@tillerstair/state';
import { RequestTimeoutError, withTimeout, type Transport, type Clock } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { MasterView } from './master-types.js';

export interface LeaveParts {
  readonly me: Member;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: Pick<ZenBounds, 'heartbeatInterval'>;
}

/**
 * Tells the master that this node stops in order; a master commits its own leave before it steps down, so that
 * its vote can pass to a spare with the same commit. Waits for one heartbeat at most.
 */
export const sayLeave = async (
  p: LeaveParts,
  master: Member | undefined,
  leading: MasterView | undefined,
): Promise<void> => {
  const { me, clock, transport, bounds } = p;
  if (master)
    await transport.call(
      master.addr,
      'zen/leave',
      { from: me },
      { timeoutMs: bounds.heartbeatInterval },
    );
  if (!leading) return;
  const left = leading.submit((s) => reduceState(s, { kind: 'leave', id: me.id }));
  await withTimeout(clock, bounds.heartbeatInterval, left, () => new RequestTimeoutError(me.addr));
};
