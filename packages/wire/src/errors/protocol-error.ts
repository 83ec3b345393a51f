import {
  defaultRetryAfterMs,
  RpcError,
  type ExecutionStatus,
  type RpcErrorCodeOf,
} from './rpc-error.js';

/**
 * The request itself could not be handled: an unknown kind, a closed queue, or a fault in the handler.
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
