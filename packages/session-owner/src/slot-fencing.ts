/**
 * Fencing of a slot's replicas at an ownership epoch: a fenced replica rejects puts of lower epochs, and its response
 * to the fence lists the items that it stores (docs/design.md, "Slots, owners, ownership epochs"). It keeps no
 * state.
 */
import type { Slot } from '@tillerstair/state';
import { requestQuorum, toTimerMs, UnavailableError, type Clock } from '@tillerstair/wire';

import type { ReplicaClient } from './replica-client.js';
import type { CompiledState } from './compiled-state.js';
import type { FencedReplicas } from './slot-merge.js';

/** Share of a request's timeout after which a fence without a quorum is sent to one more replica. */
const hedgeAfterShareOfTimeout = 1 / 3;

/** Dependencies and time limits of a `SlotFencing`. */
export interface SlotFencingOptions {
  readonly clock: Clock;
  readonly client: ReplicaClient;
  /** The newest state that this front applied; undefined before the first. */
  readonly compiledState: () => CompiledState | undefined;
  /** Number of replicas that must be fenced; read again at each comparison. */
  readonly quorum: () => number;
  /** Timeout of one request to a replica, in ms. */
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
   * Fences a quorum of the slot's replicas at its ownership epoch. Every other quorum shares a replica with it, so
   * the lists include each write that took effect under a lower epoch, and no such write can take effect afterwards.
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
        `${fenced.size} of ${slot.replicas.length} replicas of slot ${this.slotNumber} fenced`,
      );
    return fenced;
  }

  /**
   * Also fences the replicas that were not needed to open the slot, without waiting for them: a joining replica may
   * pull from any of them. A replica whose fence fails is fenced by the next put.
   */
  fenceOthers(slot: Slot, fenced: FencedReplicas): void {
    for (const replica of slot.replicas)
      if (!fenced.has(replica))
        this.client.fencePage(replica, slot.ownershipEpoch, '').catch(() => undefined);
  }

  /** Live replicas before others; the first one varies by slot, so that slots opened together spread their reads. */
  private liveReplicasFirst(replicas: readonly string[]): readonly string[] {
    const nodes = this.compiledState()?.state.nodes;
    const start = replicas.length === 0 ? 0 : this.slotNumber % replicas.length;
    const rotated = [...replicas.slice(start), ...replicas.slice(0, start)];
    return [...rotated.filter((id) => nodes?.has(id)), ...rotated.filter((id) => !nodes?.has(id))];
  }
}
