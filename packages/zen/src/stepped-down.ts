/**
 * The notice of a master that stepped down because its disk accepts no writes, so that its followers elect another
 * master without waiting for their next ping (docs/design.md, "Disk"). Owns no state; delivery is best-effort.
 */
import type { Member, State } from '@tillerstair/state';
import type { Transport } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';

/** The dependencies of `notifySteppedDown`. */
export interface SteppedDownOptions {
  readonly localMember: Member;
  readonly transport: Transport;
  readonly bounds: Pick<ZenBounds, 'heartbeatInterval'>;
}

/** Notifies all other nodes listed in the newest committed state; does not wait for their replies. */
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
