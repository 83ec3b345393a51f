/**
 * Replication: how many stores hold each slot, and how many of them must store a write before it counts. Chosen when
 * the cluster is bootstrapped, kept in the cluster state, and read from there by every node.
 */
import { z } from 'zod';

/** Number of replicas of a slot, and their write quorum; any two quorums share a replica. */
export const Replication = z
  .object({ replicas: z.number().int().positive(), quorum: z.number().int().positive() })
  .refine(({ replicas, quorum }) => quorum <= replicas && 2 * quorum > replicas, {
    error: 'the quorum must not exceed the replicas, and two quorums must share a replica',
  })
  .readonly();
/** Number of replicas of a slot, and their write quorum. */
export type Replication = z.infer<typeof Replication>;

/** The smallest replication that keeps every write, and a quorum, through `losses` simultaneous losses. */
export const replicationFor = (losses: number): Replication => ({
  replicas: 2 * losses + 1,
  quorum: losses + 1,
});

/** The default replication; it tolerates one loss. */
export const defaultReplication: Replication = replicationFor(1);

/** Number of simultaneous losses that a replication tolerates when all replicas are complete. */
export const toleratedLosses = ({ replicas, quorum }: Replication): number => replicas - quorum;
