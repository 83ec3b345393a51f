/**
 * The replication of one slot at its owner. It owns the slot's ownership epoch as this front applied it, the epoch at
 * which the slot is open, the sequence of its writes and its items in memory. Invariant: items are read and written only
 * while the open epoch is the slot's (docs/design.md, "Slots, owners, ownership epochs").
 */
import { splitIntoPages, turnRetentionLimitMs, type Item, type Slot } from '@tillerstair/state';
import {
  delay,
  OwnershipError,
  toRpcError,
  UnavailableError,
  type Clock,
  type Logger,
  type Transport,
} from '@tillerstair/wire';
import { itemsBelowQuorum, mergeItems } from './item-merge.js';
import { QuorumWrite, type QuorumWriteOptions } from './quorum-write.js';
import { ReplicaClient } from './replica-client.js';
import { SlotFencing, type FencedReplicas } from './slot-fencing.js';
import { SlotItems } from './slot-items.js';
import type { CompiledState } from './compiled-state.js';

/** A fence or a put that failed is tried again so often in a heartbeat interval. */
const retriesPerHeartbeat = 10;
/** The owner drops items from memory before the stores drop them. */
const memoryShareOfRetention = 0.9;
const notOpenEpoch = -1;

/** What a `SlotReplicator` needs. */
export interface SlotReplicatorOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly log: Logger;
  readonly compiledState: () => CompiledState | undefined;
  /** A request to a replica is given up after so many ms. */
  readonly putTimeoutMs: number;
  readonly heartbeatIntervalMs: number;
  /** How long stores retain items, in ms since the last write to their group. */
  readonly retentionMs: number;
}

/** A slot that its owner has released: its number and the ownership epoch until which it was served. */
export type ReleasedSlot = readonly [slotNumber: number, ownershipEpoch: number];

/** The owner's side of one slot, from the ownership epoch on since which it holds the slot without a break. */
export class SlotReplicator {
  private slot: Slot | undefined;
  private sequence = 0;
  private openEpoch = notOpenEpoch;
  private runningJobs = 0;
  private isReleased = false;
  private readonly clock: Clock;
  private readonly log: Logger;
  private readonly compiledState: () => CompiledState | undefined;
  private readonly retryIntervalMs: number;
  private readonly retentionMs: number;
  private readonly items: SlotItems;
  private readonly client: ReplicaClient;
  private readonly fencing: SlotFencing;

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
    this.retentionMs = options.retentionMs;
    this.items = new SlotItems(clock);
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

  /** Whether items may be read and written: a quorum is fenced at the slot's present ownership epoch. */
  get isOpen(): boolean {
    return this.slot !== undefined && this.openEpoch === this.slot.ownershipEpoch;
  }

  /** Whether new jobs may begin: the slot is open and has not been released to its next owner. */
  get isAccepting(): boolean {
    return this.isOpen && !this.isReleased;
  }

  /** The number of items in memory. */
  get size(): number {
    return this.items.size;
  }

  /** Replicas that must sync a write, or respond to a read; out of reach while no state is known. */
  private get quorum(): number {
    return this.compiledState()?.state.replication.quorum ?? Infinity;
  }

  /** Counts a job in, which keeps the slot from being released; the returned function counts it out. */
  beginRequest(): () => void {
    this.runningJobs++;
    return () => {
      this.runningJobs--;
    };
  }

  /**
   * Releases the slot for a planned move if no job is inside; from then on no job begins. Undefined while it is not to
   * move or has jobs inside (docs/design.md, "Planned moves").
   */
  tryRelease(): ReleasedSlot | undefined {
    if (!this.slot || this.slot.transferTarget === '' || !this.isOpen) return undefined;
    if (this.runningJobs === 0) this.isReleased = true;
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

  /** The ownership is lost: jobs that still run can read and write nothing any more ("Unbroken ownership"). */
  close(): void {
    if (this.runningJobs > 0)
      this.log.warn(
        `Slot ${this.slotNumber} went to another owner while ${this.runningJobs} requests ran.`,
      );
    this.slot = undefined;
    this.openEpoch = notOpenEpoch;
    this.items.clear();
  }

  /**
   * Writes a value; resolves when a quorum has synced it.
   *
   * @throws UnavailableError `unavailable` if the slot is not open, or too few replicas synced: then it may still count
   */
  async put(key: string, value: unknown): Promise<void> {
    const { ownershipEpoch } = this.requireOpen();
    const item: Item = { key, ownershipEpoch, seq: ++this.sequence, value };
    await this.write(ownershipEpoch, [item]);
    // A replica that was fenced at a higher epoch closed the slot meanwhile: the next owner may have written the key.
    if (this.openEpoch === ownershipEpoch) this.items.set(item);
  }

  /** As `put`, in up to `attempts` attempts while the slot is this front's; rejects with the last attempt's error. */
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
   * Asks all replicas for a key that is not in memory. True if a quorum responded and none of them has it: no write of
   * it ever counted, or it was dropped by its retention.
   *
   * @throws UnavailableError `unavailable` if the slot is not open throughout, or fewer than a quorum responded
   */
  async confirmMissing(key: string): Promise<boolean> {
    const { ownershipEpoch, replicas } = this.requireOpen();
    const reads = await Promise.allSettled(
      replicas.map((replica) => this.client.read(replica, ownershipEpoch, key)),
    );
    const stored = reads.flatMap((read) => (read.status === 'fulfilled' ? [read.value] : []));
    if (stored.length < this.quorum)
      throw new UnavailableError('unavailable', 'too few replicas confirm');
    if (!this.isAt(ownershipEpoch))
      throw new UnavailableError('unavailable', 'the slot has moved on');
    return stored.every((item) => item === null);
  }

  /** Drops from memory what is past its retention; returns how many programs and operation keys that were. */
  expire(): number {
    return this.items.expire(
      Math.max(
        this.retentionMs * memoryShareOfRetention,
        turnRetentionLimitMs(this.compiledState()?.config),
      ),
    );
  }

  private isAt(ownershipEpoch: number): boolean {
    return this.slot?.ownershipEpoch === ownershipEpoch;
  }

  private requireOpen(): Slot {
    if (!this.slot || !this.isOpen)
      throw new UnavailableError('unavailable', `slot ${this.slotNumber} is being taken over`);
    return this.slot;
  }

  private async openWhenFenced(ownershipEpoch: number): Promise<void> {
    for (let slot = this.slot; slot?.ownershipEpoch === ownershipEpoch; slot = this.slot) {
      try {
        await this.openOnce(slot);
        return;
      } catch (error) {
        this.log.debug(`Slot ${this.slotNumber} is not open yet: ${toRpcError(error).message}.`);
      }
      await delay(this.clock, this.retryIntervalMs);
    }
  }

  /** Fences, merges and writes what was below a quorum again; ends without opening if the epoch passes meanwhile. */
  private async openOnce(slot: Slot): Promise<void> {
    const { ownershipEpoch } = slot;
    const fenced = await this.fencing.fenceQuorum(slot);
    const merged = this.merge(fenced);
    const uncertain = itemsBelowQuorum(merged, [...fenced.values()], this.quorum);
    // `write` refuses a passed epoch too; this spares the newer epoch's sequence, which `renumber` counts up.
    if (!this.isAt(ownershipEpoch)) return;
    const rewritten = this.renumber(uncertain, ownershipEpoch);
    for (const page of splitIntoPages(rewritten)) await this.write(ownershipEpoch, page);
    if (!this.isAt(ownershipEpoch)) return;
    for (const item of rewritten) merged.set(item.key, item);
    this.items.replaceWith(merged.values());
    this.openEpoch = ownershipEpoch;
    this.log.debug(
      `Slot ${this.slotNumber} is open at ownership epoch ${ownershipEpoch} with ${merged.size} items.`,
    );
    this.fencing.fenceOthers(slot, fenced);
  }

  /** Items in memory are merged in only if the slot was not closed since: then another owner may have written. */
  private merge(fenced: FencedReplicas): Map<string, Item> {
    const known = this.openEpoch === notOpenEpoch ? [] : this.items.entries();
    return mergeItems(known, fenced.values());
  }

  private renumber(items: readonly Item[], ownershipEpoch: number): readonly Item[] {
    return items.map(({ key, value }) => ({
      key,
      ownershipEpoch,
      seq: ++this.sequence,
      value,
    }));
  }

  private write(ownershipEpoch: number, items: readonly Item[]): Promise<void> {
    const slot = this.slot;
    if (slot?.ownershipEpoch !== ownershipEpoch)
      return Promise.reject(new OwnershipError('not-owner', 'the slot has moved on'));
    return new QuorumWrite(slot, items, this.writeOptions(ownershipEpoch)).send();
  }

  private writeOptions(ownershipEpoch: number): QuorumWriteOptions {
    return {
      client: this.client,
      log: this.log,
      quorum: () => this.quorum,
      onStaleEpoch: () => {
        if (this.isAt(ownershipEpoch)) this.openEpoch = notOpenEpoch;
      },
    };
  }
}
