/**
 * The base of the errors that cross the inner wire. `docs/errors.md` lists every code with its class.
 *
 * An error says two things: a code, and whether the work that was asked for has been executed.
 */

/**
 * Whether requested work has been executed. `no` is a promise: it has not run and never will on account of that
 * request, so it may be sent again.
 */
export type ExecutionStatus = 'no' | 'unknown' | 'yes';

/** Every code by the family that has it: one class for each family. */
export const rpcErrorCodes = {
  transport: ['connection-refused', 'connection-lost', 'request-timeout', 'gone'],
  protocol: ['internal', 'unknown', 'unknown-kind', 'closed'],
  election: [
    'not-master',
    'not-joining',
    'not-held',
    'no-majority',
    'other-cluster',
    'other-node',
    'stale',
    'stale-state',
    'stale-term',
    'superseded',
  ],
  ownership: ['not-owner', 'no-owner', 'taking-over', 'route-unknown'],
  replica: ['away', 'hints-full', 'moved', 'not-fenced', 'page-gone', 'stale-epoch'],
  availability: ['unavailable', 'not-ready', 'not-finished', 'running'],
  feed: ['no-proxy', 'other-proxy', 'need-config'],
  admission: ['queue-full', 'queue-timeout', 'no-route', 'no-server'],
  operation: ['missing', 'refused', 'forgotten', 'wrong-base'],
} as const;

/** The families of errors. */
export type RpcErrorFamily = keyof typeof rpcErrorCodes;

/** The codes of one family. */
export type RpcErrorCodeOf<Family extends RpcErrorFamily> = (typeof rpcErrorCodes)[Family][number];

/** Every code that an `RpcError` can have; they stand on the inner wire and as `errorCode` in answers. */
export type RpcErrorCode = RpcErrorCodeOf<RpcErrorFamily>;

/** When callers are asked to come back if nothing better is known, in milliseconds. */
export const defaultRetryAfterMs = 1000;

/** An error of a request between processes. */
export class RpcError extends Error {
  override readonly name: string = 'RpcError';

  /**
   * @param executed - whether the work has been executed
   * @param retryAfterMs - when the caller may try again, in milliseconds; it does not cross the inner wire
   */
  constructor(
    readonly code: RpcErrorCode,
    message: string,
    readonly executed: ExecutionStatus = 'no',
    readonly retryAfterMs = defaultRetryAfterMs,
  ) {
    super(message);
  }
}
