/** Scripted replicas of one slot, and a replicator that uses them in simulated time. */
import { SlotReplicator, type CompiledState } from '@tillerstair/session-owner';
import { SimClock } from '@tillerstair/sim';
import { bootstrapState, Item, versionOfItem, type Slot, type State } from '@tillerstair/state';
import {
  ByteBudget,
  RpcError,
  silentLogger,
  type RpcErrorCode,
  type Transport,
} from '@tillerstair/wire';
import { z } from 'zod';

const RequestBody = z.object({
  slot: z.number(),
  ownershipEpoch: z.number().optional(),
  items: z.array(Item).optional(),
  to: z.string().optional(),
  list: z.boolean().optional(),
  keys: z.array(z.string()).optional(),
});

/** A request that a replica received. */
export interface ReplicaRequest extends z.infer<typeof RequestBody> {
  readonly replica: string;
  readonly kind: string;
}

/** The response to one request to a replica; a promise that never settles simulates an unresponsive replica. */
export type ReplicaReply = (request: ReplicaRequest) => Promise<unknown>;

/** The reply of an unresponsive replica. */
export const silence: ReplicaReply = () => new Promise(() => undefined);
/** A reply that fails with this code. */
export const failWith = (code: RpcErrorCode): Promise<unknown> =>
  Promise.reject(new RpcError(code, 'scripted failure'));

/** The reply of a healthy replica that stores nothing: a fence returns no items, a read finds none. */
export const emptyReply: ReplicaReply = ({ kind }) =>
  Promise.resolve(kind === 'store/fence' ? { items: [], next: '' } : { item: null });

/** The reply of a healthy replica that stores these items to a fence that lists them or asks for some of them. */
export const listingReply = (
  items: readonly Item[],
  { list, keys }: ReplicaRequest,
): Promise<unknown> =>
  list === true
    ? Promise.resolve({ items: [], versions: items.map(versionOfItem), next: '' })
    : replyWith(items.filter(({ key }) => keys?.includes(key)));

/** The reply of a healthy replica of an earlier version, whose fence returns these items. */
export const replyWith = (items: readonly Item[]): Promise<unknown> =>
  Promise.resolve({ items, next: '' });

/** A reply that a test gives later, to all requests that are waiting for it. */
export class DelayedReply {
  private readonly waiting: { accept: (reply: unknown) => void; reject: (error: Error) => void }[] =
    [];

  wait(): Promise<unknown> {
    return new Promise((accept, reject) => this.waiting.push({ accept, reject }));
  }

  accept(reply: unknown = {}): void {
    for (const waiter of this.waiting.splice(0)) waiter.accept(reply);
  }

  reject(code: RpcErrorCode): void {
    for (const waiter of this.waiting.splice(0)) waiter.reject(new RpcError(code, 'late'));
  }
}

/** A transport that records the requests to the replicas and replies as scripted. */
class FakeReplicas implements Transport {
  readonly self = 'owner';
  readonly requests: ReplicaRequest[] = [];
  reply: ReplicaReply = emptyReply;

  call(to: string, kind: string, body: unknown): Promise<unknown> {
    const request = { replica: to, kind, ...RequestBody.parse(body) };
    this.requests.push(request);
    return this.reply(request);
  }

  /** The requests of a kind so far, such as `store/put`. */
  of(kind: string): readonly ReplicaRequest[] {
    return this.requests.filter((request) => request.kind === kind);
  }

  serve(): Promise<void> {
    return Promise.resolve();
  }

  onConnectionLost(): void {
    return undefined;
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

const putTimeoutMs = 300;
export const heartbeatIntervalMs = 100;
export const retentionMs = 10_000;
/** Memory for the items of a `ReplicatorFixture`, in bytes. */
export const itemMemoryBytes = 100_000;

const stores = ['s1', 's2', 's3', 's4', 's5'];

const stateWithStores = (): State => ({
  ...bootstrapState('test', [], 1),
  nodes: new Map(
    stores.map((id) => [
      id,
      { id, kind: 'store', addr: id, http: '', zone: '', data: '', name: '' } as const,
    ]),
  ),
});

/** A slot at this ownership epoch with replicas s1, s2 and s3. */
export const slotAt = (ownershipEpoch: number, change: Partial<Slot> = {}): Slot => ({
  owner: 'owner',
  ownershipEpoch,
  ownedSinceEpoch: 1,
  transferTarget: '',
  replicas: ['s1', 's2', 's3'],
  joiningReplicas: [],
  replacedReplica: '',
  ...change,
});

/** The state of some work so far: `pending`, `done`, or the code of its error. */
export interface Observed {
  readonly outcome: string;
}

const observe = (work: Promise<unknown>): Observed => {
  const observed = { outcome: 'pending' };
  work.then(
    () => {
      observed.outcome = 'done';
    },
    (error: unknown) => {
      observed.outcome = error instanceof RpcError ? error.code : String(error);
    },
  );
  return observed;
};

/** A replicator of slot 0 with three replicas and a quorum of two. */
export class ReplicatorFixture {
  readonly clock = new SimClock();
  readonly replicas = new FakeReplicas();
  /** The warnings that the replicator logged. */
  readonly warnings: string[] = [];
  /** The memory for the items of the slot. */
  readonly memory = new ByteBudget(itemMemoryBytes);
  compiledState: CompiledState | undefined = {
    state: stateWithStores(),
    config: undefined,
    routes: new Map(),
  };
  readonly replicator = new SlotReplicator(0, 1, {
    clock: this.clock,
    transport: this.replicas,
    log: { ...silentLogger, warn: (text) => this.warnings.push(text) },
    compiledState: () => this.compiledState,
    putTimeoutMs: putTimeoutMs,
    heartbeatIntervalMs: heartbeatIntervalMs,
    retentionMs,
    minRetentionMs: retentionMs / 2,
    memory: this.memory,
  });

  /** A replicator whose slot is open at this ownership epoch, with empty replicas. */
  static async open(slot: Slot = slotAt(1)): Promise<ReplicatorFixture> {
    const fixture = new ReplicatorFixture();
    fixture.replicator.apply(slot);
    await fixture.clock.runReadyTasks();
    return fixture;
  }

  /** Starts a put; the result follows its outcome. */
  put(key: string, value: unknown): Observed {
    return observe(this.replicator.put(key, value));
  }

  /** Starts a confirmation that a key is missing; the result follows its outcome. */
  confirmMissing(key: string): Observed {
    return observe(this.replicator.confirmMissing(key));
  }
}
