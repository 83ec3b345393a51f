/**
 * Allocation by the master as nodes join, leave and report: assigns owners and replicas to slots, marks servers as
 * down, and moves the votes of lost controls to spare ones.
 *
 * Its own state is kept in memory only and tracks time: how long a node has been unresponsive, and when it joined.
 * Decisions are committed to the cluster state, whose reducers enforce the invariants
 * (design.md, "Slots, owners, ownership epochs").
 */
import {
  allocate,
  reduceState,
  replicasToWrite,
  type Member,
  type State,
} from '@tillerstair/state';
import type { Clock, Logger, TimerHandle } from '@tillerstair/wire';
import type { MasterView, ZenBounds } from '@tillerstair/zen';
import { AddressHistory } from './address-history.js';
import { Arrivals } from './arrivals.js';
import { repeatWhileMaster, submitOrRetryLater } from './master-loop.js';
import { FrontReport } from './messages.js';
import { ServerHealth } from './server-health.js';
import { SlotTransfers, transferReleased } from './slot-transfers.js';
import { findVoterReplacement } from './voter-replacement.js';

/**
 * Divides the heartbeat interval to get the wait for further fronts, while some front serves slots and while none does.
 */
const frontArrivalDivisor = { whileServed: 2, whileUnserved: 5 } as const;
/** Divides the number of slots to get the most slots that may be marked to change owner at once. */
const ownerMoveDivisor = 16;
/** Divides the number of slots to get the most slots that may have a joining replica at once. */
const replicaFillDivisor = 2;
/** Failure timeouts within which an owner is to release a slot; after that the slot moves without a release. */
const transferTimeouts = 4;

const idsOf = (state: State, kind: Member['kind']): readonly string[] =>
  [...state.nodes.values()].filter((member) => member.kind === kind).map((member) => member.id);

/** Allocates slots, marks servers and replaces voters while this control is master. */
export class AllocationController {
  private readonly addresses = new AddressHistory();
  private readonly health = new ServerHealth();
  private readonly transfers = new SlotTransfers();
  private readonly frontArrivals = new Arrivals();
  private readonly storeArrivals = new Arrivals();
  private unresponsiveStores: ReadonlySet<string> = new Set();
  private master: MasterView | undefined;
  private nextAllocation: TimerHandle | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly bounds: ZenBounds,
    private readonly log: Logger,
  ) {}

  /** Records the node addresses of an applied state. Called for every state, also on controls that are not master. */
  readonly recordAddresses = (state: State): void => {
    this.addresses.update(state);
  };

  /** Adds the consequences of a change to a state before it is published: voter replacement and slot allocation. */
  readonly settle = (state: State): State => {
    this.recordAddresses(state);
    return this.allocateSlots(this.replaceVoter(state));
  };

  /** Processes a front's report; a malformed one is dropped. */
  readonly onReport = (front: string, report: unknown): void => {
    const parsed = FrontReport.safeParse(report);
    if (!parsed.success) return;
    const { seen, released } = parsed.data;
    const { master } = this;
    if (released.length > 0 && master) {
      const releases = released.map(([slot, ownershipEpoch]) => ({ slot, ownershipEpoch }));
      void submitOrRetryLater(master, (state) => transferReleased(state, releases));
    }
    this.health.record(front, seen, this.clock.now());
  };

  /** The median throughput that fronts report of each server, by server id. */
  throughputs(state: State): ReadonlyMap<string, number> {
    return this.health.medianThroughputs(state);
  }

  /** Marks servers and moves overdue slots every half heartbeat interval, until the master steps down. */
  async run(master: MasterView): Promise<void> {
    this.master = master;
    await repeatWhileMaster(
      this.clock,
      master,
      () => this.bounds.heartbeatInterval / 2,
      (committed) => this.review(committed, master),
    );
    this.health.clear();
  }

  private review(committed: State, master: MasterView): Promise<void> {
    const { failureTimeout } = this.bounds;
    const now = this.clock.now();
    this.unresponsiveStores = this.findUnresponsiveStores(committed, master);
    const downMarks = this.health.downMarks(committed, now, failureTimeout);
    const overdue = this.transfers.overdue(committed, now, failureTimeout * transferTimeouts);
    return submitOrRetryLater(master, (state) => {
      let marked = state;
      for (const [id, down] of downMarks)
        marked = reduceState(marked, { kind: 'server-mark', id, down });
      return transferReleased(marked, overdue);
    });
  }

  private allocateSlots(state: State): State {
    const waitMs = this.remainingFrontWaitMs(state);
    if (waitMs > 0) {
      this.scheduleAllocation(waitMs);
      return state;
    }
    const slotCount = state.slots.length;
    const replicaIds = [...new Set(state.slots.flatMap(replicasToWrite))];
    const lostDisks = this.addresses.lostDisks(state, replicaIds);
    return allocate(state, {
      minStores: this.minStores(state),
      maxMoves: Math.max(1, Math.ceil(slotCount / ownerMoveDivisor)),
      maxFills: Math.max(1, Math.floor(slotCount / replicaFillDivisor)),
      unresponsiveStores: new Set([...this.unresponsiveStores, ...lostDisks]),
    });
  }

  /** Remaining wait for further fronts, in ms; 0 or less when allocation may proceed. */
  private remainingFrontWaitMs(state: State): number {
    const now = this.clock.now();
    const arrivedAt = this.frontArrivals.observe(idsOf(state, 'front'), now);
    const isServed = state.slots.some((slot) => state.nodes.has(slot.owner));
    const divisor = isServed ? frontArrivalDivisor.whileServed : frontArrivalDivisor.whileUnserved;
    return arrivedAt + this.bounds.heartbeatInterval / divisor - now;
  }

  /**
   * Stores needed before slots get their first replicas: one for each replica, or only a quorum once no store has
   * joined for a failure timeout.
   */
  private minStores(state: State): number {
    const now = this.clock.now();
    const arrivedAt = this.storeArrivals.observe(idsOf(state, 'store'), now);
    return now - arrivedAt > this.bounds.failureTimeout
      ? state.replication.quorum
      : state.replication.replicas;
  }

  /** Submits an unchanged state after a delay in ms; settling it allocates the slots. */
  private scheduleAllocation(delayMs: number): void {
    this.nextAllocation?.stop();
    this.nextAllocation = this.clock.after(delayMs, () => {
      if (this.master) void submitOrRetryLater(this.master, (state) => state);
    });
  }

  /**
   * Absent stores whose replicas are to be replaced: those that were unresponsive for longer than the replacement
   * delay, or all of them while there is a standby store, which holds no slot, as there is when a store was started to
   * replace another.
   */
  private findUnresponsiveStores(state: State, master: MasterView): ReadonlySet<string> {
    const assignedStores = new Set(state.slots.flatMap(replicasToWrite));
    const hasStandby = [...state.nodes.values()].some(
      ({ id, kind }) => kind === 'store' && !assignedStores.has(id) && !state.retiring.has(id),
    );
    const isUnresponsive = (id: string): boolean =>
      hasStandby ||
      this.unresponsiveStores.has(id) ||
      master.unresponsiveFor(id) > this.bounds.replicaReplacementDelay;
    return new Set([...assignedStores].filter((id) => !state.nodes.has(id) && isUnresponsive(id)));
  }

  private replaceVoter(state: State): State {
    const { master } = this;
    if (!master || master.lost.aborted) return state;
    const replacement = findVoterReplacement(state, master, (ids) =>
      this.addresses.lostDisks(state, ids),
    );
    if (!replacement) return state;
    const { lostId, spare } = replacement;
    this.log.info(
      `Voting control ${lostId} is lost; its vote moves to the control at ${spare.addr}.`,
    );
    return reduceState(state, { kind: 'voters', out: lostId, in: spare });
  }
}
