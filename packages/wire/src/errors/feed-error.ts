import {
  defaultRetryAfterMs,
  RpcError,
  type ExecutionStatus,
  type RpcErrorCodeOf,
} from './rpc-error.js';

/**
 * A proxy and its agent are out of sync: there is no proxy, it is not the one that the agent expects, or it needs the
 * complete configuration.
 */
export class FeedError extends RpcError {
  override readonly name: string = 'FeedError';

  constructor(
    override readonly code: RpcErrorCodeOf<'feed'>,
    message: string,
    executed: ExecutionStatus = 'no',
    retryAfterMs = defaultRetryAfterMs,
  ) {
    super(code, message, executed, retryAfterMs);
  }
}
