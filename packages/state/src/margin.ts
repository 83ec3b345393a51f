/**
 * How many more losses the cluster bears now: of voting controls, and of stores for each slot.
 *
 * Live means here that the state lists the node and that it replied to whoever asks. It says nothing of the node's disk:
 * one that is full or stalled counts as live, though it stores no write (`docs/operators.md`, "A disk that is full").
 */
import { z } from 'zod';
import { toleratedLosses, Replication } from './replication.js';
import { replicasAfterJoin } from './slots.js';
import type { Slot, State } from './state.js';

/** Whether a node replied, as far as who asks can tell. Whether its disk accepts writes is not part of it. */
export type IsLive = (id: string) => boolean;

const countLive = (ids: readonly string[], isLive: IsLive): number => ids.filter(isLive).length;

/** A node is live only if the state lists it and it replied. */
export const liveNodes =
  (state: State, isHeard: IsLive): IsLive =>
  (id) =>
    state.nodes.has(id) && isHeard(id);

/** The losses of stores that a slot still bears, in both groups that take writes; below zero its quorum is gone. */
export const slotMargin = (state: State, slot: Slot, isLive: IsLive): number =>
  Math.min(countLive(slot.replicas, isLive), countLive(replicasAfterJoin(slot), isLive)) -
  state.replication.quorum;

/** The losses of voting controls that still leave a majority; below zero it is gone. */
export const voterMargin = ({ voters }: State, isLive: IsLive): number => {
  const marginOf = (group: readonly string[]): number =>
    countLive(group, isLive) - (Math.floor(group.length / 2) + 1);
  return Math.min(marginOf(voters.current), marginOf(voters.next));
};

/** What a slot bears: its replicas, how many of them live, and how many more may be lost. */
export const SlotMargin = z
  .object({
    slot: z.number(),
    replicas: z.number(),
    live: z.number(),
    joiningReplicas: z.number(),
    margin: z.number(),
  })
  .readonly();
/** What a slot bears. */
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
/** What is still borne, as `GET /v1/margin` shows it. */
export type MarginReport = z.infer<typeof MarginReport>;

/** What is still borne, with the nodes counted as live that the state lists and `isHeard` names. */
export const marginReport = (state: State, isHeard: IsLive): MarginReport => {
  const isLive = liveNodes(state, isHeard);
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

/** Whether every slot bears all the losses that its replication is meant for. */
export const allSlotsFullyReplicated = (state: State, isLive: IsLive): boolean =>
  state.slots.every(
    (slot) => slotMargin(state, slot, isLive) >= toleratedLosses(state.replication),
  );
