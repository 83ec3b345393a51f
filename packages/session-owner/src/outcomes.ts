/** Makes the outcomes of requests. */
import { OwnershipError, type RpcError } from '@tillerstair/wire';
import type { CallOutcome } from './messages.js';

const ok = 200;
const tooManyRequests = 429;
const unavailable = 503;
const gatewayTimeout = 504;
const millisecondsPerSecond = 1000;
const routeRetryAfterMs = 300;

/** It ran, and this is its result. */
export const done = (body: unknown, status = ok): CallOutcome => ({
  outcome: 'done',
  status,
  body,
});

/** It did not run and never will on account of this request; `retryAfter` is in seconds. */
export const refused = (
  status: number,
  errorCode: string,
  text: string,
  retryAfter?: number,
): CallOutcome => ({
  outcome: 'refused',
  status,
  errorCode,
  text,
  ...(retryAfter === undefined ? {} : { retryAfter }),
});

/** It may have run. */
export const unknown = (text: string, errorCode = 'unknown'): CallOutcome => ({
  outcome: 'unknown',
  status: gatewayTimeout,
  errorCode,
  text,
});

/** The outcome of a request that failed: refused if the error says that it was not executed, else unknown. */
export const outcomeOfError = (error: RpcError): CallOutcome =>
  error.executed === 'no'
    ? refused(
        error.code === 'queue-full' ? tooManyRequests : unavailable,
        error.code,
        error.message,
        Math.max(1, Math.ceil(error.retryAfterMs / millisecondsPerSecond)),
      )
    : unknown(error.message, error.code);

/** The front that took a request knows its route, but this one does not, or not any more: which of them is behind is not known. */
export const routeUnknown = (path: string): RpcError =>
  new OwnershipError(
    'route-unknown',
    `this front has no route for ${path}`,
    'no',
    routeRetryAfterMs,
  );
