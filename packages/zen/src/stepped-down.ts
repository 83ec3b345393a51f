/** Word from a master that gave up, so that its followers need not wait for their next ping to elect another. */
import type { Member, State } from '@tillerstair/state';
import type { Transport } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';

export interface SteppedDownParts {
  readonly me: Member;
  readonly transport: Transport;
  readonly bounds: ZenBounds;
}

export const tellSteppedDown = (
  { me, transport, bounds }: SteppedDownParts,
  state: State | undefined,
): void => {
  for (const member of state?.nodes.values() ?? []) {
    if (member.id === me.id) continue;
    transport
      .call(member.addr, 'zen/stepped-down', { from: me }, { timeoutMs: bounds.heartbeatInterval })
      .catch(() => undefined);
  }
};
