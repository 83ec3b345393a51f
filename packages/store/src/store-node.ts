/**
 * A store: a member of the cluster that holds replicas of slots. It connects the cluster's membership (Zen), the
 * requests of slot owners to its replicas, and two background tasks: maintenance and the refill of slots.
 */
import { nodeViewOf, replicasToWrite, type NodeView, type State } from '@tillerstair/state';
import { createAbortController, type RpcRequest, type Transport } from '@tillerstair/wire';
import { ZenNode, type ZenNodeOptions } from '@tillerstair/zen';
import { Maintenance } from './maintenance.js';
import { ReplicaRefill } from './replica-refill.js';
import type { ReplicaStore } from './replica-store.js';
import { handleStoreRequest, type StoreRequestOptions } from './store-requests.js';

/** Options of a store: those of its cluster membership, and its opened replicas. */
export interface StoreNodeOptions extends Omit<
  ZenNodeOptions,
  'slots' | 'settle' | 'onApplied' | 'report' | 'onReport' | 'onLead'
> {
  readonly replicaStore: ReplicaStore;
}

/** One store. `start` serves its transport, `stop` closes it; the caller that opened the disk closes the disk. */
export class StoreNode {
  readonly zen: ZenNode;
  private readonly storeId: string;
  private readonly transport: Transport;
  private readonly replicaStore: ReplicaStore;
  private readonly maintenance: Maintenance;
  private readonly refill: ReplicaRefill;
  private readonly requestOptions: StoreRequestOptions;
  private readonly stopping = createAbortController();
  private latestState: State | undefined;

  constructor(options: StoreNodeOptions) {
    const { localMember, transport, replicaStore, clock, bounds, log } = options;
    this.storeId = localMember.id;
    this.transport = transport;
    this.replicaStore = replicaStore;
    this.requestOptions = {
      storeId: localMember.id,
      replicaStore,
      isReplicaOf: (slot) => this.isReplicaOf(slot),
    };
    this.zen = new ZenNode({
      ...options,
      slots: 0,
      onApplied: (state) => {
        this.latestState = state;
        this.refill.wake();
        return Promise.resolve();
      },
    });
    const shared = {
      storeId: localMember.id,
      replicaStore,
      transport,
      clock,
      bounds,
      log,
      latestState: () => this.latestState,
    };
    this.maintenance = new Maintenance({ ...shared, appliedState: () => this.zen.applied });
    this.refill = new ReplicaRefill({ ...shared, currentMaster: () => this.zen.knownMaster });
  }

  get id(): string {
    return this.storeId;
  }

  async start(): Promise<void> {
    await this.transport.serve((request) => this.handle(request));
    this.zen.start();
    void this.maintenance.run(this.stopping.signal);
    void this.refill.run(this.stopping.signal);
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    this.refill.wake();
    await this.zen.stop();
    await this.transport.close();
  }

  /** This store's view of the cluster and its number of hints, for operators. */
  nodeView(): NodeView {
    const view = nodeViewOf(
      this.storeId,
      'store',
      this.zen.term,
      this.zen.knownMaster?.id ?? '',
      this.zen.applied,
    );
    const { hints } = this.replicaStore.counts();
    return { ...view, facts: [...view.facts, ['own hints', String(hints)]] };
  }

  /** Handles a request of another node: `zen/…` by the cluster membership, all others by the replicas. */
  handle(request: RpcRequest): Promise<unknown> {
    return request.kind.startsWith('zen/')
      ? this.zen.handle(request)
      : handleStoreRequest(request, this.requestOptions);
  }

  /** Whether this store is a replica of a slot; true while it knows no state of the slot. */
  private isReplicaOf(slotNumber: number): boolean {
    const slot = this.latestState?.slots[slotNumber];
    return slot === undefined || replicasToWrite(slot).includes(this.storeId);
  }
}
