/**
 * What a store does by itself twice a heartbeat: it hands hints off to the stores that they are for, and drops items that
 * expired or whose slots moved to other stores.
 */
import {
  compiledConfig,
  replicasToWrite,
  turnRetentionLimitMs,
  type Member,
  type State,
} from '@tillerstair/state';
import { delay, toRpcError, type Clock, type Logger, type Transport } from '@tillerstair/wire';
import type { ZenBounds } from '@tillerstair/zen';
import type { Hint } from './replica-records.js';
import type { ReplicaStore } from './replica-store.js';

/** Rounds of maintenance in a heartbeat interval. */
const roundsPerHeartbeat = 2;

/** Given to `dropReassignedSlots` for a slot that is not to be dropped. */
const notReassigned = -1;

/** What maintenance works with. */
export interface MaintenanceOptions {
  readonly storeId: string;
  readonly replicaStore: ReplicaStore;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly bounds: Pick<ZenBounds, 'heartbeatInterval' | 'failureTimeout'>;
  readonly log: Logger;
  /** The state that the node applied last. */
  readonly appliedState: () => State | undefined;
  /** The state that it applies, or applied last. */
  readonly latestState: () => State | undefined;
}

/** Runs the rounds of maintenance of one store until it is stopped. */
export class Maintenance {
  constructor(private readonly options: MaintenanceOptions) {}

  async run(stopped: AbortSignal): Promise<void> {
    const { clock, bounds, replicaStore, log, appliedState } = this.options;
    while (!stopped.aborted) {
      await delay(clock, bounds.heartbeatInterval / roundsPerHeartbeat, stopped);
      const state = appliedState();
      if (!state || !replicaStore.writable || isAborted(stopped)) continue;
      try {
        await this.handOffHints(state);
        await replicaStore.dropExpired(turnRetentionLimitMs(compiledConfig(state.config)));
        await replicaStore.dropReassignedSlots((slot) => this.reassignedAt(slot));
      } catch (error) {
        log.warn(`Maintenance stopped: ${toRpcError(error).message}.`);
      }
    }
  }

  /** The ownership epoch at which the latest state assigns a slot to other stores, or -1 if it does not. */
  private reassignedAt(slotNumber: number): number {
    const slot = this.options.latestState()?.slots[slotNumber];
    return slot && slot.replicas.length > 0 && !replicasToWrite(slot).includes(this.options.storeId)
      ? slot.ownershipEpoch
      : notReassigned;
  }

  /** Hands hints off. Those for a store that is unavailable but still a replica are kept. */
  private async handOffHints(state: State): Promise<void> {
    const { replicaStore, log } = this.options;
    for (const storeId of replicaStore.hintTargets()) {
      const member = state.nodes.get(storeId);
      const isReplica = state.slots.some((slot) => replicasToWrite(slot).includes(storeId));
      if (!member && isReplica) continue;
      let count = 0;
      for (const hint of replicaStore.hintsFor(storeId)) {
        const slot = state.slots.at(hint.slot);
        const isNeeded = slot !== undefined && replicasToWrite(slot).includes(storeId);
        if (isNeeded && member && !(await this.handOff(hint, member))) break;
        await replicaStore.removeHint(hint.n);
        count++;
      }
      if (count > 0) log.info(`Handed off ${count} hints to ${member?.addr ?? storeId}.`);
    }
  }

  private async handOff(hint: Hint, member: Member): Promise<boolean> {
    const { transport, bounds, log } = this.options;
    const body = { slot: hint.slot, items: hint.items };
    try {
      await transport.call(member.addr, 'store/hand', body, { timeoutMs: bounds.failureTimeout });
      return true;
    } catch (error) {
      log.debug(`Handing off to ${member.addr} failed: ${toRpcError(error).message}.`);
      return false;
    }
  }
}

/** A signal that is looked at again after an await, which the compiler takes for unchanged. */
const isAborted = (signal: AbortSignal): boolean => signal.aborted;
