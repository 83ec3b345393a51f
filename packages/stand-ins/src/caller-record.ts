/** Records of requests as seen by their caller, and the mapping of error replies and connection errors to outcomes. */
import type { ReplyRecord } from '@tillerstair/checker';
import { ErrorBody } from './messages.js';

/** The record of one HTTP request: the checker's record, and fields that only an HTTP caller has. Times are in ms. */
export interface CallerRecord extends ReplyRecord {
  /** HOST:PORT of the front that received the request. */
  readonly front: string;
  /** HTTP status; 0 if no reply was received. */
  readonly status: number;
  /** Time from the request to the first chunk; 0 if none was received. */
  readonly firstMs: number;
}

/** The outcome of a request that did not complete, as its caller records it. */
export type Failure = Pick<CallerRecord, 'status' | 'reported' | 'errorCode'>;

/** Error code recorded for a stream that was cut off without an end line. */
export const brokenStreamCode = 'cut';

/** Default values for the fields of a record that a request does not set. */
export const recordDefaults = {
  program: '',
  key: '',
  attempt: '',
  turn: '',
  after: '',
  errorCode: '',
  chunks: [],
  text: '',
  tokens: 0,
  sent: '',
  firstMs: 0,
  retryAfter: 0,
} as const satisfies Partial<CallerRecord>;

/** Maps an error reply to an outcome: `refused` if its body says that nothing was executed, otherwise `unknown`. */
export const failureOfReply = (status: number, body: unknown): Failure => {
  const refusal = ErrorBody.safeParse(body);
  if (!refusal.success)
    return { status, reported: 'unknown', errorCode: `status ${status} without an error code` };
  const { executed, errorCode } = refusal.data;
  return {
    status,
    reported: executed === 'no' ? 'refused' : 'unknown',
    errorCode: errorCode === 'internal' ? JSON.stringify(body) : (errorCode ?? ''),
  };
};

/** Maps a connection error to an outcome: only ECONNREFUSED guarantees that nothing ran, any other is `unknown`. */
export const failureOfConnection = (error: unknown): Failure => {
  const code =
    error !== null && typeof error === 'object' && 'code' in error ? String(error.code) : '';
  return {
    status: 0,
    reported: code === 'ECONNREFUSED' ? 'refused' : 'unknown',
    errorCode: code || String(error),
  };
};
