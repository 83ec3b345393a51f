/**
 * Fencing of a slot's replicas at an ownership epoch: from then on they refuse puts of lower epochs, and hand over what
 * they store (docs/design.md, "Slots, owners, ownership epochs"). It keeps no state.
 */
import type { Item, Slot } from '@tillerstair/state';
import { toTimerMs, UnavailableError, type Clock } from '@tillerstair/wire';
import { requestQuorum } from './quorum-request.js';
import type { ReplicaClient } from './replica-client.js';
import type { CompiledState } from './compiled-state.js';

/** A further replica is asked once this share of a request's timeout has passed without a quorum. */
const hedgeAfterShareOfTimeout = 1 / 3;

/** What replicas stored when they were fenced: items by key, by replica. */
export type FencedReplicas = ReadonlyMap<string, ReadonlyMap<string, Item>>;

/** What a `SlotFencing` needs. */
export interface SlotFencingOptions {
  readonly clock: Clock;
  readonly client: ReplicaClient;
  readonly compiledState: () => CompiledState | undefined;
  /** Replicas that have to be fenced; read anew when it is compared. */
  readonly quorum: () => number;
  readonly requestTimeoutMs: number;
}

/** Fences the replicas of one slot. */
export class SlotFencing {
  private readonly clock: Clock;
  private readonly client: ReplicaClient;
  private readonly compiledState: () => CompiledState | undefined;
  private readonly quorum: () => number;
  private readonly hedgeAfterMs: number;

  constructor(
    private readonly slotNumber: number,
    options: SlotFencingOptions,
  ) {
    this.clock = options.clock;
    this.client = options.client;
    this.compiledState = options.compiledState;
    this.quorum = options.quorum;
    this.hedgeAfterMs = toTimerMs(options.requestTimeoutMs * hedgeAfterShareOfTimeout);
  }

  /**
   * Fences a quorum of the slot's replicas at its ownership epoch. Any other quorum shares a replica with it, so every
   * write that counted under a lower epoch is among the items, and none can count afterwards.
   *
   * @throws UnavailableError `unavailable` if fewer than a quorum responded
   */
  async fenceQuorum(slot: Slot): Promise<FencedReplicas> {
    const fenced = await requestQuorum({
      clock: this.clock,
      replicas: this.liveReplicasFirst(slot.replicas),
      quorum: this.quorum(),
      hedgeAfterMs: this.hedgeAfterMs,
      send: (replica) => this.client.fence(replica, slot.ownershipEpoch),
    });
    if (fenced.size < this.quorum())
      throw new UnavailableError(
        'unavailable',
        `${fenced.size} of ${slot.replicas.length} replicas fenced`,
      );
    return fenced;
  }

  /**
   * Fences the replicas that were not needed to open the slot too, without waiting: a joining replica may pull from
   * any of them. One that fails is fenced by the next put.
   */
  fenceOthers(slot: Slot, fenced: FencedReplicas): void {
    for (const replica of slot.replicas)
      if (!fenced.has(replica))
        this.client.fencePage(replica, slot.ownershipEpoch, '').catch(() => undefined);
  }

  /** Each slot begins with another replica, so that slots opened together spread their reads. */
  private liveReplicasFirst(replicas: readonly string[]): readonly string[] {
    const nodes = this.compiledState()?.state.nodes;
    const start = replicas.length === 0 ? 0 : this.slotNumber % replicas.length;
    const rotated = [...replicas.slice(start), ...replicas.slice(0, start)];
    return [...rotated.filter((id) => nodes?.has(id)), ...rotated.filter((id) => !nodes?.has(id))];
  }
}
