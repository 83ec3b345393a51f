import { laneFor, rootOf, slotOf, type Lane, type LaneKind, type Server, type State } from '@tillerstair/state';
import { Mishap, pause, type Circuits, type Clock, type Log, lasting } from '@tillerstair/wire';
import type { Backend } from './backend.js';
import { Calls } from './calls.js';
import { Gate } from './gate.js';
import { SlotKeeper } from './keeper.js';
import { Placement } from './placement.js';
import { chainOf } from './policies.js';
import { tableOf, type Table } from './table.js';
import { Turns } from './turns.js';

export interface StewardBounds {
  readonly beat: number;
  readonly putWithin: number;
  readonly grace: number;
  readonly poll: number;
  readonly keepMs: number;
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
  readonly gate: Gate<Server>;
  readonly turns: Turns;
  readonly calls: Calls;

  constructor(readonly p: StewardParts) {
    const table = () => this.table;
    this.placement = new Placement(
      p.clock,
      p.backend,
      chainOf(p.affinity),
      { poll: p.bounds.poll, pollWithin: p.bounds.poll, retryBad: p.bounds.beat, sightWithin: (p.bounds.grace * 4) / 5 },
      table,
      () => this.table?.config?.bounds.perServer ?? 16,
    );
    this.gate = new Gate<Server>(p.clock, () => this.table?.config?.bounds.line ?? 256);
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
      this.gate.pump();
      this.gate.review();
      for (const k of this.keepers.values()) k.expire();
      await pause(this.p.clock, this.p.bounds.poll, this.gone.signal);
    }
  }

  get current(): Table | undefined {
    return this.table;
  }

  take(state: State): void {
    this.table = tableOf(state, this.table);
    void this.placement.poll(true);
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
    this.gate.pump();
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

  async place(kind: LaneKind, path: string, prefixes: readonly string[], sticky: string, skip: ReadonlySet<string>, within: number, gone: AbortSignal): Promise<Server> {
    const usable = (): Lane => {
      const lane = this.laneOf(kind, path);
      if (!this.placement.usable(lane, skip)) throw new Mishap('no-server', `no server of lane ${lane.name} is usable`);
      return lane;
    };
    return this.gate.enter(usable().urgent, within, gone, () => {
      if (!this.fresh) return undefined;
      const server = this.placement.pick(usable(), prefixes, sticky, skip);
      if (server) this.placement.begin(server, prefixes);
      return server;
    });
  }

  mayRun(server: Server, kind: LaneKind, path: string): boolean {
    const lane = this.findLane(kind, path);
    return this.fresh && lane !== undefined && this.placement.allowed(server, lane);
  }

  finished(server: Server, ok: boolean, pace?: number): void {
    this.placement.end(server, ok, pace);
    this.gate.pump();
  }

  sizes(): { slots: number; items: number; waiting: number } {
    let items = 0;
    for (const k of this.keepers.values()) items += k.size;
    return { slots: this.keepers.size, items, waiting: this.gate.waiting };
  }
}
