import pLimit from 'p-limit';
import { beliefOf, compiledOf, FindTurn, Hand, Hint, keptOn, pagesFrom, Put, Read, Seal, turnsKeptMs, type Belief, type State } from '@tillerstair/state';
import { lasting, Mishap, mishapOf, pause, type Inquiry } from '@tillerstair/wire';
import { ZenNode, type ZenParts } from '@tillerstair/zen';
import type { Shelf } from './shelf.js';

export interface StoreParts extends Omit<ZenParts, 'slots' | 'settle' | 'onApplied' | 'report' | 'onReport' | 'onLead'> {
  readonly shelf: Shelf;
}

const pagesPerBeat = 16;

export class StoreNode {
  readonly zen: ZenNode;
  private readonly gone = lasting();
  private readonly few = pLimit(8);
  private readonly refilling = new Map<number, number>();
  private newest: State | undefined;
  private wake: () => void = () => undefined;

  constructor(private readonly p: StoreParts) {
    this.zen = new ZenNode({
      ...p,
      slots: 0,
      onApplied: async (s) => {
        this.newest = s;
        this.wake();
      },
    });
  }

  get id(): string {
    return this.p.me.id;
  }

  async start(): Promise<void> {
    await this.p.circuits.serve((inq) => this.handle(inq));
    this.zen.start();
    void this.repair();
    void this.refill();
  }

  async stop(): Promise<void> {
    this.gone.abort();
    this.wake();
    await this.zen.stop();
    await this.p.circuits.close();
  }

  /** Whether this store is still a replica of the slot, as far as it knows; data of other slots may have been dropped. */
  private keeps(slot: number): boolean {
    const known = this.newest?.slots[slot];
    return known === undefined || keptOn(known).includes(this.p.me.id);
  }

  belief(): Belief {
    const b = beliefOf(this.p.me.id, 'store', this.zen.term, this.zen.masterSeen?.id ?? '', this.zen.applied);
    const c = this.p.shelf.counts();
    return { ...b, facts: [...b.facts, ['own hints', String(c.hints)]] };
  }

  async handle(inq: Inquiry): Promise<unknown> {
    const { shelf } = this.p;
    switch (inq.kind) {
      case 'store/put': {
        const { slot, tenure, items } = Put.parse(inq.body);
        await shelf.write(slot, tenure, items);
        return {};
      }
      case 'store/seal': {
        const { slot, tenure, after } = Seal.parse(inq.body);
        return shelf.seal(slot, tenure, after);
      }
      case 'store/read': {
        const { slot, tenure, key } = Read.parse(inq.body);
        return { item: await shelf.read(slot, tenure, key) };
      }
      case 'store/pull': {
        const { slot, tenure, after } = Seal.parse(inq.body);
        return shelf.pull(slot, tenure, after);
      }
      case 'store/find': {
        const { turn, slots } = FindTurn.parse(inq.body);
        if (slots.some((n) => !this.keeps(n))) throw new Mishap('moved', 'another store keeps one of these slots now');
        await shelf.synced();
        return { items: shelf.find(turn) };
      }
      case 'store/hint': {
        const { to, slot, items } = Hint.parse(inq.body);
        await shelf.hint(to, slot, items);
        return {};
      }
      case 'store/hand': {
        const { slot, items } = Hand.parse(inq.body);
        await shelf.hand(slot, items);
        return {};
      }
      default:
        if (inq.kind.startsWith('zen/')) return this.zen.handle(inq);
        throw new Mishap('unknown-kind', `no such inquiry: ${inq.kind}`);
    }
  }

  private async repair(): Promise<void> {
    const { clock, bounds, log } = this.p;
    while (!this.gone.signal.aborted) {
      await pause(clock, bounds.beat / 2, this.gone.signal);
      const s = this.zen.applied;
      if (!s || !this.p.shelf.writable || this.gone.signal.aborted) continue;
      try {
        await this.handOver(s);
        await this.p.shelf.dropOld(turnsKeptMs(compiledOf(s.config)));
        await this.p.shelf.forgetSlots((n) => {
          const slot = this.newest?.slots[n];
          return slot && slot.copies.length > 0 && !keptOn(slot).includes(this.p.me.id) ? slot.tenure : -1;
        });
      } catch (e) {
        log.warn(`Repair stopped: ${mishapOf(e).message}.`);
      }
    }
  }

  private async handOver(s: State): Promise<void> {
    const { shelf, circuits, bounds, log } = this.p;
    for (const to of shelf.hintTargets()) {
      const mate = s.nodes.get(to);
      const holds = s.slots.some((x) => keptOn(x).includes(to));
      if (!mate && holds) continue;
      let count = 0;
      for (const h of shelf.hintsFor(to)) {
        const slot = s.slots[h.slot];
        const wanted = slot !== undefined && keptOn(slot).includes(to);
        if (wanted && mate) {
          try {
            await circuits.call(mate.addr, 'store/hand', { slot: h.slot, items: h.items }, { within: bounds.silent });
          } catch (e) {
            log.debug(`Handing over to ${mate.addr} failed: ${mishapOf(e).message}.`);
            break;
          }
        }
        await shelf.handed(h.n);
        count++;
      }
      if (count > 0) log.info(`Handed ${count} hints to ${mate?.addr ?? to}.`);
    }
  }

  private async refill(): Promise<void> {
    const { clock, bounds, me } = this.p;
    while (!this.gone.signal.aborted) {
      const early = new AbortController();
      this.wake = () => early.abort();
      this.newest?.slots.forEach((slot, n) => {
        if (!slot.filling.includes(me.id) || this.refilling.get(n) === slot.tenure) return;
        this.refilling.set(n, slot.tenure);
        void this.refillUntilFull(n, slot.tenure);
      });
      await pause(clock, bounds.beat / 2, early.signal);
    }
  }

  private async refillUntilFull(n: number, tenure: number): Promise<void> {
    const { clock, bounds, log } = this.p;
    while (!this.gone.signal.aborted) {
      const s = this.newest;
      const slot = s?.slots[n];
      if (!s || slot?.tenure !== tenure) return;
      try {
        return await this.few(() => this.refillOne(s, n, tenure, slot.copies));
      } catch (e) {
        log.debug(`Refill of slot ${n} waits: ${mishapOf(e).message}.`);
      }
      await pause(clock, bounds.beat / 16, this.gone.signal);
    }
  }

  private async refillOne(s: State, slot: number, tenure: number, sources: readonly string[]): Promise<void> {
    const { circuits, shelf, bounds, me, log } = this.p;
    const { quorum } = s.replication;
    let pulled = 0;
    for (const id of sources) {
      const mate = s.nodes.get(id);
      if (!mate || pulled === quorum) continue;
      try {
        const ask = async (after: string): Promise<unknown> => {
          if (after !== '') await pause(this.p.clock, bounds.beat / pagesPerBeat, this.gone.signal);
          return circuits.call(mate.addr, 'store/pull', { slot, tenure, after }, { within: bounds.silent });
        };
        for await (const page of pagesFrom(ask)) await shelf.hand(slot, page);
        pulled++;
      } catch (e) {
        log.debug(`Pulling slot ${slot} from ${mate.addr} failed: ${mishapOf(e).message}.`);
      }
    }
    if (pulled < quorum) throw new Mishap('unavailable', `${pulled} of ${quorum} replicas that are needed reply`);
    const master = this.zen.masterSeen;
    if (!master) throw new Mishap('unavailable', 'no master is known');
    await circuits.call(master.addr, 'control/filled', { store: me.id, slot, tenure }, { within: bounds.silent });
  }
}
