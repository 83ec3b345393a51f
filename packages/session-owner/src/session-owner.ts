/**
 * The session owner of a front: runs the requests of the slots that the cluster state gives it.
 *
 * Owns the newest committed state, the read lease, and who watches which front; its parts own the slots, the queues and
 * the running requests. It serves only while the lease is valid, so that a front that is cut off stops before another
 * one takes its slots over (`docs/design.md`, "Freshness and the read lease").
 */
import {
  slotForKey,
  type Route,
  type RouteKind,
  type Server,
  type State,
} from '@tillerstair/state';
import {
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

/** Time limits of a session owner, in ms. */
export interface SessionOwnerBounds {
  readonly heartbeatInterval: number;
  /** How long a replica may take for a write. */
  readonly putTimeoutMs: number;
  /** How long after its last renewal the read lease is valid. */
  readonly readLease: number;
  /** The interval at which servers are asked for their load; 0 where they report it themselves. */
  readonly pollIntervalMs: number;
  /** How long values stay in memory after their last use. */
  readonly retentionMs: number;
  /** How long a front that is told to stop may take. */
  readonly stopWithin: number;
}

/** What a session owner is made from. */
export interface SessionOwnerOptions {
  /** The front's id in the cluster state. */
  readonly id: string;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly backend: Backend;
  readonly bounds: SessionOwnerBounds;
  readonly log: Logger;
  /** Whether servers are chosen by what their prefix cache has. */
  readonly affinity: boolean;
}

interface Watch {
  readonly front: string;
  readonly lost: AbortController;
}

/** Whether requests can be served, and why not. */
export interface Readiness {
  readonly ready: boolean;
  readonly why: string;
}

/** How much an owner has to do and to remember. */
export interface OwnerSizes {
  readonly slots: number;
  readonly items: number;
  readonly waiting: number;
}

/** Requests at one server at once, before there is a configuration. */
const defaultPerServer = 16;
/** What a server said of itself counts for this share of the read lease. */
const sightShare = 4 / 5;

const isConfigured = (state: CompiledState): state is ConfiguredState => state.config !== undefined;

/** Runs the requests of the slots that the cluster state gives to this front. */
export class SessionOwner implements OwnerServices {
  readonly clock: Clock;
  readonly backend: Backend;
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
        pollValidForMs: bounds.readLease * sightShare,
        reportedLoadValidForMs: bounds.heartbeatInterval / 2,
      },
      compiledState,
      maxInFlightPerServer: () => this.compiledState?.config?.bounds.perServer ?? defaultPerServer,
      frontId: id,
    });
    const leaseValid = (): boolean => this.leaseValid;
    this.dispatch = new ServerDispatch({
      clock,
      placement: this.placement,
      compiledState,
      leaseValid,
    });
    this.slots = new OwnedSlots(id, (n, ownedSinceEpoch) => {
      // Read anew for each replicator: the bounds follow the settings file.
      const { putTimeoutMs, heartbeatInterval, retentionMs } = bounds;
      return new SlotReplicator(n, ownedSinceEpoch, {
        clock,
        transport,
        log,
        compiledState,
        putTimeoutMs,
        heartbeatIntervalMs: heartbeatInterval,
        retentionMs,
      });
    });
    this.streams = new Streams(this);
    this.turns = new Turns(this);
    this.calls = new Calls(this);
  }

  /** Begins to look after servers, queues and old values; ends with `stop`. */
  start(): void {
    void this.maintain();
  }

  /** Ends what `start` began. */
  stop(): void {
    this.stopping.abort();
  }

  get current(): CompiledState | undefined {
    return this.compiledState;
  }

  get leaseValid(): boolean {
    return !this.leaseGivenUp && this.clock.now() - this.leaseRenewedAt < this.bounds.readLease;
  }

  /** Whether any slot is owned. */
  get ownsSlots(): boolean {
    return this.slots.count > 0;
  }

  /** How many requests wait for a server. */
  get waiting(): number {
    return this.dispatch.waiting;
  }

  /** Follows a newer committed state. */
  applyState(state: State): void {
    this.compiledState = compileState(state, this.compiledState);
    void this.placement.poll(true).then(() => this.dispatch.admitWaiting());
    for (const watch of [...this.watches]) if (!state.nodes.has(watch.front)) watch.lost.abort();
    this.slots.apply(state.slots);
    this.dispatch.admitWaiting();
  }

  /** Renews the read lease as of a time on this clock, in ms; an older one changes nothing. */
  renewLease(at: number): void {
    this.leaseRenewedAt = Math.max(this.leaseRenewedAt, at);
  }

  /** Gives the read lease up for good: nothing begins to be served any more, whatever is renewed later. */
  releaseLease(): void {
    this.leaseGivenUp = true;
  }

  /** Whether the lease was given up. */
  get leaseReleased(): boolean {
    return this.leaseGivenUp;
  }

  /** Replaces the servers that get nothing until they are listed anew. */
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

  /** The id of the front that owns a slot; empty where there is none. */
  ownerOf(slot: number): string {
    return this.compiledState?.state.slots[slot]?.owner ?? '';
  }

  /** Takes no further requests into its slots; those in progress go on. */
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

  /** Slots, with their ownership epochs, that can go to their transfer target. */
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

  /** How much there is to do and to remember. */
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
