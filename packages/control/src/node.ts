/**
 * A control: takes part in elections and publishing through its zen node, serves other nodes' requests to the master,
 * and answers operators by itself, as master, or by forwarding to the master. A response to an operator never claims
 * more than is known: a change with an unknown outcome is never reported as not made.
 */
import { nodeViewOf, reduceState, type Member, type NodeView } from '@tillerstair/state';
import { ElectionError, ProtocolError, toRpcError, type RpcRequest } from '@tillerstair/wire';
import { ZenNode, type MasterView, type ZenNodeOptions } from '@tillerstair/zen';
import { AllocationController } from './allocation-controller.js';
import { ListPoll } from './list-poll.js';
import { ListReader, type ServerList } from './list-reader.js';
import {
  ControlRequestKind,
  DepartureNotice,
  FilledNotice,
  OperatorRequest,
  OperatorResponse,
} from './messages.js';
import { operateLocally } from './operations/local-operations.js';
import { isReadOnly, operate } from './operations/operations.js';
import {
  failedForward,
  HttpStatus,
  lateDrainingMark,
  notCarriedOut,
} from './operations/responses.js';
import { tuneWeights } from './weight-tuning.js';

/** Options of a control: those of its zen node, and the deployment's server list if there is one. */
export interface ControlNodeOptions extends Omit<
  ZenNodeOptions,
  'settle' | 'onApplied' | 'report' | 'onReport' | 'onLead' | 'listReport' | 'onListReport'
> {
  readonly list?: ServerList | undefined;
}

/** The reader of the server list, and the poll that the master runs on it. */
interface PolledList {
  readonly reader: ListReader;
  readonly poll: ListPoll;
}

/** Reply to a node that requests the server list, from a control that has none. */
const emptyListReply = { open: [], draining: [] };

const drainingPath = /^\/v1\/servers\/[^/]+\/draining$/;

const isDrainingMark = ({ method, path }: OperatorRequest): boolean =>
  method === 'POST' && drainingPath.test(path);

/** A node that keeps the cluster state and can be elected master. */
export class ControlNode {
  /** The zen node of this control. */
  readonly zen: ZenNode;
  private readonly allocationController: AllocationController;
  private readonly list: PolledList | undefined;
  private readonly self: Member;
  private readonly clock: ControlNodeOptions['clock'];
  private readonly transport: ControlNodeOptions['transport'];
  private readonly bounds: ControlNodeOptions['bounds'];

  constructor(options: ControlNodeOptions) {
    const { localMember, clock, transport, bounds, log, electionStore } = options;
    this.self = localMember;
    this.clock = clock;
    this.transport = transport;
    this.bounds = bounds;
    this.allocationController = new AllocationController(clock, bounds, log);
    const { accepted } = electionStore.persisted;
    if (accepted) this.allocationController.recordAddresses(accepted);
    if (options.list) {
      const reader = new ListReader(clock, options.list, bounds, log);
      this.list = { reader, poll: new ListPoll(clock, reader) };
    }
    const poll = this.list?.poll;
    this.zen = new ZenNode({
      ...options,
      settle: this.allocationController.settle,
      onApplied: (state) => {
        this.allocationController.recordAddresses(state);
        return Promise.resolve();
      },
      onReport: this.allocationController.onReport,
      onLead: (master) => this.startMasterTasks(master),
      ...(poll ? { listReport: () => poll.reported(this.zen.leading?.term) } : {}),
    });
  }

  /** The id stored on this control's disk. */
  get id(): string {
    return this.self.id;
  }

  /** Starts serving requests and taking part in zen. */
  async start(): Promise<void> {
    await this.transport.serve((request) => this.handle(request));
    this.zen.start();
  }

  /** Leaves the cluster and closes the transport. */
  async stop(): Promise<void> {
    await this.zen.stop();
    await this.transport.close();
  }

  /** Handles a request of another node. Throws `ElectionError` (`not-master`) and `ProtocolError` (`unknown-kind`). */
  async handle(request: RpcRequest): Promise<unknown> {
    if (request.kind.startsWith('zen/')) return this.zen.handle(request);
    switch (request.kind) {
      case ControlRequestKind.list:
        return this.list?.reader.reply() ?? emptyListReply;
      case ControlRequestKind.operate:
        return operate(this.requireMaster(), OperatorRequest.parse(request.body));
      case ControlRequestKind.depart:
        return this.drainDeparting(this.requireMaster(), DepartureNotice.parse(request.body).id);
      case ControlRequestKind.filled:
        return this.recordFilledReplica(this.requireMaster(), FilledNotice.parse(request.body));
      default:
        throw new ProtocolError('unknown-kind', `no such request: ${request.kind}`);
    }
  }

  /**
   * Answers an operator. A request to drain a server that was committed after its timeout gets a response that leaves
   * the outcome open, since the time within which fronts stop sending to the server would no longer count from the
   * request (never-list.md, draining servers).
   */
  async operate(request: OperatorRequest): Promise<OperatorResponse> {
    const receivedAt = this.clock.now();
    const response = await this.dispatch(request);
    const isAcceptedMark = isDrainingMark(request) && response.status === HttpStatus.ok;
    const isInTime = this.clock.now() - receivedAt <= this.bounds.drainingCommitTimeout;
    return !isAcceptedMark || isInTime ? response : lateDrainingMark();
  }

  private async dispatch(request: OperatorRequest): Promise<OperatorResponse> {
    const local = operateLocally(request, () => this.localView());
    if (local) return local;
    const { leading, knownMaster } = this.zen;
    if (leading) return operate(leading, request);
    if (!knownMaster)
      return notCarriedOut(
        'no-master',
        `control ${this.id} knows no master`,
        this.bounds.failureTimeout,
      );
    return this.forward(knownMaster, request);
  }

  /**
   * Forwards a request to the master; the failure timeout is long enough for two publishes. A change without a response
   * may have been made, unless the error says that it was not executed.
   */
  private async forward(master: Member, request: OperatorRequest): Promise<OperatorResponse> {
    const { failureTimeout } = this.bounds;
    try {
      const response = await this.transport.call(master.addr, ControlRequestKind.operate, request, {
        timeoutMs: failureTimeout,
      });
      return OperatorResponse.parse(response);
    } catch (error) {
      const { executed, code, message } = toRpcError(error);
      if (executed === 'no' || isReadOnly(request))
        return notCarriedOut(code, message, failureTimeout, { master: master.http });
      return failedForward(message);
    }
  }

  /** The view of this control alone, which may be stale: it names the state version and waits for no majority. */
  private localView(): NodeView {
    const { term, knownMaster, applied } = this.zen;
    return nodeViewOf(this.self.id, 'control', term, knownMaster?.id ?? '', applied);
  }

  private requireMaster(): MasterView {
    const { leading } = this.zen;
    if (!leading) throw new ElectionError('not-master', `control ${this.id} is not master`);
    return leading;
  }

  /**
   * Drains a front that shuts down; nodes of other kinds are not drained, since their replicas or votes are still
   * needed.
   */
  private async drainDeparting(master: MasterView, id: string): Promise<object> {
    await master.submit((state) =>
      state.nodes.get(id)?.kind === 'front'
        ? reduceState(state, { kind: 'retire', id, on: true })
        : state,
    );
    return {};
  }

  /** Records that a joining replica has received all items of its slot. */
  private async recordFilledReplica(master: MasterView, notice: FilledNotice): Promise<object> {
    await master.submit((state) => reduceState(state, { kind: 'filled', ...notice }));
    return {};
  }

  /** Starts the periodic tasks of a master; each ends by itself when the master steps down. */
  private startMasterTasks(master: MasterView): void {
    void this.allocationController.run(master);
    void this.list?.poll.run(master);
    void tuneWeights(master, this.allocationController, this.clock, this.bounds);
  }
}
