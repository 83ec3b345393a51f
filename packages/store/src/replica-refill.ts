/**
 * Fills the slots that this store joins as a replica (docs/design.md, "Changing a replica").
 *
 * A slot is pulled from a quorum of its replicas, each of them fenced at the ownership epoch of the state in which this
 * store joins. Once all items are synced, the master is notified, which commits the change of replicas under the
 * next ownership epoch.
 */
import pLimit from 'p-limit';
import type { Member, State } from '@tillerstair/state';
import {
  delay,
  ReplicaError,
  RetryLog,
  toRpcError,
  UnavailableError,
  type Clock,
  type Logger,
  type Transport,
} from '@tillerstair/wire';
import type { ZenBounds } from '@tillerstair/zen';
import type { ReplicaStore } from './replica-store.js';
import { SlotPull } from './slot-pull.js';

/** Limit of slots that are filled concurrently. */
const maxConcurrentSlots = 8;
/** Limit of the requests for items that are under way, over all slots. */
const maxConcurrentRequests = 4;

/** Searches of the cluster state for slots to fill, per heartbeat interval; a new state is searched immediately. */
const searchesPerHeartbeat = 2;

/** Most and least attempts to fill a slot in one heartbeat interval; the delay doubles after each failed one. */
const attemptsPerHeartbeat = { most: 16, least: 4 } as const;
const retryDelayFactor = 2;

/** Settings of the refill of one store, and the components that it uses. */
export interface ReplicaRefillOptions {
  readonly storeId: string;
  readonly replicaStore: ReplicaStore;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly bounds: Pick<ZenBounds, 'heartbeatInterval' | 'failureTimeout'>;
  readonly log: Logger;
  /** The newest cluster state, which the node has applied or is applying. */
  readonly latestState: () => State | undefined;
  /** The master that the node follows; undefined if it knows none. */
  readonly currentMaster: () => Member | undefined;
}

/** A slot that this store joins as a replica, at the ownership epoch of the state that says so. */
interface JoiningSlot {
  readonly number: number;
  readonly ownershipEpoch: number;
}

/** Fills the slots that one store joins. Tracks the ownership epoch at which the filling of each slot was started. */
export class ReplicaRefill {
  private readonly limitSlots = pLimit(maxConcurrentSlots);
  private readonly limitRequests = pLimit(maxConcurrentRequests);
  private readonly startedEpochs = new Map<number, number>();
  private stopWaiting: () => void = () => undefined;

  constructor(private readonly options: ReplicaRefillOptions) {}

  /** Searches the latest state immediately instead of at the next interval. */
  wake(): void {
    this.stopWaiting();
  }

  /** Searches the latest state for slots to fill until `stopped` is aborted. */
  async run(stopped: AbortSignal): Promise<void> {
    const { clock, bounds, latestState, storeId } = this.options;
    while (!stopped.aborted) {
      const woken = new AbortController();
      this.stopWaiting = () => woken.abort();
      latestState()?.slots.forEach(({ joiningReplicas, ownershipEpoch }, number) => {
        if (!joiningReplicas.includes(storeId)) return;
        if (this.startedEpochs.get(number) === ownershipEpoch) return;
        this.startedEpochs.set(number, ownershipEpoch);
        void this.fillUntilComplete({ number, ownershipEpoch }, stopped);
      });
      await delay(clock, bounds.heartbeatInterval / searchesPerHeartbeat, woken.signal);
    }
  }

  /** Retries filling a slot until it succeeds, the slot's ownership epoch changes, or the store is stopped. */
  private async fillUntilComplete(joining: JoiningSlot, stopped: AbortSignal): Promise<void> {
    const { clock, bounds, log, latestState } = this.options;
    const pull = this.pullOf(joining);
    const retryLog = new RetryLog(clock, log, bounds.failureTimeout);
    let retryDelayMs = bounds.heartbeatInterval / attemptsPerHeartbeat.most;
    while (!stopped.aborted) {
      const state = latestState();
      const slot = state?.slots[joining.number];
      if (!state || slot?.ownershipEpoch !== joining.ownershipEpoch) return;
      try {
        const sources = slot.replicas.filter((id) => state.nodes.has(id));
        await this.limitSlots(() => this.fill(joining, pull, sources));
        return;
      } catch (error) {
        retryLog.failed(`Slot ${joining.number} is not filled yet: ${toRpcError(error).message}`);
      }
      await delay(clock, retryDelayMs, stopped);
      retryDelayMs = Math.min(
        retryDelayMs * retryDelayFactor,
        bounds.heartbeatInterval / attemptsPerHeartbeat.least,
      );
    }
  }

  /** Pulls a slot from a quorum of its replicas and reports it to the master as filled. */
  private async fill(
    joining: JoiningSlot,
    pull: SlotPull,
    sources: readonly string[],
  ): Promise<void> {
    const { clock, log } = this.options;
    const startedAt = clock.now();
    const fetched = await pull.run(sources);
    await this.reportFilled(joining);
    const tookMs = Math.round(clock.now() - startedAt);
    log.debug(`Slot ${joining.number} was filled with ${fetched} items in ${tookMs} ms.`);
  }

  private pullOf({ number, ownershipEpoch }: JoiningSlot): SlotPull {
    const { transport, replicaStore, clock, bounds, latestState } = this.options;
    return new SlotPull({
      slot: number,
      quorum: () => latestState()?.replication.quorum ?? Infinity,
      replicaStore,
      clock,
      requestTimeoutMs: bounds.failureTimeout,
      isCurrent: () => latestState()?.slots[number]?.ownershipEpoch === ownershipEpoch,
      limitRequests: this.limitRequests,
      requestPage: async (source, request) =>
        transport.call(
          this.addressOf(source),
          'store/pull',
          { store: source, slot: number, ownershipEpoch, ...request },
          { timeoutMs: bounds.failureTimeout },
        ),
    });
  }

  private addressOf(id: string): string {
    const member = this.options.latestState()?.nodes.get(id);
    if (member) return member.addr;
    throw new ReplicaError('away', `replica ${id} is not in the cluster state`);
  }

  private async reportFilled({ number, ownershipEpoch }: JoiningSlot): Promise<void> {
    const { transport, bounds, storeId, currentMaster } = this.options;
    const master = currentMaster();
    if (!master)
      throw new UnavailableError('unavailable', `no master is known to report slot ${number} to`);
    await transport.call(
      master.addr,
      'control/filled',
      { store: storeId, slot: number, ownershipEpoch },
      { timeoutMs: bounds.failureTimeout },
    );
  }
}
