/** Graceful departure of a node from the cluster (docs/zen.md, "Changed or added": the number of controls). */
import { reduceState, type Member } from '@tillerstair/state';
import { RequestTimeoutError, withTimeout, type Transport, type Clock } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { MasterView } from './master-types.js';

/** The dependencies of `leaveCluster`. */
export interface LeaveOptions {
  readonly localMember: Member;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: Pick<ZenBounds, 'heartbeatInterval'>;
  /** Whether this node is a front that has stopped serving and so releases its read lease. */
  readonly leaseReleased?: boolean;
}

/**
 * Notifies the master that this node is shutting down. A master commits its own leave before it steps down, so that its
 * vote can pass to a spare control in the same commit. Waits for at most one heartbeat.
 *
 * @param followed - The master that this node follows, if any.
 * @param leading - This node's mastership, if it is master itself.
 * @throws RequestTimeoutError, or the master's error; the caller stops the node anyway, and fault detection removes it.
 */
export const leaveCluster = async (
  { localMember, clock, transport, bounds, leaseReleased = false }: LeaveOptions,
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
