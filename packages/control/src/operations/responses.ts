/** Responses of the operators' interface: statuses, and the bodies of refusals and of unclear outcomes. */
import { toRpcError } from '@tillerstair/wire';
import type { OperatorResponse } from '../messages.js';

/** HTTP statuses of responses to operators. */
export const HttpStatus = {
  ok: 200,
  badRequest: 400,
  notFound: 404,
  methodNotAllowed: 405,
  conflict: 409,
  /** The request has findings: the body violates its schema or contradicts itself. */
  unprocessable: 422,
  unavailable: 503,
  /** It is unknown whether the change was made. */
  unclear: 504,
} as const;

/** An HTTP status of a response to an operator. */
export type HttpStatus = (typeof HttpStatus)[keyof typeof HttpStatus];

/** The request was executed; `body` is its result. */
export const succeeded = (body: unknown): OperatorResponse => ({ status: HttpStatus.ok, body });

/** The request definitely changed nothing. `details` are further fields of the body. */
export const refused = (
  status: HttpStatus,
  errorCode: string,
  text: string,
  details: object = {},
): OperatorResponse => ({ status, body: { executed: 'no', errorCode, text, ...details } });

/** It is unknown whether the request changed anything; `how` says how the operator can find out. */
export const unclear = (text: string, how: string, details: object = {}): OperatorResponse => ({
  status: HttpStatus.unclear,
  body: { executed: 'unknown', errorCode: 'unknown', text, how, ...details },
});

/** Response to a failed change: 503 if it definitely was not made, else an unclear outcome. */
export const failedChange = (
  error: unknown,
  how: string,
  details: object = {},
): OperatorResponse => {
  const { executed, code, message } = toRpcError(error);
  return executed === 'no'
    ? refused(HttpStatus.unavailable, code, message)
    : unclear(message, how, details);
};

/** Seconds after which an operator may repeat a draining mark that was committed too late. */
const lateMarkRetryAfterS = 1;

/** A draining mark was committed too late for the bound of draining to count from the request. */
export const lateDrainingMark = (): OperatorResponse => ({
  status: HttpStatus.unclear,
  body: {
    executed: 'unknown',
    errorCode: 'late',
    text: 'the draining mark was committed too late for its bound to count from this request; ask again',
    how: 'repeat the POST request',
  },
  retryAfter: lateMarkRetryAfterS,
});

/** No master executed the request; another may be elected within the failure timeout, given in ms. */
export const notCarriedOut = (
  errorCode: string,
  text: string,
  failureTimeoutMs: number,
  details: object = {},
): OperatorResponse => ({
  ...refused(HttpStatus.unavailable, errorCode, text, details),
  retryAfter: Math.ceil(failureTimeoutMs / 1000),
});

/** Response to a change that was forwarded to the master and got no clear response. */
export const failedForward = (text: string): OperatorResponse =>
  unclear(text, 'GET /v1/status or GET /v1/config');
