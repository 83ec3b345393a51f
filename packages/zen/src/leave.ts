/** How a node that stops in order leaves the cluster (docs/zen.md, "Changed or added": the number of controls). */
import { reduceState, type Member } from '@tillerstair/state';
import { RequestTimeoutError, withTimeout, type Transport, type Clock } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { MasterView } from './master-types.js';

/** What a leave works with. */
export interface LeaveOptions {
  readonly me: Member;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: Pick<ZenBounds, 'heartbeatInterval'>;
  /** Whether this is the node of a front that serves nothing any more. */
  readonly leaseReleased?: boolean;
}

/**
 * Tells the master that this node stops in order; a master commits its leave itself before it steps down, so that
 * its vote can pass to a spare with the same commit. Waits for one heartbeat at most.
 *
 * @param followed - The master that this node follows, if any.
 * @param leading - This node's mastership, if it is master itself.
 * @throws RequestTimeoutError, or the master's error; the node stops all the same, and fault detection finds it gone.
 */
export const leaveCluster = async (
  { me: localMember, clock, transport, bounds, leaseReleased = false }: LeaveOptions,
  followed: Member | undefined,
  leading: MasterView | undefined,
): Promise<void> => {
  const timeoutMs = bounds.heartbeatInterval;
  const notice = leaseReleased ? { from: localMember, leaseReleased } : { from: localMember };
  if (followed) await transport.call(followed.addr, 'zen/leave', notice, { timeoutMs });
  if (!leading) return;
  const leave = leading.submit((state) =>
    reduceState(state, { kind: 'leave', id: localMember.id }),
  );
  await withTimeout(clock, timeoutMs, leave, () => new RequestTimeoutError(localMember.addr));
};
