/**
 * The session owner of a front: runs the requests of the slots that the cluster state assigns to this front.
 *
 * Holds the newest committed state, the read lease and the watches on other fronts; its components hold the slots, the
 * admission queues and the requests in flight. It serves only while the lease is valid, so that a partitioned front
 * stops serving before another front takes over its slots (`docs/design.md`, "Freshness and the read lease").
 */
import pLimit from 'p-limit';
import {
  slotForKey,
  type Route,
  type RouteKind,
  type Server,
  type State,
} from '@tillerstair/state';
import {
  ByteBudget,
  createAbortController,
  delay,
  UnavailableError,
  type Clock,
  type Logger,
  type Transport,
} from '@tillerstair/wire';
import type { PlacementRequest } from './attempt-machine.js';
import type { Backend, ReportedLoad } from './backend.js';
import { Calls } from './calls.js';
import { OwnedSlots } from './owned-slots.js';
import type { FoundTurn, OwnerServices, ConfiguredState } from './owner-services.js';
import { Placement } from './placement.js';
import { placementPolicies } from './policies.js';
import { ServerDispatch } from './server-dispatch.js';
import { SlotReplicator } from './slot-replicator.js';
import { Streams } from './streams.js';
import { compileState, type CompiledState } from './compiled-state.js';
import { findFinishedTurn } from './turn-search.js';
import { Turns } from './turns.js';

/** Requests for items of slots that are being opened, over all slots of an owner. */
const maxConcurrentFetches = 8;

/** Time limits of a session owner, in ms. */
export interface SessionOwnerBounds {
  /** Interval of heartbeats; intervals of retries and maintenance derive from it. */
  readonly heartbeatInterval: number;
  /** Timeout of one request to a replica. */
  readonly putTimeoutMs: number;
  /** How long the read lease stays valid after its last renewal. */
  readonly readLease: number;
  /** Interval between polls of the servers' load; 0 disables polling, for servers that report their load themselves. */
  readonly pollIntervalMs: number;
  /** How long stores retain values after the last write to their group; see `SlotReplicatorOptions.retentionMs`. */
  readonly retentionMs: number;
  /** The same while much of their memory is in use; `retentionMs` by default. */
  readonly minRetentionMs?: number | undefined;
  /** Time limit of a front's graceful shutdown. */
  readonly stopWithin: number;
}

/** The memory of an owner for what callers make it hold. */
interface OwnerMemory {
  /** Items of all owned slots. */
  readonly items: ByteBudget;
  /** Requests under way, of clients of this front and of others. */
  readonly requests: ByteBudget;
  /** Conversations that requests under way continue. */
  readonly conversations: ByteBudget;
  /** Answers of servers to requests under way. */
  readonly answers: ByteBudget;
}

/** Identity, dependencies and time limits of a `SessionOwner`. */
export interface SessionOwnerOptions {
  /** The front's id in the cluster state. */
  readonly id: string;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly backend: Backend;
  readonly bounds: SessionOwnerBounds;
  readonly log: Logger;
  /** Whether placement prefers servers whose prefix cache holds parts of the prompt. */
  readonly affinity: boolean;
  /** The memory for what callers make this owner hold; no limits by default. */
  readonly memory?: Partial<OwnerMemory>;
}

/** One caller's interest in another front: `lost` is aborted when the front leaves the cluster state. */
interface Watch {
  readonly front: string;
  readonly lost: AbortController;
}

/** Whether requests can be served; `why` is the reason if not, and "serving" otherwise. */
export interface Readiness {
  readonly ready: boolean;
  readonly why: string;
}

/** Load of an owner: slots owned, items in memory and requests in the admission queues. */
export interface OwnerSizes {
  readonly slots: number;
  readonly items: number;
  readonly waiting: number;
}

/** Limit of requests in flight at one server while there is no configuration. */
const defaultMaxInFlightPerServer = 16;
/** A server's response to a poll stays valid for this share of the read lease. */
const pollValidityShareOfLease = 4 / 5;

const isConfigured = (state: CompiledState): state is ConfiguredState => state.config !== undefined;

/** Runs the requests of the slots that the cluster state assigns to this front. */
export class SessionOwner implements OwnerServices {
  readonly clock: Clock;
  readonly backend: Backend;
  readonly answerMemory: ByteBudget;
  /** The memory for requests under way, of clients of this front and of others. */
  readonly requestMemory: ByteBudget;
  readonly conversationMemory: ByteBudget;
  readonly placement: Placement;
  readonly streams: Streams;
  readonly turns: Turns;
  readonly calls: Calls;
  private readonly id: string;
  private readonly transport: Transport;
  private readonly bounds: SessionOwnerBounds;
  private readonly slots: OwnedSlots;
  private readonly dispatch: ServerDispatch;
  private readonly watches = new Set<Watch>();
  private readonly stopping = createAbortController();
  private compiledState: CompiledState | undefined;
  private leaseRenewedAt = -Infinity;
  private leaseGivenUp = false;

  constructor(options: SessionOwnerOptions) {
    const { id, clock, transport, backend, bounds, log } = options;
    this.id = id;
    this.clock = clock;
    this.transport = transport;
    this.backend = backend;
    this.bounds = bounds;
    const compiledState = (): CompiledState | undefined => this.compiledState;
    this.placement = new Placement({
      clock,
      backend,
      policies: placementPolicies(options.affinity),
      bounds: {
        pollIntervalMs: bounds.pollIntervalMs,
        pollTimeoutMs: bounds.pollIntervalMs,
        retryUnhealthyAfterMs: bounds.heartbeatInterval,
        pollValidForMs: bounds.readLease * pollValidityShareOfLease,
        reportedLoadValidForMs: bounds.heartbeatInterval / 2,
      },
      compiledState,
      maxInFlightPerServer: () =>
        this.compiledState?.config?.bounds.perServer ?? defaultMaxInFlightPerServer,
      frontId: id,
    });
    const leaseValid = (): boolean => this.leaseValid;
    this.dispatch = new ServerDispatch({
      clock,
      placement: this.placement,
      compiledState,
      leaseValid,
    });
    this.answerMemory = options.memory?.answers ?? new ByteBudget();
    this.requestMemory = options.memory?.requests ?? new ByteBudget();
    this.conversationMemory = options.memory?.conversations ?? new ByteBudget();
    const memory = options.memory?.items ?? new ByteBudget();
    const limitFetches = pLimit(maxConcurrentFetches);
    this.slots = new OwnedSlots(id, (slotNumber, ownedSinceEpoch) => {
      // Read again for each replicator: a reload of the settings changes the bounds.
      const { putTimeoutMs, heartbeatInterval, retentionMs, minRetentionMs } = bounds;
      return new SlotReplicator(slotNumber, ownedSinceEpoch, {
        clock,
        transport,
        log,
        compiledState,
        putTimeoutMs,
        heartbeatIntervalMs: heartbeatInterval,
        retentionMs,
        minRetentionMs,
        memory,
        limitFetches,
      });
    });
    this.streams = new Streams(this);
    this.turns = new Turns(this);
    this.calls = new Calls(this);
  }

  /** Starts the maintenance loop: polls servers, reviews the queues and drops expired values until `stop`. */
  start(): void {
    void this.maintain();
  }

  /** Ends the maintenance loop that `start` began. */
  stop(): void {
    this.stopping.abort();
  }

  get current(): CompiledState | undefined {
    return this.compiledState;
  }

  get leaseValid(): boolean {
    return !this.leaseGivenUp && this.clock.now() - this.leaseRenewedAt < this.bounds.readLease;
  }

  /** Whether this front owns any slot. */
  get ownsSlots(): boolean {
    return this.slots.count > 0;
  }

  /** Number of requests that wait for a server. */
  get waiting(): number {
    return this.dispatch.waiting;
  }

  /** Applies a newly committed state: its configuration, servers, fronts and slots. */
  applyState(state: State): void {
    this.compiledState = compileState(state, this.compiledState);
    void this.placement.poll(true).then(() => this.dispatch.admitWaiting());
    for (const watch of [...this.watches]) if (!state.nodes.has(watch.front)) watch.lost.abort();
    this.slots.apply(state.slots);
    this.dispatch.admitWaiting();
  }

  /** Renews the read lease as of `at`, in ms on this owner's clock; a time before the last renewal changes nothing. */
  renewLease(at: number): void {
    this.leaseRenewedAt = Math.max(this.leaseRenewedAt, at);
  }

  /** Gives up the read lease permanently: later renewals have no effect, and no further request is served. */
  releaseLease(): void {
    this.leaseGivenUp = true;
  }

  /** Whether `releaseLease` was called. */
  get leaseReleased(): boolean {
    return this.leaseGivenUp;
  }

  /** Replaces the set of barred servers, by id: they get no requests until they are listed again. */
  barServers(ids: ReadonlySet<string>): void {
    this.placement.setBarred(ids);
  }

  /** Whether requests can be served now. */
  readiness(): Readiness {
    const why = this.whyNotReady();
    return why === undefined ? { ready: true, why: 'serving' } : { ready: false, why };
  }

  requireLease(): ConfiguredState {
    const { compiledState } = this;
    if (!compiledState || !isConfigured(compiledState) || !this.leaseValid)
      throw new UnavailableError('not-ready', this.readiness().why);
    return compiledState;
  }

  /** The slot of a key. Throws an `UnavailableError` before the first state. */
  slotFor(key: string): number {
    return slotForKey(key, this.requireState().slots.length);
  }

  /** The id of the front that owns a slot; empty if the slot has no owner or no state is known. */
  ownerOf(slot: number): string {
    return this.compiledState?.state.slots[slot]?.owner ?? '';
  }

  /** Rejects new requests for its slots; requests in flight continue. */
  stopAccepting(): void {
    this.slots.stopAccepting();
  }

  replicator(key: string): SlotReplicator {
    return this.slots.replicator(this.slotFor(key));
  }

  /** Watches a front until `end` is called: `lost` is aborted when it leaves the cluster state. */
  watch(front: string): { readonly lost: AbortSignal; readonly end: () => void } {
    const watch: Watch = { front, lost: new AbortController() };
    this.watches.add(watch);
    return { lost: watch.lost.signal, end: () => this.watches.delete(watch) };
  }

  async findTurn(attempt: string): Promise<readonly FoundTurn[]> {
    const { transport, bounds } = this;
    const state = this.requireState();
    return findFinishedTurn({ transport, state, timeoutMs: bounds.putTimeoutMs }, attempt);
  }

  /** Releases the slots that are to move and have no request in flight; returns their numbers and ownership epochs. */
  releaseIdleSlots(): readonly (readonly [number, number])[] {
    return this.slots.releaseIdleSlots();
  }

  findRoute(kind: RouteKind, path: string): Route | undefined {
    return this.dispatch.findRoute(kind, path);
  }

  place(request: PlacementRequest): Promise<Server> {
    return this.dispatch.place(request);
  }

  mayRun(server: Server, kind: RouteKind, path: string): boolean {
    return this.dispatch.mayRun(server, kind, path);
  }

  releaseServer(server: Server, healthy: boolean, tokensPerSecond?: number): void {
    this.dispatch.release(server, healthy, tokensPerSecond);
  }

  reportLoad(server: Server, load: ReportedLoad): void {
    this.placement.recordReportedLoad(server, load);
  }

  /** The numbers of owned slots, items in memory and waiting requests. */
  sizes(): OwnerSizes {
    const { count, itemCount } = this.slots;
    return { slots: count, items: itemCount, waiting: this.waiting };
  }

  private async maintain(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await this.placement.poll();
      this.dispatch.processQueues();
      this.slots.expire();
      await delay(this.clock, this.maintenanceIntervalMs, this.stopping.signal);
    }
  }

  private get maintenanceIntervalMs(): number {
    const { pollIntervalMs, heartbeatInterval } = this.bounds;
    return pollIntervalMs > 0 ? pollIntervalMs : heartbeatInterval / 4;
  }

  private requireState(): State {
    const state = this.compiledState?.state;
    if (!state) throw new UnavailableError('not-ready', 'no committed state yet');
    return state;
  }

  private whyNotReady(): string | undefined {
    const { compiledState } = this;
    if (!compiledState) return 'no committed state yet';
    if (!compiledState.config) return 'no configuration yet';
    if (!this.leaseValid) return 'the control link is down and its read lease ran out';
    if (!compiledState.state.nodes.has(this.id)) return 'not listed in the cluster state';
    return compiledState.state.retiring.has(this.id) ? 'being drained' : undefined;
  }
}
