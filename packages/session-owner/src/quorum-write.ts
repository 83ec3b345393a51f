/**
 * One write to all replicas of a slot. It takes effect once a quorum has synced it; while a replica joins, a quorum of
 * the replicas before the join and a quorum of those after it (docs/design.md, "Changing a replica"). For each replica
 * that missed the write, a replica that synced it stores a hint.
 */
import { replicasAfterJoin, replicasToWrite, type Item, type Slot } from '@tillerstair/state';
import { toRpcError, UnavailableError, type Logger } from '@tillerstair/wire';
import type { ReplicaClient } from './replica-client.js';

/** Dependencies and callbacks of a `QuorumWrite`. */
export interface QuorumWriteOptions {
  readonly client: ReplicaClient;
  /** Whether some replicas have the items already, see `PutRequest`. */
  readonly repair: boolean;
  readonly log: Logger;
  /** Number of replicas of each group that must sync the write; read again at each response. */
  readonly quorum: () => number;
  /** Called when a replica rejects the write because it is fenced at a higher ownership epoch. */
  readonly onStaleEpoch: () => void;
}

/** One write of some items, under the ownership epoch that the slot had when the write was created. */
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
   * Sends the write; called once. Resolves once the write has taken effect. Rejects with an `UnavailableError` when
   * every replica has responded or failed without a quorum: some of them may have stored the write, which may then take
   * effect at the next fence.
   */
  send(): Promise<void> {
    const { client, repair, onStaleEpoch } = this.options;
    return new Promise((resolve, reject) => {
      for (const replica of this.targets)
        client
          .put(replica, this.slot.ownershipEpoch, this.items, repair)
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

  /** Acknowledgements in the group with the fewest. */
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
          `${this.synced.length} of ${this.targets.length} replicas synced the write`,
        ),
      );
    for (const replica of this.missed) void this.storeHint(replica);
  }

  /**
   * Offers the hint to each replica that synced the write until one stores it; if none does, the next fence repairs it.
   */
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
