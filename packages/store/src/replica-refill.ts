/**
 * Fills the slots that this store joins as a replica (docs/design.md, "Changing a replica").
 *
 * A slot is pulled from a quorum of its replicas, each of them fenced at the ownership epoch of the state in which this
 * store joins. Once all pulled items are synced, the master is notified, which commits the change of replicas under the
 * next ownership epoch.
 */
import pLimit from 'p-limit';
import { fetchPages, type Member, type State } from '@tillerstair/state';
import {
  delay,
  toRpcError,
  UnavailableError,
  type Clock,
  type Logger,
  type Transport,
} from '@tillerstair/wire';
import type { ZenBounds } from '@tillerstair/zen';
import type { ReplicaStore } from './replica-store.js';

/** Limit of slots that are filled concurrently. */
const maxConcurrentSlots = 8;

/** Searches of the cluster state for slots to fill, per heartbeat interval; a new state is searched immediately. */
const searchesPerHeartbeat = 2;

/** Limits of the attempts to fill a slot, and of the pages pulled per source, in one heartbeat interval. */
const attemptsPerHeartbeat = 16;
const pagesPerHeartbeat = 16;

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
  private readonly limitConcurrency = pLimit(maxConcurrentSlots);
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
    while (!stopped.aborted) {
      const state = latestState();
      const slot = state?.slots[joining.number];
      if (!state || slot?.ownershipEpoch !== joining.ownershipEpoch) return;
      try {
        await this.limitConcurrency(() => this.fill(state, joining, slot.replicas, stopped));
        return;
      } catch (error) {
        log.debug(
          `Refill of slot ${joining.number} failed, will retry: ${toRpcError(error).message}.`,
        );
      }
      await delay(clock, bounds.heartbeatInterval / attemptsPerHeartbeat, stopped);
    }
  }

  /** Pulls a slot from a quorum of its replicas and reports it to the master as filled. */
  private async fill(
    state: State,
    joining: JoiningSlot,
    sources: readonly string[],
    stopped: AbortSignal,
  ): Promise<void> {
    const { transport, bounds, storeId, currentMaster } = this.options;
    const { quorum } = state.replication;
    let pulled = 0;
    for (const id of sources) {
      const member = state.nodes.get(id);
      if (!member || pulled === quorum) continue;
      if (await this.pullFrom(member, joining, stopped)) pulled++;
    }
    if (pulled < quorum)
      throw new UnavailableError(
        'unavailable',
        `slot ${joining.number} was pulled from ${pulled} replicas of a quorum of ${quorum}`,
      );
    const master = currentMaster();
    if (!master)
      throw new UnavailableError(
        'unavailable',
        `no master is known to report slot ${joining.number} to`,
      );
    await transport.call(
      master.addr,
      'control/filled',
      { store: storeId, slot: joining.number, ownershipEpoch: joining.ownershipEpoch },
      { timeoutMs: bounds.failureTimeout },
    );
  }

  /** Pulls all pages of a slot from one replica and stores their items; false if that failed. */
  private async pullFrom(
    member: Member,
    { number, ownershipEpoch }: JoiningSlot,
    stopped: AbortSignal,
  ): Promise<boolean> {
    const { transport, replicaStore, clock, bounds, log } = this.options;
    const requestPage = async (after: string): Promise<unknown> => {
      if (after !== '') await delay(clock, bounds.heartbeatInterval / pagesPerHeartbeat, stopped);
      return transport.call(
        member.addr,
        'store/pull',
        { slot: number, ownershipEpoch, after },
        { timeoutMs: bounds.failureTimeout },
      );
    };
    try {
      for await (const page of fetchPages(requestPage))
        await replicaStore.acceptHandoff(number, page);
      return true;
    } catch (error) {
      log.debug(`Pulling slot ${number} from ${member.addr} failed: ${toRpcError(error).message}.`);
      return false;
    }
  }
}
