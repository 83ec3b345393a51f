/**
 * Margins: how many further losses the cluster tolerates now, of voting controls and of stores for each slot.
 *
 * Live means here that the state lists the node and that it replied to the caller. It says nothing about the disk of
 * the node: one with a full or stalled disk counts as live, though it stores no writes
 * (`docs/operators.md`, "A disk that is full").
 */
import { z } from 'zod';
import { toleratedLosses, Replication } from './replication.js';
import { replicasAfterJoin } from './slots.js';
import type { Slot, State } from './state.js';

/** Whether a node replied, as far as the caller can tell. It does not say whether its disk accepts writes. */
export type IsLive = (id: string) => boolean;

const countLive = (ids: readonly string[], isLive: IsLive): number => ids.filter(isLive).length;

/** Counts a node as live only if the state lists it and it replied. */
export const liveNodes =
  (state: State, hasReplied: IsLive): IsLive =>
  (id) =>
    state.nodes.has(id) && hasReplied(id);

/** Further store losses that a slot tolerates, in both groups that take writes; negative if it has no quorum. */
export const slotMargin = (state: State, slot: Slot, isLive: IsLive): number =>
  Math.min(countLive(slot.replicas, isLive), countLive(replicasAfterJoin(slot), isLive)) -
  state.replication.quorum;

/** Further losses of voting controls that leave a majority; negative if there is none. */
export const voterMargin = ({ voters }: State, isLive: IsLive): number => {
  const marginOf = (group: readonly string[]): number =>
    countLive(group, isLive) - (Math.floor(group.length / 2) + 1);
  return Math.min(marginOf(voters.current), marginOf(voters.next));
};

/** The margin of a slot: its replicas, how many of them are live, and how many more may be lost. */
export const SlotMargin = z
  .object({
    slot: z.number(),
    replicas: z.number(),
    live: z.number(),
    joiningReplicas: z.number(),
    margin: z.number(),
  })
  .readonly();
/** The margin of a slot. */
export type SlotMargin = z.infer<typeof SlotMargin>;

/**
 * The margins of the cluster: it tolerates `voters.margin` losses of controls, and `leastSlotMargin` simultaneous
 * losses of stores.
 */
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
/** The margins of the cluster, as `GET /v1/margin` returns them. */
export type MarginReport = z.infer<typeof MarginReport>;

/** Computes the margins; a node counts as live if the state lists it and `hasReplied` is true for it. */
export const marginReport = (state: State, hasReplied: IsLive): MarginReport => {
  const isLive = liveNodes(state, hasReplied);
  const slots = state.slots.map((slot, index) => ({
    slot: index,
    replicas: slot.replicas.length,
    live: countLive(slot.replicas, isLive),
    joiningReplicas: slot.joiningReplicas.length,
    margin: slotMargin(state, slot, isLive),
  }));
  const { current, next } = state.voters;
  return {
    replication: state.replication,
    voters: {
      voting: next.length,
      live: countLive(next, isLive),
      changing: current.join() !== next.join(),
      margin: voterMargin(state, isLive),
    },
    leastSlotMargin: slots.length === 0 ? null : Math.min(...slots.map(({ margin }) => margin)),
    slots,
  };
};

/** Whether every slot tolerates all the losses that its replication is meant for. */
export const allSlotsFullyReplicated = (state: State, isLive: IsLive): boolean =>
  state.slots.every(
    (slot) => slotMargin(state, slot, isLive) >= toleratedLosses(state.replication),
  );
