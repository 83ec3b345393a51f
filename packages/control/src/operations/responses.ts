/** The responses of the operators' interface: statuses, and the bodies of refusals and of unclear outcomes. */
import { toRpcError } from '@tillerstair/wire';
import type { OperatorResponse } from '../messages.js';

/** The HTTP statuses that operators are answered with. */
export const HttpStatus = {
  ok: 200,
  badRequest: 400,
  notFound: 404,
  methodNotAllowed: 405,
  conflict: 409,
  /** The request has findings: the body breaks its schema or contradicts itself. */
  unprocessable: 422,
  unavailable: 503,
  /** Whether the change was made is unknown. */
  unclear: 504,
} as const;

/** One of the statuses that operators are answered with. */
export type HttpStatus = (typeof HttpStatus)[keyof typeof HttpStatus];

/** The request was carried out, or its subject read. */
export const succeeded = (body: unknown): OperatorResponse => ({ status: HttpStatus.ok, body });

/** The request surely altered nothing. `details` are further fields of the body. */
export const refused = (
  status: HttpStatus,
  errorCode: string,
  text: string,
  details: object = {},
): OperatorResponse => ({ status, body: { executed: 'no', errorCode, text, ...details } });

/** Whether the request altered anything is unknown; `how` says how the operator can find out. */
export const unclear = (text: string, how: string, details: object = {}): OperatorResponse => ({
  status: HttpStatus.unclear,
  body: { executed: 'unknown', errorCode: 'unknown', text, how, ...details },
});

/** The answer to a change that failed: 503 where it surely was not made, else an unclear outcome. */
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

/** After how many seconds an operator may repeat a draining mark that came too late. */
const lateMarkRetryAfterS = 1;

/** A draining mark was committed, but too late for the bound of draining to count from the request. */
export const lateDrainingMark = (): OperatorResponse => ({
  status: HttpStatus.unclear,
  body: {
    executed: 'unknown',
    errorCode: 'late',
    text: 'the mark was taken, but too late for its bound to count from this request; ask again',
    how: 'POST it again',
  },
  retryAfter: lateMarkRetryAfterS,
});

/** No master carried the request out; another may be elected within the failure timeout, given in ms. */
export const notCarriedOut = (
  errorCode: string,
  text: string,
  failureTimeoutMs: number,
  details: object = {},
): OperatorResponse => ({
  ...refused(HttpStatus.unavailable, errorCode, text, details),
  retryAfter: Math.ceil(failureTimeoutMs / 1000),
});

/** A change was forwarded to the master, which gave no clear answer. */
export const failedForward = (text: string): OperatorResponse =>
  unclear(text, 'GET /v1/status or GET /v1/config');
