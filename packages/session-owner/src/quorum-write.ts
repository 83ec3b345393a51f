/**
 * One write to all replicas of a slot. It counts once a quorum has synced it, while a replica joins a quorum both of
 * the replicas before and of those after (docs/design.md, "Changing a replica"). Replicas that missed a write which
 * others synced are helped by a hint on one of these.
 */
import { replicasAfterJoin, replicasToWrite, type Item, type Slot } from '@tillerstair/state';
import { toRpcError, UnavailableError, type Logger } from '@tillerstair/wire';
import type { ReplicaClient } from './replica-client.js';

/** What a `QuorumWrite` needs. */
export interface QuorumWriteOptions {
  readonly client: ReplicaClient;
  readonly log: Logger;
  /** Replicas of each group that have to sync the write; read anew at each response. */
  readonly quorum: () => number;
  /** A replica refused the write since it was fenced at a higher ownership epoch. */
  readonly onStaleEpoch: () => void;
}

/** One write of some items, under the ownership epoch that the slot had when it was made. */
export class QuorumWrite {
  private readonly targets: readonly string[];
  private readonly groups: readonly (readonly string[])[];
  private readonly synced: string[] = [];
  private readonly missed: string[] = [];
  private pending: number;

  constructor(
    private readonly slot: Slot,
    private readonly items: readonly Item[],
    private readonly options: QuorumWriteOptions,
  ) {
    this.targets = replicasToWrite(slot);
    this.groups = [slot.replicas, replicasAfterJoin(slot)];
    this.pending = this.targets.length;
  }

  /**
   * Sends the write; called once. Resolves when it counts. Rejects when all replicas have responded and it does not:
   * some of them may have it, and it may still count after the next fence.
   */
  send(): Promise<void> {
    const { client, onStaleEpoch } = this.options;
    return new Promise((resolve, reject) => {
      for (const replica of this.targets)
        client
          .put(replica, this.slot.ownershipEpoch, this.items)
          .then(
            () => {
              this.synced.push(replica);
            },
            (error: unknown) => {
              if (toRpcError(error).code === 'stale-epoch') onStaleEpoch();
              else this.missed.push(replica);
            },
          )
          .finally(() => {
            this.pending--;
            this.settle(resolve, reject);
          });
    });
  }

  /** Acknowledgements in the group that has the fewest. */
  private acknowledgements(): number {
    return Math.min(
      ...this.groups.map((group) => group.filter((id) => this.synced.includes(id)).length),
    );
  }

  private settle(resolve: () => void, reject: (error: Error) => void): void {
    const quorum = this.options.quorum();
    const isQuorum = this.acknowledgements() >= quorum;
    if (isQuorum) resolve();
    if (this.pending > 0) return;
    if (!isQuorum)
      reject(
        new UnavailableError(
          'unavailable',
          `${this.synced.length} of ${this.targets.length} replicas synced`,
        ),
      );
    for (const replica of this.missed) void this.storeHint(replica);
  }

  /** The first replica that can stores the hint; where none can, the missed write waits for the next fence. */
  private async storeHint(missedBy: string): Promise<void> {
    for (const replica of this.synced) {
      try {
        await this.options.client.storeHint(replica, missedBy, this.items);
        return;
      } catch (error) {
        this.options.log.debug(
          `Hint for ${missedBy} was not stored by ${replica}: ${toRpcError(error).message}.`,
        );
      }
    }
  }
}
