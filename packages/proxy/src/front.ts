/**
 * A front: serves requests for the slots that it owns, forwards the others, and takes the cluster state from the agent
 * beside it. Owns the session owner, the term of its newest feed and the count of requests under way. A state, lease or
 * bar of an earlier term never replaces one of a later term.
 */
import {
  decodeState,
  isNewerVersion,
  nodeViewOf,
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
  createAbortController,
  delay,
  ElectionError,
  FeedError,
  toRpcError,
  type Clock,
  type Logger,
  type Transport,
} from '@tillerstair/wire';
import { Forwarder, type SlotRequest } from './forwarder.js';
import { Feed, type FeedResponse } from './messages.js';
import { notFound } from './status-codes.js';

/** What a front is made from. */
export type FrontParts = SessionOwnerOptions;

/**
 * The share of the stop time for which a stopping front takes requests, so that callers see that it is not ready; the
 * rest is for what it took.
 */
const lingerShare = 3 / 8;
/** How long a stopped front waits for its agent's next feed, as a share of a heartbeat; it feeds four times in one. */
const reportShare = 1 / 2;
/** How often a stopping front looks whether it may end, as a share of a heartbeat. */
const stopCheckShare = 1 / 20;

/** The connections of callers, as a front that stops sees them (`DrainableServer`). */
export interface CallerConnections {
  /** How many requests have no complete answer yet. */
  readonly pendingRequests: number;
  /** Has each connection end with its next answer; requests are still taken. */
  announceClose(): void;
  /** Takes no further connection or request. */
  stopAccepting(): void;
}

const unansweredOf = (callers: readonly CallerConnections[]): number =>
  callers.reduce((sum, { pendingRequests }) => sum + pendingRequests, 0);

/** A front of the cluster. */
export class Front {
  /** The front's id in the cluster state. */
  readonly id: string;
  readonly clock: Clock;
  /** Time limits, in ms; they follow the settings file. */
  readonly bounds: SessionOwnerBounds;
  readonly owner: SessionOwner;
  private readonly transport: Transport;
  private readonly forwarder: Forwarder;
  private readonly stopSignal = createAbortController();
  private readonly log: Logger;
  private agentTerm = 0;
  private master = '';
  private active = 0;
  /** Whether the agent has been told that the read lease is given up. */
  private releaseReported = false;

  constructor(parts: FrontParts) {
    const { id, clock, transport, bounds } = parts;
    this.id = id;
    this.clock = clock;
    this.transport = transport;
    this.bounds = bounds;
    this.log = parts.log;
    this.owner = new SessionOwner(parts);
    this.forwarder = new Forwarder({
      frontId: id,
      clock,
      transport,
      owner: this.owner,
      heartbeatInterval: () => bounds.heartbeatInterval,
      runLocally: (kind, body, emit, signal) => this.runLocally(kind, body, emit, signal),
    });
  }

  /** Begins to serve other fronts. */
  async start(): Promise<void> {
    await this.transport.serve((rpc, emit, signal) =>
      this.runLocally(rpc.kind, rpc.body, (n, text) => emit({ n, text }), signal),
    );
    this.owner.start();
  }

  /**
   * Stops in order, in `stopWithin` ms at most. Callers first have time to see that it is not ready, while requests are
   * still taken; then none is taken any more, from callers or other fronts; then it waits until what it took is answered
   * and its slots are handed over. Requests that are taken to the end would be cut by it, whoever owns their slot.
   */
  async stop(callers: readonly CallerConnections[] = []): Promise<void> {
    this.stopSignal.abort();
    const { clock, owner } = this;
    const since = clock.now();
    this.log.info(`Stopping: ${this.workLeft(callers)}.`);
    for (const connections of callers) connections.announceClose();
    if (owner.leaseValid) await this.waitUntil(since + this.bounds.stopWithin * lingerShare);
    for (const connections of callers) connections.stopAccepting();
    owner.stopAccepting();
    await this.waitUntil(since + this.bounds.stopWithin, () => !this.isBusy(callers));
    await this.reportLeaseReleased();
    this.log.info(
      `Stopped after ${Math.round(clock.now() - since)} ms: ${this.workLeft(callers)}.`,
    );
    owner.stop();
    await this.transport.close();
  }

  /** Gives the read lease up, and waits until the agent has heard so, or can't be there any more. */
  private async reportLeaseReleased(): Promise<void> {
    this.owner.releaseLease();
    const until = this.clock.now() + this.bounds.heartbeatInterval * reportShare;
    await this.waitUntil(until, () => this.releaseReported);
  }

  /** Waits until a time of the clock, or until `isOver`. */
  private async waitUntil(time: number, isOver = (): boolean => false): Promise<void> {
    const { bounds, clock } = this;
    while (clock.now() < time && !isOver())
      await delay(clock, bounds.heartbeatInterval * stopCheckShare);
  }

  private isBusy(callers: readonly CallerConnections[]): boolean {
    const { leaseValid, ownsSlots } = this.owner;
    return this.active > 0 || unansweredOf(callers) > 0 || (leaseValid && ownsSlots);
  }

  /** Logs that a caller's answer was broken off, and why. */
  noteCutAnswer(attempt: string, reason: string): void {
    this.log.warn(`The answer to ${attempt} was cut: ${reason}.`);
  }

  /** What would be cut if the front ended now, for the log. */
  private workLeft(callers: readonly CallerConnections[]): string {
    const { leaseValid } = this.owner;
    const { slots } = this.owner.sizes();
    const lease = leaseValid ? 'valid' : 'over';
    return (
      `${unansweredOf(callers)} callers unanswered, ${this.active} requests under way, ` +
      `${slots} slots owned, read lease ${lease}`
    );
  }

  /** True from the call of `stop` on. */
  get stopping(): boolean {
    return this.stopSignal.signal.aborted;
  }

  /** This front's own view of the cluster, for `compare`. */
  nodeView(): NodeView {
    return nodeViewOf(this.id, 'front', this.agentTerm, this.master, this.owner.current?.state);
  }

  /**
   * Applies what the agent feeds. Throws `need-config` if the state comes without a configuration that this front has,
   * and `other-cluster` if it is of another cluster.
   */
  feed(body: unknown): FeedResponse {
    const feed = Feed.parse(body);
    const now = this.clock.now();
    const next = this.fedState(feed);
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

  private fedState(feed: Feed): State | undefined {
    const current = this.owner.current?.state;
    const fed = feed.state ? decodeState(new Map(feed.state)) : undefined;
    if (feed.config !== undefined && feed.config !== current?.config?.digest)
      throw new FeedError('need-config', 'this front does not have that configuration');
    const next = fed && feed.config !== undefined ? { ...fed, config: current?.config } : fed;
    if (next && current && current.clusterId !== next.clusterId)
      throw new ElectionError('other-cluster', `this front is of cluster ${current.clusterId}`);
    return next;
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

  /** Runs a request on a pass route that belongs to no slot; never rejects. */
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

  /** Forwards a request to the owner of its slot, which may be this front; never rejects. */
  async forward(request: SlotRequest, emit: EmitChunk, signal: AbortSignal): Promise<CallOutcome> {
    this.active++;
    try {
      return await this.forwarder.forward(request, emit, signal);
    } finally {
      this.active--;
    }
  }
}
