/** Helpers of the `/v1` endpoints: request headers, bodies validated against a schema, and outcomes as JSON. */
import { randomBytes } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { z } from 'zod';
import type { CallOutcome } from '@tillerstair/session-owner';
import { sendJson } from '@tillerstair/wire';
import { badRequest } from './status-codes.js';

const maxRequestIdLength = 100;
const randomIdBytes = 9;

/** A new random id, `PREFIX-HEX`. */
export const randomId = (prefix: string): string =>
  `${prefix}-${randomBytes(randomIdBytes).toString('hex')}`;

/** Value of a request header with this lower-case name; '' if there is none. */
export const requestHeader = (req: IncomingMessage, name: string): string => {
  const value = req.headers[name];
  return typeof value === 'string' ? value : '';
};

/** The idempotency key of a request, from `Operation-Key` or else `Idempotency-Key`; '' if there is none. */
export const operationKey = (req: IncomingMessage): string =>
  requestHeader(req, 'operation-key') || requestHeader(req, 'idempotency-key');

/** The caller's `X-Request-Id`, truncated to 100 characters; a new random id if there is none. */
export const requestIdOf = (req: IncomingMessage): string =>
  requestHeader(req, 'x-request-id').slice(0, maxRequestIdLength) || randomId('i');

/** Sends an error response for a request that was not run. */
export const sendRefused = (
  res: ServerResponse,
  status: number,
  errorCode: string,
  text: string,
  details: object = {},
): void => sendJson(res, status, { executed: 'no', errorCode, text, ...details });

/** Sends the outcome of a request as JSON. */
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

/** Parses a JSON body by a schema ('' is read as `{}`); if it does not match, sends 400 and returns undefined. */
export const parseJsonBody = <T>(
  schema: z.ZodType<T>,
  text: string,
  res: ServerResponse,
): T | undefined => {
  let value: unknown;
  try {
    value = JSON.parse(text === '' ? '{}' : text);
  } catch {
    sendRefused(res, badRequest, 'bad-json', 'the request body is not JSON');
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

/** A signal that aborts when the connection closes before the response is complete. */
export const callerSignal = (res: ServerResponse): AbortSignal => {
  const caller = new AbortController();
  res.on('close', () => {
    if (!res.writableFinished) caller.abort();
  });
  return caller.signal;
};
