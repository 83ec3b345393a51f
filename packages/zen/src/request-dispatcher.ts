/**
 * Dispatches the requests of other nodes by kind: parses each request, refuses it if it is addressed to another node,
 * and passes it to the component that answers it.
 */
import { reduceState, versionOf, type State } from '@tillerstair/state';
import { ElectionError, ProtocolError, type RpcRequest } from '@tillerstair/wire';
import { requireAddressee } from './addressee.js';
import type { Bootstrapper } from './bootstrapper.js';
import type { Follower } from './follower.js';
import type { InterruptibleSleep } from './interruptible-sleep.js';
import type { KnownMembers } from './known-members.js';
import type { Leadership } from './leadership.js';
import type { LocalNode } from './local-node.js';
import {
  BootstrapVote,
  Commit,
  Join,
  Leave,
  MasterPing,
  NodePing,
  Ping,
  Publish,
  SteppedDown,
  Validate,
  type JoinResponse,
  type MasterPingResponse,
  type NodePingResponse,
  type PingResponse,
} from './messages.js';
import type { PendingJoins } from './pending-joins.js';
import type { PublishReceiver } from './publish-receiver.js';
import { grantVote } from './vote.js';

/** The components of a node that answer requests, and the values that go into the responses. */
export interface RequestDispatcherOptions {
  readonly localNode: LocalNode;
  readonly knownMembers: KnownMembers;
  readonly bootstrapper: Bootstrapper;
  readonly pendingJoins: PendingJoins;
  readonly leadership: Leadership;
  readonly follower: Follower;
  readonly receiver: PublishReceiver;
  /** Woken when a join arrives or the master announces that it stepped down. */
  readonly sleep: InterruptibleSleep;
  /** The committed state that this node has applied. */
  readonly applied: () => State | undefined;
  /** This node's report to the master, for responses to its pings. */
  readonly report: () => unknown;
  /** The master's report on the list of servers, for responses to the pings of followers. */
  readonly listReport: () => unknown;
}

type RequestHandler = (body: unknown) => unknown;

/** Answers the requests of discovery, election, publishing and fault detection. */
export class RequestDispatcher {
  private readonly localNode: LocalNode;
  private readonly knownMembers: KnownMembers;
  private readonly pendingJoins: PendingJoins;
  private readonly leadership: Leadership;
  private readonly follower: Follower;
  private readonly sleep: InterruptibleSleep;
  private readonly applied: () => State | undefined;
  private readonly report: () => unknown;
  private readonly listReport: () => unknown;
  private readonly handlers: ReadonlyMap<string, RequestHandler>;

  constructor(options: RequestDispatcherOptions) {
    const { localNode, bootstrapper, follower, receiver } = options;
    this.localNode = localNode;
    this.knownMembers = options.knownMembers;
    this.pendingJoins = options.pendingJoins;
    this.leadership = options.leadership;
    this.follower = follower;
    this.sleep = options.sleep;
    this.applied = options.applied;
    this.report = options.report;
    this.listReport = options.listReport;
    const { electionStore, member } = localNode;
    this.handlers = new Map<string, RequestHandler>([
      ['zen/ping', (body) => this.onPing(Ping.parse(body))],
      ['zen/bootstrap', (body) => bootstrapper.onVoteRequest(member, BootstrapVote.parse(body))],
      ['zen/join', (body) => this.onJoin(Join.parse(body))],
      [
        'zen/validate',
        (body) => grantVote(electionStore, follower.joiningId, Validate.parse(body)),
      ],
      ['zen/publish', (body) => receiver.onPublish(Publish.parse(body))],
      ['zen/commit', (body) => receiver.onCommit(Commit.parse(body).stateVersion)],
      ['zen/node-ping', (body) => this.onNodePing(NodePing.parse(body))],
      ['zen/master-ping', (body) => this.onMasterPing(MasterPing.parse(body))],
      ['zen/stepped-down', (body) => this.onSteppedDown(SteppedDown.parse(body))],
      ['zen/leave', (body) => this.onLeave(Leave.parse(body))],
    ]);
  }

  /** Resolves with the response; rejects with an `RpcError` whose code tells why the request is refused. */
  async handle(request: RpcRequest): Promise<unknown> {
    requireAddressee(this.localNode.member, request, (from) => this.knownMembers.learn([from]));
    const handler = this.handlers.get(request.kind);
    if (!handler) throw new ProtocolError('unknown-kind', `no such request: ${request.kind}`);
    return await handler(request.body);
  }

  private onPing({ from }: Ping): PingResponse {
    this.knownMembers.learn([from]);
    const master = this.leadership.active ? this.localNode.member : this.follower.master;
    return this.localNode.pingResponse(master, this.knownMembers.controls());
  }

  private onJoin(join: Join): Promise<JoinResponse> {
    const { clusterId } = this.localNode;
    if (join.clusterId && join.clusterId !== clusterId)
      throw new ElectionError(
        'other-cluster',
        `this node belongs to cluster ${clusterId}, not ${join.clusterId}`,
      );
    const master = this.leadership.active;
    if (master) return master.onJoin(join);
    const response = this.pendingJoins.add(join);
    this.sleep.wake();
    return response;
  }

  /**
   * Answers the ping of a master; a ping of another master of this cluster in a later term ends a mastership here
   * (docs/zen.md, "One master a term").
   */
  private onNodePing({ from, term, clusterId }: NodePing): NodePingResponse {
    if (clusterId === this.localNode.clusterId)
      this.leadership.master?.onPingFromAnotherMaster(term, from.addr);
    return {
      term: this.localNode.term,
      applied: versionOf(this.applied()),
      report: this.report(),
    };
  }

  private onMasterPing(ping: MasterPing): MasterPingResponse {
    const { master } = this.leadership;
    if (master && ping.term > master.term)
      master.stepDown(`${ping.from.addr} is in term ${ping.term}`);
    const active = this.leadership.active;
    if (active) return { ...active.onMasterPing(ping), reported: this.listReport() };
    const committed = versionOf(undefined);
    return { leading: false, listed: false, term: this.localNode.term, committed, age: 0 };
  }

  private onSteppedDown({ from }: SteppedDown): object {
    if (this.follower.master?.id === from.id) this.sleep.wake();
    return {};
  }

  private async onLeave({ from, leaseReleased }: Leave): Promise<object> {
    const { id } = from;
    if (leaseReleased) this.leadership.active?.noteLeaseReleased(id);
    await this.leadership.active?.submit((state) => reduceState(state, { kind: 'leave', id }));
    return {};
  }
}
