import { z } from 'zod';
import { beliefOf, checkConfig, reduce, type Belief, type Mate } from '@tillerstair/state';
import { Mishap, mishapOf, type Inquiry } from '@tillerstair/wire';
import { ZenNode, type MasterView, type ZenParts } from '@tillerstair/zen';
import { Keeper } from './keeper.js';
import { ListPoll, ListReader, type ServerList } from './list.js';
import { isRead, operate, Operation, Outcome } from './operate.js';
import { tuneWeights } from './weights.js';

export interface ControlParts extends Omit<ZenParts, 'settle' | 'onApplied' | 'report' | 'onReport' | 'onLead' | 'tell' | 'onTold'> {
  readonly list?: ServerList | undefined;
}

const Departs = z.object({ id: z.string() });
const Filled = z.object({ store: z.string(), slot: z.number(), tenure: z.number() });

export class ControlNode {
  readonly zen: ZenNode;
  private readonly keeper: Keeper;
  private readonly list: { readonly reader: ListReader; readonly poll: ListPoll } | undefined;

  constructor(private readonly p: ControlParts) {
    this.keeper = new Keeper(p.clock, p.bounds, p.log);
    const old = p.keep.kept.accepted;
    if (old) this.keeper.learn(old);
    if (p.list) {
      const reader = new ListReader(p.clock, p.list, p.bounds, p.log);
      this.list = { reader, poll: new ListPoll(p.clock, reader) };
    }
    const poll = this.list?.poll;
    this.zen = new ZenNode({
      ...p,
      settle: this.keeper.settle,
      onApplied: async (s) => this.keeper.learn(s),
      onReport: this.keeper.onReport,
      onLead: (m) => this.lead(m),
      ...(poll ? { tell: () => poll.told(this.zen.leading?.term) } : {}),
    });
  }

  get id(): string {
    return this.p.me.id;
  }

  private lead(m: MasterView): void {
    void this.keeper.run(m);
    void this.list?.poll.run(m);
    void tuneWeights(m, this.keeper, this.p.clock, this.p.bounds);
  }

  async start(): Promise<void> {
    await this.p.circuits.serve((inq) => this.handle(inq));
    this.zen.start();
  }

  async stop(): Promise<void> {
    await this.zen.stop();
    await this.p.circuits.close();
  }

  async handle(inq: Inquiry): Promise<unknown> {
    if (inq.kind.startsWith('zen/')) return this.zen.handle(inq);
    if (inq.kind === 'control/list') return this.list?.reader.reply() ?? { open: [], leaving: [] };
    if (inq.kind === 'control/operate') {
      const m = this.zen.leading;
      if (!m) throw new Mishap('not-master', 'this control is not master');
      return operate(m, Operation.parse(inq.body));
    }
    if (inq.kind === 'control/depart') {
      const m = this.zen.leading;
      if (!m) throw new Mishap('not-master', 'this control is not master');
      const { id } = Departs.parse(inq.body);
      await m.submit((s) => (s.nodes.get(id)?.kind === 'front' ? reduce(s, { kind: 'retire', id, on: true }) : s));
      return {};
    }
    if (inq.kind === 'control/filled') {
      const m = this.zen.leading;
      if (!m) throw new Mishap('not-master', 'this control is not master');
      const f = Filled.parse(inq.body);
      await m.submit((s) => reduce(s, { kind: 'filled', ...f }));
      return {};
    }
    throw new Mishap('unknown-kind', `no such inquiry: ${inq.kind}`);
  }

  async operate(o: Operation): Promise<Outcome> {
    const from = this.p.clock.now();
    const out = await this.passOn(o);
    const mark = o.method === 'POST' && /^\/v1\/servers\/[^/]+\/leaving$/.test(o.path);
    if (!mark || out.status !== 200 || this.p.clock.now() - from <= this.p.bounds.markWithin) return out;
    const text = 'the mark was taken, but too late for its bound to count from this inquiry; ask again';
    return { status: 504, body: { ran: 'unknown', mishap: 'late', text, how: 'POST it again' }, retryAfter: 1 };
  }

  private async passOn(o: Operation): Promise<Outcome> {
    if (o.method === 'GET' && o.path === '/v1/belief') return { status: 200, body: this.localView() };
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
  private localView(): Belief {
    return beliefOf(this.p.me.id, 'control', this.zen.term, this.zen.masterSeen?.id ?? '', this.zen.applied);
  }

  private notRun(mishap: string, text: string, more: object = {}): Outcome {
    return { status: 503, body: { ran: 'no', mishap, text, ...more }, retryAfter: Math.ceil(this.p.bounds.silent / 1000) };
  }

  /** Asks the master, for no longer than it may publish twice; a change without a clear answer may have been made. */
  private async forward(master: Mate, o: Operation): Promise<Outcome> {
    try {
      return Outcome.parse(await this.p.circuits.call(master.addr, 'control/operate', o, { within: this.p.bounds.silent }));
    } catch (e) {
      const x = mishapOf(e);
      if (x.ran === 'no' || isRead(o)) return this.notRun(x.code, x.message, { master: master.http });
      return { status: 504, body: { ran: 'unknown', mishap: 'unknown', text: x.message, how: 'GET /v1/status or GET /v1/config' } };
    }
  }
}
