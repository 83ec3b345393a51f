/**
 * Slots: the fixed number of partitions into which programs and operation keys are hashed, and the replicas of each
 * that take writes now and after a replica has joined.
 */
import type { Slot } from './state.js';

/** Slots without an owner and without replicas. */
export const emptySlots = (count: number): readonly Slot[] =>
  Array.from({ length: count }, () => ({
    owner: '',
    ownershipEpoch: 0,
    ownedSinceEpoch: 0,
    transferTarget: '',
    replicas: [],
    joiningReplicas: [],
    replacedReplica: '',
  }));

/**
 * The slot of a key, from 0 to `count` - 1: FNV-1a over the UTF-16 units, then mixed so that short keys spread as well.
 */
export const slotForKey = (key: string, count: number): number => {
  let hash = 0x811c9dc5;
  for (let index = 0; index < key.length; index++)
    hash = Math.imul(hash ^ key.charCodeAt(index), 0x01000193) >>> 0;
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d) >>> 0;
  return ((hash ^ (hash >>> 13)) >>> 0) % count;
};

/** The stores that receive writes: the replicas and the joining one. */
export const replicasToWrite = (slot: Slot): readonly string[] => [
  ...slot.replicas,
  ...slot.joiningReplicas,
];

/** The replicas once the joining one has synced; until then, a write needs a quorum of these as well. */
export const replicasAfterJoin = (slot: Slot): readonly string[] =>
  slot.joiningReplicas.length === 0
    ? slot.replicas
    : [
        ...slot.replicas.filter((id) => id !== slot.replacedReplica),
        ...slot.joiningReplicas,
      ].sort();
