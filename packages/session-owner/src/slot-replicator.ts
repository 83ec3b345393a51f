/**
 * The replication of one slot at its owner. Holds the slot's ownership epoch as this front applied it, the epoch at
 * which the slot is open, the sequence number of its writes and its items in memory. Invariant: items are read and
 * written only while the open epoch equals the slot's ownership epoch (docs/design.md, "Slots, owners, ownership
 * epochs").
 */
import pLimit, { type LimitFunction } from 'p-limit';
import {
  requiredTurnRetentionMs,
  splitIntoPages,
  turnRetentionLimitMs,
  type Item,
  type Slot,
} from '@tillerstair/state';
import {
  ByteBudget,
  delay,
  OwnershipError,
  RetryLog,
  toRpcError,
  UnavailableError,
  type Clock,
  type Logger,
  type Transport,
} from '@tillerstair/wire';
import { QuorumWrite, type QuorumWriteOptions } from './quorum-write.js';
import { ReplicaClient } from './replica-client.js';
import { SlotFencing } from './slot-fencing.js';
import { SlotItems } from './slot-items.js';
import { itemsBelowQuorum, mergeItems, type FencedReplicas } from './slot-merge.js';
import type { CompiledState } from './compiled-state.js';

/** Retries of a failed fence or put per heartbeat interval. */
const retriesPerHeartbeat = 10;
/** The share of the stores' retention for which the owner keeps items, so that it drops them before the stores do. */
const memoryShareOfRetention = 0.9;
/** Share of the memory for items up to which new keys are accepted; the rest is for the outcomes of what was accepted. */
const newItemShare = 0.85;
/** Share of the memory for items above which they expire early. */
const earlyExpiryShare = 0.4;
/** Requests for items of a slot that is being opened, if the owner sets no limit over all its slots. */
const defaultConcurrentFetches = 2;
/** Timeouts of a request for which a slot may fail to open before that is a warning. */
const timeoutsUntilWarning = 2;
/** The value of `openEpoch` while the slot is closed. */
const notOpenEpoch = -1;

/** Dependencies and time limits of a `SlotReplicator`. */
export interface SlotReplicatorOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly log: Logger;
  /** The newest state that this front applied; undefined before the first. */
  readonly compiledState: () => CompiledState | undefined;
  /** Timeout of one request to a replica, in ms. */
  readonly putTimeoutMs: number;
  readonly heartbeatIntervalMs: number;
  /** How long stores retain items, in ms since the last write to their group. */
  readonly retentionMs: number;
  /** How long stores retain items once much of their memory is in use; `retentionMs` by default. */
  readonly minRetentionMs?: number | undefined;
  /** The memory for the items of all slots of this owner; no limit by default. */
  readonly memory?: ByteBudget;
  /** Limits the requests for items of all slots of this owner that are being opened. */
  readonly limitFetches?: LimitFunction;
}

/** A slot that its owner has released: its number and the ownership epoch until which it was served. */
export type ReleasedSlot = readonly [slotNumber: number, ownershipEpoch: number];

/** The owner's side of one slot for one continuous ownership, which began at `ownedSinceEpoch`. */
export class SlotReplicator {
  private slot: Slot | undefined;
  private sequence = 0;
  private openEpoch = notOpenEpoch;
  private requestsInFlight = 0;
  private isReleased = false;
  private readonly clock: Clock;
  private readonly log: Logger;
  private readonly compiledState: () => CompiledState | undefined;
  private readonly retryIntervalMs: number;
  private readonly warnAfterMs: number;
  private readonly retentionMs: number;
  private readonly requiredRetentionMs: number;
  private readonly memory: ByteBudget;
  private readonly items: SlotItems;
  private readonly client: ReplicaClient;
  private readonly fencing: SlotFencing;
  private readonly limitFetches: LimitFunction;

  constructor(
    readonly slotNumber: number,
    readonly ownedSinceEpoch: number,
    options: SlotReplicatorOptions,
  ) {
    const { clock, transport, compiledState, putTimeoutMs } = options;
    this.clock = clock;
    this.log = options.log;
    this.compiledState = compiledState;
    this.retryIntervalMs = options.heartbeatIntervalMs / retriesPerHeartbeat;
    this.warnAfterMs = putTimeoutMs * timeoutsUntilWarning;
    this.limitFetches = options.limitFetches ?? pLimit(defaultConcurrentFetches);
    this.retentionMs = options.retentionMs;
    this.requiredRetentionMs = options.minRetentionMs ?? options.retentionMs;
    this.memory = options.memory ?? new ByteBudget();
    this.items = new SlotItems(clock, this.memory);
    this.client = new ReplicaClient(slotNumber, {
      transport,
      compiledState,
      timeoutMs: putTimeoutMs,
    });
    this.fencing = new SlotFencing(slotNumber, {
      clock,
      client: this.client,
      compiledState,
      quorum: () => this.quorum,
      requestTimeoutMs: putTimeoutMs,
    });
  }

  /** Whether items may be read and written: a quorum is fenced at the slot's current ownership epoch. */
  get isOpen(): boolean {
    return this.slot !== undefined && this.openEpoch === this.slot.ownershipEpoch;
  }

  /** Whether new requests may begin: the slot is open and has not been released to its next owner. */
  get isAccepting(): boolean {
    return this.isOpen && !this.isReleased;
  }

  /** The number of items in memory. */
  get size(): number {
    return this.items.size;
  }

  /** Replicas that must sync a write or respond to a read; infinite, hence unreachable, while no state is known. */
  private get quorum(): number {
    return this.compiledState()?.state.replication.quorum ?? Infinity;
  }

  /** Counts a request as in flight, which prevents the slot's release; the returned function ends the request. */
  beginRequest(): () => void {
    this.requestsInFlight++;
    return () => {
      this.requestsInFlight--;
    };
  }

  /**
   * Releases the slot for a planned move if no request is in flight; from then on no request begins. Undefined while
   * the slot has no transfer target, is not open or has requests in flight (docs/design.md, "Planned moves").
   */
  tryRelease(): ReleasedSlot | undefined {
    if (!this.slot || this.slot.transferTarget === '' || !this.isOpen) return undefined;
    if (this.requestsInFlight === 0) this.isReleased = true;
    return this.isReleased ? [this.slotNumber, this.slot.ownershipEpoch] : undefined;
  }

  /** The value at a key in memory, or undefined. */
  get(key: string): unknown {
    return this.items.get(key);
  }

  /** Tokens that a root program and its sub-agents have spent or reserved. */
  costOf(rootProgram: string): number {
    return this.items.costOf(rootProgram);
  }

  /** Keys of a program's turns, the oldest first. */
  turnKeysOf(program: string): readonly string[] {
    return this.items.turnKeysOf(program);
  }

  /** Applies the slot of a newly committed state. A new ownership epoch closes the slot until it has been fenced. */
  apply(slot: Slot): void {
    const previous = this.slot;
    this.slot = slot;
    const isNewEpoch = previous?.ownershipEpoch !== slot.ownershipEpoch;
    if (isNewEpoch || slot.transferTarget === '') this.isReleased = false;
    if (!isNewEpoch) return;
    this.sequence = 0;
    void this.openWhenFenced(slot.ownershipEpoch);
  }

  /** Ends a lost ownership: requests still in flight can no longer read or write ("Unbroken ownership"). */
  close(): void {
    if (this.requestsInFlight > 0)
      this.log.warn(
        `Slot ${this.slotNumber} went to another owner while ${this.requestsInFlight} requests were in flight.`,
      );
    this.slot = undefined;
    this.openEpoch = notOpenEpoch;
    this.items.clear();
  }

  /**
   * Writes a value; resolves when a quorum has synced it.
   *
   * @throws UnavailableError `unavailable` if the slot is not open, or if too few replicas synced: the write may still
   * take effect then; `memory-full` for a new key if the memory for items is in use
   */
  async put(key: string, value: unknown): Promise<void> {
    const { ownershipEpoch } = this.requireOpen();
    if (this.items.get(key) === undefined && !this.memory.hasRoom(0, newItemShare))
      throw new UnavailableError('memory-full', 'the memory for turns and operations is in use');
    const item: Item = { key, ownershipEpoch, seq: ++this.sequence, value };
    await this.write(ownershipEpoch, [item]);
    // A replica fenced at a higher epoch may have closed the slot meanwhile; the next owner may have written the key.
    if (this.openEpoch === ownershipEpoch) this.items.set(item);
  }

  /**
   * Like `put`, with up to `attempts` attempts while this front owns the slot; rejects with the last attempt's error.
   */
  async putWithRetry(key: string, value: unknown, attempts: number): Promise<void> {
    for (let attempt = 1; ; attempt++) {
      try {
        await this.put(key, value);
        return;
      } catch (error) {
        if (attempt >= attempts || !this.slot) throw error;
        await delay(this.clock, this.retryIntervalMs);
      }
    }
  }

  /**
   * Asks all replicas for a key that is not in memory. True if a quorum responded and none of the responders has the
   * key: no write of it ever reached a quorum, or its retention has passed.
   *
   * @throws UnavailableError `unavailable` if the slot does not stay open, or fewer than a quorum responded
   */
  async confirmMissing(key: string): Promise<boolean> {
    const { ownershipEpoch, replicas } = this.requireOpen();
    const reads = await Promise.allSettled(
      replicas.map((replica) => this.client.read(replica, ownershipEpoch, key)),
    );
    const responses = reads.flatMap((read) => (read.status === 'fulfilled' ? [read.value] : []));
    if (responses.length < this.quorum)
      throw new UnavailableError(
        'unavailable',
        `${responses.length} of ${replicas.length} replicas of slot ${this.slotNumber} responded to a read`,
      );
    if (!this.isAtEpoch(ownershipEpoch))
      throw new UnavailableError(
        'unavailable',
        `slot ${this.slotNumber} left ownership epoch ${ownershipEpoch} during a read`,
      );
    return responses.every((item) => item === null);
  }

  /** Drops expired items from memory; returns the number of programs and operation keys that expired. */
  expire(): number {
    const config = this.compiledState()?.config;
    const ordinaryMs = Math.max(
      this.retentionMs * memoryShareOfRetention,
      turnRetentionLimitMs(config),
    );
    const requiredMs = Math.max(
      this.requiredRetentionMs * memoryShareOfRetention,
      requiredTurnRetentionMs(config),
    );
    return this.items.expire(
      this.memory.hasRoom(0, earlyExpiryShare) ? ordinaryMs : Math.min(ordinaryMs, requiredMs),
    );
  }

  private isAtEpoch(ownershipEpoch: number): boolean {
    return this.slot?.ownershipEpoch === ownershipEpoch;
  }

  private requireOpen(): Slot {
    if (!this.slot || !this.isOpen)
      throw new UnavailableError('unavailable', `slot ${this.slotNumber} is being taken over`);
    return this.slot;
  }

  private async openWhenFenced(ownershipEpoch: number): Promise<void> {
    const fetched = new Map<string, Item>();
    const retryLog = new RetryLog(this.clock, this.log, this.warnAfterMs);
    for (let slot = this.slot; slot?.ownershipEpoch === ownershipEpoch; slot = this.slot) {
      try {
        await this.openOnce(slot, fetched);
        return;
      } catch (error) {
        retryLog.failed(`Slot ${this.slotNumber} is not open yet: ${toRpcError(error).message}`);
      }
      await delay(this.clock, this.retryIntervalMs);
    }
  }

  /**
   * Makes one attempt to open the slot: fences a quorum, merges its items and rewrites those below a quorum. Adds what it
   * fetches to `fetched`. Returns without opening if the slot's ownership epoch changes meanwhile.
   */
  private async openOnce(slot: Slot, fetched: Map<string, Item>): Promise<void> {
    const { ownershipEpoch } = slot;
    const fenced = await this.fencing.fenceQuorum(slot);
    const merged = await this.merge(fenced, ownershipEpoch, fetched);
    const uncertain = itemsBelowQuorum(merged, [...fenced.values()], this.quorum);
    // `write` rejects a superseded epoch too; this check keeps `renumber` from advancing the newer epoch's sequence.
    if (!this.isAtEpoch(ownershipEpoch)) return;
    const rewritten = this.renumber(uncertain, ownershipEpoch);
    for (const page of splitIntoPages(rewritten)) await this.write(ownershipEpoch, page, true);
    if (!this.isAtEpoch(ownershipEpoch)) return;
    for (const item of rewritten) merged.set(item.key, item);
    this.items.replaceWith(merged.values());
    this.openEpoch = ownershipEpoch;
    this.log.debug(
      `Slot ${this.slotNumber} is open at ownership epoch ${ownershipEpoch} with ${merged.size} items.`,
    );
    this.fencing.fenceOthers(slot, fenced);
  }

  /** Merges in the items in memory unless the slot was closed since: another owner may have written then. */
  private merge(
    fenced: FencedReplicas,
    ownershipEpoch: number,
    fetched: Map<string, Item>,
  ): Promise<Map<string, Item>> {
    return mergeItems({
      fenced,
      known: () => (this.openEpoch === notOpenEpoch ? [] : this.items.entries()),
      fetched,
      fetchItems: (fetch) => this.client.fetchItems(fetch, ownershipEpoch),
      limitFetches: this.limitFetches,
    });
  }

  private renumber(items: readonly Item[], ownershipEpoch: number): readonly Item[] {
    return items.map(({ key, value }) => ({
      key,
      ownershipEpoch,
      seq: ++this.sequence,
      value,
    }));
  }

  private write(ownershipEpoch: number, items: readonly Item[], repair = false): Promise<void> {
    const slot = this.slot;
    if (slot?.ownershipEpoch !== ownershipEpoch)
      return Promise.reject(
        new OwnershipError(
          'not-owner',
          `slot ${this.slotNumber} is no longer at ownership epoch ${ownershipEpoch}`,
        ),
      );
    return new QuorumWrite(slot, items, this.writeOptions(ownershipEpoch, repair)).send();
  }

  private writeOptions(ownershipEpoch: number, repair: boolean): QuorumWriteOptions {
    return {
      repair,
      client: this.client,
      log: this.log,
      quorum: () => this.quorum,
      onStaleEpoch: () => {
        if (this.isAtEpoch(ownershipEpoch)) this.openEpoch = notOpenEpoch;
      },
    };
  }
}
