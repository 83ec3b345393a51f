/**
 * Fills the slots that this store joins as a replica (docs/design.md, "Changing a replica").
 *
 * A slot is pulled from a quorum of its replicas, each fenced at the ownership epoch of the state in which this store
 * joins. Only once all that is synced the master is notified, which makes the change under the next ownership epoch.
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

/** Slots that are pulled at once. */
const maxConcurrentSlots = 8;

/** How often in a heartbeat interval the state is searched for slots to fill, if no new one comes earlier. */
const searchesPerHeartbeat = 2;

/** Attempts to fill a slot, and pages of it that are pulled, in a heartbeat interval. */
const attemptsPerHeartbeat = 16;
const pagesPerHeartbeat = 16;

/** What filling slots works with. */
export interface ReplicaRefillOptions {
  readonly storeId: string;
  readonly replicaStore: ReplicaStore;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly bounds: Pick<ZenBounds, 'heartbeatInterval' | 'failureTimeout'>;
  readonly log: Logger;
  readonly latestState: () => State | undefined;
  readonly currentMaster: () => Member | undefined;
}

/** One slot as a state names it, to be filled at its ownership epoch. */
interface JoiningSlot {
  readonly number: number;
  readonly ownershipEpoch: number;
}

/** Fills slots of one store until it is stopped. Owns which slot is being filled, and at which ownership epoch. */
export class ReplicaRefill {
  private readonly limitConcurrency = pLimit(maxConcurrentSlots);
  private readonly startedEpochs = new Map<number, number>();
  private stopWaiting: () => void = () => undefined;

  constructor(private readonly options: ReplicaRefillOptions) {}

  /** Looks at the latest state at once. */
  wake(): void {
    this.stopWaiting();
  }

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

  /** Tries to fill a slot until that succeeds or the slot is at another ownership epoch. */
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
        log.debug(`Refill of slot ${joining.number} waits: ${toRpcError(error).message}.`);
      }
      await delay(clock, bounds.heartbeatInterval / attemptsPerHeartbeat, stopped);
    }
  }

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
        `${pulled} of ${quorum} replicas that are needed reply`,
      );
    const master = currentMaster();
    if (!master) throw new UnavailableError('unavailable', 'no master is known');
    await transport.call(
      master.addr,
      'control/filled',
      { store: storeId, slot: joining.number, ownershipEpoch: joining.ownershipEpoch },
      { timeoutMs: bounds.failureTimeout },
    );
  }

  /** Pulls all pages of a slot from one replica and stores them; says whether that succeeded. */
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
