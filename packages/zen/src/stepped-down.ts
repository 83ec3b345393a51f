/** Word from a master that gave up, so that its followers need not wait for their next ping to elect another. */
import type { Mate, State } from '@tillerstair/state';
import type { Circuits } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';

export interface SteppedDownParts {
  readonly me: Mate;
  readonly circuits: Circuits;
  readonly bounds: ZenBounds;
}

export const tellSteppedDown = ({ me, circuits, bounds }: SteppedDownParts, state: State | undefined): void => {
  for (const mate of state?.nodes.values() ?? []) {
    if (mate.id === me.id) continue;
    circuits.call(mate.addr, 'zen/stepped-down', { from: me }, { within: bounds.beat }).catch(() => undefined);
  }
};
