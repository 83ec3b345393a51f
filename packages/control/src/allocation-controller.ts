import { z } from 'zod';
import { allocate, replicasToWrite, reduceState, type State } from '@tillerstair/state';
import { delay, type TimerHandle, type Clock, type Logger } from '@tillerstair/wire';
import type { MasterView, ZenBounds } from '@tillerstair/zen';

export const FrontReport = z.object({
  seen: z.array(
    z.object({ id: z.string(), url: z.string(), ok: z.boolean(), pace: z.number().optional() }),
  ),
  released: z.array(z.tuple([z.number(), z.number()])),
});
export type FrontReport = z.infer<typeof FrontReport>;

interface Sight {
  readonly url: string;
  readonly ok: boolean;
  readonly pace: number | undefined;
  readonly at: number;
}

const votersSettled = (s: State): boolean => s.voters.current.join() === s.voters.next.join();

export class AllocationController {
  private readonly sights = new Map<string, Map<string, Sight>>();
  private unresponsiveStores: ReadonlySet<string> = new Set();
  private fronts = new Set<string>();
  private frontJoinedAt = -Infinity;
  private stores = new Set<string>();
  private storeJoinedAt = -Infinity;
  private master: MasterView | undefined;
  private soon: TimerHandle | undefined;
  private transferSince = new Map<number, number>();
  private readonly addrs = new Map<string, string>();

  constructor(
    private readonly clock: Clock,
    private readonly bounds: ZenBounds,
    private readonly log: Logger,
  ) {}

  readonly learn = (s: State): void => {
    for (const m of [...s.votingMembers.values(), ...s.nodes.values()])
      this.addrs.set(m.id, m.addr);
    const named = new Set([
      ...s.votingMembers.keys(),
      ...s.nodes.keys(),
      ...s.slots.flatMap(replicasToWrite),
    ]);
    for (const id of this.addrs.keys()) if (!named.has(id)) this.addrs.delete(id);
  };

  private diskLost(s: State, ids: readonly string[]): ReadonlySet<string> {
    const held = new Set([...s.nodes.values()].map((m) => m.addr));
    return new Set(ids.filter((id) => !s.nodes.has(id) && held.has(this.addrs.get(id) ?? '')));
  }

  readonly settle = (s: State): State => {
    this.learn(s);
    return this.allotted(this.replaceVoter(s));
  };

  private allotted(s: State): State {
    const fronts = [...s.nodes.values()].filter((m) => m.kind === 'front').map((m) => m.id);
    const now = this.clock.now();
    if (fronts.some((id) => !this.fronts.has(id))) this.frontJoinedAt = now;
    this.fronts = new Set(fronts);
    const served = s.slots.some((slot) => s.nodes.has(slot.owner));
    const rest = this.frontJoinedAt + this.bounds.heartbeatInterval / (served ? 2 : 5) - now;
    if (rest > 0) {
      this.settleIn(rest);
      return s;
    }
    const moves = Math.max(1, Math.ceil(s.slots.length / 16));
    const fills = Math.max(1, Math.floor(s.slots.length / 2));
    const lost = this.diskLost(s, [...new Set(s.slots.flatMap(replicasToWrite))]);
    return allocate(s, {
      leastStores: this.leastStores(s),
      moves,
      fills,
      unresponsiveStores: new Set([...this.unresponsiveStores, ...lost]),
    });
  }

  /** Slots get their first replicas once all can be placed, or a quorum of them when no further store comes. */
  private leastStores(s: State): number {
    const now = this.clock.now();
    const stores = [...s.nodes.values()].filter((m) => m.kind === 'store').map((m) => m.id);
    if (stores.some((id) => !this.stores.has(id))) this.storeJoinedAt = now;
    this.stores = new Set(stores);
    return now - this.storeJoinedAt > this.bounds.failureTimeout
      ? s.replication.quorum
      : s.replication.replicas;
  }

  private settleIn(ms: number): void {
    this.soon?.stop();
    this.soon = this.clock.after(
      ms,
      () => void this.master?.submit((s) => s).catch(() => undefined),
    );
  }

  readonly onReport = (front: string, report: unknown): void => {
    const got = FrontReport.safeParse(report);
    if (!got.success) return;
    const at = this.clock.now();
    if (got.data.released.length > 0) this.onReleased(got.data.released);
    this.sights.set(
      front,
      new Map(got.data.seen.map((x) => [x.id, { url: x.url, ok: x.ok, pace: x.pace, at }])),
    );
  };

  paces(s: State): ReadonlyMap<string, number> {
    const out = new Map<string, number>();
    for (const v of s.servers.values()) {
      const paces = [...this.sights.values()].flatMap((m) => {
        const sight = m.get(v.id);
        return sight && sight.url === v.url && sight.pace !== undefined ? [sight.pace] : [];
      });
      const mid = paces.sort((a, b) => a - b)[Math.floor(paces.length / 2)];
      if (mid !== undefined) out.set(v.id, mid);
    }
    return out;
  }

  private onReleased(released: readonly (readonly [number, number])[]): void {
    this.master
      ?.submit((s) =>
        released.reduce(
          (t, [slot, ownershipEpoch]) =>
            reduceState(t, { kind: 'transferred', slot, ownershipEpoch }),
          s,
        ),
      )
      .catch(() => undefined);
  }

  private overdue(s: State): readonly (readonly [number, number])[] {
    const now = this.clock.now();
    const since = new Map<number, number>();
    s.slots.forEach((slot, n) => {
      if (slot.transferTarget !== '') since.set(n, this.transferSince.get(n) ?? now);
    });
    this.transferSince = since;
    return [...since].flatMap(([n, at]) =>
      now - at > this.bounds.failureTimeout * 4
        ? [[n, s.slots[n]?.ownershipEpoch ?? -1] as const]
        : [],
    );
  }

  async run(master: MasterView): Promise<void> {
    this.master = master;
    while (!master.lost.aborted) {
      await delay(this.clock, this.bounds.heartbeatInterval / 2, master.lost);
      const s = master.committed;
      if (master.lost.aborted || !s) continue;
      this.unresponsiveStores = this.lostStores(s, master);
      const downs = this.downs(s);
      const overdue = this.overdue(s);
      await master
        .submit((t) => {
          const marked = [...downs].reduce(
            (u, [id, down]) => reduceState(u, { kind: 'server-mark', id, down }),
            t,
          );
          return overdue.reduce(
            (u, [slot, ownershipEpoch]) =>
              reduceState(u, { kind: 'transferred', slot, ownershipEpoch }),
            marked,
          );
        })
        .catch(() => undefined);
    }
    this.sights.clear();
  }

  /**
   * Replicas that are not waited for any longer: silent for too long, or away while a store stands by that holds
   * no slot, as one does that was started in place of another.
   */
  private lostStores(s: State, master: MasterView): ReadonlySet<string> {
    const kept = new Set(s.slots.flatMap(replicasToWrite));
    const standsBy = [...s.nodes.values()].some(
      (m) => m.kind === 'store' && !kept.has(m.id) && !s.retiring.has(m.id),
    );
    const isLost = (id: string): boolean =>
      standsBy ||
      this.unresponsiveStores.has(id) ||
      master.unresponsiveFor(id) > this.bounds.replaceAfter;
    return new Set([...kept].filter((id) => !s.nodes.has(id) && isLost(id)));
  }

  private downs(s: State): ReadonlyMap<string, boolean> {
    const out = new Map<string, boolean>();
    const now = this.clock.now();
    for (const v of s.servers.values()) {
      let good = 0;
      let bad = 0;
      for (const m of this.sights.values()) {
        const sight = m.get(v.id);
        if (!sight || sight.url !== v.url || now - sight.at > this.bounds.failureTimeout) continue;
        if (sight.ok) good++;
        else bad++;
      }
      if (good + bad > 0) out.set(v.id, bad > good);
    }
    return out;
  }

  /** Passes the vote of a control that left, failed or lost its disk to a spare that holds the newest state on disk. */
  private replaceVoter(s: State): State {
    const { master } = this;
    if (
      !master ||
      master.lost.aborted ||
      !votersSettled(s) ||
      (master.committed && !votersSettled(master.committed))
    )
      return s;
    const lost = this.diskLost(s, s.voters.current);
    const out =
      s.voters.current.find((id) => lost.has(id)) ??
      s.voters.current.find((id) => !s.nodes.has(id));
    if (out === undefined) return s;
    const zone = s.votingMembers.get(out)?.zone;
    const spare = [...s.nodes.values()]
      .filter(
        (m) =>
          m.kind === 'control' &&
          !s.voters.current.includes(m.id) &&
          master.heard(m.id) &&
          master.synced(m.id),
      )
      .sort(
        (a, b) => Number(b.zone === zone) - Number(a.zone === zone) || (a.id < b.id ? -1 : 1),
      )[0];
    if (!spare) return s;
    this.log.info(`Control ${out} is lost, ${spare.addr} takes its place.`);
    return reduceState(s, { kind: 'voters', out, in: spare });
  }
}
