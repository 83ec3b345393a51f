import {
  defaultRetryAfterMs,
  RpcError,
  type ExecutionStatus,
  type RpcErrorCodeOf,
} from './rpc-error.js';

/**
 * A control refuses by the rules of election and publishing: another master, term, cluster or node is meant, or no majority answered.
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
