import {
  defaultRetryAfterMs,
  RpcError,
  type ExecutionStatus,
  type RpcErrorCodeOf,
} from './rpc-error.js';

/**
 * A control rejected the request under the rules of election and state publishing: the request is for another master,
 * term, cluster or node, or no majority answered.
 */
export class ElectionError extends RpcError {
  override readonly name: string = 'ElectionError';

  constructor(
    override readonly code: RpcErrorCodeOf<'election'>,
    message: string,
    executed: ExecutionStatus = 'no',
    retryAfterMs = defaultRetryAfterMs,
  ) {
    super(code, message, executed, retryAfterMs);
  }
}
