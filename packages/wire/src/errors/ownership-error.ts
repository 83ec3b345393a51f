import {
  defaultRetryAfterMs,
  RpcError,
  type ExecutionStatus,
  type RpcErrorCodeOf,
} from './rpc-error.js';

/**
 * This node does not own the slot at present, or does not know the route yet. Another front, or the same one after the
 * next state publish, can serve the request. It has not been executed, so a front may forward it again.
 */
export class OwnershipError extends RpcError {
  override readonly name: string = 'OwnershipError';

  constructor(
    override readonly code: RpcErrorCodeOf<'ownership'>,
    message: string,
    executed: ExecutionStatus = 'no',
    retryAfterMs = defaultRetryAfterMs,
  ) {
    super(code, message, executed, retryAfterMs);
  }
}
