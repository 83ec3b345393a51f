/** Refusals that several interfaces give, with the retry hints of each; a hint is in seconds. */
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

/** Retry hints in seconds, by what the caller has to wait for. */
export const retryAfterSeconds = {
  /** Another attempt that is likely to end soon. */
  otherAttempt: 0.2,
  /** A server that becomes free, or a store that can tell. */
  capacity: 0.3,
  /** A lease, a quorum or a running turn. */
  recovery: 1,
  /** A server for a turn, which may take longer. */
  turnCapacity: 2,
} as const;

/** The budget does not cover what would have to be reserved. */
export const budgetSpent = (): CallOutcome =>
  refused(status.budgetSpent, 'budget-spent', 'the budget is spent');

/** The caller was gone before anything was sent. */
export const callerDisconnected = (text: string): CallOutcome =>
  refused(status.unavailable, 'gone', text, retryAfterSeconds.recovery);

/** The read lease ran out before anything was sent. */
export const leaseExpired = (text: string): CallOutcome =>
  refused(status.unavailable, 'not-ready', text, retryAfterSeconds.recovery);

/** It exists perhaps, but too few replicas can tell. */
export const unreadable = (what: string): CallOutcome =>
  refused(
    status.unavailable,
    'unavailable',
    `${what} cannot be read just now`,
    retryAfterSeconds.recovery,
  );

/** No server was free before the time for it was over; `retryAfter` is in seconds. */
export const noServerInTime = (retryAfter: number): CallOutcome =>
  refused(status.unavailable, 'queue-timeout', 'no server came free in time', retryAfter);
