import {
  defaultRetryAfterMs,
  RpcError,
  type ExecutionStatus,
  type RpcErrorCodeOf,
} from './rpc-error.js';

/**
 * The request cannot be answered at present, for lack of a quorum, a lease or a finished turn. It never means that the
 * requested item does not exist.
 */
export class UnavailableError extends RpcError {
  override readonly name: string = 'UnavailableError';

  constructor(
    override readonly code: RpcErrorCodeOf<'availability'>,
    message: string,
    executed: ExecutionStatus = 'no',
    retryAfterMs = defaultRetryAfterMs,
  ) {
    super(code, message, executed, retryAfterMs);
  }
}
