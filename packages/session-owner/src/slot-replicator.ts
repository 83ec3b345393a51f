import {
  replicasAfterJoin,
  recordGroup,
  Item,
  replicasToWrite,
  isNewerItem,
  fetchPages,
  splitIntoPages,
  ReadResponse,
  rootProgramId,
  isSameItem,
  turnRetentionLimitMs,
  type Slot,
} from '@tillerstair/state';
import {
  type Clock,
  delay,
  type Logger,
  OwnershipError,
  ReplicaError,
  toRpcError,
  toTimerMs,
  type Transport,
  UnavailableError,
} from '@tillerstair/wire';
import { askQuorum } from './quorum-ask.js';
import type { CompiledState } from './compiled-state.js';
import { TurnCost } from './stored-values.js';

/** A further replica is asked once this share of the time for a write has passed without a quorum. */
const hedgeShare = 1 / 3;

export interface ReplicatorParts {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly log: Logger;
  readonly table: () => CompiledState | undefined;
  readonly putWithin: number;
  readonly heartbeatInterval: number;
  readonly retentionMs: number;
}

export class SlotReplicator {
  private slot: Slot | undefined;
  private seq = 0;
  private openEpoch = -1;
  private inside = 0;
  private released = false;
  private held = new Map<string, Item>();
  private spentBy = new Map<string, number>();
  private turnsBy = new Map<string, string[]>();
  private touched = new Map<string, number>();

  constructor(
    readonly n: number,
    readonly ownedSinceEpoch: number,
    private readonly p: ReplicatorParts,
  ) {}

  /** Replicas that must hold a write, or reply to a read; out of reach while no state is known. */
  private get quorum(): number {
    return this.p.table()?.state.replication.quorum ?? Infinity;
  }

  get open(): boolean {
    return this.slot !== undefined && this.openEpoch === this.slot.ownershipEpoch;
  }

  get taking(): boolean {
    return this.open && !this.released;
  }

  enter(): () => void {
    this.inside++;
    return () => {
      this.inside--;
    };
  }

  tryRelease(): readonly [number, number] | undefined {
    if (!this.slot || this.slot.transferTarget === '' || !this.open) return undefined;
    if (this.inside === 0) this.released = true;
    return this.released ? [this.n, this.slot.ownershipEpoch] : undefined;
  }

  get(key: string): unknown {
    return this.held.get(key)?.value;
  }

  spent(root: string): number {
    return this.spentBy.get(root) ?? 0;
  }

  turnsOf(pid: string): readonly string[] {
    return this.turnsBy.get(pid) ?? [];
  }

  take(slot: Slot): void {
    const old = this.slot;
    this.slot = slot;
    if (old?.ownershipEpoch !== slot.ownershipEpoch || slot.transferTarget === '')
      this.released = false;
    if (old?.ownershipEpoch === slot.ownershipEpoch) return;
    this.seq = 0;
    void this.takeOver(slot.ownershipEpoch);
  }

  release(): void {
    this.slot = undefined;
    this.openEpoch = -1;
    this.forget();
  }

  private forget(): void {
    this.held = new Map();
    this.spentBy = new Map();
    this.turnsBy = new Map();
    this.touched = new Map();
  }

  private async takeOver(ownershipEpoch: number): Promise<void> {
    const { clock, log, heartbeatInterval } = this.p;
    while (this.slot?.ownershipEpoch === ownershipEpoch) {
      try {
        if (await this.fenceOnce(ownershipEpoch)) return;
      } catch (e) {
        log.debug(`Slot ${this.n} is not open yet: ${toRpcError(e).message}.`);
      }
      await delay(clock, heartbeatInterval / 10);
    }
  }

  private async fenceOnce(ownershipEpoch: number): Promise<boolean> {
    const slot = this.slot;
    if (!slot) return true;
    const seen = await askQuorum({
      clock: this.p.clock,
      ids: this.preferred(slot.replicas),
      quorum: this.quorum,
      hedgeAfterMs: toTimerMs(this.p.putWithin * hedgeShare),
      ask: (id) => this.fenced(id, ownershipEpoch),
    });
    if (seen.size < this.quorum)
      throw new UnavailableError(
        'unavailable',
        `${seen.size} of ${slot.replicas.length} replicas fenced`,
      );
    const views = [...seen.values()];
    const merged = new Map<string, Item>(this.openEpoch >= 0 ? this.held : []);
    for (const view of views)
      for (const item of view.values()) {
        const old = merged.get(item.key);
        if (!old || isNewerItem(item, old)) merged.set(item.key, item);
      }
    const uneven = [...merged.values()].filter((item) => {
      const same = views.filter((v) => {
        const theirs = v.get(item.key);
        return theirs && isSameItem(theirs, item);
      });
      return same.length < this.quorum;
    });
    if (this.slot?.ownershipEpoch !== ownershipEpoch) return true;
    const again = uneven.map((item) => ({
      key: item.key,
      ownershipEpoch,
      seq: ++this.seq,
      value: item.value,
    }));
    for (const page of splitIntoPages(again)) await this.spread(ownershipEpoch, page);
    if (this.slot?.ownershipEpoch !== ownershipEpoch) return true;
    for (const item of again) merged.set(item.key, item);
    this.forget();
    for (const item of merged.values()) this.hold(item);
    this.openEpoch = ownershipEpoch;
    this.p.log.debug(
      `Slot ${this.n} is open at ownership epoch ${ownershipEpoch} with ${merged.size} items.`,
    );
    this.fenceOthers(slot, ownershipEpoch, seen);
    return true;
  }

  /** Live replicas first; each slot begins with another one, so that slots opened together spread their reads. */
  private preferred(ids: readonly string[]): readonly string[] {
    const nodes = this.p.table()?.state.nodes;
    const start = ids.length === 0 ? 0 : this.n % ids.length;
    const rotated = [...ids.slice(start), ...ids.slice(0, start)];
    return [...rotated.filter((id) => nodes?.has(id)), ...rotated.filter((id) => !nodes?.has(id))];
  }

  /** Replicas that were not needed to open the slot are fenced too: a joining replica may read from any. */
  private fenceOthers(
    slot: Slot,
    ownershipEpoch: number,
    asked: ReadonlyMap<string, unknown>,
  ): void {
    for (const id of slot.replicas)
      if (!asked.has(id))
        this.ask(id, 'store/fence', { slot: this.n, ownershipEpoch, after: '' }).catch(
          () => undefined,
        );
  }

  private async fenced(id: string, ownershipEpoch: number): Promise<Map<string, Item>> {
    const items = new Map<string, Item>();
    for await (const page of fetchPages((after) =>
      this.ask(id, 'store/fence', { slot: this.n, ownershipEpoch, after }),
    ))
      for (const item of page) items.set(item.key, item);
    return items;
  }

  private hold(item: Item): void {
    const [kind, pid = '', t] = item.key.split('/');
    if (kind === 'p' && t === 't') {
      const cost = (v: unknown): number => {
        const turn = TurnCost.safeParse(v);
        return turn.success ? turn.data.cost : 0;
      };
      const root = rootProgramId(pid);
      const before = this.held.get(item.key);
      if (!before) this.turnsBy.set(pid, [...(this.turnsBy.get(pid) ?? []), item.key]);
      this.spentBy.set(
        root,
        this.spent(root) - (before ? cost(before.value) : 0) + cost(item.value),
      );
    }
    this.held.set(item.key, item);
    this.touched.set(recordGroup(item.key), this.p.clock.now());
  }

  private ask(id: string, kind: string, body: unknown): Promise<unknown> {
    const member = this.p.table()?.state.nodes.get(id);
    if (!member) return Promise.reject(new ReplicaError('away', `copy ${id} is away`));
    return this.p.transport.call(member.addr, kind, body, { timeoutMs: this.p.putWithin });
  }

  private spread(ownershipEpoch: number, items: readonly Item[]): Promise<void> {
    const slot = this.slot;
    if (slot?.ownershipEpoch !== ownershipEpoch)
      return Promise.reject(new OwnershipError('not-owner', 'the slot has moved on'));
    const targets = replicasToWrite(slot);
    const groups = [slot.replicas, replicasAfterJoin(slot)];
    const missed: string[] = [];
    const good: string[] = [];
    const acks = (): number =>
      Math.min(...groups.map((g) => g.filter((id) => good.includes(id)).length));
    let left = targets.length;
    return new Promise((done, fail) => {
      const settle = () => {
        if (acks() >= this.quorum) done();
        if (left > 0) return;
        if (acks() < this.quorum)
          fail(
            new UnavailableError(
              'unavailable',
              `${good.length} of ${targets.length} replicas synced`,
            ),
          );
        if (good.length > 0) for (const id of missed) void this.hint(good, id, items);
      };
      for (const id of targets)
        this.ask(id, 'store/put', { slot: this.n, ownershipEpoch, items })
          .then(
            () => {
              good.push(id);
            },
            (e: unknown) => {
              if (toRpcError(e).code !== 'stale-epoch') missed.push(id);
              else if (this.slot?.ownershipEpoch === ownershipEpoch) this.openEpoch = -1;
            },
          )
          .finally(() => {
            left--;
            settle();
          });
    });
  }

  private async hint(good: readonly string[], to: string, items: readonly Item[]): Promise<void> {
    for (const id of good) {
      try {
        await this.ask(id, 'store/hint', { to, slot: this.n, items });
        return;
      } catch (e) {
        this.p.log.debug(`Hint for ${to} was not kept by ${id}: ${toRpcError(e).message}.`);
      }
    }
  }

  async put(key: string, value: unknown): Promise<void> {
    const slot = this.slot;
    if (!slot || !this.open)
      throw new UnavailableError('unavailable', `slot ${this.n} is being taken over`);
    const item: Item = { key, ownershipEpoch: slot.ownershipEpoch, seq: ++this.seq, value };
    await this.spread(slot.ownershipEpoch, [item]);
    if (this.openEpoch === item.ownershipEpoch) this.hold(item);
  }

  async putSoon(key: string, value: unknown, tries: number): Promise<void> {
    for (let n = 1; ; n++) {
      try {
        return await this.put(key, value);
      } catch (e) {
        if (n >= tries || !this.slot) throw e;
        await delay(this.p.clock, this.p.heartbeatInterval / 10);
      }
    }
  }

  async confirmMissing(key: string): Promise<boolean> {
    const slot = this.slot;
    if (!slot || !this.open)
      throw new UnavailableError('unavailable', `slot ${this.n} is being taken over`);
    const reads = await Promise.allSettled(
      slot.replicas.map(async (id) =>
        ReadResponse.parse(
          await this.ask(id, 'store/read', {
            slot: this.n,
            ownershipEpoch: slot.ownershipEpoch,
            key,
          }),
        ),
      ),
    );
    const good = reads.flatMap((r) => (r.status === 'fulfilled' ? [r.value.item] : []));
    if (good.length < this.quorum)
      throw new UnavailableError('unavailable', 'too few replicas confirm');
    if (this.slot?.ownershipEpoch !== slot.ownershipEpoch)
      throw new UnavailableError('unavailable', 'the slot has moved on');
    return good.every((item) => item === null);
  }

  expire(): number {
    const now = this.p.clock.now();
    const retentionMs = Math.max(
      this.p.retentionMs * 0.9,
      turnRetentionLimitMs(this.p.table()?.config),
    );
    const old = new Set(
      [...this.touched].filter(([, at]) => now - at > retentionMs).map(([g]) => g),
    );
    if (old.size === 0) return 0;
    const kept = [...this.held.values()].filter((i) => !old.has(recordGroup(i.key)));
    const touched = [...this.touched].filter(([g]) => !old.has(g));
    this.forget();
    for (const item of kept) this.hold(item);
    this.touched = new Map(touched);
    return old.size;
  }

  get size(): number {
    return this.held.size;
  }
}
