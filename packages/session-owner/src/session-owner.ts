import {
  FindTurnResponse,
  findRoute,
  isNewerItem,
  rootProgramId,
  slotForKey,
  type Route,
  type RouteKind,
  type Server,
  type State,
} from '@tillerstair/state';
import {
  AdmissionError,
  type Clock,
  createAbortController,
  delay,
  type Logger,
  OwnershipError,
  ReplicaError,
  type Transport,
  UnavailableError,
} from '@tillerstair/wire';
import type { Backend } from './backend.js';
import { Calls } from './calls.js';
import { AdmissionQueue } from './admission-queue.js';
import { SlotReplicator } from './slot-replicator.js';
import { Placement, type Part } from './placement.js';
import { chainOf } from './policies.js';
import { Streams } from './streams.js';
import { tableOf, type Table } from './table.js';
import { Turns } from './turns.js';
import { PassTurn } from './messages.js';

export interface SessionOwnerBounds {
  readonly heartbeatInterval: number;
  readonly putWithin: number;
  readonly readLease: number;
  readonly poll: number;
  readonly retentionMs: number;
  /** How long a front that is told to stop may take, in ms. */
  readonly stopWithin: number;
}

export interface SessionOwnerParts {
  readonly id: string;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly backend: Backend;
  readonly bounds: SessionOwnerBounds;
  readonly log: Logger;
  readonly affinity: boolean;
}

interface Watch {
  readonly front: string;
  readonly lost: AbortController;
}

export class SessionOwner {
  private table: Table | undefined;
  private closing = false;
  private leaseRenewedAt = -Infinity;
  private readonly replicators = new Map<number, SlotReplicator>();
  private readonly watches = new Set<Watch>();
  private readonly gone = createAbortController();
  readonly placement: Placement;
  private readonly admissionQueues = new Map<string, AdmissionQueue<Server>>();
  readonly streams: Streams;
  readonly turns: Turns;
  readonly calls: Calls;

  constructor(readonly p: SessionOwnerParts) {
    const table = () => this.table;
    this.placement = new Placement(
      p.clock,
      p.backend,
      chainOf(p.affinity),
      {
        poll: p.bounds.poll,
        pollWithin: p.bounds.poll,
        retryBad: p.bounds.heartbeatInterval,
        sightWithin: (p.bounds.readLease * 4) / 5,
        reportValidFor: p.bounds.heartbeatInterval / 2,
      },
      table,
      () => this.table?.config?.bounds.perServer ?? 16,
      p.id,
    );
    this.streams = new Streams(this);
    this.turns = new Turns(this);
    this.calls = new Calls(this);
  }

  start(): void {
    void this.pollServers();
  }

  stop(): void {
    this.gone.abort();
  }

  private async pollServers(): Promise<void> {
    while (!this.gone.signal.aborted) {
      await this.placement.poll();
      for (const admissionQueue of this.admissionQueues.values()) {
        admissionQueue.pump();
        admissionQueue.review();
      }
      for (const k of this.replicators.values()) k.expire();
      await delay(
        this.p.clock,
        this.p.bounds.poll > 0 ? this.p.bounds.poll : this.p.bounds.heartbeatInterval / 4,
        this.gone.signal,
      );
    }
  }

  get current(): Table | undefined {
    return this.table;
  }

  take(state: State): void {
    this.table = tableOf(state, this.table);
    void this.placement.poll(true).then(() => this.pump());
    for (const w of [...this.watches]) if (!state.nodes.has(w.front)) w.lost.abort();
    state.slots.forEach((slot, n) => {
      const old = this.replicators.get(n);
      if (slot.owner === this.p.id) {
        const same = old?.ownedSinceEpoch === slot.ownedSinceEpoch ? old : undefined;
        if (old && !same) old.release();
        (same ?? this.makeReplicator(n, slot.ownedSinceEpoch)).take(slot);
      } else if (old) {
        old.release();
        this.replicators.delete(n);
      }
    });
    this.pump();
  }

  private pump(): void {
    for (const admissionQueue of this.admissionQueues.values()) admissionQueue.pump();
  }

  private admissionQueueOf(route: Route): AdmissionQueue<Server> {
    const name = route.shares
      .map((x) => x.pool)
      .sort()
      .join(' ');
    const admissionQueue =
      this.admissionQueues.get(name) ??
      new AdmissionQueue<Server>(this.p.clock, () => this.table?.config?.bounds.queue ?? 256);
    this.admissionQueues.set(name, admissionQueue);
    return admissionQueue;
  }

  get waiting(): number {
    return [...this.admissionQueues.values()].reduce((n, g) => n + g.waiting, 0);
  }

  private makeReplicator(n: number, ownedSinceEpoch: number): SlotReplicator {
    const { clock, transport, log, bounds } = this.p;
    const replicator = new SlotReplicator(n, ownedSinceEpoch, {
      clock,
      transport,
      log,
      table: () => this.table,
      putWithin: bounds.putWithin,
      heartbeatInterval: bounds.heartbeatInterval,
      retentionMs: bounds.retentionMs,
    });
    this.replicators.set(n, replicator);
    return replicator;
  }

  renewLease(at: number): void {
    this.leaseRenewedAt = Math.max(this.leaseRenewedAt, at);
  }

  bar(ids: ReadonlySet<string>): void {
    this.placement.barred = ids;
  }

  get leaseValid(): boolean {
    return this.p.clock.now() - this.leaseRenewedAt < this.p.bounds.readLease;
  }

  readiness(): { ready: boolean; why: string } {
    if (!this.table) return { ready: false, why: 'no committed state yet' };
    if (!this.table.config) return { ready: false, why: 'no configuration yet' };
    if (!this.leaseValid)
      return { ready: false, why: 'the control link is down and its read lease ran out' };
    if (!this.table.state.nodes.has(this.p.id))
      return { ready: false, why: 'not listed in the cluster state' };
    if (this.table.state.retiring.has(this.p.id)) return { ready: false, why: 'being drained' };
    return { ready: true, why: 'serving' };
  }

  requireLease(): Table {
    const r = this.readiness();
    if (!this.table || (!r.ready && this.table.config === undefined))
      throw new UnavailableError('not-ready', r.why);
    if (!this.leaseValid) throw new UnavailableError('not-ready', r.why);
    return this.table;
  }

  slotFor(key: string): number {
    const state = this.table?.state;
    if (!state) throw new UnavailableError('not-ready', 'no committed state yet');
    return slotForKey(key, state.slots.length);
  }

  ownerOf(slot: number): string {
    return this.table?.state.slots[slot]?.owner ?? '';
  }

  /**
   * Takes no further requests into its slots; what is under way goes on. A slot that always has a request
   * under way would otherwise never be released, and its last ones would end with the process.
   */
  stopTaking(): void {
    this.closing = true;
  }

  replicator(key: string): SlotReplicator {
    const n = this.slotFor(key);
    const replicator = this.replicators.get(n);
    if (!replicator) throw new OwnershipError('not-owner', `slot ${n} has another owner`);
    if (this.closing || !replicator.taking)
      throw new OwnershipError('taking-over', `slot ${n} is being taken over`);
    return replicator;
  }

  watch(front: string): { lost: AbortSignal; end: () => void } {
    const w: Watch = { front, lost: new AbortController() };
    this.watches.add(w);
    return { lost: w.lost.signal, end: () => this.watches.delete(w) };
  }

  /**
   * Asks every store that keeps a replica for a finished turn named by its try alone, and what it goes on from.
   * Empty only when so many replicas of every slot say that there is none that any write quorum holds one of them.
   */
  async findTurn(attempt: string): Promise<readonly (readonly [string, PassTurn])[]> {
    const state = this.table?.state;
    if (!state) throw new UnavailableError('not-ready', 'no committed state yet');
    const slotsOn = new Map<string, number[]>();
    state.slots.forEach((slot, n) =>
      slot.replicas.forEach((id) => slotsOn.set(id, [...(slotsOn.get(id) ?? []), n])),
    );
    const replied = new Set<string>();
    const asked = await Promise.allSettled(
      [...slotsOn].map(async ([id, slots]) => {
        const member = state.nodes.get(id);
        if (!member) throw new ReplicaError('away', `copy ${id} is away`);
        const found = FindTurnResponse.parse(
          await this.p.transport.call(
            member.addr,
            'store/find',
            { turn: attempt, slots },
            { timeoutMs: this.p.bounds.putWithin },
          ),
        );
        replied.add(id);
        return found;
      }),
    );
    const good = asked.flatMap((r) => (r.status === 'fulfilled' ? [r.value.items] : []));
    const turns = good.flat().flatMap((item) => {
      const turn = PassTurn.safeParse(item.value);
      return turn.success ? [{ item, turn: turn.data, name: item.key.split('/')[3] ?? '' }] : [];
    });
    const finished = turns.filter((t) => t.turn.status === 'done');
    if (finished.some((t) => t.name === attempt)) return finished.map((t) => [t.name, t.turn]);
    const { quorum } = state.replication;
    const covered = (replicas: readonly string[]): boolean =>
      replicas.filter((id) => replied.has(id)).length > replicas.length - quorum;
    if (
      slotsOn.size === 0 ||
      !state.slots.every((slot) => slot.replicas.length === 0 || covered(slot.replicas))
    )
      throw new UnavailableError('unavailable', 'too few stores can tell');
    const newest = turns
      .filter((t) => t.name === attempt)
      .reduce<(typeof turns)[number] | undefined>(
        (a, b) => (a && !isNewerItem(b.item, a.item) ? a : b),
        undefined,
      );
    if (newest?.turn.status === 'reserved')
      throw new UnavailableError('not-finished', 'this turn has not finished');
    return [];
  }

  get holdsSlots(): boolean {
    return this.replicators.size > 0;
  }

  releases(): readonly (readonly [number, number])[] {
    return [...this.replicators.values()].flatMap((k) => {
      const r = k.tryRelease();
      return r ? [r] : [];
    });
  }

  programSlotKey(pid: string): string {
    return `p/${rootProgramId(pid)}`;
  }

  findRoute(kind: RouteKind, path: string): Route | undefined {
    return this.table && findRoute(this.table.routes, kind, path);
  }

  routeOf(kind: RouteKind, path: string): Route {
    const route = this.findRoute(kind, path);
    if (!route) throw new AdmissionError('no-route', `no route takes ${kind}s at ${path}`);
    return route;
  }

  async place(
    kind: RouteKind,
    path: string,
    parts: readonly Part[],
    sticky: string,
    skip: ReadonlySet<string>,
    within: number,
    gone: AbortSignal,
  ): Promise<Server> {
    const usable = (): Route => {
      const route = this.routeOf(kind, path);
      if (!this.placement.usable(route, skip))
        throw new AdmissionError('no-server', `no server of route ${route.name} is usable`);
      return route;
    };
    const route = usable();
    return this.admissionQueueOf(route).enter(route.urgent, within, gone, () => {
      if (!this.leaseValid) return undefined;
      const server = this.placement.pick(usable(), parts, sticky, skip);
      if (server) this.placement.begin(server, parts);
      return server;
    });
  }

  mayRun(server: Server, kind: RouteKind, path: string): boolean {
    const route = this.findRoute(kind, path);
    return this.leaseValid && route !== undefined && this.placement.allowed(server, route);
  }

  finished(server: Server, ok: boolean, pace?: number): void {
    this.placement.end(server, ok, pace);
    this.pump();
  }

  sizes(): { slots: number; items: number; waiting: number } {
    let items = 0;
    for (const k of this.replicators.values()) items += k.size;
    return { slots: this.replicators.size, items, waiting: this.waiting };
  }
}
