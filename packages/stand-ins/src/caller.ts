import { randomUUID } from 'node:crypto';
import { pipeline } from 'node:stream';
import split2 from 'split2';
import { Agent, request } from 'undici';
import { z } from 'zod';
import type { ReplyRecord } from '@tillerstair/checker';

export interface CallerRecord extends ReplyRecord {
  readonly front: string;
  readonly status: number;
  readonly firstMs: number;
  readonly retryAfter: number;
}

const Chunk = z.object({ n: z.number(), text: z.string() });
const End = z.object({
  end: z.object({ turn: z.string(), chunks: z.number(), tokens: z.number(), digest: z.string() }),
});
const Line = z.union([
  End,
  Chunk,
  z.object({ partial: z.literal(true), errorCode: z.string().optional() }),
]);
const Refusal = z.object({ executed: z.enum(['no', 'unknown']), errorCode: z.string().optional() });
const Made = z.object({ program: z.string() });
const Fetched = z.object({ turn: z.string(), text: z.string(), tokens: z.number() });
const Did = z.object({ did: z.string(), key: z.string().nullable(), by: z.string() });

const blank = {
  program: '',
  key: '',
  attempt: '',
  turn: '',
  after: '',
  errorCode: '',
  chunks: [],
  text: '',
  tokens: 0,
  sent: '',
  firstMs: 0,
  retryAfter: 0,
};

export class Caller {
  private static readonly agent = new Agent({
    connections: 256,
    pipelining: 1,
    connect: { timeout: 1000 },
  });

  constructor(
    readonly tenant: string,
    private readonly record: (t: CallerRecord) => void,
    private readonly within = 20000,
  ) {}

  static close(): Promise<void> {
    return Caller.agent.destroy();
  }

  private done(
    base: Partial<CallerRecord> &
      Pick<CallerRecord, 'kind' | 'front' | 'from' | 'status' | 'reported'>,
  ): CallerRecord {
    const t: CallerRecord = { ...blank, tenant: this.tenant, to: Date.now(), ...base };
    this.record(t);
    return t;
  }

  private async post(front: string, path: string, body: unknown, key: string, attempt = '') {
    return request(`http://${front}${path}`, {
      method: 'POST',
      dispatcher: Caller.agent,
      headers: {
        'content-type': 'application/json',
        'x-tenant': this.tenant,
        ...(key ? { 'operation-key': key } : {}),
        ...(attempt ? { 'x-request-id': attempt } : {}),
      },
      body: JSON.stringify(body),
      headersTimeout: this.within,
      bodyTimeout: this.within,
    });
  }

  private refusal(
    status: number,
    raw: unknown,
  ): { reported: 'refused' | 'unknown'; errorCode: string } {
    const got = Refusal.safeParse(raw);
    if (!got.success) return { reported: 'unknown', errorCode: `status ${status} without a word` };
    return {
      reported: got.data.executed === 'no' ? 'refused' : 'unknown',
      errorCode:
        got.data.errorCode === 'internal' ? JSON.stringify(raw) : (got.data.errorCode ?? ''),
    };
  }

  async program(front: string, budget: number, parent?: string): Promise<CallerRecord> {
    const from = Date.now();
    const base = { kind: 'program' as const, front, from, sent: String(budget) };
    try {
      const res = await this.post(
        front,
        '/v1/programs',
        parent === undefined ? { budget } : { parent },
        '',
      );
      const raw: unknown = await res.body.json();
      const made = Made.safeParse(raw);
      if (res.statusCode === 201 && made.success)
        return this.done({ ...base, status: 201, reported: 'done', program: made.data.program });
      return this.done({ ...base, status: res.statusCode, ...this.refusal(res.statusCode, raw) });
    } catch (e) {
      return this.done({ ...base, status: 0, ...this.lost(e) });
    }
  }

  private lost(e: unknown): { reported: 'refused' | 'unknown'; errorCode: string } {
    const code = e !== null && typeof e === 'object' && 'code' in e ? String(e.code) : '';
    return {
      reported: code === 'ECONNREFUSED' ? 'refused' : 'unknown',
      errorCode: code || String(e),
    };
  }

  async turn(
    front: string,
    program: string,
    after: string | null,
    words: string,
    key: string,
    maxTokens?: number,
  ): Promise<CallerRecord> {
    const from = Date.now();
    const attempt = randomUUID();
    const base = {
      kind: 'turn' as const,
      front,
      from,
      program,
      key,
      attempt,
      after: after ?? '',
      sent: words,
    };
    const chunks: number[] = [];
    let text = '';
    let firstMs = 0;
    try {
      const body = { after, words, ...(maxTokens === undefined ? {} : { maxTokens }) };
      const res = await this.post(front, `/v1/programs/${program}/turns`, body, key, attempt);
      if (res.statusCode !== 200) {
        const raw: unknown = await res.body.json().catch(() => null);
        const retryAfter = Number(res.headers['retry-after'] ?? 0);
        return this.done({
          ...base,
          status: res.statusCode,
          retryAfter,
          ...this.refusal(res.statusCode, raw),
        });
      }
      const rows = split2();
      pipeline(res.body, rows, () => undefined);
      for await (const row of rows) {
        const line = Line.parse(JSON.parse(String(row)));
        if ('end' in line)
          return this.done({
            ...base,
            status: 200,
            reported: 'done',
            turn: line.end.turn,
            tokens: line.end.tokens,
            chunks,
            text,
            firstMs,
          });
        if ('partial' in line)
          return this.done({
            ...base,
            status: 200,
            reported: 'partial',
            errorCode: line.errorCode ?? '',
            chunks,
            text,
            firstMs,
          });
        firstMs ||= Date.now() - from;
        chunks.push(line.n);
        text += line.text;
      }
      return this.done({
        ...base,
        status: 200,
        reported: 'partial',
        errorCode: 'cut',
        chunks,
        text,
        firstMs,
      });
    } catch (e) {
      if (chunks.length > 0)
        return this.done({
          ...base,
          status: 200,
          reported: 'partial',
          errorCode: 'cut',
          chunks,
          text,
          firstMs,
        });
      return this.done({ ...base, status: 0, ...this.lost(e) });
    }
  }

  async fetch(front: string, program: string, turn: string): Promise<CallerRecord> {
    const from = Date.now();
    const base = { kind: 'fetch' as const, front, from, program, turn };
    try {
      const res = await request(`http://${front}/v1/programs/${program}/turns/${turn}`, {
        dispatcher: Caller.agent,
        headers: { 'x-tenant': this.tenant },
        headersTimeout: this.within,
      });
      const raw: unknown = await res.body.json();
      const got = Fetched.safeParse(raw);
      if (res.statusCode === 200 && got.success)
        return this.done({
          ...base,
          status: 200,
          reported: 'done',
          text: got.data.text,
          tokens: got.data.tokens,
        });
      return this.done({ ...base, status: res.statusCode, ...this.refusal(res.statusCode, raw) });
    } catch (e) {
      return this.done({ ...base, status: 0, ...this.lost(e) });
    }
  }

  async call(front: string, path: string, body: unknown, key: string): Promise<CallerRecord> {
    const from = Date.now();
    const attempt = randomUUID();
    const base = { kind: 'call' as const, front, from, key, attempt, sent: JSON.stringify(body) };
    try {
      const res = await this.post(front, `/v1/calls${path}`, body, key, attempt);
      const raw: unknown = await res.body.json();
      const did = Did.safeParse(raw);
      const retryAfter = Number(res.headers['retry-after'] ?? 0);
      if (res.statusCode === 200 && did.success)
        return this.done({
          ...base,
          status: 200,
          reported: 'done',
          text: `${did.data.by} ${did.data.key ?? ''}`,
        });
      return this.done({
        ...base,
        status: res.statusCode,
        retryAfter,
        ...this.refusal(res.statusCode, raw),
      });
    } catch (e) {
      return this.done({ ...base, status: 0, ...this.lost(e) });
    }
  }
}
