import {
  defaultRetryAfterMs,
  RpcError,
  type ExecutionStatus,
  type RpcErrorCodeOf,
} from './rpc-error.js';

/**
 * The request could not be handled: its kind is unknown, the task queue is closed, or the handler has a bug.
 */
export class ProtocolError extends RpcError {
  override readonly name: string = 'ProtocolError';

  constructor(
    override readonly code: RpcErrorCodeOf<'protocol'>,
    message: string,
    executed: ExecutionStatus = 'no',
    retryAfterMs = defaultRetryAfterMs,
  ) {
    super(code, message, executed, retryAfterMs);
  }
}
