import {
  defaultRetryAfterMs,
  RpcError,
  type ExecutionStatus,
  type RpcErrorCodeOf,
} from './rpc-error.js';

/**
 * The answer cannot be given now: a quorum, a lease or a finished turn is missing. It never means that something does not exist.
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
