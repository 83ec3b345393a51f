import {
  defaultRetryAfterMs,
  RpcError,
  type ExecutionStatus,
  type RpcErrorCodeOf,
} from './rpc-error.js';

/**
 * No server could be assigned to the request: the queue is full, the wait in it is too long, no route matches, or no
 * server is usable.
 */
export class AdmissionError extends RpcError {
  override readonly name: string = 'AdmissionError';

  constructor(
    override readonly code: RpcErrorCodeOf<'admission'>,
    message: string,
    executed: ExecutionStatus = 'no',
    retryAfterMs = defaultRetryAfterMs,
  ) {
    super(code, message, executed, retryAfterMs);
  }
}
