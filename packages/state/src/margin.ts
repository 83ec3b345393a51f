/** How many more losses the cluster bears now: of voting controls, and of stores for each slot. */
import { lossesBorne } from './replication.js';
import { copiesAfter, type Slot, type State } from './state.js';

/** Whether a node is in touch now, as far as who asks can tell. */
export type IsLive = (id: string) => boolean;

const liveIn = (ids: readonly string[], isLive: IsLive): number => ids.filter(isLive).length;

/** A node is live only if the state lists it and it was heard of. */
export const liveNodes = (s: State, heard: IsLive): IsLive => (id) => s.nodes.has(id) && heard(id);

/** The losses of stores that a slot still bears, in both groups that take writes; below zero its quorum is gone. */
export const slotMargin = (s: State, slot: Slot, isLive: IsLive): number =>
  Math.min(liveIn(slot.copies, isLive), liveIn(copiesAfter(slot), isLive)) - s.replication.quorum;

/** The losses of voting controls that still leave a majority; below zero it is gone. */
export const voterMargin = (s: State, isLive: IsLive): number => {
  const marginOf = (group: readonly string[]): number => liveIn(group, isLive) - (Math.floor(group.length / 2) + 1);
  return Math.min(marginOf(s.voters.now), marginOf(s.voters.next));
};

/** Whether every slot bears all the losses that its replication is meant for. */
export const replicasWhole = (s: State, isLive: IsLive): boolean =>
  s.slots.every((slot) => slotMargin(s, slot, isLive) >= lossesBorne(s.replication));
