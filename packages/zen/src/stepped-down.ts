/**
 * The notice of a master that stepped down because its disk takes no writes, so that its followers need not wait for
 * their next ping to elect another (docs/design.md, "Disk"). Owns no state; nothing relies on the notice arriving.
 */
import type { Member, State } from '@tillerstair/state';
import type { Transport } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';

/** What the notice is sent with. */
export interface SteppedDownOptions {
  readonly localMember: Member;
  readonly transport: Transport;
  readonly bounds: Pick<ZenBounds, 'heartbeatInterval'>;
}

/** Notifies all members of the newest committed state; does not wait for their answers. */
export const notifySteppedDown = (
  { localMember, transport, bounds }: SteppedDownOptions,
  committed: State | undefined,
): void => {
  const options = { timeoutMs: bounds.heartbeatInterval };
  for (const member of committed?.nodes.values() ?? []) {
    if (member.id === localMember.id) continue;
    transport
      .call(member.addr, 'zen/stepped-down', { from: localMember }, options)
      .catch(() => undefined);
  }
};
