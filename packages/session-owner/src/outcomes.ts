/** Constructors of request outcomes. */
import { OwnershipError, type RpcError } from '@tillerstair/wire';
import type { CallOutcome } from './messages.js';

const ok = 200;
const tooManyRequests = 429;
const unavailable = 503;
const conflict = 409;
const gatewayTimeout = 504;
const millisecondsPerSecond = 1000;
const routeRetryAfterMs = 300;

/** The outcome of a request that ran; `body` is its result. */
export const done = (body: unknown, status = ok): CallOutcome => ({
  outcome: 'done',
  status,
  body,
});

/** The outcome of a request that did not run and will not run later; `retryAfter` is in seconds. */
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

/** The outcome of a request that may have run. */
export const unknown = (text: string, errorCode = 'unknown'): CallOutcome => ({
  outcome: 'unknown',
  status: gatewayTimeout,
  errorCode,
  text,
});

/**
 * The outcome of a request whose key is in progress at its service; `retryAfter` is in seconds. It does not say that this
 * request has not run: the run may be its own, sent by an earlier owner of its slot.
 */
export const keyInProgress = (text: string, retryAfter: number): CallOutcome => ({
  outcome: 'unknown',
  status: conflict,
  errorCode: 'running',
  text,
  retryAfter,
});

/** The outcome of a request that failed: `refused` if the error guarantees that it was not executed, else `unknown`. */
export const outcomeOfError = (error: RpcError): CallOutcome =>
  error.executed === 'no'
    ? refused(
        error.code === 'queue-full' ? tooManyRequests : unavailable,
        error.code,
        error.message,
        Math.max(1, Math.ceil(error.retryAfterMs / millisecondsPerSecond)),
      )
    : unknown(error.message, error.code);

/**
 * The error of a forwarded request whose route this front does not have. The forwarding front does have it: either of
 * the two may have the older configuration, so that the request is to be retried.
 */
export const routeUnknown = (path: string): RpcError =>
  new OwnershipError(
    'route-unknown',
    `this front has no route for ${path}`,
    'no',
    routeRetryAfterMs,
  );
