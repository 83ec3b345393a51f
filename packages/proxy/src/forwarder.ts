/**
 * Forwards requests to the owner of their slot and retries at the slot's next owner (`docs/design.md`, "A turn"). It
 * keeps no state beyond one request. A request that an owner may have run before it left the cluster is never reported
 * as refused, and a stream that has started is never requested again.
 */
import {
  CallOutcome,
  outcomeOfError,
  unknown,
  type EmitChunk,
  type SessionOwner,
} from '@tillerstair/session-owner';
import {
  ConnectionRefusedError,
  delay,
  OwnershipError,
  toRpcError,
  type Clock,
  type RpcError,
  type Transport,
} from '@tillerstair/wire';
import { ChunkCounter } from './chunk-counter.js';
import { StreamChunk, type ForwardedKind } from './messages.js';

/** Time limits for retries: in heartbeats, and as a share of the request's timeout. The shorter one applies. */
const retryHeartbeats = 1.5;
const retryShare = 1 / 4;
/** Delay between attempts, as a share of a heartbeat. */
const retryPauseShare = 1 / 20;

/** A request to be run by the owner of a slot. */
export interface SlotRequest {
  readonly kind: ForwardedKind;
  /** Key that is hashed to the slot. */
  readonly slotKey: string;
  /** Message body for this kind, as sent on the wire. */
  readonly body: unknown;
  readonly timeoutMs: number;
}

/** Dependencies of a forwarder. */
export interface ForwarderOptions {
  /** Id of the forwarding front. */
  readonly frontId: string;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly owner: SessionOwner;
  /** Current heartbeat interval, in ms; read for each request. */
  readonly heartbeatInterval: () => number;
  /** Runs a request whose slot this front owns. */
  readonly runLocally: (
    kind: ForwardedKind,
    body: unknown,
    emit: EmitChunk,
    signal: AbortSignal,
  ) => Promise<CallOutcome>;
}

const streamKinds: ReadonlySet<ForwardedKind> = new Set(['front/turn', 'front/stream']);

/** Whether an error may go away once all fronts have the next cluster state; such a request was not run. */
const isTransient = (error: RpcError): boolean =>
  error instanceof OwnershipError || error instanceof ConnectionRefusedError;

/** A forwarded request and its retries. */
class ForwardedCall {
  private readonly chunks: ChunkCounter;
  private readonly retryForMs: number;
  private retryUntil: number;
  private mayHaveRun = false;

  constructor(
    private readonly parts: ForwarderOptions,
    private readonly request: SlotRequest,
    private readonly signal: AbortSignal,
    emit: EmitChunk,
  ) {
    this.chunks = new ChunkCounter(emit);
    this.retryForMs = Math.min(
      parts.heartbeatInterval() * retryHeartbeats,
      request.timeoutMs * retryShare,
    );
    this.retryUntil = parts.clock.now() + this.retryForMs;
  }

  async run(): Promise<CallOutcome> {
    const { clock, heartbeatInterval } = this.parts;
    for (;;) {
      let error: RpcError;
      try {
        return await this.attempt();
      } catch (thrown) {
        error = toRpcError(thrown);
      }
      const mayRetry =
        this.chunks.emitted === 0 &&
        isTransient(error) &&
        !this.signal.aborted &&
        clock.now() < this.retryUntil;
      if (!mayRetry) return this.failureOutcome(error);
      await delay(clock, heartbeatInterval() * retryPauseShare);
    }
  }

  private async attempt(): Promise<CallOutcome> {
    const { frontId, owner, runLocally } = this.parts;
    const { kind, slotKey, body } = this.request;
    owner.requireLease();
    const ownerId = owner.ownerOf(owner.slotFor(slotKey));
    if (ownerId === frontId)
      return this.check(await runLocally(kind, body, this.chunks.accept, this.signal));
    const member = owner.current?.state.nodes.get(ownerId);
    if (!member) throw new OwnershipError('no-owner', `no owner is known for key ${slotKey}`);
    return this.check(await this.callOwner(ownerId, member.data));
  }

  private async callOwner(ownerId: string, addr: string): Promise<CallOutcome> {
    const { clock, owner, transport } = this.parts;
    const { kind, body, timeoutMs } = this.request;
    const watch = owner.watch(ownerId);
    const response = transport.call(addr, kind, body, {
      timeoutMs,
      signal: AbortSignal.any([this.signal, watch.lost]),
      onChunk: (chunk) => {
        const { n, text } = StreamChunk.parse(chunk);
        this.chunks.accept(n, text);
      },
    });
    try {
      return CallOutcome.parse(await response);
    } catch (error) {
      if (!watch.lost.aborted || this.signal.aborted || this.chunks.emitted > 0) throw error;
      this.retryUntil = clock.now() + this.retryForMs;
      this.mayHaveRun = true;
      throw new OwnershipError('not-owner', `owner ${ownerId} left the cluster`);
    } finally {
      watch.end();
    }
  }

  private check(outcome: CallOutcome): CallOutcome {
    return streamKinds.has(this.request.kind) ? this.chunks.check(outcome) : outcome;
  }

  private failureOutcome(error: RpcError): CallOutcome {
    return this.mayHaveRun
      ? unknown(`the owner that may have run the request left the cluster: ${error.message}`)
      : outcomeOfError(error);
  }
}

/** Forwards requests to the owners of their slots. */
export class Forwarder {
  constructor(private readonly parts: ForwarderOptions) {}

  /** Resolves with the outcome of the request; chunks of a stream are emitted as they arrive. Never rejects. */
  forward(request: SlotRequest, emit: EmitChunk, signal: AbortSignal): Promise<CallOutcome> {
    return new ForwardedCall(this.parts, request, signal, emit).run();
  }
}
