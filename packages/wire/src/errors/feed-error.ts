import {
  defaultRetryAfterMs,
  RpcError,
  type ExecutionStatus,
  type RpcErrorCodeOf,
} from './rpc-error.js';

/**
 * A proxy and the agent beside it are not in step: no proxy, another one, or one that needs the whole configuration.
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
