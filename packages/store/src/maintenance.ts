/**
 * Background maintenance of a store, which runs twice per heartbeat interval: it hands hints off to their target
 * stores, and drops items that expired or whose slots are assigned to other stores.
 */
import pLimit from 'p-limit';
import {
  compiledConfig,
  replicasToWrite,
  requiredTurnRetentionMs,
  turnRetentionLimitMs,
  type Member,
  type State,
} from '@tillerstair/state';
import { delay, toRpcError, type Clock, type Logger, type Transport } from '@tillerstair/wire';
import type { ZenBounds } from '@tillerstair/zen';
import { RefusalLog } from './refusal-log.js';
import type { Hint } from './replica-records.js';
import type { ReplicaStore } from './replica-store.js';

/** Maintenance rounds per heartbeat interval. */
const roundsPerHeartbeat = 2;

/** Hints that are handed off at the same time, so that they share syncs at both stores. */
const maxConcurrentHandoffs = 16;

/** Returned to `dropReassignedSlots` for a slot that must be kept; lower than any ownership epoch. */
const notReassigned = -1;

/** Settings of the maintenance of one store, and the components that it uses. */
export interface MaintenanceOptions {
  readonly storeId: string;
  readonly replicaStore: ReplicaStore;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly bounds: Pick<ZenBounds, 'heartbeatInterval' | 'failureTimeout'>;
  readonly log: Logger;
  /** The cluster state that the node has applied; undefined before the first one. */
  readonly appliedState: () => State | undefined;
  /** The newest cluster state, which the node has applied or is applying. */
  readonly latestState: () => State | undefined;
}

/** Runs the maintenance rounds of one store. */
export class Maintenance {
  private readonly refusals: RefusalLog;

  constructor(private readonly options: MaintenanceOptions) {
    this.refusals = new RefusalLog(options.replicaStore, options.log);
  }

  /** Runs maintenance rounds until `stopped` is aborted. An error ends the current round only. */
  async run(stopped: AbortSignal): Promise<void> {
    const { clock, bounds, replicaStore, log, appliedState } = this.options;
    while (!stopped.aborted) {
      await delay(clock, bounds.heartbeatInterval / roundsPerHeartbeat, stopped);
      this.refusals.report();
      const state = appliedState();
      if (!state || !replicaStore.writable || isAborted(stopped)) continue;
      try {
        await this.handOffHints(state);
        const config = compiledConfig(state.config);
        await replicaStore.dropExpired(
          turnRetentionLimitMs(config),
          requiredTurnRetentionMs(config),
        );
        await replicaStore.dropReassignedSlots((slot) => this.reassignedAt(slot));
      } catch (error) {
        log.warn(`Maintenance stopped: ${toRpcError(error).message}.`);
      }
    }
  }

  /** The ownership epoch at which the latest state assigns a slot to other stores; -1 if it does not. */
  private reassignedAt(slotNumber: number): number {
    const slot = this.options.latestState()?.slots[slotNumber];
    return slot && slot.replicas.length > 0 && !replicasToWrite(slot).includes(this.options.storeId)
      ? slot.ownershipEpoch
      : notReassigned;
  }

  /**
   * Hands hints off to their target stores. Hints for a replica that is not a member of the cluster at present are
   * kept; hints for a store that is no longer a replica of their slot are dropped.
   */
  private async handOffHints(state: State): Promise<void> {
    const { replicaStore, log } = this.options;
    for (const storeId of replicaStore.hintTargets()) {
      const member = state.nodes.get(storeId);
      const isReplica = state.slots.some((slot) => replicasToWrite(slot).includes(storeId));
      if (!member && isReplica) continue;
      const count = await this.settleHints(state, storeId, member);
      if (count > 0) log.info(`Handed off ${count} hints to ${member?.addr ?? storeId}.`);
    }
  }

  /**
   * Hands off or drops the hints for one store, several at a time, so that a store that returns has them within the time
   * for which it counts as lost. Stops at the first failure; resolves with the number of hints that are settled.
   */
  private async settleHints(
    state: State,
    storeId: string,
    member: Member | undefined,
  ): Promise<number> {
    const { replicaStore } = this.options;
    const limit = pLimit(maxConcurrentHandoffs);
    let hasFailed = false;
    let count = 0;
    const settle = async (hint: Hint): Promise<void> => {
      if (hasFailed) return;
      const slot = state.slots.at(hint.slot);
      const isNeeded = slot !== undefined && replicasToWrite(slot).includes(storeId);
      if (isNeeded && member && !(await this.handOff(hint, member))) {
        hasFailed = true;
        return;
      }
      await replicaStore.removeHint(hint.n);
      count++;
    };
    await Promise.all(replicaStore.hintsFor(storeId).map((hint) => limit(() => settle(hint))));
    return count;
  }

  /** Sends one hint to its target store; false if that failed. */
  private async handOff(hint: Hint, member: Member): Promise<boolean> {
    const { transport, bounds, log } = this.options;
    const body = { store: member.id, slot: hint.slot, items: hint.items };
    try {
      await transport.call(member.addr, 'store/hand', body, { timeoutMs: bounds.failureTimeout });
      return true;
    } catch (error) {
      log.debug(
        `Handing off to ${member.addr} failed for a hint of slot ${hint.slot}: ${toRpcError(error).message}.`,
      );
      return false;
    }
  }
}

/** Reads `aborted` again after an await; the compiler would otherwise assume that it is still false. */
const isAborted = (signal: AbortSignal): boolean => signal.aborted;
