import { z } from 'zod';
import {
  nodeViewOf,
  TableEntries,
  versionOf,
  isNewerVersion,
  decodeState,
  type NodeView,
  type State,
} from '@tillerstair/state';
import {
  CallRequest,
  HistoryRequest,
  outcomeOfError,
  PassRequest,
  ProgramRequest,
  refused,
  SessionOwner,
  TurnRequest,
  unknown,
  CallOutcome,
  type EmitChunk,
  type SessionOwnerParts,
} from '@tillerstair/session-owner';
import {
  ConnectionRefusedError,
  createAbortController,
  delay,
  ElectionError,
  FeedError,
  OwnershipError,
  RpcError,
  type RpcRequest,
  toRpcError,
} from '@tillerstair/wire';

export type FrontParts = SessionOwnerParts;

export const Feed = z.object({
  state: TableEntries.optional(),
  config: z.string().optional(),
  leaseRenewedAt: z.number(),
  barred: z.array(z.string()).optional(),
  master: z.string(),
  term: z.number(),
});
export type Feed = z.infer<typeof Feed>;
export const Fed = z.object({
  id: z.string(),
  applied: z.object({ term: z.number(), version: z.number() }),
  seen: z.unknown(),
  released: z.unknown(),
  stopping: z.boolean(),
});

const TurnEnd = z.object({ end: z.object({ chunks: z.number() }) });
const ChunkLine = z.object({ n: z.number(), text: z.string() });

const lingers = 0.4;

interface ForwardedRequest {
  readonly kind:
    | 'front/program'
    | 'front/turn'
    | 'front/history'
    | 'front/call'
    | 'front/keyed'
    | 'front/stream';
  readonly slotKey: string;
  readonly body: unknown;
  readonly within: number;
}

export class Front {
  readonly owner: SessionOwner;
  private agentTerm = 0;
  private master = '';
  private readonly gone = createAbortController();
  private active = 0;

  constructor(readonly p: FrontParts) {
    this.owner = new SessionOwner(p);
  }

  async start(): Promise<void> {
    await this.p.transport.serve((rpc, emit, gone) => this.handle(rpc, emit, gone));
    this.owner.start();
  }

  /** Goes on serving until its slots are handed over, callers have had time to see it is not ready, and nothing is under way. */
  async stop(): Promise<void> {
    this.gone.abort();
    const { clock, bounds } = this.p;
    const from = clock.now();
    const linger = this.owner.leaseValid ? bounds.stopWithin * lingers : 0;
    const busy = (): boolean =>
      this.active > 0 ||
      (this.owner.leaseValid && this.owner.ownsSlots) ||
      clock.now() - from < linger;
    while (busy() && clock.now() - from < bounds.stopWithin) {
      if (clock.now() - from >= linger) this.owner.stopAccepting();
      await delay(clock, bounds.heartbeatInterval / 20);
    }
    this.owner.stop();
    await this.p.transport.close();
  }

  get stopping(): boolean {
    return this.gone.signal.aborted;
  }

  nodeView(): NodeView {
    return nodeViewOf(this.p.id, 'front', this.agentTerm, this.master, this.owner.current?.state);
  }

  feed(body: unknown): z.infer<typeof Fed> {
    const f = Feed.parse(body);
    const now = this.p.clock.now();
    const held = this.owner.current?.state;
    const reported: State | undefined = f.state ? decodeState(new Map(f.state)) : undefined;
    if (f.config !== undefined && f.config !== held?.config?.digest)
      throw new FeedError('need-config', 'this front does not hold that configuration');
    const next =
      reported && f.config !== undefined ? { ...reported, config: held?.config } : reported;
    if (next && held && held.clusterId !== next.clusterId)
      throw new ElectionError('other-cluster', `this front is of cluster ${held.clusterId}`);
    if (next && (!held || isNewerVersion(versionOf(next), versionOf(held)))) this.owner.applyState(next);
    if (f.term >= this.agentTerm) {
      this.agentTerm = f.term;
      this.master = f.master;
      if (f.barred) this.owner.barServers(new Set(f.barred));
      if (f.leaseRenewedAt <= now) this.owner.renewLease(f.leaseRenewedAt);
    }
    return {
      id: this.p.id,
      applied: versionOf(this.owner.current?.state),
      seen: this.owner.placement.report(),
      released: this.owner.releases(),
      stopping: this.stopping,
    };
  }

  private async handle(
    rpc: RpcRequest,
    emit: (chunk: unknown) => void,
    gone: AbortSignal,
  ): Promise<unknown> {
    return this.local(rpc.kind, rpc.body, (n, text) => emit({ n, text }), gone);
  }

  private async local(
    kind: string,
    body: unknown,
    emit: EmitChunk,
    gone: AbortSignal,
  ): Promise<CallOutcome> {
    this.active++;
    try {
      switch (kind) {
        case 'front/program':
          return await this.owner.turns.createProgram(ProgramRequest.parse(body));
        case 'front/turn':
          return await this.owner.turns.runTurn(TurnRequest.parse(body), emit, gone);
        case 'front/history':
          return await this.owner.turns.readHistory(HistoryRequest.parse(body));
        case 'front/call':
          return await this.owner.calls.runCall(CallRequest.parse(body), gone);
        case 'front/keyed':
          return await this.owner.calls.runPass(PassRequest.parse(body), gone);
        case 'front/stream':
          return await this.owner.streams.runStream(PassRequest.parse(body), emit, gone);
        default:
          return refused(404, 'unknown-kind', kind);
      }
    } finally {
      this.active--;
    }
  }

  /** Carries a request that needs no owner straight to a server. */
  async carry(
    ask: PassRequest,
    streamed: boolean,
    emit: EmitChunk,
    gone: AbortSignal,
  ): Promise<CallOutcome> {
    return this.local(streamed ? 'front/stream' : 'front/keyed', ask, emit, gone).catch(
      (e: unknown) => outcomeOfError(toRpcError(e)),
    );
  }

  async forward(d: ForwardedRequest, emit: EmitChunk, gone: AbortSignal): Promise<CallOutcome> {
    this.active++;
    return this.tryForward(d, emit, gone).finally(() => {
      this.active--;
    });
  }

  private async tryForward(
    d: ForwardedRequest,
    emit: EmitChunk,
    gone: AbortSignal,
  ): Promise<CallOutcome> {
    const { clock, bounds, id, transport } = this.p;
    const wait = Math.min(bounds.heartbeatInterval * 1.5, d.within / 4);
    let end = clock.now() + wait;
    let emitted = 0;
    let whole = true;
    let mayHaveRun = false;
    const counting: EmitChunk = (n, text) => {
      whole &&= n === emitted;
      if (!whole) return;
      emitted++;
      emit(n, text);
    };
    const checked = (v: CallOutcome): CallOutcome => {
      if ((d.kind !== 'front/turn' && d.kind !== 'front/stream') || v.outcome !== 'done') return v;
      const end = TurnEnd.safeParse(v.body);
      return whole && end.success && end.data.end.chunks === emitted
        ? v
        : unknown('the stream did not arrive whole', 'broken-off');
    };
    for (;;) {
      let errorCode: RpcError;
      try {
        this.owner.requireLease();
        const owner = this.owner.ownerOf(this.owner.slotFor(d.slotKey));
        if (owner === id) return checked(await this.local(d.kind, d.body, counting, gone));
        const member = this.owner.current?.state.nodes.get(owner);
        if (!member) throw new OwnershipError('no-owner', 'no owner is known for this');
        const watch = this.owner.watch(owner);
        const asked = transport.call(member.data, d.kind, d.body, {
          timeoutMs: d.within,
          signal: AbortSignal.any([gone, watch.lost]),
          onChunk: (chunk) => {
            const { n, text } = ChunkLine.parse(chunk);
            counting(n, text);
          },
        });
        try {
          return checked(CallOutcome.parse(await asked));
        } catch (e) {
          if (!watch.lost.aborted || gone.aborted || emitted > 0) throw e;
          end = clock.now() + wait;
          mayHaveRun = true;
          throw new OwnershipError('not-owner', 'the owner left the cluster');
        } finally {
          watch.end();
        }
      } catch (e) {
        errorCode = toRpcError(e);
      }
      const passing =
        errorCode instanceof OwnershipError || errorCode instanceof ConnectionRefusedError;
      const over = emitted > 0 || !passing || gone.aborted || clock.now() >= end;
      if (over)
        return mayHaveRun
          ? unknown(`the owner that had it left the cluster: ${errorCode.message}`)
          : outcomeOfError(errorCode);
      await delay(clock, bounds.heartbeatInterval / 20);
    }
  }
}
