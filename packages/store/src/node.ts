import pLimit from 'p-limit';
import {
  nodeViewOf,
  compiledConfig,
  FindTurnRequest,
  HandoffRequest,
  HintRequest,
  replicasToWrite,
  fetchPages,
  PutRequest,
  ReadRequest,
  FenceRequest,
  turnRetentionLimitMs,
  type NodeView,
  type State,
} from '@tillerstair/state';
import {
  createAbortController,
  delay,
  ProtocolError,
  ReplicaError,
  type RpcRequest,
  toRpcError,
  UnavailableError,
} from '@tillerstair/wire';
import { ZenNode, type ZenNodeOptions } from '@tillerstair/zen';
import type { ReplicaStore } from './replica-store.js';

export interface StoreParts extends Omit<
  ZenNodeOptions,
  'slots' | 'settle' | 'onApplied' | 'report' | 'onReport' | 'onLead'
> {
  readonly replicaStore: ReplicaStore;
}

const pagesPerHeartbeat = 16;

export class StoreNode {
  readonly zen: ZenNode;
  private readonly gone = createAbortController();
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
    await this.p.transport.serve((rpc) => this.handle(rpc));
    this.zen.start();
    void this.repair();
    void this.refill();
  }

  async stop(): Promise<void> {
    this.gone.abort();
    this.wake();
    await this.zen.stop();
    await this.p.transport.close();
  }

  /** Whether this store is still a replica of the slot, as far as it knows; data of other slots may have been dropped. */
  private keeps(slot: number): boolean {
    const known = this.newest?.slots[slot];
    return known === undefined || replicasToWrite(known).includes(this.p.me.id);
  }

  nodeView(): NodeView {
    const b = nodeViewOf(
      this.p.me.id,
      'store',
      this.zen.term,
      this.zen.masterSeen?.id ?? '',
      this.zen.applied,
    );
    const c = this.p.replicaStore.counts();
    return { ...b, facts: [...b.facts, ['own hints', String(c.hints)]] };
  }

  async handle(rpc: RpcRequest): Promise<unknown> {
    const { replicaStore } = this.p;
    switch (rpc.kind) {
      case 'store/put': {
        const { slot, ownershipEpoch, items } = PutRequest.parse(rpc.body);
        await replicaStore.write(slot, ownershipEpoch, items);
        return {};
      }
      case 'store/fence': {
        const { slot, ownershipEpoch, after } = FenceRequest.parse(rpc.body);
        return replicaStore.fence(slot, ownershipEpoch, after);
      }
      case 'store/read': {
        const { slot, ownershipEpoch, key } = ReadRequest.parse(rpc.body);
        return { item: await replicaStore.read(slot, ownershipEpoch, key) };
      }
      case 'store/pull': {
        const { slot, ownershipEpoch, after } = FenceRequest.parse(rpc.body);
        return replicaStore.pull(slot, ownershipEpoch, after);
      }
      case 'store/find': {
        const { turn, slots } = FindTurnRequest.parse(rpc.body);
        if (slots.some((n) => !this.keeps(n)))
          throw new ReplicaError('moved', 'another store keeps one of these slots now');
        await replicaStore.synced();
        return { items: replicaStore.find(turn) };
      }
      case 'store/hint': {
        const { to, slot, items } = HintRequest.parse(rpc.body);
        await replicaStore.hint(to, slot, items);
        return {};
      }
      case 'store/hand': {
        const { slot, items } = HandoffRequest.parse(rpc.body);
        await replicaStore.hand(slot, items);
        return {};
      }
      default:
        if (rpc.kind.startsWith('zen/')) return this.zen.handle(rpc);
        throw new ProtocolError('unknown-kind', `no such request: ${rpc.kind}`);
    }
  }

  private async repair(): Promise<void> {
    const { clock, bounds, log } = this.p;
    while (!this.gone.signal.aborted) {
      await delay(clock, bounds.heartbeatInterval / 2, this.gone.signal);
      const s = this.zen.applied;
      if (!s || !this.p.replicaStore.writable || this.gone.signal.aborted) continue;
      try {
        await this.handOver(s);
        await this.p.replicaStore.dropOld(turnRetentionLimitMs(compiledConfig(s.config)));
        await this.p.replicaStore.forgetSlots((n) => {
          const slot = this.newest?.slots[n];
          return slot && slot.replicas.length > 0 && !replicasToWrite(slot).includes(this.p.me.id)
            ? slot.ownershipEpoch
            : -1;
        });
      } catch (e) {
        log.warn(`Repair stopped: ${toRpcError(e).message}.`);
      }
    }
  }

  private async handOver(s: State): Promise<void> {
    const { replicaStore, transport, bounds, log } = this.p;
    for (const to of replicaStore.hintTargets()) {
      const member = s.nodes.get(to);
      const holds = s.slots.some((x) => replicasToWrite(x).includes(to));
      if (!member && holds) continue;
      let count = 0;
      for (const h of replicaStore.hintsFor(to)) {
        const slot = s.slots[h.slot];
        const wanted = slot !== undefined && replicasToWrite(slot).includes(to);
        if (wanted && member) {
          try {
            await transport.call(
              member.addr,
              'store/hand',
              { slot: h.slot, items: h.items },
              { timeoutMs: bounds.failureTimeout },
            );
          } catch (e) {
            log.debug(`Handing over to ${member.addr} failed: ${toRpcError(e).message}.`);
            break;
          }
        }
        await replicaStore.handed(h.n);
        count++;
      }
      if (count > 0) log.info(`Handed ${count} hints to ${member?.addr ?? to}.`);
    }
  }

  private async refill(): Promise<void> {
    const { clock, bounds, me } = this.p;
    while (!this.gone.signal.aborted) {
      const early = new AbortController();
      this.wake = () => early.abort();
      this.newest?.slots.forEach((slot, n) => {
        if (!slot.joiningReplicas.includes(me.id) || this.refilling.get(n) === slot.ownershipEpoch)
          return;
        this.refilling.set(n, slot.ownershipEpoch);
        void this.refillUntilFull(n, slot.ownershipEpoch);
      });
      await delay(clock, bounds.heartbeatInterval / 2, early.signal);
    }
  }

  private async refillUntilFull(n: number, ownershipEpoch: number): Promise<void> {
    const { clock, bounds, log } = this.p;
    while (!this.gone.signal.aborted) {
      const s = this.newest;
      const slot = s?.slots[n];
      if (!s || slot?.ownershipEpoch !== ownershipEpoch) return;
      try {
        return await this.few(() => this.refillOne(s, n, ownershipEpoch, slot.replicas));
      } catch (e) {
        log.debug(`Refill of slot ${n} waits: ${toRpcError(e).message}.`);
      }
      await delay(clock, bounds.heartbeatInterval / 16, this.gone.signal);
    }
  }

  private async refillOne(
    s: State,
    slot: number,
    ownershipEpoch: number,
    sources: readonly string[],
  ): Promise<void> {
    const { transport, replicaStore, bounds, me, log } = this.p;
    const { quorum } = s.replication;
    let pulled = 0;
    for (const id of sources) {
      const member = s.nodes.get(id);
      if (!member || pulled === quorum) continue;
      try {
        const ask = async (after: string): Promise<unknown> => {
          if (after !== '')
            await delay(
              this.p.clock,
              bounds.heartbeatInterval / pagesPerHeartbeat,
              this.gone.signal,
            );
          return transport.call(
            member.addr,
            'store/pull',
            { slot, ownershipEpoch, after },
            { timeoutMs: bounds.failureTimeout },
          );
        };
        for await (const page of fetchPages(ask)) await replicaStore.hand(slot, page);
        pulled++;
      } catch (e) {
        log.debug(`Pulling slot ${slot} from ${member.addr} failed: ${toRpcError(e).message}.`);
      }
    }
    if (pulled < quorum)
      throw new UnavailableError(
        'unavailable',
        `${pulled} of ${quorum} replicas that are needed reply`,
      );
    const master = this.zen.masterSeen;
    if (!master) throw new UnavailableError('unavailable', 'no master is known');
    await transport.call(
      master.addr,
      'control/filled',
      { store: me.id, slot, ownershipEpoch },
      { timeoutMs: bounds.failureTimeout },
    );
  }
}
