import { FoundTurns, laneFor, newerItem, rootOf, slotOf, type Lane, type LaneKind, type Server, type State } from '@tillerstair/state';
import { Mishap, pause, type Circuits, type Clock, type Log, lasting } from '@tillerstair/wire';
import type { Backend } from './backend.js';
import { Calls } from './calls.js';
import { Gate } from './gate.js';
import { SlotKeeper } from './keeper.js';
import { Placement, type Part } from './placement.js';
import { chainOf } from './policies.js';
import { Streams } from './streams.js';
import { tableOf, type Table } from './table.js';
import { Turns } from './turns.js';
import { PassTurn } from './verdict.js';

export interface StewardBounds {
  readonly beat: number;
  readonly putWithin: number;
  readonly grace: number;
  readonly poll: number;
  readonly keepMs: number;
  /** How long a front that is told to stop may take, in ms. */
  readonly stopWithin: number;
}

export interface StewardParts {
  readonly id: string;
  readonly clock: Clock;
  readonly circuits: Circuits;
  readonly backend: Backend;
  readonly bounds: StewardBounds;
  readonly log: Log;
  readonly affinity: boolean;
}

interface Watch {
  readonly front: string;
  readonly lost: AbortController;
}

export class Steward {
  private table: Table | undefined;
  private freshAt = -Infinity;
  private readonly keepers = new Map<number, SlotKeeper>();
  private readonly watches = new Set<Watch>();
  private readonly gone = lasting();
  readonly placement: Placement;
  private readonly gates = new Map<string, Gate<Server>>();
  readonly streams: Streams;
  readonly turns: Turns;
  readonly calls: Calls;

  constructor(readonly p: StewardParts) {
    const table = () => this.table;
    this.placement = new Placement(
      p.clock,
      p.backend,
      chainOf(p.affinity),
      { poll: p.bounds.poll, pollWithin: p.bounds.poll, retryBad: p.bounds.beat, sightWithin: (p.bounds.grace * 4) / 5, toldFor: p.bounds.beat / 2 },
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
      for (const gate of this.gates.values()) {
        gate.pump();
        gate.review();
      }
      for (const k of this.keepers.values()) k.expire();
      await pause(this.p.clock, this.p.bounds.poll > 0 ? this.p.bounds.poll : this.p.bounds.beat / 4, this.gone.signal);
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
      const old = this.keepers.get(n);
      if (slot.steward === this.p.id) {
        const same = old?.since === slot.since ? old : undefined;
        if (old && !same) old.release();
        (same ?? this.makeKeeper(n, slot.since)).take(slot);
      } else if (old) {
        old.release();
        this.keepers.delete(n);
      }
    });
    this.pump();
  }

  private pump(): void {
    for (const gate of this.gates.values()) gate.pump();
  }

  private gateOf(lane: Lane): Gate<Server> {
    const name = lane.shares.map((x) => x.pool).sort().join(' ');
    const gate = this.gates.get(name) ?? new Gate<Server>(this.p.clock, () => this.table?.config?.bounds.line ?? 256);
    this.gates.set(name, gate);
    return gate;
  }

  get waiting(): number {
    return [...this.gates.values()].reduce((n, g) => n + g.waiting, 0);
  }

  private makeKeeper(n: number, since: number): SlotKeeper {
    const { clock, circuits, log, bounds } = this.p;
    const keeper = new SlotKeeper(n, since, {
      clock, circuits, log, table: () => this.table, putWithin: bounds.putWithin, beat: bounds.beat, keepMs: bounds.keepMs,
    });
    this.keepers.set(n, keeper);
    return keeper;
  }

  freshen(at: number): void {
    this.freshAt = Math.max(this.freshAt, at);
  }

  bar(ids: ReadonlySet<string>): void {
    this.placement.barred = ids;
  }

  get fresh(): boolean {
    return this.p.clock.now() - this.freshAt < this.p.bounds.grace;
  }

  readiness(): { ready: boolean; why: string } {
    if (!this.table) return { ready: false, why: 'no committed state yet' };
    if (!this.table.config) return { ready: false, why: 'no configuration yet' };
    if (!this.fresh) return { ready: false, why: 'the control link is down and its grace ran out' };
    if (!this.table.state.nodes.has(this.p.id)) return { ready: false, why: 'not listed in the cluster state' };
    if (this.table.state.retiring.has(this.p.id)) return { ready: false, why: 'being drained' };
    return { ready: true, why: 'serving' };
  }

  requireFresh(): Table {
    const r = this.readiness();
    if (!this.table || (!r.ready && this.table.config === undefined)) throw new Mishap('not-ready', r.why);
    if (!this.fresh) throw new Mishap('not-ready', r.why);
    return this.table;
  }

  slotFor(key: string): number {
    const state = this.table?.state;
    if (!state) throw new Mishap('not-ready', 'no committed state yet');
    return slotOf(key, state.slots.length);
  }

  stewardOf(slot: number): string {
    return this.table?.state.slots[slot]?.steward ?? '';
  }

  keeper(key: string): SlotKeeper {
    const n = this.slotFor(key);
    const keeper = this.keepers.get(n);
    if (!keeper) throw new Mishap('not-steward', `slot ${n} has another steward`);
    if (!keeper.taking) throw new Mishap('taking-over', `slot ${n} is being taken over`);
    return keeper;
  }

  watch(front: string): { lost: AbortSignal; end: () => void } {
    const w: Watch = { front, lost: new AbortController() };
    this.watches.add(w);
    return { lost: w.lost.signal, end: () => this.watches.delete(w) };
  }

  /**
   * Asks every store that keeps a copy for a finished turn named by its try alone, and what it goes on from.
   * Empty only when so many replicas of every slot say that there is none that any write quorum holds one of them.
   */
  async findTurn(attempt: string): Promise<readonly (readonly [string, PassTurn])[]> {
    const state = this.table?.state;
    if (!state) throw new Mishap('not-ready', 'no committed state yet');
    const slotsOn = new Map<string, number[]>();
    state.slots.forEach((slot, n) => slot.copies.forEach((id) => slotsOn.set(id, [...(slotsOn.get(id) ?? []), n])));
    const replied = new Set<string>();
    const asked = await Promise.allSettled(
      [...slotsOn].map(async ([id, slots]) => {
        const mate = state.nodes.get(id);
        if (!mate) throw new Mishap('away', `copy ${id} is away`);
        const found = FoundTurns.parse(await this.p.circuits.call(mate.addr, 'store/find', { turn: attempt, slots }, { within: this.p.bounds.putWithin }));
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
    const covered = (copies: readonly string[]): boolean => copies.filter((id) => replied.has(id)).length > copies.length - quorum;
    if (slotsOn.size === 0 || !state.slots.every((slot) => slot.copies.length === 0 || covered(slot.copies))) throw new Mishap('unavailable', 'too few stores can tell');
    const newest = turns.filter((t) => t.name === attempt).reduce<(typeof turns)[number] | undefined>((a, b) => (a && !newerItem(b.item, a.item) ? a : b), undefined);
    if (newest?.turn.status === 'reserved') throw new Mishap('not-finished', 'this turn has not finished');
    return [];
  }

  get holdsSlots(): boolean {
    return this.keepers.size > 0;
  }

  releases(): readonly (readonly [number, number])[] {
    return [...this.keepers.values()].flatMap((k) => {
      const r = k.tryRelease();
      return r ? [r] : [];
    });
  }

  programSlotKey(pid: string): string {
    return `p/${rootOf(pid)}`;
  }

  findLane(kind: LaneKind, path: string): Lane | undefined {
    return this.table && laneFor(this.table.lanes, kind, path);
  }

  laneOf(kind: LaneKind, path: string): Lane {
    const lane = this.findLane(kind, path);
    if (!lane) throw new Mishap('no-lane', `no lane takes ${kind}s at ${path}`);
    return lane;
  }

  async place(kind: LaneKind, path: string, parts: readonly Part[], sticky: string, skip: ReadonlySet<string>, within: number, gone: AbortSignal): Promise<Server> {
    const usable = (): Lane => {
      const lane = this.laneOf(kind, path);
      if (!this.placement.usable(lane, skip)) throw new Mishap('no-server', `no server of lane ${lane.name} is usable`);
      return lane;
    };
    const lane = usable();
    return this.gateOf(lane).enter(lane.urgent, within, gone, () => {
      if (!this.fresh) return undefined;
      const server = this.placement.pick(usable(), parts, sticky, skip);
      if (server) this.placement.begin(server, parts);
      return server;
    });
  }

  mayRun(server: Server, kind: LaneKind, path: string): boolean {
    const lane = this.findLane(kind, path);
    return this.fresh && lane !== undefined && this.placement.allowed(server, lane);
  }

  finished(server: Server, ok: boolean, pace?: number): void {
    this.placement.end(server, ok, pace);
    this.pump();
  }

  sizes(): { slots: number; items: number; waiting: number } {
    let items = 0;
    for (const k of this.keepers.values()) items += k.size;
    return { slots: this.keepers.size, items, waiting: this.waiting };
  }
}
