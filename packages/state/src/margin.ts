/** How many more losses the cluster bears now: of voting controls, and of stores for each slot. */
import { z } from 'zod';
import { lossesBorne, Replication } from './replication.js';
import { replicasAfterJoin, type Slot, type State } from './state.js';

/** Whether a node is in touch now, as far as who asks can tell. */
export type IsLive = (id: string) => boolean;

const liveIn = (ids: readonly string[], isLive: IsLive): number => ids.filter(isLive).length;

/** A node is live only if the state lists it and it was heard of. */
export const liveNodes =
  (s: State, heard: IsLive): IsLive =>
  (id) =>
    s.nodes.has(id) && heard(id);

/** The losses of stores that a slot still bears, in both groups that take writes; below zero its quorum is gone. */
export const slotMargin = (s: State, slot: Slot, isLive: IsLive): number =>
  Math.min(liveIn(slot.replicas, isLive), liveIn(replicasAfterJoin(slot), isLive)) -
  s.replication.quorum;

/** The losses of voting controls that still leave a majority; below zero it is gone. */
export const voterMargin = (s: State, isLive: IsLive): number => {
  const marginOf = (group: readonly string[]): number =>
    liveIn(group, isLive) - (Math.floor(group.length / 2) + 1);
  return Math.min(marginOf(s.voters.current), marginOf(s.voters.next));
};

export const SlotMargin = z
  .object({
    slot: z.number(),
    replicas: z.number(),
    live: z.number(),
    joiningReplicas: z.number(),
    margin: z.number(),
  })
  .readonly();
export type SlotMargin = z.infer<typeof SlotMargin>;

/** What is still borne: `voters` and the least of all `slots` say how many more losses at once are. */
export const MarginReport = z
  .object({
    replication: Replication,
    voters: z
      .object({ voting: z.number(), live: z.number(), changing: z.boolean(), margin: z.number() })
      .readonly(),
    leastSlotMargin: z.number().nullable(),
    slots: z.array(SlotMargin).readonly(),
  })
  .readonly();
export type MarginReport = z.infer<typeof MarginReport>;

export const marginReport = (s: State, isLive: IsLive): MarginReport => {
  const live = liveNodes(s, isLive);
  const slots = s.slots.map((slot, n) => ({
    slot: n,
    replicas: slot.replicas.length,
    live: liveIn(slot.replicas, live),
    joiningReplicas: slot.joiningReplicas.length,
    margin: slotMargin(s, slot, live),
  }));
  const { current: now, next } = s.voters;
  return {
    replication: s.replication,
    voters: {
      voting: next.length,
      live: liveIn(next, live),
      changing: now.join() !== next.join(),
      margin: voterMargin(s, live),
    },
    leastSlotMargin: slots.length === 0 ? null : Math.min(...slots.map((slot) => slot.margin)),
    slots,
  };
};

/** Whether every slot bears all the losses that its replication is meant for. */
export const allSlotsAtFullMargin = (s: State, isLive: IsLive): boolean =>
  s.slots.every((slot) => slotMargin(s, slot, isLive) >= lossesBorne(s.replication));
