import { randomBytes } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { rootProgramId } from '@tillerstair/state';
import { opKeyOf, programSlotKey, type CallOutcome } from '@tillerstair/session-owner';
import { readBody, sendJson, type HttpHandler } from '@tillerstair/wire';
import type { Front } from './front.js';
import type { Carry } from './passing.js';

const NewProgram = z.strictObject({
  budget: z.number().int().min(1).optional(),
  parent: z.string().optional(),
});
const NewTurn = z.strictObject({
  after: z.string().nullish(),
  path: z.string().default('/chat'),
  words: z.string().min(1),
  maxTokens: z.number().int().min(1).optional(),
});

const callerWithin = 120000;

const header = (req: IncomingMessage, name: string): string => {
  const v = req.headers[name];
  return typeof v === 'string' ? v : '';
};

const requestIdOf = (req: IncomingMessage): string =>
  header(req, 'x-request-id').slice(0, 100) || `i-${randomBytes(9).toString('hex')}`;

const sendOutcome = (res: ServerResponse, v: CallOutcome): void => {
  if (v.outcome === 'done') return sendJson(res, v.status, v.body ?? null);
  const headers = new Map<string, string>();
  if (v.retryAfter !== undefined) headers.set('retry-after', String(v.retryAfter));
  sendJson(
    res,
    v.status,
    { executed: v.outcome === 'refused' ? 'no' : 'unknown', errorCode: v.errorCode, text: v.text },
    headers,
  );
};

const bad = (
  res: ServerResponse,
  status: number,
  errorCode: string,
  text: string,
  more: object = {},
): void => sendJson(res, status, { executed: 'no', errorCode, text, ...more });

const parsed = <T>(schema: z.ZodType<T>, text: string, res: ServerResponse): T | undefined => {
  let raw: unknown;
  try {
    raw = JSON.parse(text === '' ? '{}' : text);
  } catch {
    bad(res, 400, 'bad-json', 'the body is not JSON');
    return undefined;
  }
  const got = schema.safeParse(raw);
  if (got.success) return got.data;
  const findings = got.error.issues.map((i) => ({
    place: i.path.map(String).join('.') || 'body',
    text: i.message,
  }));
  bad(res, 400, 'findings', `${findings.length} findings`, { findings });
  return undefined;
};

const goneOf = (res: ServerResponse): AbortSignal => {
  const ctl = new AbortController();
  res.on('close', () => {
    if (!res.writableFinished) ctl.abort();
  });
  return ctl.signal;
};

export const callerPages = (front: Front, bodyMost: number, carry?: Carry): HttpHandler => {
  const ownPid = (): string => {
    for (let n = 0; ; n++) {
      const pid = `p-${randomBytes(8).toString('hex')}`;
      const slot = front.owner.slotFor(programSlotKey(pid));
      if (n >= 200 || front.owner.ownerOf(slot) === front.p.id) return pid;
    }
  };

  const program = async (
    req: IncomingMessage,
    res: ServerResponse,
    tenant: string,
  ): Promise<void> => {
    const body = parsed(NewProgram, await readBody(req, bodyMost), res);
    if (!body) return;
    front.owner.requireLease();
    const pid =
      body.parent === undefined
        ? ownPid()
        : `${rootProgramId(body.parent)}~${randomBytes(6).toString('hex')}`;
    const ask = { tenant, pid, ...body };
    const within = front.p.bounds.heartbeatInterval * 5;
    const v = await front.forward(
      { kind: 'front/program', slotKey: `p/${rootProgramId(pid)}`, body: ask, within },
      () => undefined,
      goneOf(res),
    );
    sendOutcome(res, v);
  };

  const turn = async (
    req: IncomingMessage,
    res: ServerResponse,
    tenant: string,
    pid: string,
  ): Promise<void> => {
    const body = parsed(NewTurn, await readBody(req, bodyMost), res);
    if (!body) return;
    const key =
      header(req, 'operation-key') ||
      header(req, 'idempotency-key') ||
      `k-${randomBytes(9).toString('hex')}`;
    const ask = {
      tenant,
      pid,
      ...body,
      after: body.after ?? null,
      key,
      requestId: requestIdOf(req),
    };
    const begin = (): void => {
      if (!res.headersSent) res.writeHead(200, { 'content-type': 'application/x-ndjson' });
    };
    const emit = (n: number, text: string): void => {
      begin();
      res.write(`${JSON.stringify({ n, text })}\n`);
    };
    const v = await front.forward(
      { kind: 'front/turn', slotKey: `p/${rootProgramId(pid)}`, body: ask, within: callerWithin },
      emit,
      goneOf(res),
    );
    if (v.outcome === 'done') {
      begin();
      res.end(`${JSON.stringify(v.body)}\n`);
      return;
    }
    if (!res.headersSent) return sendOutcome(res, v);
    res.end(
      `${JSON.stringify({ partial: true, executed: 'unknown', errorCode: v.errorCode, text: v.text })}\n`,
    );
  };

  const call = async (
    req: IncomingMessage,
    res: ServerResponse,
    tenant: string,
    path: string,
  ): Promise<void> => {
    const body = await readBody(req, bodyMost);
    if (parsed(z.unknown(), body, res) === undefined && res.headersSent) return;
    const key = header(req, 'operation-key') || header(req, 'idempotency-key');
    if (key.length > 200)
      return bad(res, 400, 'bad-key', 'an Operation-Key has at most 200 characters');
    const ask = { tenant, path, key, body, requestId: requestIdOf(req) };
    const slotKey = opKeyOf(tenant, key);
    if (key === '') {
      front.owner.requireLease();
      return sendOutcome(res, await front.owner.calls.runCall(ask, goneOf(res)));
    }
    sendOutcome(
      res,
      await front.forward(
        { kind: 'front/call', slotKey, body: ask, within: callerWithin },
        () => undefined,
        goneOf(res),
      ),
    );
  };

  return async (req, res, url) => {
    if (carry && !url.pathname.startsWith('/v1/')) return carry(req, res);
    const tenant = header(req, 'x-tenant') || 'default';
    if (front.stopping) {
      res.setHeader('connection', 'close');
      return sendOutcome(res, {
        outcome: 'refused',
        status: 503,
        errorCode: 'stopping',
        text: 'this front is stopping',
        retryAfter: 1,
      });
    }
    const parts = url.pathname.split('/').slice(1).map(decodeURIComponent);
    const [v1, section, pid, turns, id] = parts;
    try {
      if (v1 === 'v1' && section === 'programs') {
        if (req.method === 'POST' && pid === undefined) return await program(req, res, tenant);
        if (req.method === 'POST' && pid !== undefined && turns === 'turns' && id === undefined)
          return await turn(req, res, tenant, pid);
        if (
          req.method === 'GET' &&
          pid !== undefined &&
          (turns === undefined || (turns === 'turns' && id !== undefined))
        ) {
          const ask = { tenant, pid, ...(id === undefined ? {} : { turn: id }) };
          const within = front.p.bounds.heartbeatInterval * 5;
          const d = {
            kind: 'front/history' as const,
            slotKey: `p/${rootProgramId(pid)}`,
            body: ask,
            within,
          };
          return sendOutcome(res, await front.forward(d, () => undefined, goneOf(res)));
        }
      }
      if (v1 === 'v1' && section === 'calls' && req.method === 'POST' && pid !== undefined)
        return await call(req, res, tenant, `/${parts.slice(2).join('/')}`);
      if (v1 === 'v1' && section === 'view') return sendJson(res, 200, front.nodeView());
      if (v1 === 'v1' && section === 'sizes')
        return sendJson(res, 200, { ...front.owner.sizes(), memory: process.memoryUsage().rss });
      bad(res, 404, 'no-such-page', url.pathname);
    } catch (e) {
      if (e instanceof Error && 'code' in e && e.code === 'not-ready') {
        return sendOutcome(res, {
          outcome: 'refused',
          status: 503,
          errorCode: 'not-ready',
          text: e.message,
          retryAfter: 1,
        });
      }
      throw e;
    }
  };
};
