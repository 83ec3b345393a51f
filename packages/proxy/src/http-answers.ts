/** Helpers of the `/v1` pages: headers of requests, bodies checked against a schema, and outcomes in JSON. */
import { randomBytes } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { z } from 'zod';
import type { CallOutcome } from '@tillerstair/session-owner';
import { sendJson } from '@tillerstair/wire';
import { badRequest } from './status-codes.js';

const maxRequestIdLength = 100;
const randomIdBytes = 9;

/** A fresh id with a prefix that names its kind. */
export const randomId = (prefix: string): string =>
  `${prefix}-${randomBytes(randomIdBytes).toString('hex')}`;

/** The value of a request's header; '' if there is none. */
export const requestHeader = (req: IncomingMessage, name: string): string => {
  const value = req.headers[name];
  return typeof value === 'string' ? value : '';
};

/** The key by which a caller asks again: `Operation-Key` or `Idempotency-Key`. */
export const operationKey = (req: IncomingMessage): string =>
  requestHeader(req, 'operation-key') || requestHeader(req, 'idempotency-key');

/** The caller's name for its request, cut to a sensible length; a fresh one if it gives none. */
export const requestIdOf = (req: IncomingMessage): string =>
  requestHeader(req, 'x-request-id').slice(0, maxRequestIdLength) || randomId('i');

/** Refuses a request that was not run. */
export const sendRefused = (
  res: ServerResponse,
  status: number,
  errorCode: string,
  text: string,
  details: object = {},
): void => sendJson(res, status, { executed: 'no', errorCode, text, ...details });

/** Sends what became of a request. */
export const sendOutcome = (res: ServerResponse, outcome: CallOutcome): void => {
  if (outcome.outcome === 'done') {
    sendJson(res, outcome.status, outcome.body ?? null);
    return;
  }
  const headers = new Map<string, string>();
  if (outcome.retryAfter !== undefined) headers.set('retry-after', String(outcome.retryAfter));
  const executed = outcome.outcome === 'refused' ? 'no' : 'unknown';
  const { status, errorCode, text } = outcome;
  sendJson(res, status, { executed, errorCode, text }, headers);
};

/** The JSON value of a body that fits a schema; else answers 400 and gives undefined. */
export const parseJsonBody = <T>(
  schema: z.ZodType<T>,
  text: string,
  res: ServerResponse,
): T | undefined => {
  let value: unknown;
  try {
    value = JSON.parse(text === '' ? '{}' : text);
  } catch {
    sendRefused(res, badRequest, 'bad-json', 'the body is not JSON');
    return undefined;
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const findings = parsed.error.issues.map((issue) => ({
    place: issue.path.map(String).join('.') || 'body',
    text: issue.message,
  }));
  sendRefused(res, badRequest, 'findings', `${findings.length} findings`, { findings });
  return undefined;
};

/** Aborts when the connection ends before the answer is complete. */
export const callerSignal = (res: ServerResponse): AbortSignal => {
  const caller = new AbortController();
  res.on('close', () => {
    if (!res.writableFinished) caller.abort();
  });
  return caller.signal;
};
