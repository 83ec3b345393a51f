import { z } from 'zod';
import {
  nodeViewOf,
  checkConfig,
  reduceState,
  type NodeView,
  type Member,
} from '@tillerstair/state';
import { ElectionError, ProtocolError, type RpcRequest, toRpcError } from '@tillerstair/wire';
import { ZenNode, type MasterView, type ZenNodeOptions } from '@tillerstair/zen';
import { AllocationController } from './allocation-controller.js';
import { ListPoll, ListReader, type ServerList } from './list.js';
import { isRead, operate, Operation, Outcome } from './operate.js';
import { tuneWeights } from './weights.js';

export interface ControlParts extends Omit<
  ZenNodeOptions,
  'settle' | 'onApplied' | 'report' | 'onReport' | 'onLead' | 'listReport' | 'onListReport'
> {
  readonly list?: ServerList | undefined;
}

const Departs = z.object({ id: z.string() });
const Filled = z.object({ store: z.string(), slot: z.number(), ownershipEpoch: z.number() });

export class ControlNode {
  readonly zen: ZenNode;
  private readonly allocationController: AllocationController;
  private readonly list: { readonly reader: ListReader; readonly poll: ListPoll } | undefined;

  constructor(private readonly p: ControlParts) {
    this.allocationController = new AllocationController(p.clock, p.bounds, p.log);
    const old = p.electionStore.persisted.accepted;
    if (old) this.allocationController.learn(old);
    if (p.list) {
      const reader = new ListReader(p.clock, p.list, p.bounds, p.log);
      this.list = { reader, poll: new ListPoll(p.clock, reader) };
    }
    const poll = this.list?.poll;
    this.zen = new ZenNode({
      ...p,
      settle: this.allocationController.settle,
      onApplied: async (s) => this.allocationController.learn(s),
      onReport: this.allocationController.onReport,
      onLead: (m) => this.lead(m),
      ...(poll ? { listReport: () => poll.reported(this.zen.leading?.term) } : {}),
    });
  }

  get id(): string {
    return this.p.me.id;
  }

  private lead(m: MasterView): void {
    void this.allocationController.run(m);
    void this.list?.poll.run(m);
    void tuneWeights(m, this.allocationController, this.p.clock, this.p.bounds);
  }

  async start(): Promise<void> {
    await this.p.transport.serve((rpc) => this.handle(rpc));
    this.zen.start();
  }

  async stop(): Promise<void> {
    await this.zen.stop();
    await this.p.transport.close();
  }

  async handle(rpc: RpcRequest): Promise<unknown> {
    if (rpc.kind.startsWith('zen/')) return this.zen.handle(rpc);
    if (rpc.kind === 'control/list') return this.list?.reader.reply() ?? { open: [], draining: [] };
    if (rpc.kind === 'control/operate') {
      const m = this.zen.leading;
      if (!m) throw new ElectionError('not-master', 'this control is not master');
      return operate(m, Operation.parse(rpc.body));
    }
    if (rpc.kind === 'control/depart') {
      const m = this.zen.leading;
      if (!m) throw new ElectionError('not-master', 'this control is not master');
      const { id } = Departs.parse(rpc.body);
      await m.submit((s) =>
        s.nodes.get(id)?.kind === 'front' ? reduceState(s, { kind: 'retire', id, on: true }) : s,
      );
      return {};
    }
    if (rpc.kind === 'control/filled') {
      const m = this.zen.leading;
      if (!m) throw new ElectionError('not-master', 'this control is not master');
      const f = Filled.parse(rpc.body);
      await m.submit((s) => reduceState(s, { kind: 'filled', ...f }));
      return {};
    }
    throw new ProtocolError('unknown-kind', `no such request: ${rpc.kind}`);
  }

  async operate(o: Operation): Promise<Outcome> {
    const from = this.p.clock.now();
    const out = await this.passOn(o);
    const mark = o.method === 'POST' && /^\/v1\/servers\/[^/]+\/draining$/.test(o.path);
    if (
      !mark ||
      out.status !== 200 ||
      this.p.clock.now() - from <= this.p.bounds.drainingCommitWithin
    )
      return out;
    const text =
      'the mark was taken, but too late for its bound to count from this request; ask again';
    return {
      status: 504,
      body: { executed: 'unknown', errorCode: 'late', text, how: 'POST it again' },
      retryAfter: 1,
    };
  }

  private async passOn(o: Operation): Promise<Outcome> {
    if (o.method === 'GET' && o.path === '/v1/view') return { status: 200, body: this.localView() };
    if (o.method === 'POST' && o.path === '/v1/config/check') {
      const { findings } = checkConfig(o.body);
      return { status: findings.length > 0 ? 422 : 200, body: { findings } };
    }
    const m = this.zen.leading;
    if (m) return operate(m, o);
    const master = this.zen.masterSeen;
    if (!master) return this.notRun('no-master', 'no master is known');
    return this.forward(master, o);
  }

  /** What this control alone holds, which may be old: it names the state's version and waits for no majority. */
  private localView(): NodeView {
    return nodeViewOf(
      this.p.me.id,
      'control',
      this.zen.term,
      this.zen.masterSeen?.id ?? '',
      this.zen.applied,
    );
  }

  private notRun(errorCode: string, text: string, more: object = {}): Outcome {
    return {
      status: 503,
      body: { executed: 'no', errorCode, text, ...more },
      retryAfter: Math.ceil(this.p.bounds.failureTimeout / 1000),
    };
  }

  /** Asks the master, for no longer than it may publish twice; a change without a clear answer may have been made. */
  private async forward(master: Member, o: Operation): Promise<Outcome> {
    try {
      return Outcome.parse(
        await this.p.transport.call(master.addr, 'control/operate', o, {
          timeoutMs: this.p.bounds.failureTimeout,
        }),
      );
    } catch (e) {
      const x = toRpcError(e);
      if (x.executed === 'no' || isRead(o))
        return this.notRun(x.code, x.message, { master: master.http });
      return {
        status: 504,
        body: {
          executed: 'unknown',
          errorCode: 'unknown',
          text: x.message,
          how: 'GET /v1/status or GET /v1/config',
        },
      };
    }
  }
}
