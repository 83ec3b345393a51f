/**
 * A node of the cluster (docs/zen.md): it repeatedly finds a master, then leads or follows until that ends. This module
 * connects the components; each owns its state, and only the election store owns state that must survive a restart.
 */
import type { Member, State } from '@tillerstair/state';
import {
  createAbortController,
  delay,
  toRpcError,
  type Clock,
  type Logger,
  type RpcRequest,
} from '@tillerstair/wire';
import { Bootstrapper } from './bootstrapper.js';
import type { ZenBounds } from './bounds.js';
import { Candidate } from './candidate.js';
import { Follower } from './follower.js';
import { InterruptibleSleep } from './interruptible-sleep.js';
import { KnownMembers } from './known-members.js';
import { Leadership } from './leadership.js';
import { leaveCluster } from './leave.js';
import { LocalNode } from './local-node.js';
import { MasterFinder } from './master-finder.js';
import type { MasterView } from './master-types.js';
import { PendingJoins } from './pending-joins.js';
import { PingRound, type PingRoundResult } from './ping-round.js';
import { PublishReceiver } from './publish-receiver.js';
import { ReadLease } from './read-lease.js';
import { renewReadLease } from './read-lease-renewal.js';
import { RequestDispatcher } from './request-dispatcher.js';
import type { ZenNodeOptions } from './zen-node-options.js';

/** After an unexpected error the node retries after the heartbeat interval divided by this. */
const errorPausesPerHeartbeat = 10;

/** A node of the cluster, from `start` to `stop`; can be started once. */
export class ZenNode {
  private readonly clock: Clock;
  private readonly bounds: ZenBounds;
  private readonly log: Logger;
  private readonly stopping = createAbortController();
  private readonly sleep: InterruptibleSleep;
  private readonly readLease = new ReadLease();
  private readonly pendingJoins = new PendingJoins();
  private readonly localNode: LocalNode;
  private readonly knownMembers: KnownMembers;
  private readonly receiver: PublishReceiver;
  private readonly masterFinder: MasterFinder;
  private readonly candidate: Candidate;
  private readonly leadership: Leadership;
  private readonly follower: Follower;
  private readonly dispatcher: RequestDispatcher;
  /** Resolves when the run loop has ended. */
  private ended: Promise<void> = Promise.resolve();
  private seeds: readonly string[];

  constructor(private readonly options: ZenNodeOptions) {
    const { me, clock, transport, bounds, log, electionStore } = options;
    this.seeds = options.seeds;
    this.clock = clock;
    this.bounds = bounds;
    this.log = log;
    this.sleep = new InterruptibleSleep(clock);
    this.localNode = new LocalNode(me, electionStore);
    this.knownMembers = new KnownMembers(me.addr);
    this.receiver = this.makeReceiver();
    this.leadership = this.makeLeadership();
    const bootstrapper = new Bootstrapper(options);
    this.masterFinder = this.makeMasterFinder(bootstrapper);
    const shared = {
      localMember: me,
      clock,
      transport,
      bounds,
      log,
      localNode: this.localNode,
      pendingJoins: this.pendingJoins,
      sleep: this.sleep,
      stopping: this.stopping.signal,
    };
    this.candidate = new Candidate(shared);
    this.follower = new Follower({ ...shared, ...this.reports(), readLease: this.readLease });
    this.dispatcher = new RequestDispatcher({
      ...shared,
      ...this.reports(),
      bootstrapper,
      knownMembers: this.knownMembers,
      leadership: this.leadership,
      follower: this.follower,
      receiver: this.receiver,
    });
    transport.onConnectionLost((addr) => this.onConnectionLost(addr));
    const { accepted } = this.localNode;
    if (accepted) this.learnMembers(accepted);
  }

  private makeReceiver(): PublishReceiver {
    return new PublishReceiver({
      electionStore: this.options.electionStore,
      onApplied: async (state) => {
        this.learnMembers(state);
        await this.options.onApplied?.(state);
      },
      isMaster: (id) => this.follower.isMaster(id),
      onTerm: (term, publisher) => {
        const { master } = this.leadership;
        if (master && term > master.term)
          master.stepDown(`${publisher.addr} publishes in term ${term}`);
      },
      onPublished: (publisher) => this.follower.onPublished(publisher),
    });
  }

  private makeLeadership(): Leadership {
    const { me, transport, electionStore, settle, onReport, onLead } = this.options;
    return new Leadership({
      masterOptions: {
        localMember: me,
        clock: this.clock,
        transport,
        electionStore,
        bounds: this.bounds,
        log: this.log,
        settle: settle ?? ((state) => state),
        apply: (state) => this.receiver.apply(state),
        onReport: onReport ?? (() => undefined),
      },
      pendingJoins: this.pendingJoins,
      onLead: (master) => onLead?.(master),
    });
  }

  private makeMasterFinder(bootstrapper: Bootstrapper): MasterFinder {
    return new MasterFinder({
      clock: this.clock,
      bounds: this.bounds,
      log: this.log,
      localNode: this.localNode,
      knownMembers: this.knownMembers,
      pendingJoins: this.pendingJoins,
      bootstrapper,
      mayBootstrap: this.options.mayBootstrap !== false,
      seeds: () => this.seeds,
      pingRound: () => this.pingRound(),
      onRound: (round) => this.renewLease(round),
      stopping: this.stopping.signal,
    });
  }

  /** Callbacks for the reports that this node exchanges with its master or its followers. */
  private reports() {
    const { report, listReport, onListReport } = this.options;
    return {
      applied: () => this.applied,
      report: () => report?.() ?? null,
      listReport: () => listReport?.(),
      onListReport: (reported: unknown, requestedAt: number) =>
        onListReport?.(reported, requestedAt),
    };
  }

  /** Newest committed state that this node has applied. */
  get applied(): State | undefined {
    return this.receiver.applied;
  }

  /** The master role of this node, if it is master and has not stepped down. */
  get leading(): MasterView | undefined {
    return this.leadership.active;
  }

  /** The current master as known to this node: itself, or the master that it follows. */
  get knownMaster(): Member | undefined {
    return this.leading ? this.localNode.member : this.follower.master;
  }

  /** Term of this node's newest vote. */
  get term(): number {
    return this.localNode.term;
  }

  /** Id of the cluster that this node belongs to; empty before it has accepted a state. */
  get clusterId(): string {
    return this.localNode.clusterId;
  }

  /** Newest state that this node has accepted, committed or not. */
  get accepted(): State | undefined {
    return this.localNode.accepted;
  }

  /** Latest clock time in milliseconds at which the applied state is known to have been the newest committed one. */
  get leaseRenewedAt(): number {
    return this.readLease.leaseRenewedAt;
  }

  /** Replaces the seed addresses of ping rounds from now on; nothing in progress is interrupted. */
  replaceSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** Pings the master without waiting for the next heartbeat, so that it receives this node's report. */
  reportNow(): void {
    this.sleep.wake();
  }

  /** Starts the search for a master; `handle` may be called before. */
  start(): void {
    this.ended = this.run();
    if (this.localNode.member.kind === 'front') void this.renewReadLease();
  }

  /**
   * Leaves the cluster and stops the node; resolves once its run loop has ended.
   *
   * @param leaseReleased - Whether this is the node of a front that has stopped serving: changes then do not wait for
   * its read lease.
   */
  async stop(leaseReleased = false): Promise<void> {
    const leave = { ...this.options, leaseReleased };
    await leaveCluster(leave, this.follower.master, this.leading).catch(() => undefined);
    this.stopping.abort();
    this.leadership.master?.stepDown('stopping');
    this.sleep.wake();
    await this.ended;
  }

  /** Handles a request from another node; rejects with an `RpcError` if the request is refused. */
  handle(request: RpcRequest): Promise<unknown> {
    return this.dispatcher.handle(request);
  }

  private async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      try {
        await this.findAndServe();
      } catch (e) {
        this.log.warn(`Round ended: ${toRpcError(e).message}.`);
        const wait = this.bounds.heartbeatInterval / errorPausesPerHeartbeat;
        await delay(this.clock, wait, this.stopping.signal);
      }
    }
    this.pendingJoins.rejectAll();
  }

  private async findAndServe(): Promise<void> {
    const master = await this.masterFinder.find();
    if (!master) return;
    if (master.id !== this.localNode.member.id) return this.follower.run(master);
    const election = await this.candidate.run();
    if (election) await this.leadership.run(election);
  }

  private pingRound(): Promise<PingRoundResult> {
    const { me, transport } = this.options;
    return new PingRound({
      clock: this.clock,
      transport,
      timeoutMs: this.bounds.pingRoundTimeout,
      knownMembers: this.knownMembers,
      localAddress: me.addr,
      seeds: () => this.seeds,
      ping: () => ({ from: me, known: this.knownMembers.controls(), clusterId: this.clusterId }),
      stopping: this.stopping.signal,
    }).run();
  }

  private renewReadLease(): Promise<void> {
    return renewReadLease({
      clock: this.clock,
      bounds: this.bounds,
      isFollowing: () => this.follower.master !== undefined,
      renewedAt: () => this.leaseRenewedAt,
      pingRound: () => this.pingRound(),
      onRound: (round) => this.renewLease(round),
      stopping: this.stopping.signal,
    });
  }

  private renewLease(round: PingRoundResult): void {
    this.readLease.renewFromRound(round, this.applied, this.localNode.member.id);
  }

  private learnMembers(state: State): void {
    this.knownMembers.learn([...state.votingMembers.values(), ...state.nodes.values()]);
  }

  private onConnectionLost(addr: string): void {
    this.leadership.master?.onConnectionLost(addr);
    if (this.follower.master?.addr === addr) this.sleep.wake();
  }
}
