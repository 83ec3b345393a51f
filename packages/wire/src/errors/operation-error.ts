import {
  defaultRetryAfterMs,
  RpcError,
  type ExecutionStatus,
  type RpcErrorCodeOf,
} from './rpc-error.js';

/**
 * An operator's request was rejected: what it names does not exist, or the cluster state does not allow it.
 */
export class OperationError extends RpcError {
  override readonly name: string = 'OperationError';

  constructor(
    override readonly code: RpcErrorCodeOf<'operation'>,
    message: string,
    executed: ExecutionStatus = 'no',
    retryAfterMs = defaultRetryAfterMs,
  ) {
    super(code, message, executed, retryAfterMs);
  }
}
