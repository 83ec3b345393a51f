/** Refusals that several interfaces share, with their retry hints in seconds. */
import type { CallOutcome } from './messages.js';
import { refused } from './outcomes.js';

/** HTTP statuses of refusals. */
export const status = {
  badRequest: 400,
  budgetSpent: 402,
  notFound: 404,
  conflict: 409,
  otherBody: 422,
  unavailable: 503,
} as const;

/** Retry hints in seconds, by the condition that the caller has to wait for. */
export const retryAfterSeconds = {
  /** The end of another attempt, likely soon. */
  otherAttempt: 0.2,
  /** A free server, or a response from a store. */
  capacity: 0.3,
  /** A lease, a quorum, or the end of a running turn. */
  recovery: 1,
  /** A free server for a turn, which may take longer. */
  turnCapacity: 2,
} as const;

/** Refusal of a turn whose reservation the program's budget does not cover. */
export const budgetSpent = (): CallOutcome =>
  refused(status.budgetSpent, 'budget-spent', 'the token budget of the program is spent');

/** Refusal of a request whose caller disconnected before the request was sent to a server. */
export const callerDisconnected = (text: string): CallOutcome =>
  refused(status.unavailable, 'gone', text, retryAfterSeconds.recovery);

/** Refusal of a request for which the read lease expired before the request was sent to a server. */
export const leaseExpired = (text: string): CallOutcome =>
  refused(status.unavailable, 'not-ready', text, retryAfterSeconds.recovery);

/** Refusal because too few replicas responded to tell whether `subject` exists. */
export const unreadable = (subject: string): CallOutcome =>
  refused(
    status.unavailable,
    'unavailable',
    `${subject} cannot be read just now`,
    retryAfterSeconds.recovery,
  );

/** Refusal of a request that got no server before its placement deadline; `retryAfter` is in seconds. */
export const noServerInTime = (retryAfter: number): CallOutcome =>
  refused(status.unavailable, 'queue-timeout', 'no server came free in time', retryAfter);
