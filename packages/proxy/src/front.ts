/**
 * A front: serves requests for the slots that it owns, forwards the others, and receives the cluster state from its
 * local agent. Owns the session owner, the term of the newest feed and the count of requests in flight. A state, a
 * lease or a list of barred servers of an earlier term never replaces one of a later term.
 */
import {
  decodeState,
  isNewerVersion,
  nodeViewOf,
  valueBytes,
  versionOf,
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
  type CallOutcome,
  type EmitChunk,
  type SessionOwnerBounds,
  type SessionOwnerOptions,
} from '@tillerstair/session-owner';
import {
  BudgetUse,
  createAbortController,
  delay,
  ElectionError,
  FeedError,
  toRpcError,
  UnavailableError,
  type Clock,
  type Logger,
  type RpcRequest,
  type Transport,
} from '@tillerstair/wire';
import { Forwarder, type SlotRequest } from './forwarder.js';
import { Feed, type FeedResponse } from './messages.js';
import { notFound } from './status-codes.js';

/** Dependencies and settings of a front. */
export type FrontOptions = SessionOwnerOptions;

/**
 * Share of `stopWithin` during which a stopping front still accepts requests, so that callers can see that it is not
 * ready; the rest is left for finishing the accepted requests.
 */
const acceptingShare = 3 / 8;
/**
 * How long a stopping front waits for its agent's next feed, as a share of a heartbeat; agents feed four times in one.
 */
const releaseReportShare = 1 / 2;
/** Interval at which a stopping front checks whether it can exit, as a share of a heartbeat. */
const stopCheckShare = 1 / 20;

/** Connections of callers that a stopping front drains; `DrainableServer` implements it. */
export interface CallerConnections {
  /** Number of requests without a complete response. */
  readonly pendingRequests: number;
  /** Makes each connection close after its next response; requests are still accepted. */
  announceClose(): void;
  /** Stops accepting connections and requests. */
  stopAccepting(): void;
}

const countUnanswered = (callers: readonly CallerConnections[]): number =>
  callers.reduce((total, { pendingRequests }) => total + pendingRequests, 0);

/** A front of the cluster: one node that owns slots and serves callers. */
export class Front {
  /** Node id in the cluster state. */
  readonly id: string;
  readonly clock: Clock;
  /** Time limits, in ms; some of them change when the settings are reloaded. */
  readonly bounds: SessionOwnerBounds;
  readonly owner: SessionOwner;
  private readonly transport: Transport;
  private readonly forwarder: Forwarder;
  private readonly stopSignal = createAbortController();
  private readonly log: Logger;
  private agentTerm = 0;
  private master = '';
  private active = 0;
  /** Whether a feed response has reported the release of the read lease to the agent. */
  private releaseReported = false;

  constructor(options: FrontOptions) {
    const { id, clock, transport, bounds } = options;
    this.id = id;
    this.clock = clock;
    this.transport = transport;
    this.bounds = bounds;
    this.log = options.log;
    this.owner = new SessionOwner(options);
    this.forwarder = new Forwarder({
      frontId: id,
      clock,
      transport,
      owner: this.owner,
      heartbeatInterval: () => bounds.heartbeatInterval,
      runLocally: (kind, body, emit, signal) => this.runLocally(kind, body, emit, signal),
    });
  }

  /** Starts serving other fronts. */
  async start(): Promise<void> {
    await this.transport.serve((rpc, emit, signal) =>
      this.runForwarded(rpc, (index, text) => emit({ n: index, text }), signal),
    );
    this.owner.start();
  }

  /**
   * Shuts down gracefully within `stopWithin` ms. Requests are accepted at first, while callers can see that the front
   * is not ready; then none is accepted from callers or other fronts; then the front waits until the accepted requests
   * are answered and its slots are handed over. A request accepted until the end would be cut off by the exit,
   * whichever front owns its slot.
   */
  async stop(callers: readonly CallerConnections[] = []): Promise<void> {
    this.stopSignal.abort();
    const { clock, owner } = this;
    const startedAt = clock.now();
    this.log.info(`Stopping: ${this.describePendingWork(callers)}.`);
    for (const connections of callers) connections.announceClose();
    if (owner.leaseValid) await this.waitUntil(startedAt + this.bounds.stopWithin * acceptingShare);
    for (const connections of callers) connections.stopAccepting();
    owner.stopAccepting();
    await this.waitUntil(startedAt + this.bounds.stopWithin, () => !this.hasPendingWork(callers));
    await this.reportLeaseReleased();
    this.log.info(
      `Stopped after ${Math.round(clock.now() - startedAt)} ms: ${this.describePendingWork(callers)}.`,
    );
    owner.stop();
    await this.transport.close();
  }

  /**
   * Releases the read lease and waits until the agent is informed, or until a running agent would have fed the front.
   */
  private async reportLeaseReleased(): Promise<void> {
    this.owner.releaseLease();
    const deadline = this.clock.now() + this.bounds.heartbeatInterval * releaseReportShare;
    await this.waitUntil(deadline, () => this.releaseReported);
  }

  /** Waits until the clock reaches `deadline` or `isDone` returns true. */
  private async waitUntil(deadline: number, isDone = (): boolean => false): Promise<void> {
    const { bounds, clock } = this;
    while (clock.now() < deadline && !isDone())
      await delay(clock, bounds.heartbeatInterval * stopCheckShare);
  }

  private hasPendingWork(callers: readonly CallerConnections[]): boolean {
    const { leaseValid, ownsSlots } = this.owner;
    return this.active > 0 || countUnanswered(callers) > 0 || (leaseValid && ownsSlots);
  }

  /** Logs that a response was broken off before it was complete. */
  logTruncatedAnswer(attempt: string, reason: string): void {
    this.log.warn(`The response to attempt ${attempt} was truncated: ${reason}.`);
  }

  /** Log text that lists the work that would be lost if the front exited now. */
  private describePendingWork(callers: readonly CallerConnections[]): string {
    const { leaseValid } = this.owner;
    const { slots } = this.owner.sizes();
    const lease = leaseValid ? 'valid' : 'over';
    return (
      `${countUnanswered(callers)} callers unanswered, ${this.active} requests in flight, ` +
      `${slots} slots owned, read lease ${lease}`
    );
  }

  /** Whether `stop` has been called. */
  get stopping(): boolean {
    return this.stopSignal.signal.aborted;
  }

  /** This front's view of the cluster, which `compare` checks against those of other nodes. */
  nodeView(): NodeView {
    return nodeViewOf(this.id, 'front', this.agentTerm, this.master, this.owner.current?.state);
  }

  /**
   * Applies a feed from the agent. Throws `need-config` if the feed leaves out a configuration that this front does not
   * have, and `other-cluster` if the state belongs to another cluster.
   */
  feed(body: unknown): FeedResponse {
    const feed = Feed.parse(body);
    const now = this.clock.now();
    const next = this.decodeFedState(feed);
    const current = this.owner.current?.state;
    if (next && (!current || isNewerVersion(versionOf(next), versionOf(current))))
      this.owner.applyState(next);
    if (feed.term >= this.agentTerm) {
      this.agentTerm = feed.term;
      this.master = feed.master;
      if (feed.barred) this.owner.barServers(new Set(feed.barred));
      if (feed.leaseRenewedAt <= now) this.owner.renewLease(feed.leaseRenewedAt);
    }
    this.releaseReported = this.owner.leaseReleased;
    return {
      id: this.id,
      applied: versionOf(this.owner.current?.state),
      seen: this.owner.placement.report(),
      released: this.owner.releaseIdleSlots(),
      stopping: this.stopping,
      ...(this.owner.leaseReleased ? { leaseReleased: true } : {}),
    };
  }

  private decodeFedState(feed: Feed): State | undefined {
    const current = this.owner.current?.state;
    const decoded = feed.state ? decodeState(new Map(feed.state)) : undefined;
    if (feed.config !== undefined && feed.config !== current?.config?.digest)
      throw new FeedError(
        'need-config',
        `front ${this.id} does not have configuration ${feed.config}`,
      );
    const next =
      decoded && feed.config !== undefined ? { ...decoded, config: current?.config } : decoded;
    if (next && current && current.clusterId !== next.clusterId)
      throw new ElectionError(
        'other-cluster',
        `front ${this.id} belongs to cluster ${current.clusterId}, not to ${next.clusterId}`,
      );
    return next;
  }

  /** Runs a request of another front. @throws UnavailableError (`memory-full`) if the memory for requests is in use */
  private async runForwarded(
    { kind, body }: RpcRequest,
    emit: EmitChunk,
    signal: AbortSignal,
  ): Promise<CallOutcome> {
    const memory = new BudgetUse(this.owner.requestMemory);
    if (!memory.take(valueBytes(body)))
      throw new UnavailableError('memory-full', 'the memory for requests is in use');
    try {
      return await this.runLocally(kind, body, emit, signal);
    } finally {
      memory.release();
    }
  }

  private async runLocally(
    kind: string,
    body: unknown,
    emit: EmitChunk,
    signal: AbortSignal,
  ): Promise<CallOutcome> {
    this.active++;
    try {
      switch (kind) {
        case 'front/program':
          return await this.owner.turns.createProgram(ProgramRequest.parse(body));
        case 'front/turn':
          return await this.owner.turns.runTurn(TurnRequest.parse(body), emit, signal);
        case 'front/history':
          return await this.owner.turns.readHistory(HistoryRequest.parse(body));
        case 'front/call':
          return await this.owner.calls.runCall(CallRequest.parse(body), signal);
        case 'front/keyed':
          return await this.owner.calls.runPass(PassRequest.parse(body), signal);
        case 'front/stream':
          return await this.owner.streams.runStream(PassRequest.parse(body), emit, signal);
        default:
          return refused(notFound, 'unknown-kind', kind);
      }
    } finally {
      this.active--;
    }
  }

  /** Runs a request on a pass route that is not bound to a slot; never rejects. */
  serveLocally(
    request: PassRequest,
    isStream: boolean,
    emit: EmitChunk,
    signal: AbortSignal,
  ): Promise<CallOutcome> {
    return this.runLocally(isStream ? 'front/stream' : 'front/keyed', request, emit, signal).catch(
      (error: unknown) => outcomeOfError(toRpcError(error)),
    );
  }

  /** Runs a request at the owner of its slot, which may be this front; never rejects. */
  async forward(request: SlotRequest, emit: EmitChunk, signal: AbortSignal): Promise<CallOutcome> {
    this.active++;
    try {
      return await this.forwarder.forward(request, emit, signal);
    } finally {
      this.active--;
    }
  }
}
