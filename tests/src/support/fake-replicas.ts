/** Replicas of one slot that answer as a test says, and a replicator that talks to them in simulated time. */
import { SlotReplicator, type CompiledState } from '@tillerstair/session-owner';
import { SimClock } from '@tillerstair/sim';
import { bootstrapState, Item, type Slot, type State } from '@tillerstair/state';
import { RpcError, silentLogger, type RpcErrorCode, type Transport } from '@tillerstair/wire';
import { z } from 'zod';

const RequestBody = z.object({
  slot: z.number(),
  ownershipEpoch: z.number().optional(),
  items: z.array(Item).optional(),
  to: z.string().optional(),
});

export interface ReplicaRequest extends z.infer<typeof RequestBody> {
  readonly replica: string;
  readonly kind: string;
}

/** Answers one request to a replica; a promise that never settles stands for a silent replica. */
export type ReplicaReply = (request: ReplicaRequest) => Promise<unknown>;

export const silence: ReplicaReply = () => new Promise(() => undefined);
export const failWith = (code: RpcErrorCode): Promise<unknown> =>
  Promise.reject(new RpcError(code, 'as the test says'));

/** A healthy replica that stores nothing: a fence hands over no items, a read finds none. */
export const emptyReply: ReplicaReply = ({ kind }) =>
  Promise.resolve(kind === 'store/fence' ? { items: [], next: '' } : { item: null });

/** A healthy replica whose fence hands over these items. */
export const replyWith = (items: readonly Item[]): Promise<unknown> =>
  Promise.resolve({ items, next: '' });

/** A reply that a test gives later, to each request that waits for it. */
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

class FakeReplicas implements Transport {
  readonly self = 'owner';
  readonly requests: ReplicaRequest[] = [];
  reply: ReplicaReply = emptyReply;

  call(to: string, kind: string, body: unknown): Promise<unknown> {
    const request = { replica: to, kind, ...RequestBody.parse(body) };
    this.requests.push(request);
    return this.reply(request);
  }

  /** Requests of a kind so far, such as `store/put`. */
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

/** How some work ended so far: `pending`, `done`, or the code of its error. */
export interface Observed {
  readonly outcome: string;
}

const observe = (work: Promise<unknown>): Observed => {
  const seen = { outcome: 'pending' };
  work.then(
    () => {
      seen.outcome = 'done';
    },
    (error: unknown) => {
      seen.outcome = error instanceof RpcError ? error.code : String(error);
    },
  );
  return seen;
};

/** A replicator of slot 0 with three replicas and a quorum of two. */
export class ReplicatorFixture {
  readonly clock = new SimClock();
  readonly replicas = new FakeReplicas();
  compiledState: CompiledState | undefined = {
    state: stateWithStores(),
    config: undefined,
    routes: new Map(),
  };
  readonly replicator = new SlotReplicator(0, 1, {
    clock: this.clock,
    transport: this.replicas,
    log: silentLogger,
    compiledState: () => this.compiledState,
    putTimeoutMs: putTimeoutMs,
    heartbeatIntervalMs: heartbeatIntervalMs,
    retentionMs,
  });

  /** A replicator whose slot is open at this ownership epoch, with empty replicas. */
  static async open(slot: Slot = slotAt(1)): Promise<ReplicatorFixture> {
    const fixture = new ReplicatorFixture();
    fixture.replicator.apply(slot);
    await fixture.clock.runReadyTasks();
    return fixture;
  }

  /** How a put ends, written down when it does. */
  put(key: string, value: unknown): Observed {
    return observe(this.replicator.put(key, value));
  }

  /** How a confirmation ends, written down when it does. */
  confirmMissing(key: string): Observed {
    return observe(this.replicator.confirmMissing(key));
  }
}
