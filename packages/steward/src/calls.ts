import { createHash } from 'node:crypto';
import type { LaneKind, Server } from '@tillerstair/state';
import { Mishap, mishapOf, within } from '@tillerstair/wire';
import type { Ended, Head } from './backend.js';
import type { SlotKeeper } from './keeper.js';
import type { Steward } from './steward.js';
import { done, laneUnknown, ofMishap, OpValue, packed, passPath, refused, unknown, unpacked, type CallAsk, type PassAsk, type Verdict } from './verdict.js';

export const operationOf = (tenant: string, key: string): string => `${encodeURIComponent(tenant)}/${encodeURIComponent(key)}`;
export const opKeyOf = (tenant: string, key: string): string => `o/${operationOf(tenant, key)}`;

const digestOf = (...parts: readonly string[]): string => createHash('sha256').update(parts.join('\n')).digest('hex').slice(0, 16);

/** One thing to be run at a server, at most once unless `repeatable`. `end` is on the steward's clock, in ms. */
interface Job {
  readonly kind: LaneKind;
  readonly path: string;
  readonly opKey: string;
  readonly digest: string;
  readonly end: number;
  readonly tries: number;
  readonly repeatable: boolean;
  send(server: Server, gone: AbortSignal, still: () => boolean): Promise<Ended>;
}

export class Calls {
  private readonly running = new Map<string, { readonly digest: string; readonly verdict: Promise<Verdict> }>();
  private made = 0;

  constructor(private readonly s: Steward) {}

  async call(ask: CallAsk, gone: AbortSignal): Promise<Verdict> {
    const { config } = this.s.requireFresh();
    if (!config) return refused(503, 'not-ready', 'no configuration yet', 1);
    const lane = this.s.findLane('call', ask.path);
    if (!lane) return refused(404, 'no-lane', `no lane takes calls at ${ask.path}`);
    if (ask.key === '' && lane.acting) return refused(400, 'no-key', 'this lane needs an Operation-Key');
    const key = ask.key === '' ? '' : operationOf(ask.tenant, ask.key);
    const job: Job = {
      kind: 'call', path: ask.path, opKey: opKeyOf(ask.tenant, ask.key), digest: digestOf(ask.path, ask.body),
      end: this.s.p.clock.now() + config.bounds.callMs / 2, tries: Infinity, repeatable: false,
      send: (server, stop, still) =>
        this.s.p.backend.act(
          server, { id: `call-${++this.made}`, key, path: ask.path, body: ask.body, inquiry: ask.inquiry }, stop, config.bounds.callMs, still,
        ),
    };
    return ask.key === '' ? this.run(job, undefined, gone) : this.once(job);
  }

  /** Carries a request that is answered whole: keyed, once per try, or repeatable. */
  async pass(ask: PassAsk, gone: AbortSignal): Promise<Verdict> {
    this.s.requireFresh();
    const path = passPath(ask);
    const lane = this.s.findLane('pass', path);
    const rules = lane?.pass;
    if (!rules) throw laneUnknown(path);
    const keyed = rules.manner === 'keyed';
    if (keyed && ask.key === '') return refused(400, 'no-key', 'this lane needs an operation key');
    const end = this.s.p.clock.now() + Math.min(ask.left, rules.deadlineMs);
    const repeatable = rules.manner === 'repeatable';
    const job: Job = {
      kind: 'pass', path, opKey: opKeyOf(ask.tenant, ask.key), digest: digestOf(ask.method, ask.host, ask.path, ask.body),
      end, tries: rules.tries, repeatable, send: (server, stop, still) => this.sendWhole(server, ask, end, stop, still),
    };
    if (keyed) return this.once(job);
    return this.run(job, undefined, repeatable ? gone : new AbortController().signal);
  }

  private async sendWhole(server: Server, ask: PassAsk, end: number, gone: AbortSignal, still: () => boolean): Promise<Ended> {
    let head: Head = { status: 0, headers: [] };
    const parts: Buffer[] = [];
    const { backend, clock } = this.s.p;
    const sink = {
      head: (h: Head) => {
        head = h;
      },
      bytes: (text: string) => {
        parts.push(Buffer.from(text, 'latin1'));
      },
      busyness: (b: { running: number; waiting: number; places: number }) => this.s.placement.told(server, b),
    };
    const ended = await backend.pass(server, { ...ask, body: unpacked(ask.body) }, sink, gone, end - clock.now(), still);
    return ended.kind === 'done' ? { kind: 'done', code: head.status, body: { status: head.status, headers: [...head.headers], body: packed(Buffer.concat(parts)) } } : ended;
  }

  private async once(job: Job): Promise<Verdict> {
    const keeper = this.s.keeper(job.opKey);
    const key = job.opKey;
    const run = this.running.get(key);
    if (run) {
      if (run.digest !== job.digest) return refused(422, 'other-body', 'this key was used with another body');
      const left = job.end - this.s.p.clock.now();
      const late = () => new Mishap('running', 'this key is at work');
      return within(this.s.p.clock, left, run.verdict, late).catch(() => refused(409, 'running', 'this key is at work', 0.2));
    }
    const old = OpValue.safeParse(keeper.get(key));
    if (old.success && old.data.status !== 'void') {
      if (old.data.digest !== job.digest) return refused(422, 'other-body', 'this key was used with another body');
      if (old.data.status === 'done') return done(old.data.body, old.data.code);
      if (!old.data.recorded || !this.remembers(job)) return unknown('this operation may have run; it is not run again');
    }
    const mayHaveRun = old.success && old.data.status !== 'void';
    const verdict = this.run(job, keeper, new AbortController().signal, mayHaveRun);
    this.running.set(key, { digest: job.digest, verdict });
    const leave = keeper.enter();
    return verdict.finally(() => {
      leave();
      this.running.delete(key);
    });
  }

  private remembers(job: Job): boolean {
    const lane = this.s.findLane(job.kind, job.path);
    return lane !== undefined && lane.shares.every((x) => x.share === 0 || this.records(x.pool));
  }

  private records(pool: string): boolean {
    return this.s.current?.config?.pools.some((p) => p.name === pool && p.remembersKeys) ?? false;
  }

  private async run(job: Job, keeper: SlotKeeper | undefined, gone: AbortSignal, mayHaveRun = false): Promise<Verdict> {
    try {
      return await this.tryServers(job, keeper, gone, mayHaveRun);
    } catch (e) {
      return ofMishap(mishapOf(e));
    }
  }

  private async tryServers(job: Job, keeper: SlotKeeper | undefined, gone: AbortSignal, mayHaveRun: boolean): Promise<Verdict> {
    const { clock } = this.s.p;
    const { kind, path, digest, end } = job;
    let recorded = true;
    const note = (status: OpValue['status'], code: number, body: unknown): Promise<void> =>
      keeper ? keeper.putSoon(job.opKey, { t: 'op', status, digest, code, body, recorded } satisfies OpValue, status === 'intent' ? 1 : 20) : Promise.resolve();
    const skip = new Set<string>();
    let noted = false;
    let sent = 0;
    let lost: Ended | undefined;
    const again = (): boolean => (job.repeatable || (keeper !== undefined && recorded && this.remembers(job))) && sent < job.tries;
    const notRun = async (text: string, comeBack = 1): Promise<Verdict> => {
      if (lost) return unknown(lost.kind === 'lost' ? lost.text : text);
      if (noted) await note(mayHaveRun ? 'unknown' : 'void', 0, null).catch(() => undefined);
      return refused(503, 'no-server', text, comeBack);
    };
    for (;;) {
      const left = end - clock.now();
      if (left <= 0) return notRun('no server came free in time');
      if (sent >= job.tries) return notRun('the servers tried did not run it', 0.2);
      const server = await this.s.place(kind, path, [], '', skip, left, gone).catch((e: unknown) => mishapOf(e));
      if (server instanceof Mishap) {
        if (skip.size > 0 && lost && job.repeatable) {
          skip.clear();
          continue;
        }
        const v = await notRun(server.message);
        return v.verdict === 'refused' ? { ...v, ...ofMishap(server) } : v;
      }
      let ok = true;
      try {
        const record: boolean = recorded && this.records(server.pool);
        if (!noted || record !== recorded) {
          recorded = record;
          const failure = await note('intent', 0, null).then(() => undefined, mishapOf);
          if (failure) return lost ? unknown(failure.message) : ofMishap(failure);
        }
        noted = true;
        if (!this.s.mayRun(server, kind, path)) {
          skip.add(server.id);
          if (!this.s.fresh) return await notRun('the control link is down');
          continue;
        }
        const ended = await job.send(server, gone, () => this.s.mayRun(server, kind, path));
        ok = ended.kind === 'done' || ended.kind === 'declined';
        if (ended.kind !== 'never-left') sent++;
        skip.add(server.id);
        if (ended.kind === 'done') {
          if (ended.code >= 500 && job.repeatable && again()) {
            lost = ended;
            continue;
          }
          try {
            await note('done', ended.code, ended.body);
          } catch (e) {
            return unknown(`the operation ran but its verdict could not be kept: ${mishapOf(e).message}`);
          }
          return done(ended.body, ended.code);
        }
        if (ended.kind === 'lost') {
          lost = ended;
          if (!gone.aborted && again()) continue;
          await note('unknown', 0, null).catch(() => undefined);
          return unknown(ended.text);
        }
      } finally {
        this.s.finished(server, ok);
      }
    }
  }
}
