import {
  defaultRetryAfterMs,
  RpcError,
  type ExecutionStatus,
  type RpcErrorCodeOf,
} from './rpc-error.js';

/**
 * A replica of a slot cannot serve the request: it is unavailable, fenced at a higher ownership epoch, or has moved.
 */
export class ReplicaError extends RpcError {
  override readonly name: string = 'ReplicaError';

  constructor(
    override readonly code: RpcErrorCodeOf<'replica'>,
    message: string,
    executed: ExecutionStatus = 'no',
    retryAfterMs = defaultRetryAfterMs,
  ) {
    super(code, message, executed, retryAfterMs);
  }
}
