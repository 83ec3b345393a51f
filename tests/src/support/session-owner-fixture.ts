/** A session owner with stores and servers that a test scripts; puts and sends are recorded in order. */
import type {
  Backend,
  CallOutcome,
  BackendOutcome,
  ConversationMessage,
} from '@tillerstair/session-owner';
import { SessionOwner } from '@tillerstair/session-owner';
import { SimClock } from '@tillerstair/sim';
import { bootstrapState, type Server, type Slot, type State } from '@tillerstair/state';
import { silentLogger, RpcError, type Transport } from '@tillerstair/wire';
import { z } from 'zod';
import {
  configRecordOf,
  configuration,
  memberOf,
  ownedSlot,
  frontId,
  storeIds,
  serverOf,
} from './session-owner-state.js';

const StoredItem = z.object({
  key: z.string(),
  ownershipEpoch: z.number(),
  seq: z.number(),
  value: z.unknown(),
});
type StoredItem = z.infer<typeof StoredItem>;

const StoreRequest = z.object({
  slot: z.number().optional(),
  key: z.string().optional(),
  turn: z.string().optional(),
  slots: z.array(z.number()).optional(),
  items: z.array(StoredItem).optional(),
});

const StatusValue = z.object({ status: z.string() });

/** The status of a stored value; empty for a value without one. */
export const statusOf = (value: unknown): string => {
  const parsed = StatusValue.safeParse(value);
  return parsed.success ? parsed.data.status : '';
};

/** A request as it reached a scripted server. */
export interface SentRequest {
  readonly kind: 'turn' | 'call' | 'pass';
  readonly server: string;
  readonly key: string;
  readonly body: string;
  readonly messages: readonly ConversationMessage[];
  readonly maxTokens: number;
  readonly resume: string;
  readonly stop: AbortSignal;
}

/** A scripted server's response: chunks of a turn or bytes of a stream are delivered before the outcome. */
export interface ServerReply {
  readonly ended: BackendOutcome;
  readonly chunks?: readonly (readonly [number, string])[];
  readonly status?: number;
  readonly contentType?: string;
  readonly bytes?: readonly string[];
  /** The response is delayed until this resolves. */
  readonly after?: Promise<void>;
}

/** A complete response: three chunks of a turn, or one event of a stream. */
export const fullReply: ServerReply = {
  ended: { kind: 'done', code: 200, body: 3 },
  chunks: [
    [0, 'x'],
    [1, 'y'],
    [2, 'z'],
  ],
  bytes: ['id: 1\ndata: one\n\n'],
};
/** The connection to the server is lost after the request was sent. */
export const lostReply: ServerReply = { ended: { kind: 'lost', text: 'cut' } };
/** The server declines the request without running it. */
export const declinedReply: ServerReply = { ended: { kind: 'declined', text: 'no' } };

/** An outcome as text: outcome, HTTP status and error code. */
export const textOf = (outcome: CallOutcome): string =>
  `${outcome.outcome} ${outcome.status} ${outcome.errorCode ?? ''}`.trim();

/** The code of the `RpcError` that `work` ends with; "no error" without one. */
export const codeOf = async (work: () => unknown): Promise<string> => {
  try {
    await work();
    return 'no error';
  } catch (error) {
    return error instanceof RpcError ? error.code : String(error);
  }
};

/** A gate: `opened` resolves when the test calls `open`. */
export const gate = (): { readonly opened: Promise<void>; readonly open: () => void } => {
  const opening = new AbortController();
  const opened = new Promise<void>((resolve) => {
    opening.signal.addEventListener('abort', () => resolve(), { once: true });
  });
  return { opened, open: () => opening.abort() };
};

const headOf = (reply: ServerReply) => ({
  status: reply.status ?? 200,
  headers: [['content-type', reply.contentType ?? 'text/event-stream'] as const],
});

/** A session owner of one slot in simulated time, with scripted stores and servers. */
export class SessionOwnerFixture {
  readonly clock = new SimClock();
  readonly owner: SessionOwner;
  readonly stores = new Map<string, Map<string, StoredItem>>(
    storeIds.map((id) => [id, new Map<string, StoredItem>()]),
  );
  /** `put KEY STATUS` when a store has synced a value, `send SERVER` when a request reaches a server. */
  readonly events: string[] = [];
  /** Requests that reached a server, in order. */
  readonly sent: SentRequest[] = [];
  /** Ids of stores that cannot be reached. */
  readonly down = new Set<string>();
  /** Called before a store syncs a value; returns false to make the store reject the write. */
  onPut: (key: string, status: string) => boolean = () => true;
  /** The response to each request that reaches a server; `index` counts the requests from 0. */
  reply: (index: number, sent: SentRequest) => ServerReply = () => fullReply;
  /** When set, called before the first byte is sent, after which `mayStillRun` decides, as in the real client. */
  beforeSend: (() => void) | undefined;
  leaseMs = 60000;
  /** The chunks that the caller received, by index. */
  readonly emitted: string[] = [];
  private state: State;

  constructor() {
    const base = bootstrapState('x', [], 1);
    this.state = {
      ...base,
      nodes: new Map([
        [frontId, memberOf(frontId, 'front')],
        ...storeIds.map((id) => [id, memberOf(id, 'store')] as const),
      ]),
      config: configRecordOf(configuration, 1),
      slots: [ownedSlot(1)],
      servers: new Map(
        [
          serverOf('m1', 'models'),
          serverOf('m2', 'models'),
          serverOf('s1', 'shop'),
          serverOf('s2', 'shop'),
          serverOf('k1', 'memo'),
          serverOf('k2', 'memo'),
          serverOf('l1', 'ledger'),
          serverOf('l2', 'ledger'),
        ].map((server) => [server.id, server]),
      ),
    };
    const lease = (): number => this.leaseMs;
    this.owner = new SessionOwner({
      id: frontId,
      clock: this.clock,
      transport: this.transport(),
      backend: this.backend(),
      log: silentLogger,
      affinity: false,
      bounds: {
        heartbeatInterval: 500,
        putTimeoutMs: 500,
        get readLease() {
          return lease();
        },
        pollIntervalMs: 0,
        retentionMs: 600000,
        stopWithin: 5000,
      },
    });
  }

  /** Creates an owner with a valid lease whose slot is open. */
  static async opened(): Promise<SessionOwnerFixture> {
    const fixture = new SessionOwnerFixture();
    fixture.change({});
    fixture.owner.renewLease(fixture.clock.now());
    await fixture.waitForSlotOpen();
    return fixture;
  }

  async waitForSlotOpen(): Promise<void> {
    await this.clock.until('slot open', () => this.acceptsRequests, 10000);
  }

  get acceptsRequests(): boolean {
    try {
      this.owner.replicator('p/x');
      return true;
    } catch (error) {
      if (error instanceof RpcError) return false;
      throw error;
    }
  }

  /** The committed cluster state. */
  get current(): State {
    return this.state;
  }

  /** Commits a changed cluster state and applies it to the owner. */
  change(change: Partial<State>): void {
    this.state = { ...this.state, ...change, version: this.state.version + 1 };
    this.owner.applyState(this.state);
  }

  changeSlot(change: Partial<Slot>): void {
    this.change({ slots: this.state.slots.map((slot) => ({ ...slot, ...change })) });
  }

  changeServer(id: string, change: Partial<Server>): void {
    this.change({
      servers: new Map(
        [...this.state.servers].map(([key, server]) => [
          key,
          key === id ? { ...server, ...change } : server,
        ]),
      ),
    });
  }

  removeServers(...ids: readonly string[]): void {
    this.change({
      servers: new Map([...this.state.servers].filter(([id]) => !ids.includes(id))),
    });
  }

  /** Commits a configuration. */
  configure(config: object): void {
    this.change({ config: configRecordOf(config, (this.state.config?.version ?? 0) + 1) });
  }

  /** Moves the slot to another front and back, which begins a later ownership in the same process. */
  async transferAwayAndBack(): Promise<void> {
    const epoch = (this.state.slots[0]?.ownershipEpoch ?? 0) + 1;
    this.changeSlot({ owner: 'f2', ownershipEpoch: epoch, ownedSinceEpoch: epoch });
    this.changeSlot({ owner: frontId, ownershipEpoch: epoch + 1, ownedSinceEpoch: epoch + 1 });
    await this.waitForSlotOpen();
  }

  /** Runs the clock until `work` has settled. */
  finish<T>(work: Promise<T>): Promise<T> {
    return this.clock.finish('outcome', work, 120000);
  }

  /** The value of a key that is stored by a quorum of stores; undefined if fewer have the key. */
  stored(key: string): unknown {
    const values = [...this.stores.values()].flatMap((items) => {
      const item = items.get(key);
      return item ? [item.value] : [];
    });
    return values.length >= 2 ? values[0] : undefined;
  }

  /** Stores a value on some stores, as if an earlier owner had written it. */
  store(key: string, value: unknown, ids: readonly string[] = storeIds): void {
    for (const id of ids) this.stores.get(id)?.set(key, { key, ownershipEpoch: 0, seq: 1, value });
  }

  /** Makes one store's item under a key newer than that of the other stores. */
  bumpSequence(key: string, id: string): void {
    const items = this.stores.get(id);
    const item = items?.get(key);
    if (items && item) items.set(key, { ...item, seq: item.seq + 1 });
  }

  readonly emit = (index: number, text: string): void => {
    this.emitted[index] = text;
  };

  private transport(): Transport {
    return {
      self: frontId,
      call: async (to, kind, body) => {
        await Promise.resolve();
        return this.answer(to, kind, StoreRequest.parse(body));
      },
      serve: () => Promise.resolve(),
      onConnectionLost: () => undefined,
      close: () => Promise.resolve(),
    };
  }

  private answer(to: string, kind: string, request: z.infer<typeof StoreRequest>): unknown {
    const items = this.stores.get(to);
    if (!items || this.down.has(to))
      throw new RpcError('connection-refused', `store ${to} is unreachable`);
    switch (kind) {
      case 'store/fence':
        return { items: [...items.values()], next: '' };
      case 'store/put':
        for (const item of request.items ?? []) this.write(items, item);
        return {};
      case 'store/read':
        return { item: items.get(request.key ?? '') ?? null };
      case 'store/find':
        return { items: this.findTurn(items, request.turn ?? '') };
      default:
        return {};
    }
  }

  /** Finds a turn by its attempt id alone, in any program. */
  private findTurn(items: ReadonlyMap<string, StoredItem>, attempt: string): readonly StoredItem[] {
    const first = [...items.values()].find((item) => item.key.endsWith(`/t/${attempt}`));
    return first ? [first] : [];
  }

  private write(items: Map<string, StoredItem>, item: StoredItem): void {
    const status = statusOf(item.value);
    if (!this.onPut(item.key, status))
      throw new RpcError('unavailable', `the scripted store rejects the write of ${item.key}`);
    items.set(item.key, item);
    this.events.push(`put ${item.key} ${status}`);
  }

  /** Records a request at a server and plays the scripted response. */
  private async runRequest(
    sent: SentRequest,
    mayStillRun: () => boolean,
    deliver: (reply: ServerReply) => void,
  ): Promise<BackendOutcome> {
    await Promise.resolve();
    if (this.beforeSend) {
      this.beforeSend();
      if (!mayStillRun()) return { kind: 'never-left', text: 'the request may no longer run' };
    }
    this.events.push(`send ${sent.server}`);
    const reply = this.reply(this.sent.push(sent) - 1, sent);
    if (reply.after) await reply.after;
    deliver(reply);
    return reply.ended;
  }

  private backend(): Backend {
    const emptyRequest = { key: '', body: '', messages: [], maxTokens: 0, resume: '' };
    return {
      generate: (
        ...[server, request, onChunk, stop, , mayStillRun]: Parameters<Backend['generate']>
      ) =>
        this.runRequest(
          {
            ...emptyRequest,
            kind: 'turn',
            server: server.id,
            messages: request.messages,
            maxTokens: request.maxTokens,
            stop,
          },
          mayStillRun,
          (reply) => {
            for (const [index, text] of reply.chunks ?? []) onChunk(index, text);
          },
        ),
      act: (server, request, stop, _timeoutMs, mayStillRun) =>
        this.runRequest(
          {
            ...emptyRequest,
            kind: 'call',
            server: server.id,
            key: request.key,
            body: request.body,
            stop,
          },
          mayStillRun,
          () => undefined,
        ),
      pass: (...[server, request, sink, stop, , mayStillRun]: Parameters<Backend['pass']>) =>
        this.runRequest(
          {
            ...emptyRequest,
            kind: 'pass',
            server: server.id,
            body: Buffer.from(request.body).toString('latin1'),
            resume: request.resume,
            stop,
          },
          mayStillRun,
          (reply) => {
            if (reply.ended.kind === 'declined') return;
            if (!reply.bytes && reply.ended.kind === 'lost') return;
            sink.head(headOf(reply));
            for (const text of reply.bytes ?? []) sink.bytes(text);
          },
        ),
      load: () => Promise.resolve({ busy: 0, draining: false }),
    };
  }
}
