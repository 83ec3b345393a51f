/**
 * Assigns slots to stores. A slot gets its first replicas all at once; after that, one replica is replaced at a time,
 * under a raised ownership epoch, and only while a quorum of its replicas is live (design.md, "Changing a replica").
 */
import type { Member, Slot, State } from '../state.js';
import type { AllocationLimits } from './limits.js';
import { compareIds, liveMembers } from './live-members.js';

/** Inputs of one allocation of replicas; `slotsPerStore` is updated as it proceeds. */
interface ReplicaAllocation {
  readonly state: State;
  readonly limits: AllocationLimits;
  readonly liveStores: readonly Member[];
  /** Live stores that are not being emptied. */
  readonly usableStores: readonly Member[];
  readonly slotsPerStore: Map<string, number>;
}

/** Used as the replaced replica if a store joins a slot that has too few replicas. */
const noReplica = '';

const countInZone = (stores: readonly Member[], zone: string): number =>
  stores.filter((store) => store.zone === zone).length;

const addSlots = (slotsPerStore: Map<string, number>, storeId: string, count: number): void => {
  slotsPerStore.set(storeId, (slotsPerStore.get(storeId) ?? 0) + count);
};

/** Extends `chosen` to `count` stores: those of the least used zones first, then those with the fewest slots. */
const spreadOverZones = (
  candidates: readonly Member[],
  chosen: readonly Member[],
  count: number,
  slotsPerStore: ReadonlyMap<string, number>,
): readonly Member[] => {
  const spread = [...chosen];
  while (spread.length < count) {
    const free = candidates.filter((store) => !spread.some(({ id }) => id === store.id));
    const best = free
      .sort(
        (first, second) =>
          countInZone(spread, first.zone) - countInZone(spread, second.zone) ||
          (slotsPerStore.get(first.id) ?? 0) - (slotsPerStore.get(second.id) ?? 0) ||
          compareIds(first.id, second.id),
      )
      .at(0);
    if (!best) break;
    spread.push(best);
  }
  return spread;
};

const placeFirstReplicas = (allocation: ReplicaAllocation, slot: Slot): Slot => {
  const { state, limits, usableStores, slotsPerStore } = allocation;
  if (usableStores.length < limits.minStores) return slot;
  const count = state.replication.replicas;
  const replicas = spreadOverZones(usableStores, [], count, slotsPerStore).map(({ id }) => id);
  for (const id of replicas) addSlots(slotsPerStore, id, 1);
  return { ...slot, replicas, ownershipEpoch: slot.ownershipEpoch + 1 };
};

/** The replica to replace: a lost one first, then a missing one (`noReplica`), then one that is being emptied. */
const replicaToReplace = ({ state, limits }: ReplicaAllocation, slot: Slot): string | undefined => {
  const isLost = (id: string): boolean => limits.unresponsiveStores.has(id) && !state.nodes.has(id);
  const lost = slot.replicas.find(isLost);
  if (lost !== undefined) return lost;
  if (slot.replicas.length < state.replication.replicas) return noReplica;
  return slot.replicas.find((id) => state.retiring.has(id));
};

/** The store to join in place of a replica; none while fewer than a quorum of replicas are live to sync it from. */
const findSpareStore = (
  { state, liveStores, usableStores, slotsPerStore }: ReplicaAllocation,
  slot: Slot,
  replaced: string,
): Member | undefined => {
  const liveReplicas = liveStores.filter((store) => slot.replicas.includes(store.id));
  if (liveReplicas.length < state.replication.quorum) return undefined;
  const staying = liveReplicas.filter((store) => store.id !== replaced);
  return spreadOverZones(usableStores, staying, staying.length + 1, slotsPerStore).at(
    staying.length,
  );
};

const withoutJoiningReplica = (slot: Slot): Slot => ({
  ...slot,
  joiningReplicas: [],
  replacedReplica: '',
  ownershipEpoch: slot.ownershipEpoch + 1,
});

/**
 * Adds a store as joining replica in place of another replica. Without a replica to replace or a spare store, drops a
 * joining replica, which can no longer be filled.
 */
const replaceReplica = (allocation: ReplicaAllocation, slot: Slot): Slot => {
  const replaced = replicaToReplace(allocation, slot);
  const spare = replaced === undefined ? undefined : findSpareStore(allocation, slot, replaced);
  if (replaced === undefined || !spare)
    return slot.joiningReplicas.length > 0 ? withoutJoiningReplica(slot) : slot;
  addSlots(allocation.slotsPerStore, spare.id, 1);
  addSlots(allocation.slotsPerStore, replaced, -1);
  return {
    ...slot,
    joiningReplicas: [spare.id],
    replacedReplica: replaced,
    ownershipEpoch: slot.ownershipEpoch + 1,
  };
};

const countSlotsPerStore = (slots: readonly Slot[]): Map<string, number> => {
  const slotsPerStore = new Map<string, number>();
  for (const slot of slots) for (const id of slot.replicas) addSlots(slotsPerStore, id, 1);
  return slotsPerStore;
};

/**
 * Places first replicas and starts replacements, within the limits. A slot that does not change stays the same object.
 */
export const allocateReplicas = (state: State, limits: AllocationLimits): readonly Slot[] => {
  const liveStores = liveMembers(state, 'store');
  const allocation: ReplicaAllocation = {
    state,
    limits,
    liveStores,
    usableStores: liveStores.filter((store) => !state.retiring.has(store.id)),
    slotsPerStore: countSlotsPerStore(state.slots),
  };
  const isFillable = (id: string): boolean => state.nodes.has(id) && !state.retiring.has(id);
  let filling = state.slots.filter((slot) => slot.joiningReplicas.length > 0).length;
  return state.slots.map((slot) => {
    if (slot.replicas.length === 0) return placeFirstReplicas(allocation, slot);
    const isFilling = slot.joiningReplicas.length > 0;
    if (isFilling && slot.joiningReplicas.every(isFillable)) return slot;
    if (!isFilling && filling >= limits.maxFills) return slot;
    const next = replaceReplica(allocation, slot);
    if (!isFilling && next !== slot) filling++;
    return next;
  });
};
