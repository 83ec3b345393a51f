import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  opKeyOf,
  encodeBody,
  ForwardedResponse,
  passRoutePath,
  refused,
  streamSlotKey,
  decodeBody,
  type EmitChunk,
  type ResponseHead,
  type PassRequest,
  type CallOutcome,
} from '@tillerstair/session-owner';
import { BodyTooLargeError, toRpcError } from '@tillerstair/wire';
import { z } from 'zod';
import { endToEnd, pairsOf } from './backend.js';
import type { Dialect } from './dialect.js';
import type { Front } from './front.js';

const HeadChunk = z.object({
  status: z.number(),
  headers: z.array(z.tuple([z.string(), z.string()])),
});

const readBytes = async (req: IncomingMessage, most: number): Promise<string> => {
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of req) {
    const b = Buffer.isBuffer(part) ? part : Buffer.from(String(part));
    size += b.length;
    if (size > most) throw new BodyTooLargeError(`body is over ${most} bytes`);
    parts.push(b);
  }
  return encodeBody(Buffer.concat(parts));
};

const partsIn = (text: string): [string, number][] =>
  text.split(',').flatMap((part): [string, number][] => {
    const at = part.lastIndexOf(':');
    const tokens = Number(part.slice(at + 1));
    return at > 0 && tokens >= 0 ? [[part.slice(0, at).trim(), tokens]] : [];
  });

const numberIn = (text: string): number | null => {
  const n = Number(text);
  return text !== '' && Number.isFinite(n) && n >= 0 ? n : null;
};

/** When a caller may come back after a refusal that says nothing of its own, in seconds. */
const comeBackS = 0.5;

const refuse = (
  res: ServerResponse,
  status: number,
  errorCode: string,
  text: string,
  retryAfter?: number,
): void => {
  if (res.destroyed || res.headersSent) return;
  const body = JSON.stringify({
    executed: status === 502 || status === 504 ? 'unknown' : 'no',
    errorCode,
    text,
  });
  const again =
    retryAfter === undefined ? [] : [['Retry-After', String(Math.round(retryAfter * 1000) / 1000)]];
  res.writeHead(
    status,
    [
      ['Content-Type', 'application/json'],
      ['Content-Length', String(Buffer.byteLength(body))],
      ...again,
    ].flat(),
  );
  res.end(body);
};

const sendPassed = (res: ServerResponse, p: ForwardedResponse): void => {
  if (res.destroyed || res.headersSent) return;
  const body = decodeBody(p.body);
  const bodiless = p.status === 204 || p.status === 304;
  res.writeHead(
    p.status,
    [...p.headers, ...(bodiless ? [] : [['Content-Length', String(body.length)]])].flat(),
  );
  res.end(body);
};

/** Carries a request by the rules of its route: to its owner if it has one, or straight to a server. */
export const passOn = async (
  front: Front,
  ask: PassRequest,
  emit: EmitChunk,
  gone: AbortSignal,
): Promise<CallOutcome> => {
  front.owner.requireLease();
  const route = front.owner.findRoute('pass', passRoutePath(ask));
  if (!route?.pass) return refused(404, 'no-route', 'no route takes this host and path');
  const body = { ...ask, left: Math.min(ask.left, route.pass.deadlineMs) };
  if (route.pass.manner === 'stream') {
    const slotKey = streamSlotKey(body, route);
    return slotKey === ''
      ? front.carry(body, true, emit, gone)
      : front.forward({ kind: 'front/stream', slotKey, body, within: body.left }, emit, gone);
  }
  if (route.pass.manner !== 'keyed') return front.carry(body, false, emit, gone);
  return front.forward(
    { kind: 'front/keyed', slotKey: opKeyOf(ask.tenant, ask.key), body, within: body.left },
    emit,
    new AbortController().signal,
  );
};

export type Carry = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

/** Serves pass routes: requests are carried as they came, in the words of `d`. `bodyMost` is in bytes. */
export const carrier = (front: Front, d: Dialect, bodyMost: () => number): Carry => {
  const { clock } = front.p;

  const askOf = async (req: IncomingMessage, arrived: number): Promise<PassRequest> => {
    const word = (name: string): string => {
      const v = name === '' ? undefined : req.headers[name];
      return typeof v === 'string' ? v : '';
    };
    const body = await readBytes(req, bodyMost());
    const headers = endToEnd(pairsOf(req.rawHeaders)).flatMap(([k, v]): [string, string][] => {
      const low = k.toLowerCase();
      return low === d.timeLeft || low === d.expect || low === d.resume ? [] : [[k, v]];
    });
    const [, most = ''] = word(d.tokens).split(',');
    const left = numberIn(word(d.timeLeft)) ?? Infinity;
    return {
      tenant: word(d.tenant) || 'default',
      host: word('host').split(':')[0]?.toLowerCase() ?? '',
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers,
      body,
      attempt: word(d.attempt),
      key: word(d.key),
      left: Math.min(3600000, left - (clock.now() - arrived)),
      program: word(d.program),
      budget: numberIn(word(d.budget)),
      most: numberIn(most) ?? 0,
      parts: partsIn(word(d.parts)),
      after: word(d.after),
      resume: word(d.resume),
    };
  };

  const answer = (res: ServerResponse, v: CallOutcome): void => {
    const whole = ForwardedResponse.safeParse(v.body);
    if (v.outcome === 'done' && whole.success) return sendPassed(res, whole.data);
    if (res.headersSent) {
      if (v.outcome === 'done') res.end();
      else res.destroy();
      return;
    }
    refuse(
      res,
      v.outcome === 'done' ? 502 : v.status === 504 ? 502 : v.status,
      v.errorCode ?? 'unknown',
      v.text ?? '',
      v.retryAfter,
    );
  };

  const headed = (
    res: ServerResponse,
  ): { readonly emit: EmitChunk; end(v: CallOutcome): CallOutcome } => {
    let head: ResponseHead | undefined;
    const open = (): void => {
      if (head && !res.headersSent) res.writeHead(head.status, [...head.headers].flat());
    };
    return {
      emit: (n, text) => {
        if (n === 0) {
          head = HeadChunk.parse(JSON.parse(text));
          return;
        }
        open();
        res.write(Buffer.from(text, 'latin1'));
      },
      end: (v) => {
        if (v.outcome === 'done') open();
        return v;
      },
    };
  };

  return async (req, res) => {
    const arrived = clock.now();
    const stop = new AbortController();
    res.on('close', () => {
      if (!res.writableFinished) stop.abort();
    });
    if (front.stopping) res.setHeader('Connection', 'close');
    let passedOn = false;
    try {
      const ask = await askOf(req, arrived);
      if (ask.attempt === '')
        return refuse(res, 400, 'no-try', `a request names its try in ${d.attempt}`);
      const { emit, end } = headed(res);
      passedOn = true;
      answer(res, end(await passOn(front, ask, emit, stop.signal)));
    } catch (e) {
      if (e instanceof BodyTooLargeError) return refuse(res, 413, 'body-too-large', e.message);
      if (e instanceof Error && 'code' in e && e.code === 'not-ready')
        return refuse(
          res,
          503,
          'not-ready',
          e.message,
          (front.p.bounds.heartbeatInterval * 2) / 1000,
        );
      if (res.headersSent) return void res.destroy();
      const { code, message, executed } = toRpcError(e);
      refuse(
        res,
        passedOn && executed !== 'no' ? 502 : 503,
        code,
        message,
        passedOn && executed !== 'no' ? undefined : comeBackS,
      );
    }
  };
};
