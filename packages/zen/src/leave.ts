/** How a node that is told to stop takes its leave of the cluster. */
import { reduce, type Mate } from '@tillerstair/state';
import { TooLate, within, type Circuits, type Clock } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { MasterView } from './master-types.js';

export interface LeaveParts {
  readonly me: Mate;
  readonly clock: Clock;
  readonly circuits: Circuits;
  readonly bounds: Pick<ZenBounds, 'beat'>;
}

/**
 * Tells the master that this node stops in order; a master commits its own leave before it steps down, so that
 * its vote can pass to a spare with the same commit. Waits for one heartbeat at most.
 */
export const sayLeave = async (p: LeaveParts, master: Mate | undefined, leading: MasterView | undefined): Promise<void> => {
  const { me, clock, circuits, bounds } = p;
  if (master) await circuits.call(master.addr, 'zen/leave', { from: me }, { within: bounds.beat });
  if (!leading) return;
  const left = leading.submit((s) => reduce(s, { kind: 'leave', id: me.id }));
  await within(clock, bounds.beat, left, () => new TooLate(me.addr));
};
