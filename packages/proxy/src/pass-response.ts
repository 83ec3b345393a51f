/** Decides whether an answer on a pass route is one that the caller may get (`docs/answers-and-connections.md`). */
import type { BackendOutcome, Header } from '@tillerstair/session-owner';
import type { Dialect } from './dialect.js';
import { headerValue } from './headers.js';
import {
  internalServerError,
  misdirectedRequest,
  requestTimeout,
  serviceUnavailable,
  tooEarly,
  tooManyRequests,
} from './status-codes.js';

/** Statuses that would promise a caller that its request has not run, which only the server can know. */
const statusesOfUnknownOutcome: ReadonlySet<number> = new Set([
  requestTimeout,
  tooEarly,
  tooManyRequests,
  serviceUnavailable,
]);

/**
 * The outcome of a request whose answer is not to be passed on, or undefined if it is: `declined` where the server says
 * that it did not run it, `lost` where the answer is another attempt's, promises what it cannot, or is no server's.
 */
export const rejectedResponse = (
  status: number,
  headers: readonly Header[],
  attempt: string,
  dialect: Dialect,
): BackendOutcome | undefined => {
  if (headerValue(headers, dialect.attempt) !== attempt)
    return { kind: 'lost', text: 'the server answered another attempt' };
  if (headerValue(headers, dialect.declined) !== '' || status === misdirectedRequest)
    return { kind: 'declined', text: `server declined with ${status}` };
  if (statusesOfUnknownOutcome.has(status))
    return { kind: 'lost', text: `server failed with ${status}` };
  const marked = dialect.madeByServer === '' || headerValue(headers, dialect.madeByServer) !== '';
  if (status < internalServerError && !marked)
    return { kind: 'lost', text: "the answer is not the server's" };
  return undefined;
};
