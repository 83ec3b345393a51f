/** What a caller knows of its requests, and how it reads refusals, lost connections and broken streams. */
import type { ReplyRecord } from '@tillerstair/checker';
import { ErrorBody } from './messages.js';

/** A reply with what only a caller over HTTP knows of it; times are in ms. */
export interface CallerRecord extends ReplyRecord {
  /** The front that was asked. */
  readonly front: string;
  /** The HTTP status; 0 where no reply came. */
  readonly status: number;
  /** From the request to the first chunk; 0 where none came. */
  readonly firstMs: number;
}

/** What a caller reports of a request that was not done. */
export type Failure = Pick<CallerRecord, 'status' | 'reported' | 'errorCode'>;

/** The error code of a stream that broke off without an end. */
export const brokenStreamCode = 'cut';

/** A record's values where nothing is known. */
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

/** Reads the body of an error; one that does not say that nothing ran leaves the outcome unknown. */
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

/** Reads an error of the connection; only a refused connection is sure not to have run anything. */
export const failureOfConnection = (error: unknown): Failure => {
  const code =
    error !== null && typeof error === 'object' && 'code' in error ? String(error.code) : '';
  return {
    status: 0,
    reported: code === 'ECONNREFUSED' ? 'refused' : 'unknown',
    errorCode: code || String(error),
  };
};
