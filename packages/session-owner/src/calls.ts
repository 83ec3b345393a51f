import { createHash } from 'node:crypto';
import type { RouteKind, Server } from '@tillerstair/state';
import { RpcError, toRpcError, UnavailableError, withTimeout } from '@tillerstair/wire';
import type { Ended, Head } from './backend.js';
import type { SlotReplicator } from './slot-replicator.js';
import type { SessionOwner } from './session-owner.js';
import {
  done,
  routeUnknown,
  outcomeOfError,
  OpValue,
  packed,
  passPath,
  refused,
  unknown,
  unpacked,
  type CallAsk,
  type PassAsk,
  type CallOutcome,
} from './messages.js';

export const operationOf = (tenant: string, key: string): string =>
  `${encodeURIComponent(tenant)}/${encodeURIComponent(key)}`;
export const opKeyOf = (tenant: string, key: string): string => `o/${operationOf(tenant, key)}`;

const digestOf = (...parts: readonly string[]): string =>
  createHash('sha256').update(parts.join('\n')).digest('hex').slice(0, 16);

/** One thing to be run at a server, at most once unless `repeatable`. `end` is on the owner's clock, in ms. */
interface Job {
  readonly kind: RouteKind;
  readonly path: string;
  readonly opKey: string;
  readonly digest: string;
  readonly end: number;
  readonly tries: number;
  readonly repeatable: boolean;
  send(server: Server, gone: AbortSignal, still: () => boolean): Promise<Ended>;
}

export class Calls {
  private readonly running = new Map<
    string,
    { readonly digest: string; readonly outcome: Promise<CallOutcome> }
  >();
  private made = 0;

  constructor(private readonly s: SessionOwner) {}

  async call(ask: CallAsk, gone: AbortSignal): Promise<CallOutcome> {
    const { config } = this.s.requireLease();
    if (!config) return refused(503, 'not-ready', 'no configuration yet', 1);
    const route = this.s.findRoute('call', ask.path);
    if (!route) return refused(404, 'no-route', `no route takes calls at ${ask.path}`);
    if (ask.key === '' && route.acting)
      return refused(400, 'no-key', 'this route needs an Operation-Key');
    const key = ask.key === '' ? '' : operationOf(ask.tenant, ask.key);
    const job: Job = {
      kind: 'call',
      path: ask.path,
      opKey: opKeyOf(ask.tenant, ask.key),
      digest: digestOf(ask.path, ask.body),
      end: this.s.p.clock.now() + config.bounds.callMs / 2,
      tries: Infinity,
      repeatable: false,
      send: (server, stop, still) =>
        this.s.p.backend.act(
          server,
          {
            id: `call-${++this.made}`,
            key,
            path: ask.path,
            body: ask.body,
            requestId: ask.requestId,
          },
          stop,
          config.bounds.callMs,
          still,
        ),
    };
    return ask.key === '' ? this.run(job, undefined, gone) : this.once(job);
  }

  /** Carries a request that is answered whole: keyed, once per try, or repeatable. */
  async pass(ask: PassAsk, gone: AbortSignal): Promise<CallOutcome> {
    this.s.requireLease();
    const path = passPath(ask);
    const route = this.s.findRoute('pass', path);
    const rules = route?.pass;
    if (!rules) throw routeUnknown(path);
    const keyed = rules.manner === 'keyed';
    if (keyed && ask.key === '') return refused(400, 'no-key', 'this route needs an operation key');
    const end = this.s.p.clock.now() + Math.min(ask.left, rules.deadlineMs);
    const repeatable = rules.manner === 'repeatable';
    const job: Job = {
      kind: 'pass',
      path,
      opKey: opKeyOf(ask.tenant, ask.key),
      digest: digestOf(ask.method, ask.host, ask.path, ask.body),
      end,
      tries: rules.tries,
      repeatable,
      send: (server, stop, still) => this.sendWhole(server, ask, end, stop, still),
    };
    if (keyed) return this.once(job);
    return this.run(job, undefined, repeatable ? gone : new AbortController().signal);
  }

  private async sendWhole(
    server: Server,
    ask: PassAsk,
    end: number,
    gone: AbortSignal,
    still: () => boolean,
  ): Promise<Ended> {
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
      load: (b: { running: number; waiting: number; places: number }) =>
        this.s.placement.reported(server, b),
    };
    const ended = await backend.pass(
      server,
      { ...ask, body: unpacked(ask.body) },
      sink,
      gone,
      end - clock.now(),
      still,
    );
    return ended.kind === 'done'
      ? {
          kind: 'done',
          code: head.status,
          body: {
            status: head.status,
            headers: [...head.headers],
            body: packed(Buffer.concat(parts)),
          },
        }
      : ended;
  }

  private async once(job: Job): Promise<CallOutcome> {
    const replicator = this.s.replicator(job.opKey);
    const key = job.opKey;
    const run = this.running.get(key);
    if (run) {
      if (run.digest !== job.digest)
        return refused(422, 'other-body', 'this key was used with another body');
      const left = job.end - this.s.p.clock.now();
      const late = () => new UnavailableError('running', 'this key is at work');
      return withTimeout(this.s.p.clock, left, run.outcome, late).catch(() =>
        refused(409, 'running', 'this key is at work', 0.2),
      );
    }
    const old = OpValue.safeParse(replicator.get(key));
    if (old.success && old.data.status !== 'void') {
      if (old.data.digest !== job.digest)
        return refused(422, 'other-body', 'this key was used with another body');
      if (old.data.status === 'done') return done(old.data.body, old.data.code);
      if (!old.data.recorded || !this.remembers(job))
        return unknown('this operation may have run; it is not run again');
    }
    const mayHaveRun = old.success && old.data.status !== 'void';
    const outcome = this.run(job, replicator, new AbortController().signal, mayHaveRun);
    this.running.set(key, { digest: job.digest, outcome });
    const leave = replicator.enter();
    return outcome.finally(() => {
      leave();
      this.running.delete(key);
    });
  }

  private remembers(job: Job): boolean {
    const route = this.s.findRoute(job.kind, job.path);
    return route !== undefined && route.shares.every((x) => x.share === 0 || this.records(x.pool));
  }

  private records(pool: string): boolean {
    return this.s.current?.config?.pools.some((p) => p.name === pool && p.remembersKeys) ?? false;
  }

  private async run(
    job: Job,
    replicator: SlotReplicator | undefined,
    gone: AbortSignal,
    mayHaveRun = false,
  ): Promise<CallOutcome> {
    try {
      return await this.tryServers(job, replicator, gone, mayHaveRun);
    } catch (e) {
      return outcomeOfError(toRpcError(e));
    }
  }

  private async tryServers(
    job: Job,
    replicator: SlotReplicator | undefined,
    gone: AbortSignal,
    mayHaveRun: boolean,
  ): Promise<CallOutcome> {
    const { clock } = this.s.p;
    const { kind, path, digest, end } = job;
    let recorded = true;
    const note = (status: OpValue['status'], code: number, body: unknown): Promise<void> =>
      replicator
        ? replicator.putSoon(
            job.opKey,
            { t: 'op', status, digest, code, body, recorded } satisfies OpValue,
            status === 'intent' ? 1 : 20,
          )
        : Promise.resolve();
    const skip = new Set<string>();
    let noted = false;
    let sent = 0;
    let lost: Ended | undefined;
    const again = (): boolean =>
      (job.repeatable || (replicator !== undefined && recorded && this.remembers(job))) &&
      sent < job.tries;
    const notRun = async (text: string, retryAfter = 1): Promise<CallOutcome> => {
      if (lost) return unknown(lost.kind === 'lost' ? lost.text : text);
      if (noted) await note(mayHaveRun ? 'unknown' : 'void', 0, null).catch(() => undefined);
      return refused(503, 'no-server', text, retryAfter);
    };
    for (;;) {
      const left = end - clock.now();
      if (left <= 0) return notRun('no server came free in time');
      if (sent >= job.tries) return notRun('the servers tried did not run it', 0.2);
      const server = await this.s
        .place(kind, path, [], '', skip, left, gone)
        .catch((e: unknown) => toRpcError(e));
      if (server instanceof RpcError) {
        if (skip.size > 0 && lost && job.repeatable) {
          skip.clear();
          continue;
        }
        const v = await notRun(server.message);
        return v.outcome === 'refused' ? { ...v, ...outcomeOfError(server) } : v;
      }
      let ok = true;
      try {
        const record: boolean = recorded && this.records(server.pool);
        if (!noted || record !== recorded) {
          recorded = record;
          const failure = await note('intent', 0, null).then(() => undefined, toRpcError);
          if (failure) return lost ? unknown(failure.message) : outcomeOfError(failure);
        }
        noted = true;
        if (!this.s.mayRun(server, kind, path)) {
          skip.add(server.id);
          if (!this.s.leaseValid) return await notRun('the control link is down');
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
            return unknown(
              `the operation ran but its outcome could not be kept: ${toRpcError(e).message}`,
            );
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
