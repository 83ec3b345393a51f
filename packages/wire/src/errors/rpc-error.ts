/**
 * The base class of the errors in node-to-node messages. `docs/errors.md` lists every code with its class.
 *
 * An error has a code and says whether the requested work has been executed.
 */

/**
 * Whether the requested work has been executed. `no` guarantees that this request has not been executed and never will
 * be, so it is safe to retry.
 */
export type ExecutionStatus = 'no' | 'unknown' | 'yes';

/** All error codes by family; each family has its own error class. */
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
  replica: ['away', 'hints-full', 'moved', 'not-fenced', 'page-gone', 'stale-epoch', 'store-full'],
  availability: ['unavailable', 'not-ready', 'not-finished', 'running', 'memory-full'],
  feed: ['no-proxy', 'other-proxy', 'need-config'],
  admission: ['queue-full', 'queue-timeout', 'no-route', 'no-server'],
  operation: ['missing', 'refused', 'forgotten', 'wrong-base'],
} as const;

/** A family of error codes. */
export type RpcErrorFamily = keyof typeof rpcErrorCodes;

/** The codes of one family. */
export type RpcErrorCodeOf<Family extends RpcErrorFamily> = (typeof rpcErrorCodes)[Family][number];

/** Any code of an `RpcError`; it is sent in node-to-node messages and as `errorCode` in HTTP responses. */
export type RpcErrorCode = RpcErrorCodeOf<RpcErrorFamily>;

/** Retry delay that is suggested to callers if the error has no better estimate, in milliseconds. */
export const defaultRetryAfterMs = 1000;

/** Failure of a request between processes. */
export class RpcError extends Error {
  override readonly name: string = 'RpcError';

  /**
   * @param executed - whether the requested work has been executed
   * @param retryAfterMs - delay before the caller may retry, in milliseconds; not sent in node-to-node messages
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
