import { createHash } from 'node:crypto';
import type { Config } from '@tillerstair/state';
import { Mishap, mishapOf } from '@tillerstair/wire';
import type { SlotKeeper } from './keeper.js';
import type { Steward } from './steward.js';
import { done, ofMishap, OpValue, refused, unknown, type CallAsk, type Verdict } from './verdict.js';

export const operationOf = (tenant: string, key: string): string => `${encodeURIComponent(tenant)}/${encodeURIComponent(key)}`;
export const opKeyOf = (tenant: string, key: string): string => `o/${operationOf(tenant, key)}`;

const digestOf = (ask: CallAsk): string => createHash('sha256').update(`${ask.path}\n${ask.body}`).digest('hex').slice(0, 16);

export class Calls {
  private readonly running = new Map<string, { readonly digest: string; readonly verdict: Promise<Verdict> }>();
  private made = 0;

  constructor(private readonly s: Steward) {}

  async call(ask: CallAsk, gone: AbortSignal): Promise<Verdict> {
    const { config } = this.s.requireFresh();
    if (!config) return refused(503, 'not-ready', 'no configuration yet', 1);
    const lane = this.s.findLane('call', ask.path);
    if (!lane) return refused(404, 'no-lane', `no lane takes calls at ${ask.path}`);
    if (ask.key === '') {
      if (lane.acting) return refused(400, 'no-key', 'this lane needs an Operation-Key');
      return this.run(ask, config, undefined, gone);
    }
    const key = opKeyOf(ask.tenant, ask.key);
    const keeper = this.s.keeper(key);
    const digest = digestOf(ask);
    const run = this.running.get(key);
    if (run) return run.digest === digest ? run.verdict : refused(422, 'other-body', 'this key was used with another body');
    const old = OpValue.safeParse(keeper.get(key));
    if (old.success && old.data.status !== 'void') {
      if (old.data.digest !== digest) return refused(422, 'other-body', 'this key was used with another body');
      if (old.data.status === 'done') return done(old.data.body, old.data.code);
      return unknown('this operation may have run; it is not run again');
    }
    const verdict = this.run(ask, config, keeper, new AbortController().signal);
    this.running.set(key, { digest, verdict });
    const leave = keeper.enter();
    return verdict.finally(() => {
      leave();
      this.running.delete(key);
    });
  }

  private async run(ask: CallAsk, config: Config, keeper: SlotKeeper | undefined, gone: AbortSignal): Promise<Verdict> {
    try {
      return await this.tryServers(ask, config, keeper, gone);
    } catch (e) {
      return ofMishap(mishapOf(e));
    }
  }

  private async tryServers(ask: CallAsk, config: Config, keeper: SlotKeeper | undefined, gone: AbortSignal): Promise<Verdict> {
    const { clock, backend } = this.s.p;
    const key = opKeyOf(ask.tenant, ask.key);
    const digest = digestOf(ask);
    const note = (status: OpValue['status'], code: number, body: unknown): Promise<void> =>
      keeper ? keeper.putSoon(key, { t: 'op', status, digest, code, body } satisfies OpValue, status === 'intent' ? 1 : 20) : Promise.resolve();
    const skip = new Set<string>();
    const end = clock.now() + config.bounds.callMs / 2;
    let noted = false;
    const notRun = async (text: string): Promise<Verdict> => {
      if (noted) await note('void', 0, null).catch(() => undefined);
      return refused(503, 'no-server', text, 1);
    };
    for (;;) {
      const left = end - clock.now();
      if (left <= 0) return notRun('no server came free in time');
      const server = await this.s.place('call', ask.path, [], '', skip, left, gone).catch((e: unknown) => mishapOf(e));
      if (server instanceof Mishap) {
        const v = await notRun(server.message);
        return { ...v, ...ofMishap(server) };
      }
      let ok = true;
      try {
        if (!noted) await note('intent', 0, null);
        noted = true;
        if (!this.s.mayRun(server, 'call', ask.path)) {
          skip.add(server.id);
          if (!this.s.fresh) return await notRun('the control link is down');
          continue;
        }
        const key = ask.key === '' ? '' : operationOf(ask.tenant, ask.key);
        const act = { id: `call-${++this.made}`, key, path: ask.path, body: ask.body, inquiry: ask.inquiry };
        const ended = await backend.act(server, act, gone, config.bounds.callMs, () => this.s.mayRun(server, 'call', ask.path));
        ok = ended.kind === 'done' || ended.kind === 'declined';
        if (ended.kind === 'done') {
          try {
            await note('done', ended.code, ended.body);
          } catch (e) {
            return unknown(`the operation ran but its verdict could not be kept: ${mishapOf(e).message}`);
          }
          return done(ended.body, ended.code);
        }
        if (ended.kind === 'lost') {
          await note('unknown', 0, null).catch(() => undefined);
          return unknown(ended.text);
        }
        skip.add(server.id);
      } finally {
        this.s.finished(server, ok);
      }
    }
  }
}
