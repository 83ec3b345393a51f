/**
 * How many stores keep each slot and how many of them must hold a write before it counts. Chosen when
 * the cluster is bootstrapped, kept in the cluster state, and read from there by everyone.
 */
import { z } from 'zod';

/** Replicas of a slot, and the write quorum among them; any two quorums share a replica. */
export const Replication = z
  .object({ replicas: z.number().int().positive(), quorum: z.number().int().positive() })
  .refine(({ replicas, quorum }) => quorum <= replicas && 2 * quorum > replicas, {
    error: 'two quorums must share a replica',
  })
  .readonly();
/** Replicas of a slot, and the write quorum among them. */
export type Replication = z.infer<typeof Replication>;

/** The smallest replication that keeps every write, and a quorum, through `losses` losses at once. */
export const replicationFor = (losses: number): Replication => ({
  replicas: 2 * losses + 1,
  quorum: losses + 1,
});

/** Used where nothing is stated: one loss is borne. */
export const defaultReplication: Replication = replicationFor(1);

/** The number of losses at once that a replication bears when all replicas are complete. */
export const toleratedLosses = ({ replicas, quorum }: Replication): number => replicas - quorum;
