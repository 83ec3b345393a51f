import { pipeline } from 'node:stream';
import split2 from 'split2';
import { Agent, DecoratorHandler, errors, request, type Dispatcher } from 'undici';
import { z } from 'zod';
import type { Server } from '@tillerstair/state';
import type { Act, Backend, Ended, Generate, BusyReport } from '@tillerstair/steward';

const Piece = z.object({ id: z.string(), n: z.number(), text: z.string() });
const End = z.object({ id: z.string(), end: z.literal(true), pieces: z.number() });
const Line = z.union([End, Piece]);
const BusyPage = z.object({ busy: z.number(), leaving: z.boolean() });
const Declined = z.object({ ran: z.literal('no') });
const Acted = z.object({ id: z.string(), result: z.unknown() });

const codeOf = (e: unknown): string => {
  if (e === null || typeof e !== 'object' || !('code' in e)) return '';
  return typeof e.code === 'string' ? e.code : '';
};

class TakenBack extends Error {}

class LastLook extends DecoratorHandler {
  constructor(
    private readonly inner: Dispatcher.DispatchHandler,
    private readonly still: () => boolean,
  ) {
    super(inner);
  }

  onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
    if (!this.still()) controller.abort(new TakenBack('taken back before it left'));
    else this.inner.onRequestStart?.(controller, context);
  }
}

const lookLast =
  (still: () => boolean): Dispatcher.DispatcherComposeInterceptor =>
  (dispatch) =>
  (opts, handler) =>
    dispatch(opts, new LastLook(handler, still));

const neverLeft = (e: unknown): boolean =>
  e instanceof errors.ConnectTimeoutError || ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH'].includes(codeOf(e));

const textOf = (e: unknown): string => (e instanceof Error ? e.message : String(e));

const failed = (e: unknown): Ended => {
  if (e instanceof TakenBack) return { kind: 'declined', text: e.message };
  return { kind: neverLeft(e) ? 'never-left' : 'lost', text: textOf(e) };
};

export class HttpBackend implements Backend {
  private readonly agent: Agent;

  constructor(connectWithin: number) {
    this.agent = new Agent({ connect: { timeout: connectWithin }, pipelining: 1, keepAliveTimeout: 4000 });
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }

  async generate(server: Server, g: Generate, onPiece: (n: number, text: string) => void, gone: AbortSignal, within: number, still: () => boolean): Promise<Ended> {
    const stop = AbortSignal.any([gone, AbortSignal.timeout(within)]);
    try {
      const res = await request(`${server.url}/v1/generate`, {
        method: 'POST',
        dispatcher: this.agent.compose(lookLast(still)),
        headers: { 'content-type': 'application/json', 'x-request-id': g.inquiry },
        body: JSON.stringify({ id: g.id, messages: g.messages, maxTokens: g.maxTokens }),
        signal: stop,
        headersTimeout: within,
        bodyTimeout: within,
      });
      if (res.statusCode !== 200) {
        const body: unknown = await res.body.json().catch(() => undefined);
        return Declined.safeParse(body).success
          ? { kind: 'declined', text: `server declined with ${res.statusCode}` }
          : { kind: 'lost', text: `server failed with ${res.statusCode}` };
      }
      let seen = 0;
      const lines = split2({ maxLength: 1 << 20 });
      pipeline(res.body, lines, () => undefined);
      for await (const text of lines) {
        const line = Line.parse(JSON.parse(String(text)));
        if (line.id !== g.id) return { kind: 'lost', text: 'the server spoke of another inquiry' };
        if ('end' in line)
          return line.pieces === seen ? { kind: 'done', code: 200, body: seen } : { kind: 'lost', text: 'the server counted other pieces' };
        if (line.n !== seen) return { kind: 'lost', text: 'the server skipped or repeated a piece' };
        onPiece(seen++, line.text);
        if (stop.aborted) break;
      }
      return { kind: 'lost', text: 'the stream stopped without an end' };
    } catch (e) {
      return failed(e);
    }
  }

  async act(server: Server, a: Act, gone: AbortSignal, within: number, still: () => boolean): Promise<Ended> {
    const stop = AbortSignal.any([gone, AbortSignal.timeout(within)]);
    try {
      const res = await request(`${server.url}/v1/act`, {
        method: 'POST',
        dispatcher: this.agent.compose(lookLast(still)),
        headers: { 'content-type': 'application/json', 'x-request-id': a.inquiry, ...(a.key ? { 'idempotency-key': a.key } : {}) },
        body: JSON.stringify({ id: a.id, path: a.path, body: a.body }),
        signal: stop,
        headersTimeout: within,
        bodyTimeout: within,
      });
      const raw: unknown = await res.body.json();
      if (res.statusCode >= 500 || res.statusCode === 429)
        return Declined.safeParse(raw).success
          ? { kind: 'declined', text: `server declined with ${res.statusCode}` }
          : { kind: 'lost', text: `server failed with ${res.statusCode}` };
      const got = Acted.safeParse(raw);
      if (!got.success || got.data.id !== a.id) return { kind: 'lost', text: 'the server spoke of another inquiry' };
      return { kind: 'done', code: res.statusCode, body: got.data.result };
    } catch (e) {
      return failed(e);
    }
  }

  async busyness(server: Server, within: number): Promise<BusyReport> {
    const res = await request(`${server.url}/load`, { dispatcher: this.agent, signal: AbortSignal.timeout(within) });
    return BusyPage.parse(await res.body.json());
  }
}
