/**
 * One control: takes part in zen, serves the other nodes' requests to the master, and answers operators, by itself, as
 * master, or by forwarding to the master. What it says to an operator never claims more than is known: a change whose
 * end is unclear is never called undone.
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

/** What a control is made of: what zen needs, and the deployment's list of servers if there is one. */
export interface ControlNodeOptions extends Omit<
  ZenNodeOptions,
  'settle' | 'onApplied' | 'report' | 'onReport' | 'onLead' | 'listReport' | 'onListReport'
> {
  readonly list?: ServerList | undefined;
}

interface PolledList {
  readonly reader: ListReader;
  readonly poll: ListPoll;
}

/** What a control without a list of servers replies to who asks for its reading. */
const noList = { open: [], draining: [] };

const drainingPath = /^\/v1\/servers\/[^/]+\/draining$/;

const isDrainingMark = ({ method, path }: OperatorRequest): boolean =>
  method === 'POST' && drainingPath.test(path);

/** A member of the cluster that may become its master. */
export class ControlNode {
  /** This control's part in zen. */
  readonly zen: ZenNode;
  private readonly allocationController: AllocationController;
  private readonly list: PolledList | undefined;
  private readonly me: Member;
  private readonly clock: ControlNodeOptions['clock'];
  private readonly transport: ControlNodeOptions['transport'];
  private readonly bounds: ControlNodeOptions['bounds'];

  constructor(parts: ControlNodeOptions) {
    const { me, clock, transport, bounds, log, electionStore } = parts;
    this.me = me;
    this.clock = clock;
    this.transport = transport;
    this.bounds = bounds;
    this.allocationController = new AllocationController(clock, bounds, log);
    const { accepted } = electionStore.persisted;
    if (accepted) this.allocationController.recordAddresses(accepted);
    if (parts.list) {
      const reader = new ListReader(clock, parts.list, bounds, log);
      this.list = { reader, poll: new ListPoll(clock, reader) };
    }
    const poll = this.list?.poll;
    this.zen = new ZenNode({
      ...parts,
      settle: this.allocationController.settle,
      onApplied: (state) => {
        this.allocationController.recordAddresses(state);
        return Promise.resolve();
      },
      onReport: this.allocationController.onReport,
      onLead: (master) => this.lead(master),
      ...(poll ? { listReport: () => poll.reported(this.zen.leading?.term) } : {}),
    });
  }

  /** The id that lies on this control's disk. */
  get id(): string {
    return this.me.id;
  }

  /** Serves requests and takes part in zen from now on. */
  async start(): Promise<void> {
    await this.transport.serve((request) => this.handle(request));
    this.zen.start();
  }

  /** Leaves the cluster and closes the transport. */
  async stop(): Promise<void> {
    await this.zen.stop();
    await this.transport.close();
  }

  /** Answers a request of the inner wire. Throws `ElectionError` (`not-master`) and `ProtocolError` (`unknown-kind`). */
  async handle(request: RpcRequest): Promise<unknown> {
    if (request.kind.startsWith('zen/')) return this.zen.handle(request);
    switch (request.kind) {
      case ControlRequestKind.list:
        return this.list?.reader.reply() ?? noList;
      case ControlRequestKind.operate:
        return operate(this.leadingMaster(), OperatorRequest.parse(request.body));
      case ControlRequestKind.depart:
        return this.drainDeparting(this.leadingMaster(), DepartureNotice.parse(request.body).id);
      case ControlRequestKind.filled:
        return this.countFilled(this.leadingMaster(), FilledNotice.parse(request.body));
      default:
        throw new ProtocolError('unknown-kind', `no such request: ${request.kind}`);
    }
  }

  /**
   * Answers an operator. A server's draining mark that took longer than its bound gets an unclear answer, since the
   * bound within which fronts stop would no longer count from the request (never-list.md, draining servers).
   */
  async operate(request: OperatorRequest): Promise<OperatorResponse> {
    const receivedAt = this.clock.now();
    const response = await this.dispatch(request);
    const isMarked = isDrainingMark(request) && response.status === HttpStatus.ok;
    const isInTime = this.clock.now() - receivedAt <= this.bounds.drainingCommitTimeout;
    return !isMarked || isInTime ? response : lateDrainingMark();
  }

  private async dispatch(request: OperatorRequest): Promise<OperatorResponse> {
    const local = operateLocally(request, () => this.localView());
    if (local) return local;
    const { leading, knownMaster } = this.zen;
    if (leading) return operate(leading, request);
    if (!knownMaster)
      return notCarriedOut('no-master', 'no master is known', this.bounds.failureTimeout);
    return this.forward(knownMaster, request);
  }

  /** Asks the master, for no longer than it may publish twice; a change without a clear answer may have been made. */
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

  /** What this control alone holds, which may be old: it names the state's version and waits for no majority. */
  private localView(): NodeView {
    const { term, knownMaster, applied } = this.zen;
    return nodeViewOf(this.me.id, 'control', term, knownMaster?.id ?? '', applied);
  }

  private leadingMaster(): MasterView {
    const { leading } = this.zen;
    if (!leading) throw new ElectionError('not-master', 'this control is not master');
    return leading;
  }

  /** A front that shuts down is drained; a node of another kind is not, since its replicas or vote are still needed. */
  private async drainDeparting(master: MasterView, id: string): Promise<object> {
    await master.submit((state) =>
      state.nodes.get(id)?.kind === 'front'
        ? reduceState(state, { kind: 'retire', id, on: true })
        : state,
    );
    return {};
  }

  private async countFilled(master: MasterView, notice: FilledNotice): Promise<object> {
    await master.submit((state) => reduceState(state, { kind: 'filled', ...notice }));
    return {};
  }

  /** Starts what a master does periodically; each ends by itself when the master steps down. */
  private lead(master: MasterView): void {
    void this.allocationController.run(master);
    void this.list?.poll.run(master);
    void tuneWeights(master, this.allocationController, this.clock, this.bounds);
  }
}
