/**
 * What a master does about slots, servers and voters as nodes come, go and report: it assigns owners and replicas,
 * says which servers are down, and passes the votes of lost controls on.
 *
 * Its own state is in memory only and serves decisions about time: who was silent since when, who arrived when. The
 * decisions go into the cluster state, whose reducers keep the invariants (design.md, "Slots, owners, ownership epochs").
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

/** The part of a heartbeat for which further fronts are waited for, while some front serves slots and while none does. */
const frontArrivalDivisor = { whileServed: 2, whileUnserved: 5 } as const;
/** The part of the slots whose owners may change at once. */
const ownerMoveDivisor = 16;
/** The part of the slots to which a replica may be added at once. */
const replicaFillDivisor = 2;
/** How many failure timeouts an owner gets to release a slot that is to move. */
const transferTimeouts = 4;

const idsOf = (state: State, kind: Member['kind']): readonly string[] =>
  [...state.nodes.values()].filter((member) => member.kind === kind).map((member) => member.id);

/** Allocates for one control, whenever it is master. */
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

  /** Takes over the addresses of an applied state; called for every state, also on controls that are not master. */
  readonly recordAddresses = (state: State): void => {
    this.addresses.update(state);
  };

  /** Adds to a state that is about to be published what follows from it: votes passed on, slots allocated. */
  readonly settle = (state: State): State => {
    this.recordAddresses(state);
    return this.allocateSlots(this.replaceVoter(state));
  };

  /** Takes over a front's report; one that is malformed is dropped. */
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

  /** The median pace that fronts report of each server. */
  throughputs(state: State): ReadonlyMap<string, number> {
    return this.health.medianThroughputs(state);
  }

  /** Marks servers and moves overdue slots every half heartbeat, until the master steps down. */
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
    const waitMs = this.waitForFronts(state);
    if (waitMs > 0) {
      this.allocateIn(waitMs);
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

  /** How long to wait yet for further fronts, in ms; not above 0 when allocation may go on. */
  private waitForFronts(state: State): number {
    const now = this.clock.now();
    const arrivedAt = this.frontArrivals.observe(idsOf(state, 'front'), now);
    const isServed = state.slots.some((slot) => state.nodes.has(slot.owner));
    const divisor = isServed ? frontArrivalDivisor.whileServed : frontArrivalDivisor.whileUnserved;
    return arrivedAt + this.bounds.heartbeatInterval / divisor - now;
  }

  /** Slots get their first replicas once all can be placed, or a quorum of them when no further store comes. */
  private minStores(state: State): number {
    const now = this.clock.now();
    const arrivedAt = this.storeArrivals.observe(idsOf(state, 'store'), now);
    return now - arrivedAt > this.bounds.failureTimeout
      ? state.replication.quorum
      : state.replication.replicas;
  }

  /** An empty change is settled like any other, which allocates. */
  private allocateIn(ms: number): void {
    this.nextAllocation?.stop();
    this.nextAllocation = this.clock.after(ms, () => {
      if (this.master) void submitOrRetryLater(this.master, (state) => state);
    });
  }

  /**
   * Stores whose replicas are not waited for any longer: silent for too long, or absent while a store stands by that
   * holds no slot, as one does that was started in place of another.
   */
  private findUnresponsiveStores(state: State, master: MasterView): ReadonlySet<string> {
    const holders = new Set(state.slots.flatMap(replicasToWrite));
    const hasStandby = [...state.nodes.values()].some(
      ({ id, kind }) => kind === 'store' && !holders.has(id) && !state.retiring.has(id),
    );
    const isUnresponsive = (id: string): boolean =>
      hasStandby ||
      this.unresponsiveStores.has(id) ||
      master.unresponsiveFor(id) > this.bounds.replicaReplacementDelay;
    return new Set([...holders].filter((id) => !state.nodes.has(id) && isUnresponsive(id)));
  }

  private replaceVoter(state: State): State {
    const { master } = this;
    if (!master || master.lost.aborted) return state;
    const replacement = findVoterReplacement(state, master, (ids) =>
      this.addresses.lostDisks(state, ids),
    );
    if (!replacement) return state;
    const { lostId, spare } = replacement;
    this.log.info(`Control ${lostId} is lost, ${spare.addr} takes its place.`);
    return reduceState(state, { kind: 'voters', out: lostId, in: spare });
  }
}
