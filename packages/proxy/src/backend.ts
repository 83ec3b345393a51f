import { pipeline } from 'node:stream';
import split2 from 'split2';
import { errors, request, type Agent, type Dispatcher } from 'undici';
import { z } from 'zod';
import type { Server } from '@tillerstair/state';
import type {
  ToolCallRequest,
  Backend,
  ReportedLoad,
  ServerStatus,
  BackendOutcome,
  GenerateRequest,
  Header,
  ForwardedRequest,
  ResponseSink,
} from '@tillerstair/session-owner';
import { connectionsTo, type BackendBounds } from './connections.js';
import { Departure, Withdrawn } from './departure.js';
import { ownDialect, type Dialect } from './dialect.js';

const Chunk = z.object({ id: z.string(), n: z.number(), text: z.string() });
const End = z.object({ id: z.string(), end: z.literal(true), chunks: z.number() });
const Line = z.union([End, Chunk]);
const LoadPage = z.object({ busy: z.number(), draining: z.boolean() });
const Declined = z.object({ executed: z.literal('no') });
const Acted = z.object({ id: z.string(), result: z.unknown() });

const textOf = (e: unknown): string => (e instanceof Error ? e.message : String(e));

/** What became of a request that failed. A request the HTTP client cannot put into words says nothing about its server. */
const failed = (e: unknown, departure: Departure): BackendOutcome => {
  const kind = departure.mayHaveLeft
    ? 'lost'
    : e instanceof Withdrawn || e instanceof errors.InvalidArgumentError
      ? 'declined'
      : 'never-left';
  return { kind, text: textOf(e) };
};

export const ofOneConnection: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
  'proxy-connection',
  'te',
  'trailer',
  'content-length',
  'expect',
]);

const Raw = z.array(z.string());

export const pairsOf = (headers: unknown): readonly Header[] => {
  const raw = Raw.parse(headers);
  const out: Header[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) out.push([raw[i] ?? '', raw[i + 1] ?? '']);
  return out;
};

/** The headers that go on to the next connection (RFC 9110, section 7.6.1). */
export const endToEnd = (headers: readonly Header[]): readonly Header[] => {
  const named = headers
    .filter(([k]) => k.toLowerCase() === 'connection')
    .flatMap(([, v]) =>
      v
        .toLowerCase()
        .split(',')
        .map((n) => n.trim()),
    );
  return headers.filter(
    ([k]) => !ofOneConnection.has(k.toLowerCase()) && !named.includes(k.toLowerCase()),
  );
};

const find = (headers: readonly Header[], name: string): string =>
  headers.find(([k]) => k.toLowerCase() === name)?.[1] ?? '';

const loadOf = (text: string): ReportedLoad | undefined => {
  const [running, waiting, places] = text.split(',').map(Number);
  return text !== '' &&
    running !== undefined &&
    waiting !== undefined &&
    places !== undefined &&
    running >= 0 &&
    waiting >= 0
    ? { running, waiting, places }
    : undefined;
};

const unclear: ReadonlySet<number> = new Set([408, 425, 429, 503]);
const serverErrors = 500;

export class HttpBackend implements Backend {
  private readonly agent: Agent;

  constructor(
    bounds: BackendBounds,
    private readonly dialect: Dialect = ownDialect,
  ) {
    this.agent = connectionsTo(bounds);
  }

  private send(
    server: Server,
    options: Omit<Dispatcher.RequestOptions, 'origin'>,
    departure: Departure,
  ): Promise<Dispatcher.ResponseData> {
    return departure.unlessQueued(
      this.agent.compose(departure.guard).request({ ...options, origin: server.url }),
    );
  }

  async pass(
    server: Server,
    p: ForwardedRequest,
    sink: ResponseSink,
    gone: AbortSignal,
    left: number,
    still: () => boolean,
  ): Promise<BackendOutcome> {
    if (left <= 0) return { kind: 'declined', text: 'no time is left' };
    const d = this.dialect;
    const stop = AbortSignal.any([gone, AbortSignal.timeout(Math.ceil(left))]);
    const departure = new Departure(still, stop);
    const sent = [
      ...endToEnd(p.headers),
      [d.timeLeft, String(Math.max(1, Math.floor(left)))],
      [d.expect, server.id],
      ...(p.resume === '' ? [] : [[d.resume, p.resume]]),
    ];
    try {
      const res = await this.send(
        server,
        {
          path: p.path,
          method: p.method,
          headers: sent.flat(),
          responseHeaders: 'raw',
          body: p.body.length === 0 && p.method === 'GET' ? null : p.body,
          signal: stop,
          headersTimeout: 0,
          bodyTimeout: 0,
        },
        departure,
      );
      const got = pairsOf(res.headers);
      const reported = loadOf(find(got, d.load));
      if (reported) sink.load(reported);
      const spoil = (text: string): BackendOutcome => {
        res.body.on('error', () => undefined).destroy();
        return { kind: 'lost', text };
      };
      const echoed = find(got, d.attempt);
      if (echoed !== p.attempt) return spoil('the server spoke of another try');
      if (find(got, d.declined) !== '' || res.statusCode === 421) {
        void res.body.dump().catch(() => undefined);
        return { kind: 'declined', text: `server declined with ${res.statusCode}` };
      }
      if (unclear.has(res.statusCode)) return spoil(`server failed with ${res.statusCode}`);
      if (
        res.statusCode < serverErrors &&
        d.madeByServer !== '' &&
        find(got, d.madeByServer) === ''
      )
        return spoil("the answer is not the server's");
      sink.head({ status: res.statusCode, headers: endToEnd(got) });
      for await (const part of res.body)
        sink.bytes(Buffer.isBuffer(part) ? part.toString('latin1') : String(part));
      return { kind: 'done', code: res.statusCode, body: null };
    } catch (e) {
      return failed(e, departure);
    }
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }

  async generate(
    server: Server,
    g: GenerateRequest,
    onChunk: (n: number, text: string) => void,
    gone: AbortSignal,
    within: number,
    still: () => boolean,
  ): Promise<BackendOutcome> {
    const stop = AbortSignal.any([gone, AbortSignal.timeout(Math.ceil(within))]);
    const departure = new Departure(still, stop);
    try {
      const res = await this.send(
        server,
        {
          path: '/v1/generate',
          method: 'POST',
          headers: { 'content-type': 'application/json', 'x-request-id': g.requestId },
          body: JSON.stringify({ id: g.id, messages: g.messages, maxTokens: g.maxTokens }),
          signal: stop,
          headersTimeout: within,
          bodyTimeout: within,
        },
        departure,
      );
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
        if (line.id !== g.id) return { kind: 'lost', text: 'the server spoke of another request' };
        if ('end' in line)
          return line.chunks === seen
            ? { kind: 'done', code: 200, body: seen }
            : { kind: 'lost', text: 'the server counted other chunks' };
        if (line.n !== seen)
          return { kind: 'lost', text: 'the server skipped or repeated a chunk' };
        onChunk(seen++, line.text);
        if (stop.aborted) break;
      }
      return { kind: 'lost', text: 'the stream stopped without an end' };
    } catch (e) {
      return failed(e, departure);
    }
  }

  async act(
    server: Server,
    a: ToolCallRequest,
    gone: AbortSignal,
    within: number,
    still: () => boolean,
  ): Promise<BackendOutcome> {
    const stop = AbortSignal.any([gone, AbortSignal.timeout(Math.ceil(within))]);
    const departure = new Departure(still, stop);
    try {
      const res = await this.send(
        server,
        {
          path: '/v1/act',
          method: 'POST',
          headers: {
            'content-type': 'application/json',
            'x-request-id': a.requestId,
            ...(a.key ? { 'idempotency-key': a.key } : {}),
          },
          body: JSON.stringify({ id: a.id, path: a.path, body: a.body }),
          signal: stop,
          headersTimeout: within,
          bodyTimeout: within,
        },
        departure,
      );
      const raw: unknown = await res.body.json();
      if (res.statusCode >= 500 || res.statusCode === 429)
        return Declined.safeParse(raw).success
          ? { kind: 'declined', text: `server declined with ${res.statusCode}` }
          : { kind: 'lost', text: `server failed with ${res.statusCode}` };
      const got = Acted.safeParse(raw);
      if (!got.success || got.data.id !== a.id)
        return { kind: 'lost', text: 'the server spoke of another request' };
      return { kind: 'done', code: res.statusCode, body: got.data.result };
    } catch (e) {
      return failed(e, departure);
    }
  }

  async load(server: Server, within: number): Promise<ServerStatus> {
    const res = await request(`${server.url}/load`, {
      dispatcher: this.agent,
      signal: AbortSignal.timeout(Math.ceil(within)),
    });
    return LoadPage.parse(await res.body.json());
  }
}
