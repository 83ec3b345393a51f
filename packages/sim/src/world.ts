import type { OperatorResponse } from '@tillerstair/control';
import type { PassRecord, ReplyRecord } from '@tillerstair/checker';
import type { Front } from '@tillerstair/proxy';
import { rootProgramId, type State } from '@tillerstair/state';
import { opKeyOf, type EmitChunk, type CallOutcome } from '@tillerstair/session-owner';
import { zenBounds, type OuterBounds, type ZenBounds } from '@tillerstair/zen';
import { z } from 'zod';
import { Machine } from './machine.js';
import { SimServers } from './sim-backend.js';
import { SimClock } from './sim-clock.js';
import type { SimList } from './sim-list.js';
import { SimNet } from './sim-net.js';

export const seededRng = (seed: number): (() => number) => {
  let a = (seed * 2654435761) >>> 0;
  return () => {
    a = (a + 0x6d2b79f5) >>> 0;
    let t = Math.imul(a ^ (a >>> 15), 1 | a);
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
  };
};

const End = z.object({ end: z.object({ turn: z.string(), tokens: z.number() }) });
const Did = z.object({ by: z.string(), key: z.string() });

export interface WorldSizes {
  readonly controls: number;
  readonly stores: number;
  readonly fronts: number;
  readonly slots?: number;
  /** Outer bounds of the deployment, in ms; the usual ones if left out. */
  readonly outer?: OuterBounds;
  /** Losses of stores at once that the cluster is bootstrapped to bear. */
  readonly losses?: number;
  /** How many zones the machines are spread over; three if left out. */
  readonly zones?: number;
}

const usualOuter: OuterBounds = {
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 1000,
  failureTimeout: 3000,
};

export class World {
  readonly rng;
  readonly clock = new SimClock();
  readonly net;
  readonly servers;
  readonly outer: OuterBounds;
  readonly bounds: ZenBounds;
  readonly zones: number;
  /** Names the seeds that settings hold from now on; the first three controls while unset. */
  namedSeeds: readonly string[] | undefined;
  readonly slots: number;
  readonly losses: number;
  readonly longAt = 1 << 16;
  hintsMost = 10000;
  retentionMs = 3600000;
  list: SimList | undefined;
  readonly machines: Machine[] = [];
  readonly reported: ReplyRecord[] = [];
  readonly passes: PassRecord[] = [];
  trace: ((line: string) => void) | undefined;
  skewed = false;
  private ids = 0;
  private readonly made = new Map<Machine['kind'], number>();

  constructor(
    readonly seed: number,
    sizes: WorldSizes,
  ) {
    this.rng = seededRng(seed);
    this.outer = sizes.outer ?? usualOuter;
    this.bounds = zenBounds(this.outer);
    this.slots = sizes.slots ?? 8;
    this.losses = sizes.losses ?? 1;
    this.zones = sizes.zones ?? 3;
    this.net = new SimNet(this.clock, this.rng);
    this.servers = new SimServers(this.clock, this.rng);
    for (let n = 0; n < sizes.controls; n++) this.add('control');
    for (let n = 0; n < sizes.stores; n++) this.add('store');
    for (let n = 0; n < sizes.fronts; n++) this.add('front');
  }

  freshId(): string {
    return `${Math.floor(this.rng() * 36 ** 4)
      .toString(36)
      .padStart(4, '0')}${++this.ids}`;
  }

  of(kind: Machine['kind']): readonly Machine[] {
    return this.machines.filter((m) => m.kind === kind);
  }

  at(addr: string): Machine {
    const m = this.machines.find((x) => x.addr === addr);
    if (!m) throw new Error(`no machine ${addr}`);
    return m;
  }

  add(kind: Machine['kind'], seeds?: readonly string[]): Machine {
    const n = this.made.get(kind) ?? 0;
    this.made.set(kind, n + 1);
    const m = new Machine(this, kind, n, seeds);
    this.machines.push(m);
    return m;
  }

  remove(m: Machine): void {
    this.machines.splice(this.machines.indexOf(m), 1);
  }

  get seeds(): readonly string[] {
    return (
      this.namedSeeds ??
      this.of('control')
        .slice(0, 3)
        .map((m) => m.addr)
    );
  }

  get committed(): State | undefined {
    return this.master?.control?.zen.leading?.committed;
  }

  get drained(): ReadonlySet<string> {
    return new Set(this.committed?.retiring.keys());
  }

  start(ms: readonly Machine[] = this.machines): void {
    for (const m of ms) m.start();
  }

  masters(): readonly Machine[] {
    return this.of('control').filter(
      (m) => m.up && !m.life.frozen && m.control?.zen.leading?.committed !== undefined,
    );
  }

  get master(): Machine | undefined {
    return [...this.masters()].sort(
      (a, b) => (b.control?.zen.term ?? 0) - (a.control?.zen.term ?? 0),
    )[0];
  }

  readyFronts(): readonly Machine[] {
    return this.of('front').filter(
      (m) => m.up && !m.life.frozen && m.front?.owner.readiness().ready === true,
    );
  }

  async operate(
    method: string,
    path: string,
    body = '',
    at?: Machine,
    within = 20000,
  ): Promise<OperatorResponse> {
    const m = at ?? this.master ?? this.of('control').find((x) => x.up);
    const node = m?.control;
    if (!node) return { status: 0, body: null };
    return this.clock.finish(`${method} ${path}`, node.operate({ method, path, body }), within);
  }

  async bringUp(
    configText: (base: number) => string,
    servers: readonly (readonly [string, string])[],
  ): Promise<void> {
    this.start();
    await this.clock.until('a master', () => this.master !== undefined, 12000);
    const put = await this.operate('PUT', '/v1/config', configText(0));
    if (put.status !== 200) throw new Error(`config: ${JSON.stringify(put)}`);
    for (const [id, pool] of servers) {
      const r = await this.operate(
        'PUT',
        `/v1/servers/${id}`,
        JSON.stringify({ pool, url: 'http://127.0.0.1:1' }),
      );
      if (r.status !== 200) throw new Error(`server: ${JSON.stringify(r)}`);
    }
    const fronts = this.of('front').length;
    await this.clock.until(
      'fronts',
      () =>
        this.readyFronts().length === fronts && this.slotsOpen() && this.knowAll(servers.length),
      20000,
    );
  }

  private knowAll(servers: number): boolean {
    return this.of('front').every((m) => m.front?.owner.current?.state.servers.size === servers);
  }

  slotsOpen(): boolean {
    const s = this.committed;
    return (
      s !== undefined &&
      s.slots.every((slot) => s.nodes.has(slot.owner) && slot.joiningReplicas.length === 0)
    );
  }

  slotsServed(): boolean {
    const s = this.committed;
    return s !== undefined && s.slots.every((slot) => s.nodes.has(slot.owner));
  }

  private front(at?: Machine): Machine | undefined {
    if (at) return at;
    const up = this.of('front').filter((m) => m.up);
    return up[Math.floor(this.rng() * up.length)];
  }

  private ask(
    kind: 'front/program' | 'front/turn' | 'front/history' | 'front/call',
    slotKey: string,
    body: unknown,
    at: Machine | undefined,
    onChunk: EmitChunk,
  ): Promise<CallOutcome> {
    return this.sendAsCaller(
      at,
      (front, emit, gone) => front.forward({ kind, slotKey, body, timeoutMs: 120000 }, emit, gone),
      onChunk,
    );
  }

  /** Runs a request at a front as its caller hears it: nothing more comes from a front that died. */
  async sendAsCaller(
    at: Machine | undefined,
    ask: (front: Front, emit: EmitChunk, gone: AbortSignal) => Promise<CallOutcome>,
    onChunk: EmitChunk,
  ): Promise<CallOutcome> {
    const m = this.front(at);
    const front = m?.front;
    if (!front) return { outcome: 'refused', status: 0, errorCode: 'no-front' };
    const life = m.proxyLife;
    const gone = new AbortController();
    const run = ask(front, (n, text) => life.do(() => onChunk(n, text)), gone.signal);
    return new Promise((done) => {
      let over = false;
      const end = (v: CallOutcome): void => {
        if (over) return;
        over = true;
        done(v);
      };
      const lost: CallOutcome = { outcome: 'unknown', status: 0, errorCode: 'front-lost' };
      const watch = (): void => {
        if (over) return;
        if (life.dead) end(lost);
        else this.clock.after(50, watch);
      };
      this.clock.after(50, watch);
      this.clock.after(20000, () => {
        gone.abort();
        end(lost);
      });
      run.then(
        (v) => life.do(() => end(v)),
        () => life.do(() => end(lost)),
      );
    });
  }

  private record(
    t: Partial<ReplyRecord> & Pick<ReplyRecord, 'kind' | 'from'>,
    v: CallOutcome,
  ): ReplyRecord {
    const row: ReplyRecord = {
      tenant: 't',
      program: '',
      key: '',
      attempt: '',
      turn: '',
      after: '',
      to: this.clock.now(),
      reported: v.outcome,
      errorCode: v.errorCode ?? '',
      chunks: [],
      text: '',
      tokens: 0,
      sent: '',
      retryAfter: v.retryAfter ?? 0,
      ...t,
    };
    this.reported.push(row);
    return row;
  }

  async program(budget: number, at?: Machine, parent?: string): Promise<ReplyRecord> {
    const from = this.clock.now();
    const pid =
      parent === undefined ? `p-${this.freshId()}` : `${rootProgramId(parent)}~${this.freshId()}`;
    const ask = { tenant: 't', pid, budget, ...(parent === undefined ? {} : { parent }) };
    const v = await this.ask('front/program', `p/${rootProgramId(pid)}`, ask, at, () => undefined);
    return this.record({ kind: 'program', from, program: pid, sent: String(budget) }, v);
  }

  async turn(
    program: string,
    after: string | null,
    words: string,
    key: string,
    at?: Machine,
  ): Promise<ReplyRecord> {
    const from = this.clock.now();
    const chunks: number[] = [];
    let text = '';
    const attempt = `i${++this.ids}`;
    const sent = words.padEnd(60, ' ');
    const ask = {
      tenant: 't',
      pid: program,
      after,
      path: '/chat',
      words: sent,
      key,
      requestId: attempt,
    };
    const v = await this.ask('front/turn', `p/${rootProgramId(program)}`, ask, at, (n, t) => {
      chunks.push(n);
      text += t;
    });
    const end = End.safeParse(v.body);
    const reported = v.outcome === 'done' ? 'done' : chunks.length > 0 ? 'partial' : v.outcome;
    const more = end.success ? { turn: end.data.end.turn, tokens: end.data.end.tokens } : {};
    return this.record(
      {
        kind: 'turn',
        from,
        program,
        key,
        attempt,
        after: after ?? '',
        sent,
        chunks: [...chunks],
        text,
        reported,
        ...more,
      },
      v,
    );
  }

  async fetch(program: string, turn: string, at?: Machine): Promise<ReplyRecord> {
    const from = this.clock.now();
    const v = await this.ask(
      'front/history',
      `p/${rootProgramId(program)}`,
      { tenant: 't', pid: program, turn },
      at,
      () => undefined,
    );
    const got = z.object({ text: z.string() }).safeParse(v.body);
    return this.record(
      { kind: 'fetch', from, program, turn, text: got.success ? got.data.text : '' },
      v,
    );
  }

  async call(key: string, path: string, body: unknown, at?: Machine): Promise<ReplyRecord> {
    const from = this.clock.now();
    const text = JSON.stringify(body);
    const attempt = `i${++this.ids}`;
    const v = await this.ask(
      'front/call',
      opKeyOf('t', key),
      { tenant: 't', path, key, body: text, requestId: attempt },
      at,
      () => undefined,
    );
    const did = Did.safeParse(v.body);
    return this.record(
      {
        kind: 'call',
        from,
        key,
        attempt,
        sent: text,
        text: did.success ? `${did.data.by} ${did.data.key}` : '',
      },
      v,
    );
  }
}
